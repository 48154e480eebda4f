package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/ownership"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/retry"
)

const (
	// headerTimeout is how long a caller may take to send a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// headerMost is the largest head of a request, in bytes.
	headerMost = 64 << 10
	// acceptMore is how long a host that is stopping takes what still comes,
	// while the balancer learns that it isn't ready.
	acceptMore = 3 * time.Second
	// stopMargin is how much sooner than its grace a stop ends.
	stopMargin = 400 * time.Millisecond
	// leaveMost is how long a stop waits for its lease to be given up.
	leaveMost = 2 * time.Second
	// linkSilence is how long a peer may be silent before its connection ends.
	linkSilence = 1500 * time.Millisecond
	// sweepEvery is the time between two looks for connections to close.
	sweepEvery = time.Second
	// memoryShare is the part of the process's memory that the heap may use
	// before the collector runs more often.
	memoryShare = 0.5
)

// A Platform is what the process meets around it.
type Dependencies struct {
	Store       ownership.Store
	Follower    Follower
	Copies      *mirror.Set // of what the follower reads
	Registry    *prometheus.Registry
	Headers     HeaderCodec
	RunnerCodec ownership.RunnerCodec
	// ReadyPath is the path at which readiness is asked for.
	ReadyPath string
}

// A Process is a host that serves callers.
type Process struct {
	settings settings.Direct
	platform Dependencies
	log      *zap.Logger
	sink     *Sink
	registry *prometheus.Registry
	board    *dispatch.Dispatcher
	pool     *outbound.Pool
	keeper   *ownership.Controller
	peers    *Peers
	handler  *Handler
	life     *life
}

// New returns a process that serves as s says.
func New(s settings.Direct, p Dependencies, log *zap.Logger, sink *Sink) (*Process, error) {
	identity, err := peer.Ephemeral(s.Name)
	if err != nil {
		return nil, err
	}
	registry := p.Registry
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	meter := NewMetrics(registry)
	out := &Process{settings: s, platform: p, log: log, sink: sink, registry: registry, life: newLife(log)}
	out.board = &dispatch.Dispatcher{Holder: s.Name, Zone: s.Zone, Regions: s.Regions}
	out.pool = &outbound.Pool{Dial: outbound.Dialer().DialContext, OnOpen: meter.opened.Inc}
	out.peers = &Peers{
		Self: s.Name, Zone: s.Zone, Regions: s.Regions, Board: out.board, Copies: p.Copies, Log: log,
		Link: &peer.Link{Identity: identity, LivenessTimeout: linkSilence, Log: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))},
	}
	out.keeper = &ownership.Controller{
		Self:    host.Identity{Name: s.Name, Incarnation: incarnation(), Peer: s.Peer, Zone: s.Zone},
		Regions: s.Regions,
		Store:   p.Store,
		Board:   out.board,
		Client:  &ownership.RunnerClient{Board: out.board, Codec: p.RunnerCodec, Pool: out.pool, Log: log, OnReply: meter.ordered},
		Log:     log, Fenced: s.Fenced, OrderGap: s.OrderInterval,
		OnMembers: out.peers.SetMembers, OnOwned: meter.own,
		Terms: lease.Timing{Duration: leaseTerm, RenewInterval: leaseRenewal, ClockMargin: leaseMargin},
	}
	out.keeper.Client.Valid = out.keeper.Valid
	out.keeper.Init()
	out.peers.Wake = out.keeper.Wake
	out.peers.OnNewerConfig = p.Follower.Refresh
	out.handler = &Handler{
		Peers: out.peers,
		Board: out.board, Headers: p.Headers, Pool: out.pool, Metrics: meter, Log: log,
		Budgets:  &retry.Budgets{Ratio: s.RetryRatio, MinRetries: float64(s.BaseRetries) / hostsGuess},
		Stopping: out.life.leaving, Wake: out.keeper.Wake,
	}
	return out, nil
}

const (
	// leaseTerm is how long a lease lasts from the sending of its renewal: longer
	// than most outages of the store, and as long as a lost host's runners get no
	// orders.
	leaseTerm = 12 * time.Second
	// leaseRenewal is the time between renewals.
	leaseRenewal = 3 * time.Second
	// leaseMargin is what a holder takes off the term, for clocks that differ in rate.
	leaseMargin = 500 * time.Millisecond
	// hostsGuess is the number of hosts that share the slack of retries while it isn't known.
	hostsGuess = 12
)

// incarnation names this run of the process.
func incarnation() string { return fmt.Sprintf("%d", time.Now().UnixNano()) }

// Run serves until ctx ends, and then stops as planned.
func (p *Process) Run(ctx context.Context) error {
	if p.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.settings.MemoryLimitMB<<20)))
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	p.log.Info("host: starts", zap.String("zone", p.settings.Zone), zap.Stringer("caller", p.settings.Caller))
	callers := &http.Server{
		Handler: p.callers(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
		ErrorLog: zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	faults := make(chan error, 3)
	if err := p.listen(life, faults, callers, p.settings.Caller); err != nil {
		return err
	}
	if err := p.listen(life, faults, &http.Server{Handler: p.readiness(), ReadHeaderTimeout: headerTimeout}, p.settings.Ready); err != nil {
		return err
	}
	if p.settings.Admin.IsValid() {
		// A host serves callers also where its metrics can't be served.
		if err := p.listen(life, faults, &http.Server{Handler: p.admin(), ReadHeaderTimeout: headerTimeout}, p.settings.Admin); err != nil {
			p.log.Error("host: no metrics", zap.Error(err))
		}
	}
	if err := p.link(life, faults); err != nil {
		return err
	}
	go p.platform.Follower.Follow(life, p.apply, p.peers.Pace)
	go p.keeper.Run(life)
	go p.sweep(life)
	select {
	case err := <-faults:
		return errors.Wrap(err, "listen")
	case <-ctx.Done():
	}
	return p.stop(callers)
}

// link opens the link between hosts.
func (p *Process) link(ctx context.Context, faults chan<- error) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.settings.Peer))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.peers.Link.Conn = socket
	go func() {
		if err := p.peers.Serve(ctx); err != nil {
			faults <- err
		}
	}()
	go p.peers.SendDigests(ctx)
	return nil
}

func (p *Process) listen(ctx context.Context, faults chan<- error, server *http.Server, at netip.AddrPort) error {
	listener, err := outbound.Listen(ctx, at.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go p.serve(server, listener, faults)
	return nil
}

func (p *Process) serve(server *http.Server, listener net.Listener, faults chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		faults <- err
	}
}

func (p *Process) callers() http.Handler {
	r := chi.NewRouter()
	r.Handle("/*", p.handler)
	r.MethodNotAllowed(p.handler.ServeHTTP)
	return r
}

func (p *Process) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get(p.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.life.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (p *Process) admin() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	return r
}

// sweep closes connections that are no longer wanted and keeps the gauges.
func (p *Process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	dropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			wanted := make(map[netip.AddrPort]bool)
			for _, t := range p.board.Sweep(now) {
				wanted[t.Address] = true
			}
			p.pool.Prune(func(a netip.AddrPort) bool { return wanted[a] })
			p.pool.SetMaxIdle(p.connections())
			p.handler.Budgets.SetMinRetries(float64(p.settings.BaseRetries) / float64(p.board.HostCount()+1))
			p.handler.Metrics.targets.Set(float64(len(wanted)))
			for name, u := range p.board.SlotUsage(now) {
				p.log.Info("shelf: places", zap.String("runner", name), zap.Int("busy", u.Busy), zap.Int("idle", u.Idle),
					zap.Int("coming", u.Loading), zap.Int("leaving", u.Unloading), zap.Int("doubt", u.Uncertain))
			}
			if d := p.sink.Dropped(); d != dropped {
				p.log.Warn("log: lines dropped", zap.Uint64("lines", d-dropped))
				dropped = d
			}
		}
	}
}

// connections returns this host's part of the connections that the target with
// the fewest accepts.
func (p *Process) connections() int {
	least := 0
	if config := p.board.Config(); config != nil {
		for _, s := range config.Services {
			if s.MaxConnections > 0 && (least == 0 || s.MaxConnections < least) {
				least = s.MaxConnections
			}
		}
	}
	if least == 0 {
		return 0
	}
	return max(1, least/p.board.HostCount())
}

// stop ends the process as planned: not ready at once, then what still comes is
// taken, then all requests in progress end.
func (p *Process) stop(callers *http.Server) error {
	begun := boottime.Now()
	p.life.take(stop)
	limit := p.settings.GracePeriod - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	leaving, left := context.WithTimeout(ctx, leaveMost)
	defer left()
	go p.keeper.Leave(leaving)
	select {
	case <-time.After(min(acceptMore, limit/2)):
	case <-ctx.Done():
	}
	err := callers.Shutdown(ctx)
	p.life.take(ended)
	p.log.Info("host: ends", zap.Duration("took", boottime.Now().Sub(begun)), zap.Error(err))
	return nil
}
