package trial

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// A store is the weight store.
type store struct {
	world       *simulation
	tokens      float64
	refilled    time.Time
	inflight    int
	loads       int // accepted
	maxInflight int // in flight at once
	refused     int // refused over the rate
}

// fetch starts a load and calls done once it has ended.
func (s *store) fetch(done func(ok bool)) {
	d := s.world.deployment
	now := s.world.now
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
	took := d.LoadTime * time.Duration(max(s.inflight, d.FullSpeedLoads)) / time.Duration(d.FullSpeedLoads)
	s.world.after(took, func() {
		s.inflight--
		done(true)
	})
}

// An engine is the model of one runner's engine.
type engine struct {
	world          *simulation
	owner          *owner
	resident       map[adapter.Ref]bool // false while loading
	running        []*runningRequest
	stepping       bool
	incarnation    int
	highestNumber  uint64
	steps          int
	batchSlotsUsed int // sum over the steps of requests in the batch
	evictedInUse   int // unloads under a request
}

type runningRequest struct {
	*request
	remaining        int
	beforeFirstToken bool
}

// admit runs a request, which joins the batch at the next step.
func (e *engine) admit(q *request) bool {
	if !e.resident[q.ref] {
		return false
	}
	e.running = append(e.running, &runningRequest{request: q, remaining: q.tokens, beforeFirstToken: true})
	e.step()
	return true
}

func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	n := len(e.running)
	e.steps++
	e.batchSlotsUsed += n
	incarnation := e.incarnation
	e.world.after(stepBase+time.Duration(n)*stepPerRequest, func() {
		if e.incarnation != incarnation {
			return
		}
		e.stepping = false
		e.advance(n)
		e.step()
	})
}

// advance makes a token for each of the n requests that were in the step.
func (e *engine) advance(n int) {
	kept := e.running[:0]
	for i, r := range e.running {
		if i >= n {
			kept = append(kept, r)
			continue
		}
		if r.beforeFirstToken {
			r.beforeFirstToken = false
			e.world.firstToken(r.request)
		}
		if r.remaining--; r.remaining > 0 {
			kept = append(kept, r)
			continue
		}
		e.world.finish(r.request, e)
	}
	e.running = kept
}

// order carries an order out and answers it.
func (e *engine) order(o runner.Order) {
	incarnation := e.incarnation
	answer := func(a runner.Answer) {
		if e.incarnation == incarnation {
			e.world.after(MessageDelay, func() { e.owner.step(runner.Answered{Number: o.Number, Answer: a}) })
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
	if len(e.resident) >= e.world.deployment.Slots {
		answer(runner.Full)
		return
	}
	e.resident[ref] = false
	incarnation := e.incarnation
	e.world.store.fetch(func(ok bool) {
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
	rep := runner.Report{Number: e.highestNumber, Made: e.world.now, Incarnation: e.name()}
	for ref, loaded := range e.resident {
		o := runner.Occupied{Ref: ref, Loading: !loaded}
		for _, r := range e.running {
			if r.ref == ref {
				o.Requests = append(o.Requests, r.id)
			}
		}
		rep.Slots = append(rep.Slots, o)
	}
	return rep
}

func (e *engine) name() string { return string(rune('A' + e.incarnation%26)) }

// restart empties the engine. Its requests are lost.
func (e *engine) restart() {
	e.incarnation++
	e.stepping = false
	e.highestNumber = 0
	for _, r := range e.running {
		e.world.loseRequest(r.request)
	}
	e.running = nil
	clear(e.resident)
	e.owner.step(runner.Restarted{Incarnation: e.name()})
}
