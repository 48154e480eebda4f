package runner

import (
	"time"

	"jacinthstage/stage/adapter"
)

// How loads are reserved for refused requests that retry.
const (
	loadsPerRetry = 2               // one in this many loads is reserved for a retry
	retryGrace    = 5 * time.Second // how long a reservation stays valid after its time
	maxRetryDelay = 5 * time.Minute // how far ahead loads are reserved
)

// A retrySchedule holds the loads that are reserved for refused requests: their
// adapters, each with the time at which to retry. The retry times of one caller
// are spaced by the measured time between loads, multiplied by the number of
// callers that have reservations. The retry times thus move out as fast as an
// overload grows; if a single caller floods the runner, only its own retry times
// move out. All requests that retry for an adapter in time are served by one load.
type retrySchedule struct {
	callers  map[string]time.Time // the last retry time of each caller
	adapters map[adapter.Ref]time.Time
}

// reserve returns when the caller should retry for ref, not before earliest.
// between is the measured time between loads.
func (s *retrySchedule) reserve(now, earliest time.Time, ref adapter.Ref, caller string, between time.Duration) time.Time {
	s.trim(now)
	if t, ok := s.adapters[ref]; ok && !t.Before(earliest) {
		return t
	}
	callers := len(s.callers)
	last, ok := s.callers[caller]
	if !ok {
		callers++
	}
	t := earliest
	if next := last.Add(loadsPerRetry * between * time.Duration(callers)); ok && next.After(t) {
		t = next
	}
	if limit := now.Add(maxRetryDelay); t.After(limit) {
		return limit
	}
	if s.adapters == nil {
		s.adapters = map[adapter.Ref]time.Time{}
		s.callers = map[string]time.Time{}
	}
	s.adapters[ref] = t
	s.callers[caller] = t
	return t
}

// trim removes the entries whose time has passed.
func (s *retrySchedule) trim(now time.Time) {
	for r, t := range s.adapters {
		if !now.Before(t.Add(retryGrace)) {
			delete(s.adapters, r)
		}
	}
	for caller, t := range s.callers {
		if t.Before(now) {
			delete(s.callers, caller)
		}
	}
}

// due reports whether a load of ref is reserved for now.
func (s *retrySchedule) due(now time.Time, ref adapter.Ref) bool {
	t, ok := s.adapters[ref]
	return ok && !now.Before(t) && now.Before(t.Add(retryGrace))
}
