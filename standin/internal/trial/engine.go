package trial

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// A store is the weight store.
type store struct {
	world  *world
	tokens float64
	filled time.Time
	flight int
	loads  int // accepted
	most   int // in flight at once
	over   int // refused over the rate
}

// fetch starts a load and calls done once it has ended.
func (s *store) fetch(done func(ok bool)) {
	d := s.world.deployment
	now := s.world.now
	s.tokens = min(s.tokens+d.Rate*now.Sub(s.filled).Seconds(), d.Rate)
	s.filled = now
	if s.tokens < 1 {
		s.over++
		done(false)
		return
	}
	s.tokens--
	s.flight++
	s.loads++
	s.most = max(s.most, s.flight)
	took := d.Load * time.Duration(max(s.flight, d.Flight)) / time.Duration(d.Flight)
	s.world.after(took, func() {
		s.flight--
		done(true)
	})
}

// An engine is the model of one runner's engine.
type engine struct {
	world       *world
	owner       *owner
	resident    map[adapter.Ref]bool // false while loading
	running     []*run
	stepping    bool
	incarnation int
	highest     uint64
	steps       int
	filled      int // sum over the steps of requests in the batch
	evicted     int // unloads under a request
}

type run struct {
	*request
	left  int
	first bool
}

// admit runs a request, which joins the batch at the next step.
func (e *engine) admit(q *request) bool {
	if !e.resident[q.ref] {
		return false
	}
	e.running = append(e.running, &run{request: q, left: q.tokens, first: true})
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
	e.filled += n
	incarnation := e.incarnation
	e.world.after(stepBase+time.Duration(n)*stepEach, func() {
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
		if r.first {
			r.first = false
			e.world.began(r.request)
		}
		if r.left--; r.left > 0 {
			kept = append(kept, r)
			continue
		}
		e.world.served(r.request, e)
	}
	e.running = kept
}

// order carries an order out and answers it.
func (e *engine) order(o runner.Order) {
	incarnation := e.incarnation
	answer := func(a runner.Answer) {
		if e.incarnation == incarnation {
			e.world.after(Delay, func() { e.owner.step(runner.Answered{Number: o.Number, Answer: a}) })
		}
	}
	if o.Number <= e.highest {
		answer(runner.Fenced)
		return
	}
	e.highest = o.Number
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
			e.evicted++
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
	rep := runner.Report{Number: e.highest, CreatedAt: e.world.now, Incarnation: e.name()}
	for ref, loaded := range e.resident {
		o := runner.OccupiedSlot{Ref: ref, Loading: !loaded}
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
	e.highest = 0
	for _, r := range e.running {
		e.world.broken(r.request)
	}
	e.running = nil
	clear(e.resident)
	e.owner.step(runner.EngineRestarted{Incarnation: e.name()})
}
