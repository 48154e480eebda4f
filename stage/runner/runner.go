// Package runner decides for one runner, at the host that owns it: which
// waiting request is admitted, which adapter is loaded, and which is evicted.
//
// A Runner takes events and returns actions. Its invariants:
//
//   - A request's adapter is pinned before the request is admitted, and until it
//     was served, a cancel was confirmed, a later report shows it gone, or the
//     engine restarted. A pinned adapter is never evicted.
//   - A refused request was never admitted.
//   - One order is open at a time, and each has a higher number than the one before.
//   - A slot whose order went unanswered is in doubt, and so is a request whose
//     connection broke, until a report made after a later order was accepted.
//     Such a report carries a number at least as high as that order's.
//   - After a takeover everything resident is pinned until the earlier owner has
//     drained, or a report made after it must have stopped admitting shows it idle.
//
// Weight-store permits, the lease and the engine's connection are others' matter.
package runner

import (
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// A Runner is one runner as its owner sees it. The zero value with the exported
// fields set is a runner that this host does not own yet.
type Runner struct {
	Name       string
	Slots      int    // adapters that it holds at once
	Batch      int    // requests that it runs at once
	Fenced     bool   // the engine refuses an order with an old number
	Policy     Policy // nil means Aged{}
	MaxWaiting int    // most waiting requests; 0 means queue.Default

	owned       bool
	stopping    verdict.Code // why nothing new is admitted; empty while serving
	quiet       bool         // Quiet was returned
	told        bool         // Empty was returned
	epoch       uint32
	counter     uint32
	incarnation string
	past        []string // earlier incarnations, whose reports are ignored

	tenure  tenure
	inherit inheritance
	known   bool   // a report told what is resident
	first   uint64 // number that the report must reach

	table    slot.Table
	queue    queue.Queue
	jobs     map[string]*job
	doubts   map[adapter.Ref]uint64 // number that a report must reach to settle each
	closing  map[adapter.Ref]bool   // resident, admits nothing more so that it can be evicted
	failures map[adapter.Ref]failure

	order    *pending
	hold     time.Time // no order before: one without an answer may take effect
	accepted uint64    // highest number that the engine is known to have accepted
	newest   time.Time // when the newest report was made, on the engine's clock
	asking   time.Time
	permit   permit
	denied   map[adapter.Ref]time.Time
	demand   demand
	shares   queue.CallerUsage // loads that each caller has had
	promises appointments
	pace     pace

	actions []Action
	wake    time.Time
}

// Step takes one event and returns what is to be done, in order.
func (r *Runner) Step(now time.Time, event Event) []Action {
	r.actions, r.wake = nil, time.Time{}
	r.setup()
	r.handle(now, event)
	if r.owned {
		r.decide(now)
	}
	return r.actions
}

// Next returns when a Tick is due, zero for none.
func (r *Runner) Next() time.Time { return r.wake }

func (r *Runner) setup() {
	if r.jobs != nil {
		return
	}
	r.jobs = map[string]*job{}
	r.doubts = map[adapter.Ref]uint64{}
	r.closing = map[adapter.Ref]bool{}
	r.failures = map[adapter.Ref]failure{}
	r.denied = map[adapter.Ref]time.Time{}
	r.queue.Limit = r.MaxWaiting
	r.table.Grow(r.Slots)
}

func (r *Runner) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Owned:
		r.own(now, e)
	case LeaseRenewed:
		r.tenure.lease, r.tenure.lapsed = e.LeaseEnd, false
	case LeaseLapsed:
		r.tenure.lapsed = true
	case RequestArrived:
		r.arrive(now, e)
	case CallerLeft:
		r.leave(e)
	case RequestEnded:
		r.end(now, e)
	case PermitGranted:
		r.grant(now, e)
	case PermitDenied:
		r.deny(now, e)
	case Answered:
		r.answer(now, e)
	case ReportReceived:
		r.report(now, e.Report)
	case EngineRestarted:
		r.restart(e.Incarnation)
	case PreviousOwnerDrained:
		r.inherit.drained = true
	case HandoverStarted:
		r.stop(verdict.Unavailable)
	case TargetRemoved:
		r.stop(verdict.Unavailable)
	case Tick:
	default:
		panic(errors.Errorf("runner: unknown event %T", event))
	}
}

// decide applies the rules in their order. Each may move the time of the next Tick.
func (r *Runner) decide(now time.Time) {
	r.sweep(now)
	r.expire(now)
	r.admit(now)
	r.command(now)
	r.want(now)
	r.cancel(now)
	r.inquire(now)
	r.finish(now)
}

// at makes t the time of the next Tick unless an earlier one is set.
func (r *Runner) at(t time.Time) {
	if r.wake.IsZero() || t.Before(r.wake) {
		r.wake = t
	}
}

func (r *Runner) do(a Action) { r.actions = append(r.actions, a) }

func (r *Runner) refuse(id string, err *verdict.Error) { r.do(Refuse{ID: id, Err: err}) }

// stop refuses what waits. The admitted requests go on.
func (r *Runner) stop(code verdict.Code) {
	r.stopping = code
	r.quiet, r.told = false, false
	for _, item := range r.queue.All() {
		r.queue.Remove(item.ID)
		r.refuse(item.ID, verdict.Refuse(code, "runner %s takes no new requests", r.Name))
	}
}

// finish says once that no order is open after a stop, and once that nothing is left.
func (r *Runner) finish(now time.Time) {
	if r.stopping == "" || r.order != nil {
		return
	}
	if !r.Fenced && now.Before(r.hold) {
		r.at(r.hold)
		return
	}
	if !r.quiet {
		r.quiet = true
		r.do(OrdersFinished{})
	}
	if !r.told && len(r.jobs) == 0 && !r.inherit.active {
		r.told = true
		r.do(Drained{})
	}
}

// Usage returns what the runner has to do.
func (r *Runner) Usage() Usage {
	return Usage{
		Waiting:   r.queue.Len(),
		Running:   len(r.jobs),
		Slots:     r.Slots,
		Batch:     r.Batch,
		Resident:  r.table.InState(slot.Resident),
		Inherited: r.inherit.active,
	}
}

// must panics on an error that would break an invariant of this package.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "runner: broken invariant"))
	}
}
