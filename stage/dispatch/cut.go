package dispatch

import (
	"net/netip"
	"time"

	"jacinthstage/stage/relay"
)

// SetCut sets whether this host can't reach any target itself, so that its requests go through
// other hosts. As long as that is so, failures to connect don't count against targets, no
// adapter is loaded through this host, and the failures that led to it are taken back.
func (d *Dispatcher) SetCut(now time.Time, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
	if !cut {
		return
	}
	for _, t := range d.targets {
		t.consecutiveFailures, t.ejectedUntil, t.connectFailedAt = 0, time.Time{}, time.Time{}
		t.failureRate, t.ratedAt = 0, now
		t.outcomes.advance(now)
		t.outcomes.current, t.outcomes.previous = relay.TargetLoad{}, relay.TargetLoad{}
	}
}

// ReadyAddresses returns the addresses of the targets that accept requests according to their
// entries.
func (d *Dispatcher) ReadyAddresses(now time.Time) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []netip.AddrPort
	for _, t := range d.targets {
		if t.listed(now) {
			out = append(out, t.Address)
		}
	}
	return out
}
