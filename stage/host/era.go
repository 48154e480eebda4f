package host

import (
	"time"

	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// A restore is what a member keeps of the last restore of the store, after which the table
// and the leases may be some seconds old.
//
// What a host held with a valid lease as it heard of the new era, no other host can hold: it
// goes on with it, under a fencing number of the new era, once it has renewed its lease and
// the table still names it. Any other runner may be held by a host that has not heard of the
// new era yet, because of a table that is lost. That host's lease ends, at the latest, a
// lease's duration after this host heard of the era, and until then this host acquires
// nothing else.
type restore struct {
	held        map[string]bool // runners that this host held with a valid lease
	acquireFrom time.Time       // when other runners may be acquired
}

// eraChanged begins a new era of the store. The first era that a process hears of is no
// change for it, but it can't know whether that era has just begun.
func (m *Member) eraChanged(era uint64) {
	if era <= m.era {
		return
	}
	m.era = era
	if !m.heardStore {
		if m.CautiousStart {
			m.restored.acquireFrom = m.now.Add(m.leaseTiming().Duration)
		}
		return
	}
	m.restored = restore{held: make(map[string]bool), acquireFrom: m.now.Add(m.leaseTiming().Duration)}
	for runner, h := range m.held {
		m.restored.held[runner] = m.admitted && !h.handingOver
	}
	m.suspend()
	m.releaseAll()
	m.calls.outstanding = nil // their answers may be of before
	m.holder.Restart(m.now)
	m.tableKnown = false
	m.nextTableRead = m.now
	m.monitor = monitor{observers: make(map[string]*lease.Observer), judgeFrom: m.restored.acquireFrom}
	m.monitor.reset(m.table)
	m.proposal.reset()
	m.proposal.dirty = true
}

// mayAcquire reports whether this host may acquire a runner that the table assigns to it. It
// may not under a table of before the restore, which the store may have lost: hosts may
// remember different ones, with the same epochs.
func (m *Member) mayAcquire(runner string) bool {
	if store.Era(m.tableVersion) < m.era {
		return false
	}
	return m.restored.held[runner] || !m.now.Before(m.restored.acquireFrom)
}
