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
// with the time to come back. Those of one caller are spaced by the measured
// time between loads, times the number of callers that have some, so that the
// times move out as fast as an overload grows, and a flood's do alone. Whoever
// comes back for an adapter in time is served by the one load.
type appointments struct {
	lasts map[string]time.Time // the last one of each caller
	times map[adapter.Ref]time.Time
}

// make returns when the caller should come back for ref, no earlier than again.
func (a *appointments) make(now, again time.Time, ref adapter.Ref, caller string, between time.Duration) time.Time {
	a.trim(now)
	if t, ok := a.times[ref]; ok && !t.Before(again) {
		return t
	}
	callers := len(a.lasts)
	last, ok := a.lasts[caller]
	if !ok {
		callers++
	}
	t := again
	if next := last.Add(promised * between * time.Duration(callers)); ok && next.After(t) {
		t = next
	}
	if limit := now.Add(promiseLimit); t.After(limit) {
		return limit
	}
	if a.times == nil {
		a.times = map[adapter.Ref]time.Time{}
		a.lasts = map[string]time.Time{}
	}
	a.times[ref] = t
	a.lasts[caller] = t
	return t
}

// trim forgets what has passed.
func (a *appointments) trim(now time.Time) {
	for r, t := range a.times {
		if !now.Before(t.Add(promiseKept)) {
			delete(a.times, r)
		}
	}
	for caller, t := range a.lasts {
		if t.Before(now) {
			delete(a.lasts, caller)
		}
	}
}

// due reports whether the time promised for ref has come.
func (a *appointments) due(now time.Time, ref adapter.Ref) bool {
	t, ok := a.times[ref]
	return ok && !now.Before(t) && now.Before(t.Add(promiseKept))
}
