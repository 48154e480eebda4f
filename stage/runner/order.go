package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// How long an order may take.
const (
	loadTimeout   = 3 * time.Second
	unloadTimeout = time.Second
	fenceTimeout  = time.Second
)

// LoadTimeout is the longest time that a load may take: its order expires then.
const LoadTimeout = loadTimeout

// A pending order is one that has not been answered.
type pending struct {
	Order
	sent time.Time
}

func (r *Runner) number(counter uint32) uint64 { return uint64(r.epoch)<<32 | uint64(counter) }

// nextNumber returns the number of the next order. A report that carries this
// number or a higher one was made after now.
func (r *Runner) nextNumber() uint64 { return r.number(r.counter + 1) }

func (r *Runner) sendOrder(now time.Time, kind Kind, ref adapter.Ref, timeout time.Duration) {
	r.counter++
	order := Order{Number: r.number(r.counter), Kind: kind, Ref: ref, Deadline: now.Add(timeout)}
	r.order = &pending{Order: order, sent: now}
	r.emit(order)
}

// sendNextOrder sends the next order unless one is open.
func (r *Runner) sendNextOrder(now time.Time) {
	if r.order != nil || !r.Fenced && r.authority.leaseExpired {
		return
	}
	if now.Before(r.noOrderBefore) {
		r.wakeAt(r.noOrderBefore)
		return
	}
	if r.requiredNumber() > r.highestAccepted || r.needsAcceptance(now) {
		r.sendOrder(now, Fence, adapter.Ref{}, fenceTimeout)
		return
	}
	if r.residencyKnown && r.stopping == "" {
		r.usePermit(now)
	}
}

// requiredNumber returns the number that a report must reach to resolve every
// uncertainty about the engine.
func (r *Runner) requiredNumber() uint64 {
	required := max(r.minReport, r.takeover.minReport)
	for _, n := range r.uncertain {
		required = max(required, n)
	}
	for _, j := range r.jobs {
		required = max(required, j.minReport)
	}
	return required
}

// usePermit uses a granted permit: it loads the adapter, and first evicts
// another one if no slot is free.
func (r *Runner) usePermit(now time.Time) {
	if r.permit.state != permitHeld {
		return
	}
	ref := r.permit.ref
	switch {
	case !now.Before(r.permit.expires) || !r.loadNeeded(ref):
		r.returnPermit(false)
	case r.table.Free() > 0:
		must(r.table.BeginLoad(ref))
		r.permit.state = permitUsed
		r.loadLevels.Charge(r.permit.caller.Caller, r.permit.caller.Weight)
		r.sendOrder(now, Load, ref, loadTimeout)
	default:
		victim, ok := r.victim(now)
		if !ok {
			r.returnPermit(false)
			return
		}
		r.wakeAt(r.permit.expires)
		must(r.table.BeginEviction(victim))
		r.sendOrder(now, Unload, victim, unloadTimeout)
	}
}

// orderAnswered handles the result of the open order.
func (r *Runner) orderAnswered(now time.Time, e Answered) {
	if r.otherIncarnation(e.Incarnation) || r.order == nil || r.order.Number != e.Number {
		return
	}
	order := r.order
	r.order = nil
	switch e.Answer {
	case Unanswered:
		r.orderUnanswered(order)
		return
	case Fenced:
		r.orderFenced(order, e.HighestNumber)
		return
	case Done:
		r.orderAccepted(now, order)
	}
	switch order.Kind {
	case Load:
		r.loadAnswered(now, order, e.Answer)
	case Unload:
		r.unloadAnswered(order, e.Answer)
	}
}

// otherIncarnation records the incarnation named by an answer or a report, and
// reports whether it differs from the one known until then.
func (r *Runner) otherIncarnation(incarnation string) bool {
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
	r.engineRestarted(incarnation)
	return true
}

// orderAccepted records that the engine accepted the number of an order. The
// acceptance happened between the sending of the order and its answer. It
// therefore allows admissions counted from the sending, and starts the wait for
// the last admissions of the previous owner counted from the answer.
func (r *Runner) orderAccepted(now time.Time, order *pending) {
	r.highestAccepted = max(r.highestAccepted, order.Number)
	r.authority.acceptanceEnd = order.sent.Add(AcceptanceTTL)
	if r.takeover.active && r.takeover.ownerStopped.IsZero() {
		r.takeover.ownerStopped = now.Add(AcceptanceTTL + SendWindow + takeoverMargin)
	}
}

// orderUnanswered marks the slot of the order as uncertain until a report arrives
// that was made after a later order.
func (r *Runner) orderUnanswered(order *pending) {
	if order.Kind == Fence {
		return
	}
	if !r.Fenced {
		r.noOrderBefore = order.Deadline
	}
	must(r.table.MarkUncertain(order.Ref))
	r.uncertain[order.Ref] = r.nextNumber()
}

// orderFenced handles an order that the engine refused for its number: either
// another owner has a higher epoch, or an earlier order of this owner, resent or
// late, was accepted first.
func (r *Runner) orderFenced(order *pending, highest uint64) {
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
		r.returnPermit(true)
	case Unload:
		must(r.table.CancelEviction(order.Ref))
	}
}

func (r *Runner) loadAnswered(now time.Time, order *pending, answer Answer) {
	switch answer {
	case Done:
		must(r.table.FinishLoad(order.Ref))
		if r.takeover.active {
			// The previous owner may see the adapter in a report and admit requests to it.
			must(r.table.PinReported(order.Ref, takeoverPin(order.Ref)))
		}
		delete(r.failures, order.Ref)
		g, more := r.nextLoad(now)
		r.estimates.loadEnded(now, order.sent, more, more && !r.overShare(g))
	case Full:
		must(r.table.Clear(order.Ref))
		r.loadFailed(now, order.Ref)
		r.refreshResidency()
	default:
		must(r.table.Clear(order.Ref))
		r.loadFailed(now, order.Ref)
	}
	r.returnPermit(true)
}

func (r *Runner) unloadAnswered(order *pending, answer Answer) {
	delete(r.closing, order.Ref)
	switch answer {
	case Done, Missing:
		must(r.table.Clear(order.Ref))
	default:
		must(r.table.CancelEviction(order.Ref))
	}
}

// refreshResidency discards the knowledge of what is resident, because the
// engine differs from the table. The next report provides it again.
func (r *Runner) refreshResidency() {
	r.residencyKnown = false
	r.minReport = r.nextNumber()
}

// loadNeeded reports whether a load of ref would serve a request.
func (r *Runner) loadNeeded(ref adapter.Ref) bool {
	return r.table.State(ref) == slot.Empty && r.queue.Group(ref).Waiting > 0
}
