package quarantine

import "slices"

// isBystander reports whether each crash of a request has another cause. A request
// with maxCrashIDs crashes is never a bystander.
func (q *Quarantine) isBystander(fp Fingerprint) bool {
	s := q.suspects[fp]
	return len(s.crashes) < maxCrashIDs && !slices.ContainsFunc(s.crashes, func(crash string) bool { return !q.hasOtherCause(fp, crash) })
}

// hasOtherCause reports whether a request other than fp that is a cause of crashes
// was in progress at crash.
func (q *Quarantine) hasOtherCause(fp Fingerprint, crash string) bool {
	for other, s := range q.suspects {
		if other != fp && slices.Contains(s.crashes, crash) && q.isCause(other) {
			return true
		}
	}
	return false
}

// isCause reports whether a request has crashLimit crashes or more, and at one of
// them no other such request was in progress.
func (q *Quarantine) isCause(fp Fingerprint) bool {
	s := q.suspects[fp]
	if len(s.crashes) < crashLimit {
		return false
	}
	return slices.ContainsFunc(s.crashes, func(crash string) bool {
		for other, suspect := range q.suspects {
			if other != fp && len(suspect.crashes) >= crashLimit && slices.Contains(suspect.crashes, crash) {
				return false
			}
		}
		return true
	})
}
