// Package usage counts what one host does with the adapters of one runner that another host owns: the requests that use
// them, of which the owner is told, and the loads that it asked the owner for.
package usage

import (
	"maps"
	"time"

	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
)

// A use counts requests for one adapter: open those in progress, started those that began since the last report.
type use struct{ open, started int }

// Adapters counts requests by adapter. The zero value is ready to use.
type Adapters struct{ uses map[residency.Key]*use }

// Begin counts a request for an adapter.
func (a *Adapters) Begin(k residency.Key) {
	if a.uses == nil {
		a.uses = make(map[residency.Key]*use)
	}
	u := a.uses[k]
	if u == nil {
		u = &use{}
		a.uses[k] = u
	}
	u.open++
	u.started++
}

// End counts the end of a request that Begin counted.
func (a *Adapters) End(k residency.Key) {
	if u := a.uses[k]; u != nil && u.open > 0 {
		u.open--
	}
}

// IsEmpty reports whether there is nothing to report.
func (a *Adapters) IsEmpty() bool { return len(a.uses) == 0 }

// Report returns the uses of a runner's adapters for its owner and starts a new reporting period.
func (a *Adapters) Report(owner, runner string) []relay.AdapterUse {
	out := make([]relay.AdapterUse, 0, len(a.uses))
	for k, u := range a.uses {
		out = append(out, relay.AdapterUse{Owner: owner, Runner: runner, Model: k.Model, Adapter: k.Adapter, InProgress: u.open, Started: u.started})
		u.started = 0
	}
	a.DropEnded()
	return out
}

// DropEnded drops the adapters that have no request in progress. It is called once their use was reported or needs no
// report.
func (a *Adapters) DropEnded() {
	maps.DeleteFunc(a.uses, func(_ residency.Key, u *use) bool { return u.open == 0 })
}

const (
	// loadingAge is how long after a load request the adapter is assumed to be loading.
	loadingAge = 600 * time.Millisecond
	// slotReportDelay is the usual age of a runner's reported adapter slots.
	slotReportDelay = 250 * time.Millisecond
)

// Loads are the requests for loads that the runner's owner was sent. The zero value is ready to use.
type Loads struct{ requestedAt map[residency.Key]time.Time }

// Note records that the owner is asked to load an adapter.
func (l *Loads) Note(now time.Time, k residency.Key) {
	if l.requestedAt == nil {
		l.requestedAt = make(map[residency.Key]time.Time)
	}
	maps.DeleteFunc(l.requestedAt, func(_ residency.Key, at time.Time) bool { return now.Sub(at) >= loadingAge })
	if _, ok := l.requestedAt[k]; !ok {
		l.requestedAt[k] = now
	}
}

// Answered records that the owner has answered for an adapter.
func (l *Loads) Answered(k residency.Key) { delete(l.requestedAt, k) }

// Requested reports for how long an adapter has been loading. It returns false if it isn't.
func (l *Loads) Requested(now time.Time, k residency.Key) (time.Duration, bool) {
	at, ok := l.requestedAt[k]
	age := now.Sub(at)
	return age, ok && age < loadingAge
}

// Unreported returns the number of other adapters that were requested so recently that the reported adapter slots of the
// runner don't count them yet.
func (l *Loads) Unreported(now time.Time, k residency.Key) int {
	n := 0
	for other, at := range l.requestedAt {
		if other != k && now.Sub(at) < slotReportDelay {
			n++
		}
	}
	return n
}
