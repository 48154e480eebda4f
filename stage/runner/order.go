package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// How long an order may take.
const (
	loadLimit   = 3 * time.Second
	unloadLimit = time.Second
	fenceLimit  = time.Second
)

// LoadTimeout is the longest that a load may last: the deadline of its order.
const LoadTimeout = loadLimit

// A pending order is one that has not been answered.
type pending struct {
	Order
	sent time.Time
}

func (r *Runner) number(counter uint32) uint64 { return uint64(r.epoch)<<32 | uint64(counter) }

// next returns the number of the next order. A report that carries it or a
// higher one is made after now.
func (r *Runner) next() uint64 { return r.number(r.counter + 1) }

func (r *Runner) send(now time.Time, kind Kind, ref adapter.Ref, limit time.Duration) {
	r.counter++
	order := Order{Number: r.number(r.counter), Kind: kind, Ref: ref, Deadline: now.Add(limit)}
	r.order = &pending{Order: order, sent: now}
	r.do(order)
}

// command sends the next order, where none is open.
func (r *Runner) command(now time.Time) {
	if r.order != nil || !r.Fenced && r.tenure.lapsed {
		return
	}
	if now.Before(r.hold) {
		r.at(r.hold)
		return
	}
	if r.needed() > r.accepted || r.unproved(now) {
		r.send(now, Fence, adapter.Ref{}, fenceLimit)
		return
	}
	if r.known && r.stopping == "" {
		r.fetch(now)
	}
}

// needed returns the highest number that a report must reach.
func (r *Runner) needed() uint64 {
	need := max(r.first, r.inherit.need)
	for _, n := range r.doubts {
		need = max(need, n)
	}
	for _, j := range r.jobs {
		need = max(need, j.need)
	}
	return need
}

// fetch uses a granted permit: it evicts where it must, then loads.
func (r *Runner) fetch(now time.Time) {
	if r.permit.state != granted {
		return
	}
	ref := r.permit.ref
	switch {
	case !now.Before(r.permit.before) || !r.loadable(ref):
		r.drop(false)
	case r.table.Free() > 0:
		must(r.table.BeginLoad(ref))
		r.permit.state = used
		r.shares.Charge(r.permit.claim.Caller, r.permit.claim.Weight)
		r.send(now, Load, ref, loadLimit)
	default:
		victim, ok := r.victim(now)
		if !ok {
			r.drop(false)
			return
		}
		r.at(r.permit.before)
		must(r.table.BeginEviction(victim))
		r.send(now, Unload, victim, unloadLimit)
	}
}

// answer takes what became of the open order.
func (r *Runner) answer(now time.Time, e Answered) {
	if r.replaced(e.Incarnation) || r.order == nil || r.order.Number != e.Number {
		return
	}
	order := r.order
	r.order = nil
	switch e.Answer {
	case Unanswered:
		r.unanswered(order)
		return
	case Fenced:
		r.fenced(order, e.HighestNumber)
		return
	case Done:
		r.prove(now, order)
	}
	switch order.Kind {
	case Load:
		r.loaded(now, order, e.Answer)
	case Unload:
		r.unloaded(order, e.Answer)
	}
}

// replaced notes the incarnation that an answer or a report names, and reports
// whether it is not the present one.
func (r *Runner) replaced(incarnation string) bool {
	if incarnation == "" || incarnation == r.incarnation {
		return false
	}
	for _, old := range r.past {
		if old == incarnation {
			return true
		}
	}
	if r.incarnation == "" {
		r.incarnation = incarnation
		return false
	}
	r.restart(incarnation)
	return true
}

// prove takes the engine's acceptance of a number. It allows admissions counted
// from the order's sending, and starts the wait for the earlier owner's last
// ones counted from the answer: the acceptance lies between the two.
func (r *Runner) prove(now time.Time, order *pending) {
	r.accepted = max(r.accepted, order.Number)
	r.tenure.proof = order.sent.Add(AcceptanceTTL)
	if r.inherit.active && r.inherit.window.IsZero() {
		r.inherit.window = now.Add(AcceptanceTTL + SendWindow + settle)
	}
}

// unanswered puts the order's slot in doubt until a report made after a later order.
func (r *Runner) unanswered(order *pending) {
	if order.Kind == Fence {
		return
	}
	if !r.Fenced {
		r.hold = order.Deadline
	}
	must(r.table.MarkUncertain(order.Ref))
	r.doubts[order.Ref] = r.next()
}

// fenced takes a refusal for the number: of another owner, or because an
// earlier order of this owner, resent or late, came first.
func (r *Runner) fenced(order *pending, highest uint64) {
	if highest>>32 > uint64(r.epoch) {
		r.supersede(highest)
		return
	}
	if uint32(highest) > r.counter {
		r.counter = uint32(highest)
	}
	switch order.Kind {
	case Load:
		must(r.table.Clear(order.Ref))
		r.drop(true)
	case Unload:
		must(r.table.CancelEviction(order.Ref))
	}
}

func (r *Runner) loaded(now time.Time, order *pending, answer Answer) {
	switch answer {
	case Done:
		must(r.table.FinishLoad(order.Ref))
		if r.inherit.active {
			// The earlier owner may learn of it from a report and admit requests.
			must(r.table.PinReported(order.Ref, inherited(order.Ref)))
		}
		delete(r.failures, order.Ref)
		g, more := r.choose(now)
		r.pace.load(now, order.sent, more, more && !r.over(g))
	case Full:
		must(r.table.Clear(order.Ref))
		r.fail(now, order.Ref)
		r.reread()
	default:
		must(r.table.Clear(order.Ref))
		r.fail(now, order.Ref)
	}
	r.drop(true)
}

func (r *Runner) unloaded(order *pending, answer Answer) {
	delete(r.closing, order.Ref)
	switch answer {
	case Done, Missing:
		must(r.table.Clear(order.Ref))
	default:
		must(r.table.CancelEviction(order.Ref))
	}
}

// reread asks what is resident: the engine differs from the table.
func (r *Runner) reread() {
	r.known = false
	r.first = r.next()
}

// loadable reports whether a load of ref would serve a request.
func (r *Runner) loadable(ref adapter.Ref) bool {
	return r.table.State(ref) == slot.Empty && r.queue.Group(ref).Waiting > 0
}
