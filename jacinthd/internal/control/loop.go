package control

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/route"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/store"
)

const (
	// inboxSize is the number of messages that can queue for the control goroutine.
	inboxSize = 4096
	// maxBurst is the number of queued messages handled before the view is
	// published.
	maxBurst = 64
	// maxIdle is the maximum time between two ticks.
	maxIdle = time.Second
	// pauseThreshold is the time between two ticks above which the process is
	// considered to have been paused.
	pauseThreshold = 2 * maxIdle
)

// Engines sends the control goroutine's calls to engines. *engine.Client
// implements it.
type Engines interface {
	Order(ctx context.Context, addr netip.AddrPort, order engine.Order, number uint64, deadline time.Time) (engine.Receipt, error)
	Report(ctx context.Context, addr netip.AddrPort) (engine.Report, error)
	Cancel(ctx context.Context, addr netip.AddrPort, id string) (bool, error)
}

// A Link calls other hosts for the control goroutine. *peer.Link implements it.
type Link interface {
	Call(ctx context.Context, addr netip.AddrPort, name string, m peer.Message) (peer.Message, error)
}

// A Loop is the event loop of a host's control goroutine. Its exported fields
// must be set before Start and not changed afterwards.
type Loop struct {
	Self         host.Identity
	Region       string
	Store        store.Store
	Engines      Engines
	Link         Link
	Log          *zap.Logger
	LeaseTiming  lease.Timing
	RoutePolicy  route.Policy
	RunnerPolicy runner.Policy
	// MaxTimeout is the maximum time from a request's arrival to its deadline.
	MaxTimeout time.Duration
	// MaxQueue is the maximum number of requests that can wait for one runner.
	MaxQueue int
	// LoadRate and MaxConcurrentLoads limit the loads from the weight store in
	// this region: loads per second, and loads in flight.
	LoadRate           float64
	MaxConcurrentLoads int
	// Metrics can be nil.
	Metrics *Metrics

	inbox   chan message
	done    chan struct{}
	view    atomic.Pointer[View]
	routing atomic.Pointer[routingState]

	now                 time.Time
	ctx                 context.Context
	dirty               bool
	member              host.Member
	paused              bool      // the process was paused since the lease was last renewed
	leaseEnd            time.Time // when this host's lease ends, as last renewed
	tables              map[string]host.Table
	config              *patch.Config
	presence            map[string]string // state of each target in the platform's list
	acquired            map[string]host.Acquire
	owned               map[string]*ownership
	released            map[*ownership]bool
	permits             permits
	routeTables         map[string]*route.Table   // by service
	routeRunners        map[string][]route.Runner // runners last set in each route table
	nextShrink          time.Time                 // when idle adapters are next checked for
	nextGauges          time.Time                 // when the gauges are next updated
	pendingDrainReports int                       // calls in progress that report a drain to a new owner
	drainWaits          []chan struct{}           // callers of WaitDrained
	stopping            bool
	stopped             chan struct{}
}

// Start initializes the Loop. It must be called before any other method.
func (l *Loop) Start() {
	l.inbox = make(chan message, inboxSize)
	l.done = make(chan struct{})
	l.stopped = make(chan struct{})
	l.tables = map[string]host.Table{}
	l.presence = map[string]string{}
	l.acquired = map[string]host.Acquire{}
	l.owned = map[string]*ownership{}
	l.released = map[*ownership]bool{}
	l.routeTables = map[string]*route.Table{}
	l.routeRunners = map[string][]route.Runner{}
	l.config = &patch.Config{}
	l.member = host.Member{Region: l.Region, Self: l.Self, LeaseTiming: l.LeaseTiming}
	l.permits.start(l)
	l.view.Store(&View{Config: l.config})
	l.routing.Store(&routingState{})
}

// Run handles messages until ctx ends. It must be called once, on its own
// goroutine.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.now = time.Now()
	go l.watchTables(ctx)
	go l.watchPresence(ctx)
	l.stepMember(host.Started{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.advanceClock()
			l.handle(m)
			l.drainInbox()
		case <-timer.C:
			l.advanceClock()
		}
		l.publish()
		timer.Reset(max(time.Until(l.nextTick()), 0))
	}
}

// advanceClock updates the current time and runs the ticks that are due. It runs
// before any message is handled, so that after a pause the lease is found expired
// before a job is admitted.
func (l *Loop) advanceClock() {
	previous := l.now
	l.now = time.Now()
	if l.now.Sub(previous) > pauseThreshold {
		l.Log.Warn("host: process was paused", zap.Duration("span", l.now.Sub(previous)))
		l.paused = true
		l.expireRunnerLeases()
	}
	l.tick()
}

// drainInbox handles up to maxBurst further messages that are already queued.
func (l *Loop) drainInbox() {
	for range maxBurst {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

// send queues a message for the control goroutine, and blocks while the inbox is
// full. Messages sent after the goroutine has ended are dropped.
func (l *Loop) send(m message) {
	select {
	case l.inbox <- m:
	case <-l.done:
	}
}

// tick runs every timer that is due.
func (l *Loop) tick() {
	if due(l.member.NextTick(), l.now) {
		l.stepMember(host.Tick{})
	}
	for _, o := range l.owned {
		if due(o.runner.Next(), l.now) {
			l.stepRunner(o, runner.Tick{})
		}
		l.poll(o)
	}
	l.permits.tick(l)
	l.shrinkPreferred()
	l.updateGauges()
}

// nextTick returns when tick must run next.
func (l *Loop) nextTick() time.Time {
	next := l.now.Add(maxIdle)
	next = earlier(next, l.member.NextTick())
	next = earlier(next, l.permits.holder.Next())
	for _, o := range l.owned {
		next = earlier(next, o.runner.Next())
		next = earlier(next, o.nextPoll)
	}
	return next
}

// due reports whether t has been reached. A zero t is never due.
func due(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// earlier returns the earlier of two times. A zero b means never.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
