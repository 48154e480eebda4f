// Package daemon is the process that serves callers on a host: it connects the parts
// that handle requests, talk to other hosts and follow the platform, and starts and
// stops them.
//
// One control goroutine maintains this host's membership, which assigns each runner
// one owner; only the owner may send load and unload orders to the runner. A follower
// passes changes of the platform to the Dispatcher.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/build"
	"jacinthstage/jacinthd/internal/callers"
	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/direct"
	"jacinthstage/jacinthd/internal/metrics"
	"jacinthstage/jacinthd/internal/origins"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/ownership"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/memory"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/retry"
)

const (
	// headerTimeout limits the time in which a caller must send the headers of a
	// request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which idle connections of callers are closed, unless the
	// configuration allows them more.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's headers, in bytes.
	maxHeaderBytes = 64 << 10
	// peerIdleTimeout is the time without packets after which the connection to a
	// peer is closed.
	peerIdleTimeout = 1500 * time.Millisecond
	// sweepInterval is the time between two runs of the sweep that closes unused
	// connections.
	sweepInterval = time.Second
	// memoryLimitShare is the share of the process's memory that is set as the Go
	// memory limit, above which the garbage collector runs more often.
	memoryLimitShare = 0.5
	bytesPerMB       = 1 << 20
)

// Dependencies are the components that a Process uses to reach the platform, and
// its metrics registry.
type Dependencies struct {
	Store       ownership.Store
	Follower    Follower
	Copies      *mirror.Set // local copies of the objects that the follower reads
	Registry    *prometheus.Registry
	Headers     outbound.HeaderCodec
	RunnerCodec ownership.RunnerCodec
	// ReadyPath is the URL path of the readiness endpoint.
	ReadyPath string
}

// A Process serves callers on one host.
type Process struct {
	settings   settings.Direct
	deps       Dependencies
	log        *zap.Logger
	sink       *Sink
	registry   *prometheus.Registry
	dispatcher *dispatch.Dispatcher
	pool       *outbound.Pool
	reach      *contact.Reach
	controller *ownership.Controller
	peers      *peers.Group
	quotas     *quota.Keeper
	proxy      *proxy.Server
	handler    *direct.Handler
	builds     *origins.Builds
	origins    *origins.Streams
	lifecycle  *lifecycle

	memory        memory.Budget
	connections   callers.Connections
	stopping      atomic.Pointer[stopSchedule] // nil until a planned stop begins
	requests      context.Context              // ends when all requests in progress must be answered
	endRequests   context.CancelCauseFunc
	noMemory      shortage
	noConnections shortage
}

// New returns a Process with the settings s. It registers the process's metrics
// at the registry of deps.
func New(s settings.Direct, deps Dependencies, log *zap.Logger, sink *Sink) (*Process, error) {
	identity, err := peer.EphemeralOf(s.Name, build.Commit())
	if err != nil {
		return nil, err
	}
	registry := deps.Registry
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counters := metrics.New(registry)
	p := &Process{settings: s, deps: deps, log: log, sink: sink, registry: registry, lifecycle: newLifecycle(log)}
	p.requests, p.endRequests = context.WithCancelCause(context.Background())
	metrics.RegisterMemory(registry, &p.memory, &p.connections.Table)
	p.dispatcher = &dispatch.Dispatcher{Holder: s.Name, Zone: s.Zone, Regions: s.Regions}
	p.dispatcher.SetVersionBound(s.VersionBound)
	p.pool = &outbound.Pool{Dial: outbound.Dialer(s.Source).DialContext, OnOpen: counters.Opened.Inc}
	suspects := &contact.Suspects{Ready: p.dispatcher.ReadyAddresses, Pool: p.pool, Store: deps.Store, Metrics: counters, Log: log}
	p.reach = &contact.Reach{Pool: p.pool, Dispatcher: p.dispatcher, Suspects: suspects, Metrics: counters, Log: log}
	p.pool.Watcher = p.reach
	p.quotas = &quota.Keeper{
		Self: s.Name, Start: uint64(time.Now().UnixMilli()),
		Bound: quota.Bound{Window: s.QuotaWindow, Over: s.QuotaRatio, Slack: s.QuotaSlack},
	}
	p.peers = &peers.Group{
		Quotas: p.quotas,
		Self:   s.Name, Zone: s.Zone, Regions: s.Regions, Dispatcher: p.dispatcher, Copies: deps.Copies, Suspects: suspects, Log: log,
		Link: &peer.Link{Identity: identity, LivenessTimeout: peerIdleTimeout, Log: log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))},
	}
	p.peers.Link.OnVersion, p.peers.Link.OnUnreadable = p.peers.OnVersion, p.peers.OnUnreadable
	p.controller = &ownership.Controller{
		Self:       host.Identity{Name: s.Name, Incarnation: incarnation(), Peer: s.Peer, Zone: s.Zone},
		Regions:    s.Regions,
		Store:      deps.Store,
		Dispatcher: p.dispatcher,
		Client:     &ownership.RunnerClient{Dispatcher: p.dispatcher, Codec: deps.RunnerCodec, Pool: p.pool, Log: log, OnReply: counters.CountOrder},
		Log:        log, Fenced: s.Fenced, OrderGap: s.OrderInterval,
		OnMembers: p.peers.SetMembers, OnOwned: counters.SetOwned,
		LeaseTiming: lease.Timing{Duration: leaseDuration, RenewInterval: leaseRenewInterval, ClockMargin: leaseClockMargin},
	}
	p.proxy = &proxy.Server{Headers: deps.Headers, Reach: p.reach, Memory: &p.memory, Stopping: p.lifecycle.isStopping, Requests: p.requests}
	p.peers.Proxy = p.proxy
	p.peers.Era = deps.Store.Era
	p.origins = &origins.Streams{Self: s.Name, Store: deps.Store, Dispatcher: p.dispatcher, Peers: p.peers, Log: log}
	p.builds = &origins.Builds{Store: deps.Store, Dispatcher: p.dispatcher, Rank: p.peers.Rank, OnSeveral: p.origins.Restore, Log: log}
	p.controller.OnRestored = func() {
		suspects.WriteAgain()
		p.builds.ReadAgain()
	}
	p.controller.Client.Valid = p.controller.Valid
	p.controller.Init()
	p.peers.Wake = p.controller.Wake
	p.peers.OnNewerConfig = deps.Follower.Refresh
	p.handler = &direct.Handler{
		Peers: p.peers, Suspects: suspects, Reach: p.reach, Memory: &p.memory, Quotas: p.quotas,
		Dispatcher: p.dispatcher, Headers: deps.Headers, Pool: p.pool, Metrics: counters, Log: log,
		Budgets:  &retry.Budgets{Ratio: s.RetryRatio},
		Stopping: p.lifecycle.isStopping, Draining: p.lifecycle.isDraining, LastAnswer: p.lastAnswer, Wake: p.controller.Wake, CatchUp: deps.Follower.CatchUp,
	}
	return p, nil
}

const (
	// leaseDuration is how long a lease is valid, counted from when its renewal is sent.
	// It is longer than most outages of the store. The runners of a failed host
	// get no orders until its lease has expired.
	leaseDuration = 12 * time.Second
	// leaseRenewInterval is the time between renewals.
	leaseRenewInterval = 3 * time.Second
	// leaseClockMargin is the time by which a holder shortens its lease, to allow for
	// clocks that run at different rates.
	leaseClockMargin = 500 * time.Millisecond
	// assumedHosts is the number of hosts among which the connections that a target
	// accepts are divided until the actual number is known.
	assumedHosts = 12
)

// incarnation returns a name for this run of the process.
func incarnation() string { return fmt.Sprintf("%d", time.Now().UnixNano()) }

// Run serves callers until ctx ends and then performs a planned stop. It returns
// an error if the host cannot listen.
func (p *Process) Run(ctx context.Context) error {
	if p.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * p.settings.MemoryLimitMB * bytesPerMB))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p.log.Info("host: process starts", zap.String("zone", p.settings.Zone), zap.Stringer("caller", p.settings.Caller),
		zap.String("build", build.Commit()), zap.Strings("protocols", peer.Protocols()), zap.Strings("ignored", p.settings.Ignored))
	p.applyLimits()
	defer p.endRequests(nil)
	server := &http.Server{
		BaseContext: func(net.Listener) context.Context { return p.requests },
		ConnContext: p.connections.Accept, ConnState: p.connections.Changed,
		Handler: p.callerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	listenErrs := make(chan error, 3)
	if err := p.listen(runCtx, listenErrs, server, p.settings.Caller); err != nil {
		return err
	}
	if err := p.listen(runCtx, listenErrs, &http.Server{Handler: p.readinessHandler(), ReadHeaderTimeout: headerTimeout}, p.settings.Ready); err != nil {
		return err
	}
	if p.settings.Admin.IsValid() {
		// A host that can't listen for metrics still serves callers.
		if err := p.listen(runCtx, listenErrs, &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: headerTimeout}, p.settings.Admin); err != nil {
			p.log.Error("host: metrics not served", zap.Error(err))
		}
	}
	if err := p.openLink(runCtx, listenErrs); err != nil {
		return err
	}
	go p.deps.Follower.Follow(runCtx, p.apply, p.peers.ReaderInfo)
	go p.controller.Run(runCtx)
	go p.handler.Suspects.Restore(runCtx)
	go p.builds.Run(runCtx)
	go p.origins.Run(runCtx)
	go p.reach.Probe(runCtx)
	go p.sweep(runCtx)
	select {
	case err := <-listenErrs:
		return errors.Wrap(err, "listen")
	case <-ctx.Done():
	}
	return p.stop(server)
}

// openLink opens the UDP socket of the link between hosts, and starts to serve
// the other hosts and to send them digests.
func (p *Process) openLink(ctx context.Context, listenErrs chan<- error) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.settings.Peer))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.peers.Link.Conn = socket
	go func() {
		if err := p.peers.Serve(ctx); err != nil {
			listenErrs <- err
		}
	}()
	go p.peers.SendDigests(ctx)
	return nil
}

func (p *Process) listen(ctx context.Context, listenErrs chan<- error, server *http.Server, address netip.AddrPort) error {
	listener, err := outbound.Listen(ctx, address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go p.serve(server, listener, listenErrs)
	return nil
}

func (p *Process) serve(server *http.Server, listener net.Listener, listenErrs chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		listenErrs <- err
	}
}

func (p *Process) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/*", p.handler)
	r.MethodNotAllowed(p.handler.ServeHTTP)
	return r
}

func (p *Process) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(p.deps.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.lifecycle.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (p *Process) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	return r
}

// noteAdmission logs and counts how what is refused for want of room has changed.
func (p *Process) noteAdmission(now time.Time) {
	changes, levels := p.dispatcher.AdmissionChanges(now)
	for _, c := range changes {
		p.log.Info("admission: refusals changed", zap.String("service", c.Service), zap.Stringer("pool", c.Pool), zap.Float64("room", c.Room),
			zap.Int("rank", c.Rank), zap.Float64("least", c.Share), zap.Strings("accounts", c.Accounts))
	}
	p.handler.Metrics.SetAdmission(levels)
}

// sweep periodically closes connections to targets that no longer exist, updates
// the limits that depend on the number of hosts, and reports gauges and slot
// usage.
func (p *Process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	dropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			inUse := make(map[netip.AddrPort]bool)
			for _, t := range p.dispatcher.Sweep(now) {
				inUse[t.Address] = true
			}
			p.pool.Prune(func(a netip.AddrPort) bool { return inUse[a] })
			p.reach.Links.Prune(func(a netip.AddrPort) bool { return inUse[a] })
			p.pool.SetMaxIdle(p.connectionShare())
			p.handler.Budgets.SetHosts(now, p.settings.BaseRetries, p.dispatcher.ListedHosts())
			p.noteAdmission(now)
			p.sweepQuotas()
			p.handler.Metrics.Targets.Set(float64(len(inUse)))
			p.handler.Metrics.StoreEra.Set(float64(p.deps.Store.Era()))
			p.handler.Metrics.Suspects.Set(float64(p.handler.Suspects.List.Sweep(now)))
			for name, u := range p.dispatcher.SlotUsage(now) {
				p.log.Info("residency: slots", zap.String("runner", name), zap.Int("busy", u.Busy), zap.Int("idle", u.Idle),
					zap.Int("coming", u.Loading), zap.Int("leaving", u.Unloading), zap.Int("doubt", u.Uncertain))
			}
			p.closeIdle(now)
			p.logShortages()
			if d := p.sink.Dropped(); d != dropped {
				p.log.Warn("log: lines dropped", zap.Uint64("lines", d-dropped))
				dropped = d
			}
		}
	}
}

// connectionShare returns the number of idle connections that this host may keep
// to one target: an equal share, among the hosts, of the smallest connection
// limit of all services. 0 means that no service sets a limit.
func (p *Process) connectionShare() int {
	lowest := 0
	if config := p.dispatcher.Config(); config != nil {
		for _, s := range config.Services {
			if s.MaxConnections > 0 && (lowest == 0 || s.MaxConnections < lowest) {
				lowest = s.MaxConnections
			}
		}
	}
	if lowest == 0 {
		return 0
	}
	hosts := p.dispatcher.ListedHosts()
	if hosts == 0 {
		hosts = assumedHosts
	}
	return max(1, lowest/hosts)
}
