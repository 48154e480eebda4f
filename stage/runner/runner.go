// Package runner makes the decisions for one runner at the host that owns it:
// which waiting request is admitted, which adapter is loaded, and which adapter
// is evicted.
//
// A Runner consumes events and returns actions. It maintains these invariants:
//
//   - The adapter of a request is pinned before the request is admitted. The pin
//     stays until the request was served, a cancel was confirmed, a later report
//     shows that the request is gone, or the engine restarted. A pinned adapter
//     is never evicted.
//   - A refused request was never admitted.
//   - At most one order is open at a time, and each order has a higher number
//     than the one before.
//   - A slot whose order went unanswered is uncertain, and so is the state of a
//     request whose connection broke, until a report that was made after a later
//     order was accepted. Such a report carries a number at least as high as the
//     number of that order.
//   - After a takeover every resident adapter is pinned until the previous owner
//     has drained, or until a report shows the adapter idle that was made after
//     the previous owner must have stopped admitting.
//
// Permits of the weight store, the lease and the connection to the engine are
// handled outside of this package.
package runner

import (
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// A Runner holds the state of one runner as its owner sees it. The zero value
// with the exported fields set is a runner that this host does not own yet.
type Runner struct {
	Name       string
	Slots      int    // number of adapters that the runner holds at once
	Batch      int    // number of requests that the runner runs at once
	Fenced     bool   // the engine refuses orders with an old number
	Policy     Policy // nil means AgedLFU{}
	MaxWaiting int    // maximum number of waiting requests; 0 means queue.DefaultLimit

	owned          bool
	stopping       verdict.Code // why no new request is admitted; empty while serving
	ordersFinished bool         // OrdersFinished was returned
	drained        bool         // Drained was returned
	epoch          uint32
	counter        uint32
	incarnation    string
	past           []string // earlier incarnations, whose reports are ignored

	authority      authority
	takeover       takeover
	residencyKnown bool   // a report showed which adapters are resident
	minReport      uint64 // lowest order number of a report that is accepted

	table     slot.Table
	queue     queue.Queue
	jobs      map[string]*job
	uncertain map[adapter.Ref]uint64 // lowest number of a report that resolves each uncertain slot
	closing   map[adapter.Ref]bool   // resident, but admits no more requests so that it can be evicted
	failures  map[adapter.Ref]failure

	order           *pending
	noOrderBefore   time.Time // an unanswered order may still take effect until then
	highestAccepted uint64    // highest number that the engine is known to have accepted
	newestReport    time.Time // when the newest report was made, on the engine's clock
	nextReport      time.Time // when a report may be requested again
	permit          permit
	denied          map[adapter.Ref]time.Time
	demand          demand
	loadLevels      queue.CallerUsage // loads that each caller has received
	retries         retrySchedule
	estimates       estimates

	actions []Action
	wake    time.Time
}

// Step handles one event and returns the resulting actions, in order.
func (r *Runner) Step(now time.Time, event Event) []Action {
	r.actions, r.wake = nil, time.Time{}
	r.init()
	r.handle(now, event)
	if r.owned {
		r.decide(now)
	}
	return r.actions
}

// Next returns when the next Tick is due, or the zero time if none is needed.
func (r *Runner) Next() time.Time { return r.wake }

func (r *Runner) init() {
	if r.jobs != nil {
		return
	}
	r.jobs = map[string]*job{}
	r.uncertain = map[adapter.Ref]uint64{}
	r.closing = map[adapter.Ref]bool{}
	r.failures = map[adapter.Ref]failure{}
	r.denied = map[adapter.Ref]time.Time{}
	r.queue.Limit = r.MaxWaiting
	r.table.Grow(r.Slots)
}

func (r *Runner) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Owned:
		r.takeOwnership(now, e)
	case LeaseRenewed:
		r.authority.leaseEnd, r.authority.leaseExpired = e.LeaseEnd, false
	case LeaseExpired:
		r.authority.leaseExpired = true
	case RequestArrived:
		r.requestArrived(now, e)
	case CallerLeft:
		r.callerLeft(e)
	case RequestEnded:
		r.requestEnded(now, e)
	case PermitGranted:
		r.permitGranted(now, e)
	case PermitDenied:
		r.permitDenied(now, e)
	case Answered:
		r.orderAnswered(now, e)
	case ReportReceived:
		r.reportReceived(now, e.Report)
	case EngineRestarted:
		r.engineRestarted(e.Incarnation)
	case PreviousOwnerDrained:
		r.takeover.drained = true
	case HandoverStarted:
		r.stop(verdict.Unavailable)
	case TargetRemoved:
		r.stop(verdict.Unavailable)
	case Tick:
	default:
		panic(errors.Errorf("runner: unknown event %T", event))
	}
}

// decide applies the rules in a fixed order. Each rule may make the next Tick due
// earlier.
func (r *Runner) decide(now time.Time) {
	r.advanceTakeover(now)
	r.expire(now)
	r.admit(now)
	r.sendNextOrder(now)
	r.requestPermit(now)
	r.cancel(now)
	r.requestReport(now)
	r.finishStop(now)
}

// wakeAt sets the time of the next Tick to t unless an earlier one is set.
func (r *Runner) wakeAt(t time.Time) {
	if r.wake.IsZero() || t.Before(r.wake) {
		r.wake = t
	}
}

func (r *Runner) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Runner) refuse(id string, err *verdict.Error) { r.emit(Refuse{ID: id, Err: err}) }

// stop refuses all waiting requests. Admitted requests continue.
func (r *Runner) stop(code verdict.Code) {
	r.stopping = code
	r.ordersFinished, r.drained = false, false
	for _, item := range r.queue.All() {
		r.queue.Remove(item.ID)
		r.refuse(item.ID, verdict.Refuse(code, "runner %s takes no new requests", r.Name))
	}
}

// finishStop emits OrdersFinished and Drained, each once after a stop, as soon
// as their conditions hold.
func (r *Runner) finishStop(now time.Time) {
	if r.stopping == "" || r.order != nil {
		return
	}
	if !r.Fenced && now.Before(r.noOrderBefore) {
		r.wakeAt(r.noOrderBefore)
		return
	}
	if !r.ordersFinished {
		r.ordersFinished = true
		r.emit(OrdersFinished{})
	}
	if !r.drained && len(r.jobs) == 0 && !r.takeover.active {
		r.drained = true
		r.emit(Drained{})
	}
}

// Usage returns the current usage of the runner.
func (r *Runner) Usage() Usage {
	return Usage{
		Waiting:   r.queue.Len(),
		Running:   len(r.jobs),
		Slots:     r.Slots,
		Batch:     r.Batch,
		Resident:  r.table.InState(slot.Resident),
		Inherited: r.takeover.active,
	}
}

// must panics on an error that would break an invariant of this package.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "runner: broken invariant"))
	}
}
