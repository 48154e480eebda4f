package quarantine

import "slices"

// excused reports whether each crash of a request has another cause: a request
// that is guilty was in progress at it too.
func (q *Quarantine) excused(p Fingerprint) bool {
	s := q.suspects[p]
	return len(s.crashes) < kept && !slices.ContainsFunc(s.crashes, func(crash string) bool { return !q.explained(p, crash) })
}

// explained reports whether a guilty request other than p was in progress at crash.
func (q *Quarantine) explained(p Fingerprint, crash string) bool {
	for other, s := range q.suspects {
		if other != p && slices.Contains(s.crashes, crash) && q.guilty(other) {
			return true
		}
	}
	return false
}

// guilty reports whether a request crashed as often as the limit, and one of
// its crashes has no other such request.
func (q *Quarantine) guilty(p Fingerprint) bool {
	s := q.suspects[p]
	if len(s.crashes) < limit {
		return false
	}
	return slices.ContainsFunc(s.crashes, func(crash string) bool {
		for other, o := range q.suspects {
			if other != p && len(o.crashes) >= limit && slices.Contains(o.crashes, crash) {
				return false
			}
		}
		return true
	})
}
