package engine

import (
	"slices"
	"strings"
	"time"
)

// A Report describes the engine's state as of CreatedAt, which is ReportLag in the past.
type Report struct {
	Incarnation   string    `json:"incarnation"`
	HighestNumber uint64    `json:"number"` // highest fencing number seen
	CreatedAt     time.Time `json:"made"`   // on the engine's clock
	Slots         []Slot    `json:"slots"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	BatchSlots    int       `json:"places"` // batch size
}

// A Slot is the state of an adapter on the engine.
type Slot struct {
	Adapter  string   `json:"adapter"`
	State    string   `json:"state"` // loading or resident
	Requests []string `json:"requests"`
}

// A reportSnapshot is the report of a state that began at the given time.
type reportSnapshot struct {
	at     time.Time
	report Report
}

// Report returns the engine's state as it was one report lag before now.
func (e *Engine) Report(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.history) == 0 {
		e.recordReport()
	}
	asOf := now.Add(-e.reportLag())
	e.pruneHistory(asOf)
	report := e.history[0].report
	report.CreatedAt = asOf
	if e.history[0].at.After(asOf) {
		report.CreatedAt = e.history[0].at
	}
	return report
}

// reportLag returns the lag set by an admin call, or else ReportLag.
func (e *Engine) reportLag() time.Duration {
	if lag := time.Duration(e.gate.Active().ReportLag); lag > 0 {
		return lag
	}
	return e.ReportLag
}

// recordReport saves the current state for later reports.
func (e *Engine) recordReport() {
	now := time.Now()
	e.history = append(e.history, reportSnapshot{at: now, report: e.currentReport()})
	e.pruneHistory(now.Add(-e.reportLag()))
}

// pruneHistory drops the states that were superseded at or before asOf.
func (e *Engine) pruneHistory(asOf time.Time) {
	for len(e.history) > 1 && !e.history[1].at.After(asOf) {
		e.history = e.history[1:]
	}
}

func (e *Engine) currentReport() Report {
	report := Report{
		Incarnation:   e.Incarnation(),
		HighestNumber: e.highestNumber,
		Slots:         []Slot{},
		Running:       len(e.running),
		Queued:        len(e.queue),
		BatchSlots:    e.Batch,
	}
	for _, s := range e.slots {
		out := Slot{Adapter: s.adapter, State: "loading", Requests: []string{}}
		if s.resident {
			out.State = "resident"
		}
		for id := range s.requests {
			out.Requests = append(out.Requests, id)
		}
		slices.Sort(out.Requests)
		report.Slots = append(report.Slots, out)
	}
	slices.SortFunc(report.Slots, func(a, b Slot) int { return strings.Compare(a.Adapter, b.Adapter) })
	return report
}
