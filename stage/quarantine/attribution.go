package quarantine

import "slices"

// isBystander reports whether each crash of a request has another cause: a request
// that is guilty was in progress at it too.
func (q *Quarantine) isBystander(p Fingerprint) bool {
	s := q.suspects[p]
	return len(s.crashes) < maxCrashIDs && !slices.ContainsFunc(s.crashes, func(crash string) bool { return !q.hasOtherCause(p, crash) })
}

// hasOtherCause reports whether a guilty request other than p was in progress at crash.
func (q *Quarantine) hasOtherCause(p Fingerprint, crash string) bool {
	for other, s := range q.suspects {
		if other != p && slices.Contains(s.crashes, crash) && q.isCause(other) {
			return true
		}
	}
	return false
}

// isCause reports whether a request crashed as often as the limit, and one of
// its crashes has no other such request.
func (q *Quarantine) isCause(p Fingerprint) bool {
	s := q.suspects[p]
	if len(s.crashes) < crashLimit {
		return false
	}
	return slices.ContainsFunc(s.crashes, func(crash string) bool {
		for other, o := range q.suspects {
			if other != p && len(o.crashes) >= crashLimit && slices.Contains(o.crashes, crash) {
				return false
			}
		}
		return true
	})
}
