package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// A permit is the weight store's permission for one load, requested or granted.
type permit struct {
	state   permitState
	ref     adapter.Ref
	waiting int                // waiting requests as last reported to the grantor
	caller  queue.CallerWeight // the caller to which the load is charged
	expires time.Time          // when a granted permit expires
}

type permitState uint8

const (
	noPermit permitState = iota
	permitRequested
	permitHeld
	permitUsed
)

// requestPermit requests the permit for the load that the policy puts first.
func (r *Runner) requestPermit(now time.Time) {
	if !r.residencyKnown || r.stopping != "" || r.permit.state == permitHeld || r.permit.state == permitUsed {
		return
	}
	g, ok := r.nextLoad(now)
	if !ok {
		r.reopenSlots(now)
		r.returnPermit(false)
		return
	}
	if !r.makeRoom(now, g) {
		return
	}
	if r.permit.state == permitRequested && r.permit.ref != g.Ref {
		r.returnPermit(false)
	}
	if r.permit.state == permitRequested && r.permit.waiting == g.Waiting {
		return
	}
	r.permit = permit{state: permitRequested, ref: g.Ref, waiting: g.Waiting, caller: g.caller}
	r.emit(RequestPermit{Ref: g.Ref, Waiting: g.Waiting, Deadline: g.Deadline, Caller: g.caller.Caller, Weight: g.caller.Weight})
}

// makeRoom reports whether a load could start. If every slot is pinned, it
// closes the one that the policy evicts first, so that it drains.
func (r *Runner) makeRoom(now time.Time, g group) bool {
	victim, ok := r.victim(now)
	if r.table.Free() > 0 || ok && !r.closing[victim] {
		r.reopenSlots(now)
		return true
	}
	if ok {
		return true
	}
	r.closeSlot(now, g)
	return false
}

// reopenSlots lets closing slots admit requests again when no load needs them.
func (r *Runner) reopenSlots(now time.Time) {
	if len(r.closing) > 0 {
		clear(r.closing)
		r.wakeAt(now)
	}
}

// returnPermit withdraws the permit request or returns the permit. ended reports
// whether a load that was started under the permit has ended.
func (r *Runner) returnPermit(ended bool) {
	if r.permit.state != noPermit {
		r.emit(ReturnPermit{Ref: r.permit.ref, Used: r.permit.state == permitUsed && ended})
	}
	r.permit = permit{}
}

func (r *Runner) permitGranted(now time.Time, e PermitGranted) {
	if !r.owned || r.permit.state != permitRequested || r.permit.ref != e.Ref || !now.Before(e.Expires) {
		r.emit(ReturnPermit{Ref: e.Ref})
		if r.permit.state == permitRequested && r.permit.ref == e.Ref {
			r.permit = permit{}
		}
		return
	}
	r.permit.state, r.permit.expires = permitHeld, e.Expires
}

func (r *Runner) permitDenied(now time.Time, e PermitDenied) {
	if r.permit.state != permitRequested || r.permit.ref != e.Ref {
		return
	}
	r.permit = permit{}
	r.denied[e.Ref] = e.RetryAt
	for ref, retryAt := range r.denied {
		if !now.Before(retryAt) {
			delete(r.denied, ref)
		}
	}
}

// A failure records the failed loads of an adapter.
type failure struct {
	count   int
	retryAt time.Time // when to try the next load
}

// How failed loads are retried.
const (
	failureBackoff    = time.Second      // after the first failure, doubled after each further one
	maxFailureBackoff = 30 * time.Second // the longest wait between two loads
	maxFailures       = 3                // consecutive failures after which requests are refused
)

func (f failure) final() bool { return f.count >= maxFailures }

func (f failure) refusal(ref adapter.Ref) *verdict.Error {
	err := verdict.Refuse(verdict.Unavailable, "loads of %s fail", ref)
	err.RetryAt = f.retryAt
	return err
}

// loadFailed records a failed load of ref and, after maxFailures in a row,
// refuses the requests that wait for ref.
func (r *Runner) loadFailed(now time.Time, ref adapter.Ref) {
	f := r.failures[ref]
	wait := min(failureBackoff<<min(f.count, 8), maxFailureBackoff)
	f.count++
	f.retryAt = now.Add(wait)
	r.failures[ref] = f
	if !f.final() {
		return
	}
	for _, item := range r.queue.All() {
		if item.Ref == ref {
			r.queue.Remove(item.ID)
			r.refuse(item.ID, f.refusal(ref))
		}
	}
}

// blockedUntil returns until when no permit may be requested for ref, because a
// load failed or a permit was denied.
func (r *Runner) blockedUntil(ref adapter.Ref) time.Time {
	until := r.failures[ref].retryAt
	if d := r.denied[ref]; d.After(until) {
		until = d
	}
	return until
}

// evictable returns the resident adapters that no request pins.
func (r *Runner) evictable() []adapter.Ref {
	refs := r.table.InState(slot.Resident)
	out := refs[:0]
	for _, ref := range refs {
		if r.table.PinCount(ref) == 0 {
			out = append(out, ref)
		}
	}
	return out
}
