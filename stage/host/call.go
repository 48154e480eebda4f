package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// A purpose is what an outstanding call is for.
type purpose uint8

const (
	ownLease  purpose = iota // a call of the Holder
	readTable                // a read of the table
	putTable                 // a write of the table
	listWrite                // a list of the leases, to propose a table
	listJudge                // a list of the leases, to judge them
	readLease                // a read of a member's lease, to judge it
	breakOne                 // the delete of a lapsed lease
)

// A call is one outstanding call on the object API.
type call struct {
	number   uint64
	purpose  purpose
	name     string // the member, where the call is for one
	version  uint64 // of the table, where the call is for one
	sent     time.Time
	deadline time.Time
	proposed Table // what a putTable wrote
}

// begin notes a call and returns its number.
func (m *Member) begin(c call) uint64 {
	m.calls.last++
	c.number = m.calls.last
	c.sent = m.now
	c.deadline = m.now.Add(m.timeout())
	m.calls.open = append(m.calls.open, c)
	return c.number
}

// calls are the outstanding calls in the order of their sending.
type calls struct {
	last uint64
	open []call
}

// end takes a call out, false where it isn't outstanding.
func (c *calls) end(number uint64) (call, bool) {
	for i, one := range c.open {
		if one.number == number {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return one, true
		}
	}
	return call{}, false
}

// has reports whether a call for the purpose is outstanding.
func (c *calls) has(p purpose) bool {
	for _, one := range c.open {
		if one.purpose == p {
			return true
		}
	}
	return false
}

// next returns the earliest deadline, zero where no call is outstanding.
func (c *calls) next() time.Time {
	var next time.Time
	for _, one := range c.open {
		next = earlier(next, one.deadline)
	}
	return next
}

// expire fails the calls whose deadline has passed.
func (m *Member) expire() {
	for len(m.calls.open) > 0 && !m.now.Before(m.calls.open[0].deadline) {
		m.failed(m.calls.open[0].number, lease.Unknown)
	}
}

// earlier returns the earlier of two times, where zero means never.
func earlier(x, y time.Time) time.Time {
	if x.IsZero() || !y.IsZero() && y.Before(x) {
		return y
	}
	return x
}
