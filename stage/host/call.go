package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// A purpose is the reason for an outstanding call.
type purpose uint8

const (
	ownLease          purpose = iota // a call of the Holder on this host's lease
	readTable                        // a read of the table
	putTable                         // a write of the table
	listForProposal                  // a list of the leases, to propose a table
	listForMonitoring                // a list of the leases, to judge them
	readLease                        // a read of a member's lease, to judge it
	deleteLease                      // the deletion of an expired lease
)

// A call is one outstanding call on the object API.
type call struct {
	id       uint64
	purpose  purpose
	name     string // the member, if the call concerns a single one
	version  uint64 // version of the table on which the call is based, if any
	sent     time.Time
	deadline time.Time
	proposed Table // the table that a putTable writes
}

// startCall registers a call and returns its ID.
func (m *Member) startCall(c call) uint64 {
	m.calls.lastID++
	c.id = m.calls.lastID
	c.sent = m.now
	c.deadline = m.now.Add(m.callTimeout())
	m.calls.outstanding = append(m.calls.outstanding, c)
	return c.id
}

// calls are the outstanding calls in the order in which they were sent.
type calls struct {
	lastID      uint64
	outstanding []call
}

// remove removes and returns a call, or returns false if it is not outstanding.
func (c *calls) remove(id uint64) (call, bool) {
	for i, found := range c.outstanding {
		if found.id == id {
			c.outstanding = append(c.outstanding[:i], c.outstanding[i+1:]...)
			return found, true
		}
	}
	return call{}, false
}

// has reports whether a call for the purpose is outstanding.
func (c *calls) has(p purpose) bool {
	for _, o := range c.outstanding {
		if o.purpose == p {
			return true
		}
	}
	return false
}

// nextDeadline returns the earliest deadline, or zero if no call is outstanding.
func (c *calls) nextDeadline() time.Time {
	var next time.Time
	for _, o := range c.outstanding {
		next = earlier(next, o.deadline)
	}
	return next
}

// expireCalls fails the calls whose deadline has passed.
func (m *Member) expireCalls() {
	for len(m.calls.outstanding) > 0 && !m.now.Before(m.calls.outstanding[0].deadline) {
		m.failed(m.calls.outstanding[0].id, lease.Unknown)
	}
}

// earlier returns the earlier of two times, where zero means never.
func earlier(x, y time.Time) time.Time {
	if x.IsZero() || !y.IsZero() && y.Before(x) {
		return y
	}
	return x
}
