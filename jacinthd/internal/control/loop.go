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
	// backlog is how many posts may wait for the control goroutine.
	backlog = 4096
	// burst is how many posts are handled before the view is published.
	burst = 64
	// idle is the longest time without a tick.
	idle = time.Second
	// pauseLimit is the time between two ticks that counts as a pause of the process.
	pauseLimit = 2 * idle
)

// An Engines is what the control goroutine asks of engines: *engine.Client.
type Engines interface {
	Order(ctx context.Context, addr netip.AddrPort, order engine.Order, number uint64, deadline time.Time) (engine.Receipt, error)
	Report(ctx context.Context, addr netip.AddrPort) (engine.Report, error)
	Cancel(ctx context.Context, addr netip.AddrPort, id string) (bool, error)
}

// A Link is what the control goroutine asks of the link between hosts: *peer.Link.
type Link interface {
	Call(ctx context.Context, addr netip.AddrPort, name string, m peer.Message) (peer.Message, error)
}

// A Loop is the control goroutine of one host. Its exported fields are set
// before Run and not changed after it.
type Loop struct {
	Self         host.Identity
	Region       string
	Store        store.Store
	Engines      Engines
	Link         Link
	Log          *zap.Logger
	Terms        lease.Timing
	RoutePolicy  route.Policy
	RunnerPolicy runner.Policy
	// MaxTimeout is the latest deadline that a request can carry, from its arrival.
	MaxTimeout time.Duration
	// MaxQueue is the most requests that wait for one runner.
	MaxQueue int
	// LoadRate and Flight are the weight store's allowance for this region, in
	// loads a second and loads in flight.
	LoadRate           float64
	MaxConcurrentLoads int
	// Metrics may be nil.
	Metrics *Metrics

	posts chan post
	done  chan struct{}
	view  atomic.Pointer[View]
	paths atomic.Pointer[paths]

	now       time.Time
	ctx       context.Context
	dirty     bool
	member    host.Member
	paused    bool      // the process stood still since the lease was last renewed
	lease     time.Time // end of this host's lease as last renewed
	tables    map[string]host.Table
	config    *patch.Config
	presence  map[string]string // state of targets in the platform's list
	acquired  map[string]host.Acquire
	owned     map[string]*ownership
	former    map[*ownership]bool
	permits   permits
	routes    map[string]*route.Table   // by service
	routed    map[string][]route.Runner // runners that each route table was given
	narrowing time.Time                 // when adapters that fell idle are looked for next
	gauging   time.Time                 // when the gauges are set next
	telling   int                       // new owners that are being told of a drain
	settling  []chan struct{}           // waits of Settle
	stopping  bool
	stopped   chan struct{}
}

// Start prepares the Loop. Run, Stop and the methods of Control may be called after it.
func (l *Loop) Start() {
	l.posts = make(chan post, backlog)
	l.done = make(chan struct{})
	l.stopped = make(chan struct{})
	l.tables = map[string]host.Table{}
	l.presence = map[string]string{}
	l.acquired = map[string]host.Acquire{}
	l.owned = map[string]*ownership{}
	l.former = map[*ownership]bool{}
	l.routes = map[string]*route.Table{}
	l.routed = map[string][]route.Runner{}
	l.config = &patch.Config{}
	l.member = host.Member{Region: l.Region, Self: l.Self, LeaseTiming: l.Terms}
	l.permits.start(l)
	l.view.Store(&View{Config: l.config})
	l.paths.Store(&paths{})
}

// Run handles posts until ctx ends. It is called once, on a goroutine of its own.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.now = time.Now()
	go l.watchTables(ctx)
	go l.watchPresence(ctx)
	l.memberStep(host.Started{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-l.posts:
			l.wake()
			l.handle(p)
			l.drainPosts()
		case <-timer.C:
			l.wake()
		}
		l.publish()
		timer.Reset(max(time.Until(l.next()), 0))
	}
}

// wake takes the time and gives the ticks that are due before anything else is
// handled: after a pause the lease must be found lapsed before a job is admitted.
func (l *Loop) wake() {
	former := l.now
	l.now = time.Now()
	if l.now.Sub(former) > pauseLimit {
		l.Log.Warn("host: was paused", zap.Duration("span", l.now.Sub(former)))
		l.paused = true
		l.lapse()
	}
	l.tick()
}

// drainPosts handles what else has been posted, up to a burst.
func (l *Loop) drainPosts() {
	for range burst {
		select {
		case p := <-l.posts:
			l.handle(p)
		default:
			return
		}
	}
}

// post hands p to the control goroutine, or drops it once that has ended.
func (l *Loop) post(p post) {
	select {
	case l.posts <- p:
	case <-l.done:
	}
}

// tick gives every aggregate whose time has come a tick.
func (l *Loop) tick() {
	if due(l.member.NextTick(), l.now) {
		l.memberStep(host.Tick{})
	}
	for _, o := range l.owned {
		if due(o.runner.Next(), l.now) {
			l.runnerStep(o, runner.Tick{})
		}
		l.poll(o)
	}
	l.permits.tick(l)
	l.narrow()
	l.gauges()
}

// next returns when the next tick is due.
func (l *Loop) next() time.Time {
	next := l.now.Add(idle)
	next = sooner(next, l.member.NextTick())
	next = sooner(next, l.permits.holder.Next())
	for _, o := range l.owned {
		next = sooner(next, o.runner.Next())
		next = sooner(next, o.polling)
	}
	return next
}

// due reports whether t has come; zero is never.
func due(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// sooner returns the earlier of two times, where a zero b means never.
func sooner(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
