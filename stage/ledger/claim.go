package ledger

import "time"

// ClaimKey is the key of the object that holds the claim.
const ClaimKey = "sweep"

// ClaimDuration is how long a claim lasts. It is longer than the sweep of one page
// takes.
const ClaimDuration = 5 * time.Minute

// A Claim records which host sweeps expired records, and the progress of the
// sweep. It only limits duplicate work and correctness does not depend on it, so
// it may rely on the hosts' clocks. If two claims overlap, either host deletes the
// records; if no claim is held for a while, the records are deleted later.
type Claim struct {
	Host    string    `json:"host"`
	Expires time.Time `json:"until"`
	After   string    `json:"after"` // last key checked; empty at the start of a pass
}

// Take returns the claim with which host succeeds c. It returns false if another
// host holds c and c has not expired.
func (c Claim) Take(now time.Time, host string) (Claim, bool) {
	if c.Host != "" && c.Host != host && now.Before(c.Expires) {
		return c, false
	}
	return Claim{Host: host, Expires: now.Add(ClaimDuration), After: c.After}, true
}
