package residency

import (
	"time"
)

// An entry is the state of one adapter.
type entry struct {
	state   State
	version int // at least
	// named is the version that the order to load it named, or that the runner reported; 0 for the newest.
	named int
	// listed is the newest version that the runner has reported, which this host may not have learned of otherwise.
	listed int
	// replaces says that a Requested or Loading adapter takes the place of an older version of it.
	replaces bool
	// due is when a Loading adapter is expected to be resident, when an Unloading
	// one is checked, or when a Requested one is given up.
	due          time.Time
	ordered      time.Time // when its load was ordered
	active       int       // requests of this host that use it
	peers        map[string]peerUse
	keepUntil    time.Time // it is not evicted before, since a request is about to use it
	lastResident time.Time // when it was unloaded; the runner caches it for a while
	lastUsed     time.Time
	uses         float64 // aged number of uses
	// uncertainUntil is until when a load that got no answer may take effect.
	uncertainUntil time.Time
	// reservedUntil is until when an order to the runner's previous incarnation may
	// load it.
	reservedUntil time.Time
	done          chan struct{} // closed when the wait ends
	waiters       int           // requests that wait for it
}

// A peerUse is the use of an adapter that another host reported.
type peerUse struct {
	active int
	at     time.Time
}

// occupiesSlot reports whether an adapter occupies a slot on the runner, or may
// do so.
func (m *Manager) occupiesSlot(e *entry) bool {
	return e.replaces || e.state == Loading || e.state == Resident || e.state == Unloading || !e.uncertainUntil.IsZero() || !e.reservedUntil.IsZero()
}

// keep protects an adapter from eviction for a request that is about to use it.
func (e *entry) keep(now time.Time) { e.keepUntil = now.Add(keepDuration) }

// endWait ends the wait for an adapter.
func (e *entry) endWait() {
	if e.done != nil {
		select {
		case <-e.done:
		default:
			close(e.done)
		}
		e.done = nil
	}
}

// entry returns the entry of an adapter, which it creates if there is none.
func (m *Manager) entry(k Key) *entry {
	if m.entries == nil {
		m.entries = make(map[Key]*entry)
	}
	e := m.entries[k]
	if e == nil {
		e = &entry{}
		m.entries[k] = e
	}
	return e
}

// inUse reports whether a request of any host uses an adapter, or is about to.
func (e *entry) inUse(now time.Time) bool { return now.Before(e.keepUntil) || e.isRunning(now) }

// isRunning reports whether a request of any host uses an adapter.
func (e *entry) isRunning(now time.Time) bool {
	if e.active > 0 {
		return true
	}
	for from, p := range e.peers {
		if now.Sub(p.at) > peerUseTTL {
			delete(e.peers, from)
			continue
		}
		if p.active > 0 {
			return true
		}
	}
	return false
}

// weight returns the aged number of uses.
func (e *entry) weight(now time.Time) float64 {
	age := now.Sub(e.lastUsed).Seconds() / useAgingTime.Seconds()
	return e.uses / (1 + age*age + age)
}
