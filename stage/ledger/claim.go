package ledger

import "time"

// ClaimKey is the key of the claim's object.
const ClaimKey = "sweep"

// ClaimDuration is how long a claim lasts: longer than a sweep of one page.
const ClaimDuration = 5 * time.Minute

// A Claim says which host sweeps, and how far the sweep has come. It bounds the
// work and decides nothing, so it may rest on the hosts' clocks: where two
// claims overlap, or none is held for a while, records are just deleted by
// either, or later.
type Claim struct {
	Host    string    `json:"host"`
	Expires time.Time `json:"until"`
	After   string    `json:"after"` // the last key looked at; empty at the start of a round
}

// Take returns the claim of host after c, false where another host's is in force.
func (c Claim) Take(now time.Time, host string) (Claim, bool) {
	if c.Host != "" && c.Host != host && now.Before(c.Expires) {
		return c, false
	}
	return Claim{Host: host, Expires: now.Add(ClaimDuration), After: c.After}, true
}
