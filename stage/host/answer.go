package host

import (
	"fmt"

	"jacinthstage/stage/lease"
)

// answered ends a call that the object API carried out. It returns false if the
// call is not outstanding.
func (m *Member) answered(id uint64) (call, bool) {
	c, ok := m.calls.remove(id)
	if ok {
		m.heardStore = true
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
		m.foundOwnLease(e)
	case readTable:
		m.acceptTable(e.Version, e.Value)
	case readLease:
		m.handleLease(c, e)
	default:
		panic(fmt.Sprintf("host: call %d was not a Get", e.CallID))
	}
}

// foundOwnLease passes this host's own lease object to the Holder. An object that can't be
// decoded is no process's, of whatever build: it counts as this one's, and is written anew.
func (m *Member) foundOwnLease(e Found) {
	value, err := lease.Decode(e.Value)
	if err != nil {
		value = lease.Value{Incarnation: m.Self.Incarnation}
	}
	m.stepLease(lease.Found{Version: e.Version, Value: value})
}

func (m *Member) missing(e Missing) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.stepLease(lease.Missing{})
	case readTable:
		m.missingTable()
	case readLease:
		m.handleMissingLease(c)
	default:
		panic(fmt.Sprintf("host: call %d was not a Get", e.CallID))
	}
}

// missingTable records that the table object does not exist. The last known
// content is kept, because epochs must only grow.
func (m *Member) missingTable() {
	if !m.tableKnown && len(m.table.Members) == 0 {
		m.restored = restore{} // no runner had an owner
	}
	m.tableKnown = true
	m.tableVersion = 0
	m.proposal.dirty = true
}

func (m *Member) listed(e Listed) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case listForMonitoring:
		m.handleLeaseList(c, e.Objects)
	case listForProposal:
		m.putProposal(c, e.Objects)
	default:
		panic(fmt.Sprintf("host: call %d was not a List", e.CallID))
	}
}

func (m *Member) wrote(e Wrote) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.stepLease(lease.Wrote{Version: e.Version})
	case putTable:
		m.proposal.consecutiveFailures = 0
		if m.isNewer(e.Version) {
			m.installTable(e.Version, c.proposed)
		}
	default:
		panic(fmt.Sprintf("host: call %d was not a Put", e.CallID))
	}
}

func (m *Member) deleted(e Deleted) {
	c, ok := m.answered(e.CallID)
	if !ok {
		return
	}
	switch c.purpose {
	case ownLease:
		m.stepLease(lease.Deleted{})
	case deleteLease:
		m.revoked(c)
	default:
		panic(fmt.Sprintf("host: call %d was not a Delete", e.CallID))
	}
}

// failed ends a call that failed. Any cause other than a conflict counts as an
// outage, after which leases are not judged for a full lease duration.
func (m *Member) failed(id uint64, cause lease.Cause) {
	c, ok := m.calls.remove(id)
	if !ok {
		return
	}
	if cause != lease.Conflict {
		m.monitor.outage = true
	}
	switch c.purpose {
	case ownLease:
		m.stepLease(lease.Failed{Cause: cause})
	case readTable:
		interval := m.leaseTiming().RenewInterval
		m.nextTableRead = m.now.Add(interval/2 + m.jitter(interval/2))
	case putTable, listForProposal:
		m.proposalFailed(c)
	default:
	}
}
