package dispatch

import (
	"time"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/version"
)

func (d *Dispatcher) versionPublished(now time.Time, v catalog.VersionPublished) {
	k := residency.Key{Model: v.Model, Adapter: v.Adapter}
	if !d.versions.Publish(k, version.Publication{Version: v.Version, After: v.After, Seen: now}) {
		return
	}
	for _, t := range d.owned {
		t.residency.SetNewest(k, v.Version)
	}
}

// heldVersion returns the version of an adapter that a target is known to hold, or 0 if none is.
func (t *target) heldVersion(k residency.Key) int {
	if t.residency != nil && t.residency.Synced() {
		state, held, _ := t.residency.Lookup(k)
		if state == residency.Resident {
			return held
		}
		return 0
	}
	return t.Models[k.Model].Adapters[k.Adapter]
}

// ReplacedBy returns the publication that replaced the version that the attempt's target was
// known to hold. It returns false if that version is unknown, or no newer one was published.
func (a *Attempt) ReplacedBy() (version.Publication, bool) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Held == 0 {
		return version.Publication{}, false
	}
	return d.versions.Successor(a.request.key(), a.Held)
}

// Age returns for how long the request has been ready to be sent to the target.
func (a *Attempt) Age(now time.Time) time.Duration { return now.Sub(a.sent) }
