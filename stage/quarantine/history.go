package quarantine

import "time"

const (
	crashLimit       = 2              // crashes after which a request is refused unless it is a bystander
	maxCrashIDs      = 4              // crash IDs kept per request; a request with this many is never a bystander
	suspectRetention = time.Hour      // how long a request with one crash is remembered
	refusedRetention = 24 * time.Hour // how long a refused request is remembered
	maxSuspects      = 4096           // maximum number of suspects kept
)

// A History holds the requests that were in progress at crashes of targets, and
// decides which of them are refused. It keeps at most 4096 requests. The zero value
// is empty and ready to use. It is not safe for concurrent use.
type History struct{ entries map[Fingerprint]*entry }

// An entry holds the crashes of one request.
type entry struct {
	crashes []string
	expires time.Time
}

// Len returns the number of requests in the history.
func (h *History) Len() int { return len(h.entries) }

// Crashes returns the IDs of the crashes at which the request was in progress, and
// when the request is forgotten.
func (h *History) Crashes(fp Fingerprint) ([]string, time.Time) {
	e := h.entries[fp]
	if e == nil {
		return nil, time.Time{}
	}
	return e.crashes, e.expires
}

// Add adds crashes at which the request was in progress. It reports whether any of
// them is new.
func (h *History) Add(now time.Time, fp Fingerprint, crashes []string) (isNew bool) {
	if h.entries[fp] == nil && len(h.entries) >= maxSuspects {
		h.Remove(h.firstToExpire())
	}
	e := h.open(now, fp)
	before := len(e.crashes)
	e.crashes = mergeCrashes(e.crashes, crashes)
	retention := suspectRetention
	if h.IsRefused(fp) {
		retention = refusedRetention
	}
	if expires := now.Add(retention); expires.After(e.expires) {
		e.expires = expires
	}
	return len(e.crashes) > before
}

// Remove forgets a request.
func (h *History) Remove(fp Fingerprint) { delete(h.entries, fp) }

// IsRefused reports whether the request has crashed two targets or more and none of
// the crashes is attributed to another request.
func (h *History) IsRefused(fp Fingerprint) bool {
	e := h.entries[fp]
	return e != nil && len(e.crashes) >= crashLimit && !h.isBystander(fp)
}

// Expired returns the requests whose time to be remembered has passed.
func (h *History) Expired(now time.Time) []Fingerprint {
	var out []Fingerprint
	for fp, e := range h.entries {
		if !now.Before(e.expires) {
			out = append(out, fp)
		}
	}
	return out
}

// open returns the entry of a request, which is created if there is none.
func (h *History) open(now time.Time, fp Fingerprint) *entry {
	if h.entries == nil {
		h.entries = make(map[Fingerprint]*entry)
	}
	if h.entries[fp] == nil {
		h.entries[fp] = &entry{expires: now.Add(suspectRetention)}
	}
	return h.entries[fp]
}

// firstToExpire returns the request that is forgotten first.
func (h *History) firstToExpire() Fingerprint {
	var first Fingerprint
	for fp, e := range h.entries {
		if first == "" || e.expires.Before(h.entries[first].expires) {
			first = fp
		}
	}
	return first
}
