// Package process assembles the components of a host's process. It opens the
// listeners, starts the goroutines, and performs a planned stop.
package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthstage/jacinthd/internal/configsync"
	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/plain"
	"jacinthstage/jacinthd/internal/suspect"
	"jacinthstage/jacinthd/internal/traffic"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/jacinthd/store/remote"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/route"
	"jacinthstage/stage/runner"
)

const (
	// headerTimeout limits the time to read a request's headers on the admin
	// listener.
	headerTimeout = 10 * time.Second
	// incarnationBytes is the number of random bytes in an incarnation's name.
	incarnationBytes = 8
	// stopMargin is the time that a planned stop may take beyond the maximum
	// timeout of a request.
	stopMargin = 10 * time.Second
	// unreadyDelay is how long a stopping host still accepts requests, so that
	// the load balancer can notice that it is not ready.
	unreadyDelay = 2 * time.Second
)

// A Process is the process of one host. New creates it.
type Process struct {
	settings settings.Settings
	log      *zap.Logger
	registry *prometheus.Registry
	caller   net.Listener
	admin    net.Listener
	link     *peer.Link
	engines  *engine.Client
	loop     *control.Loop
	follower *configsync.Follower
	guard    *suspect.Guard
	traffic  *traffic.Server
	sweeper  *plain.Sweeper
	plain    *plain.Handler
	stopping atomic.Bool
}

// New loads the host's keys, opens its listeners and assembles the process. An error
// names the settings key at fault.
func New(s settings.Settings, log *zap.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, registry: prometheus.NewRegistry(), engines: &engine.Client{}}
	identity, err := peer.Credentials{
		Authority:   s.Keys.Authority,
		Certificate: s.Keys.Certificate,
		Key:         s.Keys.Key,
	}.Load()
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	if identity.Name != s.Host.Name {
		return nil, errors.Errorf("keys.certificate: is for host %s, not %s", identity.Name, s.Host.Name)
	}
	if p.caller, err = net.Listen("tcp", s.Listen.Caller.String()); err != nil {
		return nil, errors.Wrap(err, "listen.caller")
	}
	if p.admin, err = net.Listen("tcp", s.Listen.Admin.String()); err != nil {
		return nil, errors.Wrap(err, "listen.admin")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Listen.Peer))
	if err != nil {
		return nil, errors.Wrap(err, "listen.peer")
	}
	p.link = &peer.Link{Identity: identity, Conn: conn, Log: log, Region: p.regionOf}
	return p, p.assemble()
}

// assemble creates the components and connects them.
func (p *Process) assemble() error {
	s := p.settings
	objects, err := remote.New(s.Platform.Address)
	if err != nil {
		return errors.Wrap(err, "platform.address")
	}
	metrics := &control.Metrics{}
	metrics.Register(p.registry)
	routePolicy, runnerPolicy := schedulingPolicies(s.Policy)
	p.loop = &control.Loop{
		RoutePolicy:  routePolicy,
		RunnerPolicy: runnerPolicy,
		Self: host.Identity{
			Name:        s.Host.Name,
			Incarnation: newIncarnation(),
			Peer:        s.Listen.Peer,
			Zone:        s.Host.Zone,
		},
		Region:             s.Host.Region,
		Store:              objects,
		Engines:            p.engines,
		Link:               p.link,
		Log:                p.log,
		LeaseTiming:        lease.Timing{Duration: s.Lease.Duration, RenewInterval: s.Lease.RenewalInterval},
		MaxTimeout:         s.Limits.MaxDeadline,
		MaxQueue:           s.Limits.Queue,
		LoadRate:           s.Load.Rate,
		MaxConcurrentLoads: s.Load.InFlight,
		Metrics:            metrics,
	}
	p.loop.Start()
	p.follower = &configsync.Follower{
		Host:       s.Host.Name,
		Seeds:      p.seedNames(),
		Store:      objects,
		Peers:      configsync.PeerLink{Link: p.link, Resolve: p.findPeer},
		Successors: p.regionPeers,
		Publish:    p.loop.Configure,
		Log:        p.log,
	}
	p.sweeper = &plain.Sweeper{Store: objects, Host: s.Host.Name, Log: p.log}
	budgets := &retryBudget{}
	p.plain = &plain.Handler{
		Store:          objects,
		RetryBudget:    budgets,
		Region:         s.Host.Region,
		Log:            p.log,
		MaxBodyBytes:   int64(s.Limits.Body),
		DefaultTimeout: s.Limits.DefaultDeadline,
		MaxTimeout:     s.Limits.MaxDeadline,
	}
	p.guard = &suspect.Guard{
		Host:        s.Host.Name + "/" + p.loop.Self.Incarnation,
		Store:       objects,
		NotifyPeers: p.notifyPeers,
		Log:         p.log,
	}
	limits := traffic.Limits{
		MaxBodyBytes:   int64(s.Limits.Body),
		MaxRequests:    s.Limits.Requests,
		DefaultTimeout: s.Limits.DefaultDeadline,
		MaxTimeout:     s.Limits.MaxDeadline,
	}
	p.traffic = &traffic.Server{
		Plain:              p.plain,
		RetryBudget:        budgets,
		Quarantine:         p.guard,
		Control:            p.loop,
		Engine:             p.engines,
		Link:               p.link,
		Log:                p.log,
		CrossRegionLimiter: traffic.NewCrossRegionLimiter(s.Limits.CrossRegionRate, limits),
		Limits:             limits,
	}
	p.registry.MustRegister(p.traffic.Collectors()...)
	p.guard.Cancel = func(id, _ string) { p.traffic.CancelRun(id) }
	return nil
}

// schedulingPolicies returns the policy by which runners are chosen for a request,
// and the policy by which a runner's owner orders loads and evictions.
func schedulingPolicies(p settings.Policy) (route.Policy, runner.Policy) {
	switch p.Kind {
	case settings.LeastLoaded:
		return route.LeastLoaded{}, runner.LRU{}
	case settings.Random:
		return route.Random{}, runner.LRU{}
	default:
		return route.Rendezvous{Weight: p.Weight}, runner.AgedLFU{Weight: p.Weight}
	}
}

// Run serves until ctx ends and then performs a planned stop. If the process ends
// for another reason, the error gives it.
func (p *Process) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, run := errgroup.WithContext(run)
	admin := &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(p.log)}
	group.Go(func() error { p.loop.Run(run); return nil })
	group.Go(func() error { return ignoreCanceled(p.follower.Run(run)) })
	group.Go(func() error { p.sweeper.Run(run); return nil })
	group.Go(func() error { p.plain.Run(run); return nil })
	group.Go(func() error { p.engines.Run(run); return nil })
	group.Go(func() error { return ignoreCanceled(p.guard.Run(run)) })
	group.Go(func() error { return p.link.Serve(run, p.servePeer) })
	group.Go(func() error { return p.traffic.Serve(p.caller) })
	group.Go(func() error { return ignoreServerClosed(admin.Serve(p.admin)) })
	group.Go(func() error {
		var err error
		select {
		case <-ctx.Done():
			p.stop()
		case <-p.loop.Stopped():
			err = errors.New("another process runs under this host's name")
		case <-run.Done():
		}
		limit, release := p.stopContext()
		defer release()
		p.finishRequests(limit)
		_ = admin.Close()
		cancel()
		return err
	})
	err := group.Wait()
	_ = p.link.Close()
	p.engines.Close()
	return err
}

// stopContext returns a context that limits the time to stop the process. When it
// ends, every request has passed its deadline.
func (p *Process) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), p.settings.Limits.MaxDeadline+stopMargin)
}

// finishRequests waits for the requests in progress and accepts no new ones.
func (p *Process) finishRequests(ctx context.Context) {
	if err := p.traffic.Shutdown(ctx); err != nil {
		p.log.Error("host: requests in progress were aborted", zap.Error(err))
	}
	p.plain.Wait()
}

// stop performs a planned stop: it hands the runners over and waits for the requests
// in progress.
func (p *Process) stop() {
	p.log.Info("host: planned stop")
	ctx, cancel := p.stopContext()
	defer cancel()
	p.stopping.Store(true)
	time.Sleep(unreadyDelay)
	if err := p.loop.Stop(ctx); err != nil {
		p.log.Error("host: not all runners were handed over", zap.Error(err))
	}
	p.finishRequests(ctx)
	if err := p.loop.WaitDrained(ctx); err != nil {
		p.log.Error("host: not all drains were reported to the new owners", zap.Error(err))
	}
	p.log.Info("host: stopped")
}

// ignoreCanceled returns nil for the error of a component that ended with its
// context, and any other error unchanged.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ignoreServerClosed returns nil for the error of a server that was closed, and any
// other error unchanged.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// newIncarnation returns a random name for this incarnation of the host.
func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
