package trial

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// A store simulates the weight store.
type store struct {
	sim         *simulation
	tokens      float64
	refilled    time.Time
	inflight    int
	loads       int // loads accepted
	maxInflight int // highest number of concurrent loads
	refused     int // loads refused over the rate
}

// fetch starts a load and calls done when it ends, or at once with false if the
// load is over the rate. With more than FullSpeedLoads in flight, a load takes
// proportionally longer.
func (s *store) fetch(done func(ok bool)) {
	d := s.sim.deployment
	now := s.sim.now
	s.tokens = min(s.tokens+d.LoadRate*now.Sub(s.refilled).Seconds(), d.LoadRate)
	s.refilled = now
	if s.tokens < 1 {
		s.refused++
		done(false)
		return
	}
	s.tokens--
	s.inflight++
	s.loads++
	s.maxInflight = max(s.maxInflight, s.inflight)
	duration := d.LoadTime * time.Duration(max(s.inflight, d.FullSpeedLoads)) / time.Duration(d.FullSpeedLoads)
	s.sim.after(duration, func() {
		s.inflight--
		done(true)
	})
}

// An engine simulates the engine of one runner.
type engine struct {
	sim            *simulation
	owner          *owner
	resident       map[adapter.Ref]bool // false while loading
	running        []*runningRequest
	stepping       bool
	incarnation    int
	highestNumber  uint64
	steps          int
	batchSlotsUsed int // sum over all steps of the requests in the batch
	evictedInUse   int // running requests whose adapter was unloaded
}

// A runningRequest is a request in the batch.
type runningRequest struct {
	*request
	remaining        int
	beforeFirstToken bool
}

// admit adds a request to the batch of the next step. It returns false if the
// adapter is not resident.
func (e *engine) admit(q *request) bool {
	if !e.resident[q.ref] {
		return false
	}
	e.running = append(e.running, &runningRequest{request: q, remaining: q.tokens, beforeFirstToken: true})
	e.step()
	return true
}

// step starts a step unless one is in progress or the batch is empty.
func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	n := len(e.running)
	e.steps++
	e.batchSlotsUsed += n
	incarnation := e.incarnation
	e.sim.after(stepBase+time.Duration(n)*stepPerRequest, func() {
		if e.incarnation != incarnation {
			return
		}
		e.stepping = false
		e.advance(n)
		e.step()
	})
}

// advance generates a token for each of the n requests that were in the step.
func (e *engine) advance(n int) {
	remaining := e.running[:0]
	for i, r := range e.running {
		if i >= n {
			remaining = append(remaining, r)
			continue
		}
		if r.beforeFirstToken {
			r.beforeFirstToken = false
			e.sim.firstToken(r.request)
		}
		if r.remaining--; r.remaining > 0 {
			remaining = append(remaining, r)
			continue
		}
		e.sim.finish(r.request, e)
	}
	e.running = remaining
}

// order executes an order and sends the answer, unless the engine restarts before
// the order is done.
func (e *engine) order(o runner.Order) {
	incarnation := e.incarnation
	answer := func(a runner.Answer) {
		if e.incarnation == incarnation {
			e.sim.after(MessageDelay, func() { e.owner.step(runner.Answered{Number: o.Number, Answer: a}) })
		}
	}
	if o.Number <= e.highestNumber {
		answer(runner.Fenced)
		return
	}
	e.highestNumber = o.Number
	switch o.Kind {
	case runner.Fence:
		answer(runner.Done)
	case runner.Unload:
		e.unload(o.Ref)
		answer(runner.Done)
	case runner.Load:
		e.load(o.Ref, answer)
	}
}

func (e *engine) unload(ref adapter.Ref) {
	for _, r := range e.running {
		if r.ref == ref {
			e.evictedInUse++
		}
	}
	delete(e.resident, ref)
}

func (e *engine) load(ref adapter.Ref, answer func(runner.Answer)) {
	if len(e.resident) >= e.sim.deployment.Slots {
		answer(runner.Full)
		return
	}
	e.resident[ref] = false
	incarnation := e.incarnation
	e.sim.store.fetch(func(ok bool) {
		if e.incarnation != incarnation {
			return
		}
		if !ok {
			delete(e.resident, ref)
			answer(runner.Failed)
			return
		}
		e.resident[ref] = true
		answer(runner.Done)
	})
}

func (e *engine) report() runner.Report {
	report := runner.Report{Number: e.highestNumber, CreatedAt: e.sim.now, Incarnation: e.name()}
	for ref, loaded := range e.resident {
		occupied := runner.OccupiedSlot{Ref: ref, Loading: !loaded}
		for _, r := range e.running {
			if r.ref == ref {
				occupied.Requests = append(occupied.Requests, r.id)
			}
		}
		report.Slots = append(report.Slots, occupied)
	}
	return report
}

func (e *engine) name() string { return string(rune('A' + e.incarnation%26)) }

// restart begins a new incarnation with empty slots. The running requests are
// lost.
func (e *engine) restart() {
	e.incarnation++
	e.stepping = false
	e.highestNumber = 0
	for _, r := range e.running {
		e.sim.loseRequest(r.request)
	}
	e.running = nil
	clear(e.resident)
	e.owner.step(runner.EngineRestarted{Incarnation: e.name()})
}
