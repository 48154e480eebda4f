package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// A permit is the weight store's leave for one load, wanted or had.
type permit struct {
	state   permitState
	ref     adapter.Ref
	waiting int                // as last asked
	claim   queue.CallerWeight // whom the load counts for
	before  time.Time          // when a granted one lapses
}

type permitState uint8

const (
	none permitState = iota
	asked
	granted
	used
)

// want asks for the permit of the load that is worth most.
func (r *Runner) want(now time.Time) {
	if !r.known || r.stopping != "" || r.permit.state == granted || r.permit.state == used {
		return
	}
	g, ok := r.choose(now)
	if !ok {
		r.reopen(now)
		r.drop(false)
		return
	}
	if !r.room(now, g) {
		return
	}
	if r.permit.state == asked && r.permit.ref != g.Ref {
		r.drop(false)
	}
	if r.permit.state == asked && r.permit.waiting == g.Waiting {
		return
	}
	r.permit = permit{state: asked, ref: g.Ref, waiting: g.Waiting, claim: g.claim}
	r.do(RequestPermit{Ref: g.Ref, Waiting: g.Waiting, Deadline: g.Deadline, Caller: g.claim.Caller, Weight: g.claim.Weight})
}

// room reports whether a load could start. Where every slot is pinned it closes
// the one that is worth least, so that it drains.
func (r *Runner) room(now time.Time, g group) bool {
	victim, ok := r.victim(now)
	if r.table.Free() > 0 || ok && !r.closing[victim] {
		r.reopen(now)
		return true
	}
	if ok {
		return true
	}
	r.drain(now, g)
	return false
}

// reopen lets closed slots admit again: no load needs them.
func (r *Runner) reopen(now time.Time) {
	if len(r.closing) > 0 {
		clear(r.closing)
		r.at(now)
	}
}

// drop ends the Ask or gives the permit back.
func (r *Runner) drop(spent bool) {
	if r.permit.state != none {
		r.do(ReturnPermit{Ref: r.permit.ref, Used: r.permit.state == used && spent})
	}
	r.permit = permit{}
}

func (r *Runner) grant(now time.Time, e PermitGranted) {
	if !r.owned || r.permit.state != asked || r.permit.ref != e.Ref || !now.Before(e.Expires) {
		r.do(ReturnPermit{Ref: e.Ref})
		if r.permit.state == asked && r.permit.ref == e.Ref {
			r.permit = permit{}
		}
		return
	}
	r.permit.state, r.permit.before = granted, e.Expires
}

func (r *Runner) deny(now time.Time, e PermitDenied) {
	if r.permit.state != asked || r.permit.ref != e.Ref {
		return
	}
	r.permit = permit{}
	r.denied[e.Ref] = e.RetryAt
	for ref, again := range r.denied {
		if !now.Before(again) {
			delete(r.denied, ref)
		}
	}
}

// A failure is what is known of loads of an adapter that failed.
type failure struct {
	count int
	again time.Time // when to try next
}

// How failed loads are tried again.
const (
	failAgain = time.Second      // after the first failure, doubled by each more
	failMost  = 30 * time.Second // longest wait
	failFinal = 3                // failures in a row after which requests are refused
)

func (f failure) final() bool { return f.count >= failFinal }

func (f failure) refusal(ref adapter.Ref) *verdict.Error {
	err := verdict.Refuse(verdict.Unavailable, "loads of %s fail", ref)
	err.RetryAt = f.again
	return err
}

func (r *Runner) fail(now time.Time, ref adapter.Ref) {
	f := r.failures[ref]
	wait := min(failAgain<<min(f.count, 8), failMost)
	f.count++
	f.again = now.Add(wait)
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

// blocked returns until when ref must not be asked for.
func (r *Runner) blocked(ref adapter.Ref) time.Time {
	until := r.failures[ref].again
	if d := r.denied[ref]; d.After(until) {
		until = d
	}
	return until
}

// evictable returns the resident adapters without a pin.
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
