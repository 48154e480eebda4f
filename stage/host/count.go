package host

import "time"

// Memory is how long a host that is no longer listed counts: it may still serve callers, cut off
// from where the list is kept.
const Memory = time.Minute

// A Count is the largest number of hosts that were listed in the last Memory.
type Count struct {
	Most      int
	countedAt time.Time // when there were so many
}

// Update records how many hosts are listed.
func (c *Count) Update(now time.Time, hosts int) {
	if hosts >= c.Most || now.Sub(c.countedAt) > Memory {
		c.Most, c.countedAt = hosts, now
	}
}
