package quarantine

import "slices"

// isBystander reports whether each crash of a request has another cause. A request
// with maxCrashIDs crashes is never a bystander.
func (h *History) isBystander(fp Fingerprint) bool {
	e := h.entries[fp]
	return len(e.crashes) < maxCrashIDs && !slices.ContainsFunc(e.crashes, func(crash string) bool { return !h.hasOtherCause(fp, crash) })
}

// hasOtherCause reports whether a request other than fp that is a cause of crashes
// was in progress at crash.
func (h *History) hasOtherCause(fp Fingerprint, crash string) bool {
	for other, e := range h.entries {
		if other != fp && slices.Contains(e.crashes, crash) && h.isCause(other) {
			return true
		}
	}
	return false
}

// isCause reports whether a request has crashLimit crashes or more, and at one of
// them no other such request was in progress.
func (h *History) isCause(fp Fingerprint) bool {
	e := h.entries[fp]
	if len(e.crashes) < crashLimit {
		return false
	}
	return slices.ContainsFunc(e.crashes, func(crash string) bool {
		for other, e := range h.entries {
			if other != fp && len(e.crashes) >= crashLimit && slices.Contains(e.crashes, crash) {
				return false
			}
		}
		return true
	})
}
