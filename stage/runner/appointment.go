package runner

import (
	"time"

	"jacinthstage/stage/adapter"
)

// How loads are promised to requests that were refused.
const (
	promised     = 2               // one load in so many is promised
	promiseKept  = 5 * time.Second // how long after its time a promise counts
	promiseLimit = 5 * time.Minute // how far ahead loads are promised
)

// Appointments are the loads promised to refused requests: their adapters, each
// with the time to come back. They are spaced by the measured time between
// loads, so that the times move out as fast as an overload grows. Whoever comes
// back for an adapter in time is served by the one load.
type appointments struct {
	last  time.Time
	times map[adapter.Ref]time.Time
}

// make returns when to come back for ref, no earlier than again.
func (a *appointments) make(now, again time.Time, ref adapter.Ref, between time.Duration) time.Time {
	for r, t := range a.times {
		if !now.Before(t.Add(promiseKept)) {
			delete(a.times, r)
		}
	}
	if t, ok := a.times[ref]; ok && !t.Before(again) {
		return t
	}
	t := a.last.Add(promised * between)
	if t.Before(again) {
		t = again
	}
	if limit := now.Add(promiseLimit); t.After(limit) {
		return limit
	}
	if a.times == nil {
		a.times = map[adapter.Ref]time.Time{}
	}
	a.times[ref] = t
	a.last = t
	return t
}

// due reports whether the time promised for ref has come.
func (a *appointments) due(now time.Time, ref adapter.Ref) bool {
	t, ok := a.times[ref]
	return ok && !now.Before(t) && now.Before(t.Add(promiseKept))
}
