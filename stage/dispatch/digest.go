package dispatch

import (
	"maps"
	"net/netip"
	"time"

	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
)

// placesAge is how long what the owner of a runner told of its places counts.
const placesAge = 2 * time.Second

// usage counts this host's requests for one adapter on one runner.
type usage struct{ open, begun int }

// Digest returns what to tell another host. over returns the host to which to
// send what is meant for a runner's owner that doesn't report to this host.
func (b *Dispatcher) Digest(now time.Time, to string, path relay.Direction, over func(owner string) string) relay.Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchange.Expire(now)
	next := func(owner string) string {
		if b.exchange.ReportsHere(owner) {
			return owner
		}
		return over(owner)
	}
	d := relay.Digest{From: b.Holder}
	if b.config != nil {
		d.ConfigVersion = b.config.Version
	}
	var own []relay.TargetLoad
	for _, t := range b.targets {
		if t.shelf != nil {
			spare, open := t.shelf.SpareSlots(now)
			d.SlotReports = append(d.SlotReports, relay.SlotReport{Runner: t.mark, Spare: spare, Closed: !open})
		}
		own = append(own, t.share(now))
		owner := b.owners[t.Name].Host
		switch {
		case t.shelf != nil || owner == "":
			t.trim()
		case len(t.usage) > 0 && next(owner) == to:
			d.Uses = append(d.Uses, t.uses(owner)...)
		}
	}
	d.Loads = b.exchange.Loads(to, path, own)
	d.SlotReports = append(d.SlotReports, b.exchange.SlotReports(now, to, path)...)
	d.Uses = append(d.Uses, b.exchange.Uses(now, to, next)...)
	return d
}

// uses returns this host's uses of a target's adapters since it told last.
func (t *target) uses(owner string) []relay.AdapterUse {
	out := make([]relay.AdapterUse, 0, len(t.usage))
	for k, u := range t.usage {
		out = append(out, relay.AdapterUse{Owner: owner, Runner: t.Name, Model: k.Model, Adapter: k.Adapter, InProgress: u.open, Started: u.begun})
		u.begun = 0
	}
	t.trim()
	return out
}

// trim drops uses that have ended and that nobody has to be told of any more.
func (t *target) trim() {
	maps.DeleteFunc(t.usage, func(_ residency.Key, u *usage) bool { return u.open == 0 })
}

// MergeDigest takes in what another host told. It reports whether the configuration
// should be read now: another host has had a newer one for a while.
func (b *Dispatcher) MergeDigest(now time.Time, d relay.Digest) (behind bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.exchange.Merge(now, b.Holder, d) {
		if t := b.owned[u.Runner]; t != nil {
			t.shelf.RecordPeerUse(now, residency.Key{Model: u.Model, Adapter: u.Adapter}, d.From, u.InProgress, u.Started)
		}
	}
	return b.behind(now, d.ConfigVersion)
}

// Forget drops what a host told of its requests, as where another one tells the
// same from now on.
func (b *Dispatcher) Forget(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchange.Forget(name)
}

// Serving reports whether other hosts report to this one.
func (b *Dispatcher) Serving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchange.HasReporters()
}

// behindLeast is how long another host must have had a newer configuration
// before it is read again: it usually is on its way, and large ones take time.
const behindLeast = 1200 * time.Millisecond

// behind reports whether the configuration should be read now, given the version
// that another host has.
func (b *Dispatcher) behind(now time.Time, version uint64) bool {
	switch {
	case version == 0 || b.config != nil && version <= b.config.Version:
		return false
	case b.config != nil && b.behindFrom != b.config.Version || b.behindSince.IsZero():
		b.behindSince = now
		if b.config != nil {
			b.behindFrom = b.config.Version
		}
		return false
	case now.Sub(b.behindSince) < behindLeast:
		return false
	}
	b.behindSince = now
	return true
}

const (
	// silenceLeast is how long the owner of a runner may tell nothing before no
	// load is asked of it.
	silenceLeast = 1500 * time.Millisecond
	// silenceFar is how many times longer it may be silent in another region.
	silenceFar = 2
)

// silent reports whether the owner of a runner told nothing for too long. One
// that never told anything may just have started.
func (b *Dispatcher) silent(now time.Time, t *target) bool {
	_, at := b.exchange.SlotReport(t.mark)
	if at.IsZero() {
		return false
	}
	limit := silenceLeast
	if b.far(t) {
		limit *= silenceFar
	}
	return now.Sub(at) > limit
}

// An Owner is the host that orders a runner.
type Owner struct {
	Host    string
	Address netip.AddrPort // of the link between hosts
	Zone    string
}

// HostCount returns the number of hosts, 1 where it isn't known.
func (b *Dispatcher) HostCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(1, b.hosts)
}

// SetOwners tells which host orders each runner, and how many hosts there are.
func (b *Dispatcher) SetOwners(owners map[string]Owner, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for runner, owner := range owners {
		if b.owners[runner].Host != owner.Host {
			b.exchange.ForgetSlotReport(relay.HashTarget(runner))
		}
	}
	b.owners = owners
	b.hosts = hosts
}
