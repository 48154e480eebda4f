package engine

import (
	"slices"
	"strings"
	"time"
)

// A Report is what the engine says of itself, late by its lag.
type Report struct {
	Incarnation string    `json:"incarnation"`
	Number      uint64    `json:"number"` // highest number seen
	Made        time.Time `json:"made"`   // on the engine's clock
	Slots       []Slot    `json:"slots"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Places      int       `json:"places"` // size of the batch
}

// A Slot is the state of an adapter on the engine.
type Slot struct {
	Adapter  string   `json:"adapter"`
	State    string   `json:"state"` // loading or resident
	Requests []string `json:"requests"`
}

type snapshot struct {
	at     time.Time
	report Report
}

// Report returns the engine's state as it was a lag ago.
func (e *Engine) Report(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.past) == 0 {
		e.record()
	}
	then := now.Add(-e.lag())
	e.prune(then)
	report := e.past[0].report
	report.Made = then
	if e.past[0].at.After(then) {
		report.Made = e.past[0].at
	}
	return report
}

func (e *Engine) lag() time.Duration {
	if lag := time.Duration(e.gate.Set().Lag); lag > 0 {
		return lag
	}
	return e.Lag
}

// record keeps the present state for reports to come.
func (e *Engine) record() {
	now := time.Now()
	e.past = append(e.past, snapshot{at: now, report: e.state()})
	e.prune(now.Add(-e.lag()))
}

// prune drops the states that were replaced at or before then.
func (e *Engine) prune(then time.Time) {
	for len(e.past) > 1 && !e.past[1].at.After(then) {
		e.past = e.past[1:]
	}
}

func (e *Engine) state() Report {
	report := Report{
		Incarnation: e.Incarnation(),
		Number:      e.highest,
		Slots:       []Slot{},
		Running:     len(e.running),
		Queued:      len(e.queue),
		Places:      e.Batch,
	}
	for _, s := range e.slots {
		shown := Slot{Adapter: s.adapter, State: "loading", Requests: []string{}}
		if s.resident {
			shown.State = "resident"
		}
		for id := range s.requests {
			shown.Requests = append(shown.Requests, id)
		}
		slices.Sort(shown.Requests)
		report.Slots = append(report.Slots, shown)
	}
	slices.SortFunc(report.Slots, func(a, b Slot) int { return strings.Compare(a.Adapter, b.Adapter) })
	return report
}
