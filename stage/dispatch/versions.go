package dispatch

import (
	"time"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/version"
)

// A presence says that a target held an adapter, and in which version.
type presence struct {
	at      time.Time
	version int // 0 if unknown
}

// A holding is what is known of an adapter on a target.
type holding struct {
	present bool
	version int // at least, as versions on a target don't go back; 0 if unknown
}

// SetVersionBound sets how long after the publication of a newer version of an adapter a request
// may begin on an older one.
func (d *Dispatcher) SetVersionBound(bound time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Bound = bound
}

func (d *Dispatcher) versionPublished(now time.Time, v catalog.VersionPublished) {
	k := residency.Key{Model: v.Model, Adapter: v.Adapter}
	if !d.versions.Publish(k, version.Publication{Version: v.Version, After: v.After, Seen: now}) {
		return
	}
	for _, t := range d.targets {
		delete(t.cachedAt, k) // the weights of an older version
	}
	for _, t := range d.owned {
		t.residency.SetNewest(k, v.Version)
	}
}

// isNewest reports whether no version of an adapter is known that is newer than the one that a
// target holds. An unknown version counts as the newest: the target is told which one to run.
func (d *Dispatcher) isNewest(k residency.Key, held int) bool {
	return held == 0 || held >= d.versions.Newest(k).Version
}

// holding returns what is known of a model or adapter on a target.
func (d *Dispatcher) holding(now time.Time, t *target, k residency.Key) holding {
	if t.residency != nil && t.residency.Synced() && k.Adapter != "" {
		state, held, _ := t.residency.Lookup(k)
		return holding{present: state == residency.Resident, version: held}
	}
	if at, ok := t.absentAt[k]; ok && now.Sub(at) < observationAge {
		return holding{}
	}
	resident, ok := t.Models[k.Model]
	if !ok || k.Adapter == "" {
		return holding{present: ok}
	}
	h := holding{}
	h.version, h.present = resident.Adapters[k.Adapter]
	if p, ok := t.presentAt[k]; ok && now.Sub(p.at) < observationAge {
		h = holding{present: true, version: max(h.version, p.version)}
	}
	return h
}

// notePresent records that a runner held an adapter, in the given version or a later one.
func (t *target) notePresent(now time.Time, k residency.Key, held int) {
	delete(t.absentAt, k)
	if t.presentAt == nil {
		t.presentAt = make(map[residency.Key]presence)
	}
	t.presentAt[k] = presence{at: now, version: max(held, t.presentAt[k].version)}
}

// served returns the version that served a request at least, 0 if it is unknown: a target that refuses
// a request may not have looked at its version.
func (a *Attempt) served(h Head) int {
	if !h.Worked {
		return 0
	}
	return max(a.Version, a.Held)
}

// fixVersion sets the version that the attempt's target has to hold when the request is sent, if any
// version that it may hold would not do. It returns false if the one that it is known to hold doesn't.
func (a *Attempt) fixVersion(now time.Time) bool {
	a.Version = 0
	k := a.request.key()
	if k.Adapter == "" {
		return true
	}
	d := a.dispatcher
	begin := now.Add(startFactor * a.Expected)
	if !d.isNewest(k, a.Held) {
		return d.versions.Accepts(now, begin, k, a.Held)
	}
	if !d.versions.Accepts(now, begin, k, 0) {
		a.Version = max(a.Held, d.versions.Newest(k).Version)
	}
	return true
}

// startFactor is the multiple of the expected time to the first byte within which a request is taken
// to begin.
const startFactor = 2

// LastStart returns until when the request may begin at its target, since a newer version of its
// adapter was published. It returns false if there is no such time, or the request has begun.
func (a *Attempt) LastStart() (time.Time, bool) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	k := a.request.key()
	if a.answered || k.Adapter == "" {
		return time.Time{}, false
	}
	return d.versions.LastStart(k, max(a.Version, a.Held))
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
