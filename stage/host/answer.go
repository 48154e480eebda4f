package host

import (
	"fmt"

	"jacinthstage/stage/lease"
)

// answered ends a call that the object API carried out, false where the call
// isn't outstanding.
func (m *Member) answered(number uint64) (call, bool) {
	c, ok := m.calls.end(number)
	if ok {
		m.recovered()
	}
	return c, ok
}

func (m *Member) found(e Found) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.ownFound(e)
	case readTable:
		m.accept(e.Version, e.Value)
	case readLease:
		m.look(c, e)
	default:
		panic(fmt.Sprintf("host: call %d was no Get", e.CallID))
	}
}

// ownFound passes the own lease object to the Holder. One that can't be read
// counts as another process's.
func (m *Member) ownFound(e Found) {
	value, err := lease.Decode(e.Value)
	if err != nil {
		value = lease.Value{}
	}
	m.lease(lease.Found{Version: e.Version, Value: value})
}

func (m *Member) missing(e Missing) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.lease(lease.Missing{})
	case readTable:
		m.absent()
	case readLease:
		m.lost(c)
	default:
		panic(fmt.Sprintf("host: call %d was no Get", e.CallID))
	}
}

// absent notes that there is no table. Its content is kept: epochs only grow.
func (m *Member) absent() {
	m.known = true
	m.version = 0
	m.proposal.dirty = true
}

func (m *Member) listed(e Listed) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case listJudge:
		m.judgeAll(c, e.Objects)
	case listWrite:
		m.write(c, e.Objects)
	default:
		panic(fmt.Sprintf("host: call %d was no List", e.CallID))
	}
}

func (m *Member) wrote(e Wrote) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.lease(lease.Wrote{Version: e.Version})
	case putTable:
		m.proposal.attempts = 0
		if m.newer(e.Version) {
			m.install(e.Version, c.proposed)
		}
	default:
		panic(fmt.Sprintf("host: call %d was no Put", e.CallID))
	}
}

func (m *Member) deleted(e Deleted) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.lease(lease.Deleted{})
	case breakOne:
		m.broken(c)
	default:
		panic(fmt.Sprintf("host: call %d was no Delete", e.CallID))
	}
}

// failed ends a call that failed. An outage starts the wait before judging again.
func (m *Member) failed(number uint64, cause lease.Cause) {
	c, ok := m.calls.end(number)
	if !ok {
		return
	}
	if cause != lease.Conflict {
		m.watch.unsteady = true
	}
	switch c.purpose {
	case ownLease:
		m.lease(lease.Failed{Cause: cause})
	case readTable:
		m.refresh = m.now.Add(m.terms().RenewInterval/2 + m.jitter(m.terms().RenewInterval/2))
	case putTable, listWrite:
		m.defeated(c)
	default:
	}
}
