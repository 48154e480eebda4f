// Package process puts the parts of a host's process together: it opens what
// the host listens on, starts the goroutines, and carries out a planned stop.
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
	// headerTimeout limits the reading of a request's header.
	headerTimeout = 10 * time.Second
	// incarnationSize is the length of an incarnation's name, in bytes.
	incarnationSize = 8
	// stopMargin is how long a planned stop may take beyond the latest deadline
	// of a request.
	stopMargin = 10 * time.Second
	// unreadyPeriod is how long a stopping host still takes requests, so that
	// the balancer sees that it is not ready.
	unreadyPeriod = 2 * time.Second
)

// A Process is one host's process. Use New.
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

// New opens what the host listens on and loads its keys. An error names the
// settings key at fault.
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

// assemble makes the parts and tells them of each other.
func (p *Process) assemble() error {
	s := p.settings
	objects, err := remote.New(s.Platform.Address)
	if err != nil {
		return errors.Wrap(err, "platform.address")
	}
	metrics := &control.Metrics{}
	metrics.Register(p.registry)
	routing, order := policies(s.Policy)
	p.loop = &control.Loop{
		RoutePolicy:  routing,
		RunnerPolicy: order,
		Self: host.Identity{
			Name:        s.Host.Name,
			Incarnation: incarnation(),
			Peer:        s.Listen.Peer,
			Zone:        s.Host.Zone,
		},
		Region:             s.Host.Region,
		Store:              objects,
		Engines:            p.engines,
		Link:               p.link,
		Log:                p.log,
		Terms:              lease.Timing{Duration: s.Lease.Duration, RenewInterval: s.Lease.RenewalInterval},
		MaxTimeout:         s.Limits.MaxDeadline,
		MaxQueue:           s.Limits.Queue,
		LoadRate:           s.Load.Rate,
		MaxConcurrentLoads: s.Load.InFlight,
		Metrics:            metrics,
	}
	p.loop.Start()
	p.follower = &configsync.Follower{
		Host:       s.Host.Name,
		Seeds:      p.seeds(),
		Store:      objects,
		Peers:      configsync.PeerLink{Link: p.link, Resolve: p.find},
		Successors: p.ring,
		Publish:    p.loop.Configure,
		Log:        p.log,
	}
	p.sweeper = &plain.Sweeper{Store: objects, Host: s.Host.Name, Log: p.log}
	budgets := &budget{}
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
		NotifyPeers: p.tell,
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

// policies returns how runners are chosen, and how a runner's owner orders its
// loads and evictions.
func policies(p settings.Policy) (route.Policy, runner.Policy) {
	switch p.Kind {
	case settings.LeastLoaded:
		return route.LeastLoaded{}, runner.LRU{}
	case settings.Random:
		return route.Random{}, runner.LRU{}
	default:
		return route.Rendezvous{Weight: p.Weight}, runner.AgedLFU{Weight: p.Weight}
	}
}

// Run serves until ctx ends, and then carries out a planned stop. Its error
// says what ended the process otherwise.
func (p *Process) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, run := errgroup.WithContext(run)
	admin := &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(p.log)}
	group.Go(func() error { p.loop.Run(run); return nil })
	group.Go(func() error { return ended(p.follower.Run(run)) })
	group.Go(func() error { p.sweeper.Run(run); return nil })
	group.Go(func() error { return ended(p.guard.Run(run)) })
	group.Go(func() error { return p.link.Serve(run, p.serve) })
	group.Go(func() error { return p.traffic.Serve(p.caller) })
	group.Go(func() error { return served(admin.Serve(p.admin)) })
	group.Go(func() error {
		var err error
		select {
		case <-ctx.Done():
			p.stop()
		case <-p.loop.Stopped():
			err = errors.New("another process runs under this host's name")
		case <-run.Done():
		}
		limit, release := p.limit()
		defer release()
		p.finish(limit)
		_ = admin.Close()
		cancel()
		return err
	})
	err := group.Wait()
	_ = p.link.Close()
	p.engines.Close()
	return err
}

// limit bounds the end of the process: by then every request has passed its deadline.
func (p *Process) limit() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), p.settings.Limits.MaxDeadline+stopMargin)
}

// finish lets what is in progress end and takes nothing new.
func (p *Process) finish(ctx context.Context) {
	if err := p.traffic.Shutdown(ctx); err != nil {
		p.log.Error("host: requests cut", zap.Error(err))
	}
	p.plain.Wait()
}

// stop hands the runners over and lets what is in progress finish.
func (p *Process) stop() {
	p.log.Info("host: planned stop")
	ctx, cancel := p.limit()
	defer cancel()
	p.stopping.Store(true)
	time.Sleep(unreadyPeriod)
	if err := p.loop.Stop(ctx); err != nil {
		p.log.Error("host: runners not handed over", zap.Error(err))
	}
	p.finish(ctx)
	if err := p.loop.WaitDrained(ctx); err != nil {
		p.log.Error("host: new owners not told", zap.Error(err))
	}
	p.log.Info("host: stopped")
}

// ended drops the error of a part that ended with its context.
func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// served drops the error of a server that was closed.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func incarnation() string {
	var b [incarnationSize]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
