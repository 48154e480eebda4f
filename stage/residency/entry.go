package residency

import (
	"time"
)

// An entry is one adapter.
type entry struct {
	state   State
	version int
	renew   time.Time // when a replacement by the newest version is asked for again
	due     time.Time // when a Coming adapter is expected, a Leaving one looked for, a Wished one given up
	ordered time.Time // when it was ordered to come
	open    int       // requests of this host that use it
	peers   map[string]peerUse
	kept    time.Time // it does not make way before, since a request is about to use it
	held    time.Time // when it was on the runner last; it is at hand for a while
	used    time.Time
	uses    float64 // aged number of uses
	doubt   time.Time
	former  time.Time     // until then an order of the runner's former life may load it
	arrived chan struct{} // closed when the wait ends
	waiting int           // requests that wait for it
}

// A peerUse is what another host told of its use of an adapter.
type peerUse struct {
	open int
	at   time.Time
}

// takes reports whether an adapter takes a place on the runner, or may do so.
func (s *Manager) takes(e *entry) bool {
	return e.state == Loading || e.state == Resident || e.state == Unloading || !e.doubt.IsZero() || !e.former.IsZero()
}

// keep has an adapter stay for a request that is about to use it.
func (e *entry) keep(now time.Time) { e.kept = now.Add(keepSpan) }

// settle ends the wait for an adapter.
func (e *entry) settle() {
	if e.arrived != nil {
		select {
		case <-e.arrived:
		default:
			close(e.arrived)
		}
		e.arrived = nil
	}
}

func (s *Manager) entry(k Key) *entry {
	if s.entries == nil {
		s.entries = make(map[Key]*entry)
	}
	e := s.entries[k]
	if e == nil {
		e = &entry{}
		s.entries[k] = e
	}
	return e
}

// busy reports whether a request of any host uses an adapter.
func (e *entry) busy(now time.Time) bool {
	if e.open > 0 || now.Before(e.kept) {
		return true
	}
	for from, p := range e.peers {
		if now.Sub(p.at) > peerAge {
			delete(e.peers, from)
			continue
		}
		if p.open > 0 {
			return true
		}
	}
	return false
}

// weight returns the aged number of uses.
func (e *entry) weight(now time.Time) float64 {
	age := now.Sub(e.used).Seconds() / halfLife.Seconds()
	return e.uses / (1 + age*age + age)
}
