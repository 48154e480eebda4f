package dispatch

import (
	"math/rand/v2"
	"time"

	"jacinthstage/stage/admission"
	"jacinthstage/stage/relay"
)

// maxSlotsShare is the part of its latency objective within which the answer to a request must be
// expected for it to have found room. The rest covers the error of the estimate.
const maxSlotsShare = 0.75

// admits decides whether a request may use the target that was found for it, if other requests for its
// service may have to go first. If it may not, best has the refusal. What was decided before isn't
// decided again.
func (d *Dispatcher) admits(now time.Time, r Request, best *candidate) bool {
	if r.Admitted || r.InProgress || !d.config.Contended() {
		return true
	}
	if best.load {
		short := best.slotWait > 0 && d.loadTooSlow(now, r, best)
		if passed := d.ask(now, r.admission(admission.Places, 1), best, short); !passed || short {
			return passed // without a place it takes no slot
		}
	}
	return d.ask(now, r.admission(admission.Slots, best.target.takenBy(r)), best, d.slotsShort(now, r, best))
}

// admission returns the request as the admission counts it.
func (r Request) admission(pool admission.Pool, work float64) admission.Request {
	return admission.Request{Service: r.Service, Pool: pool, Rank: r.Priority, Account: r.Account, Work: work}
}

// takenBy returns what a request takes of a target.
func (t *target) takenBy(r Request) float64 {
	if !r.needsEngine() {
		return 1
	}
	return admission.Work(r.Call.InputTokens-t.prefixCache.CachedTokens(r.Call, r.prefixKeys), r.Call.MaxOutputTokens)
}

// ask asks for room. short says that the request finds none in time even if it may pass.
func (d *Dispatcher) ask(now time.Time, r admission.Request, best *candidate, short bool) bool {
	decision := d.admission.Ask(now, r, rand.Float64())
	if !decision.Pass {
		best.refusal = Refuse{Reason: "others have the " + r.Pool.String(), RetryAfter: decision.RetryAfter, Admission: true, Pool: r.Pool}
	} else if short {
		d.admission.FoundNone(now, r)
	}
	return decision.Pass
}

// slotsShort reports whether a request is hardly in time since the slots of its targets are taken:
// the best of them has less than half of its slots left. An answer that is late for another reason
// comes no sooner if others are refused, and one whose objective has passed or is missing tells nothing.
func (d *Dispatcher) slotsShort(now time.Time, r Request, c *candidate) bool {
	left := r.Objective.Sub(now)
	if left <= 0 || c.load || c.target.Slots <= 0 || float64(c.latency) <= maxSlotsShare*float64(left) {
		return false
	}
	running, _ := d.running(now, c.target)
	return 2*running >= c.target.Slots
}

// rejectedForRoom counts an attempt that its target rejected since its queue is full.
func (d *Dispatcher) rejectedForRoom(now time.Time, r Request) {
	if d.config.Contended() {
		d.admission.FoundNone(now, r.admission(admission.Slots, 0))
	}
}

// leaves counts that an attempt has had its room in a pool: an adapter has its place once the target
// answers.
func (a *Attempt) leaves(now time.Time, pool admission.Pool) {
	d, work := a.dispatcher, a.taken
	if !d.config.Contended() {
		return
	}
	if pool == admission.Places {
		if a.Loaded == nil && (a.Owner.Host == "" || a.Confirm) {
			return
		}
		work = 1
	}
	d.admission.Ended(now, a.request.admission(pool, work))
}

// WaitForRoom returns when a refused request is to poll for room once more, with the place in the queue
// of its service that it has got if w is nil. It returns false if it is to be refused now.
func (d *Dispatcher) WaitForRoom(now time.Time, r Request, refused Refuse, w *admission.Waiter) (*admission.Waiter, time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !refused.MayWait || !d.config.Contended() {
		return w, time.Time{}, false
	}
	if d.queues == nil {
		d.queues = make(map[string]*admission.Queue)
	}
	queue := d.queues[r.Service]
	if queue == nil {
		queue = &admission.Queue{}
		d.queues[r.Service] = queue
	}
	if w == nil {
		var ok bool
		if w, ok = queue.Join(now, r.Priority, r.Objective, r.Deadline); !ok {
			return nil, time.Time{}, false
		}
	}
	next, ok := queue.Next(now, w)
	return w, next, ok
}

// EndWait takes a request out of the queue of its service. w may be nil.
func (d *Dispatcher) EndWait(service string, w *admission.Waiter) {
	if w == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queues[service].Leave(w)
}

// Admissions returns what to tell another host of the demand for room that is short.
func (d *Dispatcher) Admissions(now time.Time, to string, direction relay.Direction) []admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admission.Reports(now, to, direction == relay.ToReporter)
}

// LearnAdmissions takes in what another host told of it. reporter says that the other host reports
// to this one.
func (d *Dispatcher) LearnAdmissions(now time.Time, from string, reporter bool, all []admission.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Learn(now, from, reporter, all)
}

// AdmissionChanges returns how what is refused has changed since it was last called, and the part of
// the demand for each kind of room that has it.
func (d *Dispatcher) AdmissionChanges(now time.Time) ([]admission.Change, []admission.Level) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admission.Changes(now), d.admission.Levels(now)
}
