// Package traffic implements the caller API and routes each request through a
// host to an engine.
//
// A completion travels from the host that its caller connected to (the entry
// host) to the host that owns a runner, and from there to the runner's engine.
// One host may have both roles. Only the owner admits requests and
// talks to the engine. The entry host selects runners, retries and resumes:
//
//   - An attempt with the verdict NotRun, or any attempt of which no byte has
//     reached the caller, may be followed by an attempt on the next runner,
//     within the retry budget and never past the deadline.
//   - An answer that broke after its first byte is resumed only at its offset
//     and on the engine that began it, through whichever host owns the runner
//     by then. If that fails, the answer ends with an explicit error.
//   - A refusal is returned at once.
//
// A ticket ends after the last byte, a confirmed cancellation or a clean
// refusal. If it is unknown what became of a request, its ticket ends as Lost.
// An owner that loses its link to the entry host retains the ticket for
// Limits.ResumeTimeout, so that the entry host can resume, and then cancels the
// request.
//
// The goroutines of this package belong to requests. They read the view of
// package control and never touch its state.
package traffic

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// A PlainHandler serves calls to plain services.
type PlainHandler interface {
	// Serve answers one call of the caller from to svc. path is the decoded path
	// after the service's name, with its leading slash and without dot segments.
	Serve(w http.ResponseWriter, r *http.Request, from caller.Caller, svc service.Service, path string, targets []target.Target)
}

// A RetryBudget limits the retries of requests to a service.
type RetryBudget interface {
	// Succeeded counts a request that was answered.
	Succeeded(service string)
	// Retry takes one retry from the service's budget. It returns false if the
	// budget is exhausted.
	Retry(service string) bool
}

// A Quarantine records which requests were in progress when targets crashed,
// and refuses or serializes them. A request is identified by its fingerprint.
type Quarantine interface {
	// Refused reports whether requests with this fingerprint are refused.
	Refused(fingerprint string) bool
	// Enter requests permission to run a request on a runner. id identifies the
	// run. An error is a *verdict.Error with NotRun. If Enter succeeds, Leave is
	// called when the run has ended.
	Enter(ctx context.Context, fingerprint, id, runner string) error
	// Leave reports that a run has ended, and whether its answer was complete.
	Leave(fingerprint, id string, complete bool)
	// CrashedRun records that a run was in progress when its target crashed.
	CrashedRun(fingerprint, id, crash string)
	// Crashed records a crash that another host reported. The same crash may be
	// recorded several times and by several hosts; it is recognized by the
	// ID crash.
	Crashed(fingerprint, crash string)
}

// Limits bounds what a caller may request. A zero field selects its default.
type Limits struct {
	MaxBodyBytes    int64         // largest request body; default 1 MiB
	MaxHeaderBytes  int           // largest request header; default 32 KiB
	MaxTokens       int           // largest number of tokens of an answer; default 4096
	MaxRequests     int           // largest number of callers' completions in progress at once; default 2048
	DefaultTimeout  time.Duration // time limit of a request without a deadline; default 30 s
	MaxTimeout      time.Duration // longest time limit that a request may set; default 5 min
	CallerIOTimeout time.Duration // time to send a header or accept a write, after which a caller counts as gone; default 10 s
	// ResumeTimeout is how long the entry host waits without progress for the
	// runner of a broken answer to become reachable again, and how long an owner
	// retains a ticket for a lost entry host; default 10 s.
	ResumeTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, 1<<20)
	setDefault(&l.MaxHeaderBytes, 32<<10)
	setDefault(&l.MaxTokens, 4096)
	setDefault(&l.MaxRequests, 2048)
	setDefault(&l.DefaultTimeout, 30*time.Second)
	setDefault(&l.MaxTimeout, 5*time.Minute)
	setDefault(&l.CallerIOTimeout, 10*time.Second)
	setDefault(&l.ResumeTimeout, 10*time.Second)
	return l
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// A Server serves callers and the requests that other hosts forward. Control,
// Engine and Link must be set before the first request; the other fields are
// optional.
type Server struct {
	Control control.Control
	Engine  *engine.Client
	Link    *peer.Link
	// Plain serves plain services. If nil, they are answered as unknown.
	Plain PlainHandler
	// RetryBudget limits retries. If nil, only the number of runners does.
	RetryBudget RetryBudget
	// Quarantine refuses requests that crash targets. If nil, none are refused.
	Quarantine Quarantine
	// CrossRegionLimiter limits the estimated bytes per second of requests to
	// other regions. If nil, there is no limit.
	CrossRegionLimiter *rate.Limiter
	Limits             Limits
	Log                *zap.Logger

	once   sync.Once
	limits Limits
	log    *zap.Logger
	server *http.Server

	forwarded forwardTable
	runs      runTable
	catalogs  catalogCache
	active    taskGroup
	// inProgress counts the completions of callers that are in progress.
	inProgress atomic.Int64
	metrics    metrics
}

func (s *Server) setup() {
	s.once.Do(func() {
		s.limits = s.Limits.withDefaults()
		s.log = s.Log
		if s.log == nil {
			s.log = zap.NewNop()
		}
		s.metrics = newMetrics()
		s.server = &http.Server{
			Handler:           s.routes(),
			ReadHeaderTimeout: s.limits.CallerIOTimeout,
			IdleTimeout:       2 * time.Minute,
			MaxHeaderBytes:    s.limits.MaxHeaderBytes,
			ErrorLog:          zap.NewStdLog(s.log),
		}
	})
}

// Handler returns the caller API.
func (s *Server) Handler() http.Handler {
	s.setup()
	return s.server.Handler
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(s.withRequestID)
	r.Post("/v1/completions", s.serveCompletions)
	r.Get("/v1/models", s.listModels)
	r.HandleFunc("/service/{name}", s.servePlain)
	r.HandleFunc("/service/{name}/*", s.servePlain)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { writeError(w, errNoPath) })
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeErrorStatus(w, http.StatusMethodNotAllowed, errNoMethod)
	})
	return r
}

// Serve serves callers on listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	s.setup()
	err := s.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "traffic: serve")
}

// Shutdown stops accepting connections and returns once all requests have
// ended, those of callers and those forwarded by other hosts, or with ctx's
// error. The link must be served until then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.setup()
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "traffic: shutdown")
	}
	return s.active.waitIdle(ctx)
}

// taskGroup counts the tasks that Shutdown waits for. Unlike a sync.WaitGroup,
// it can be waited for with a context.
type taskGroup struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count falls to 0; nil if nothing waits for it
}

func (t *taskGroup) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *taskGroup) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *taskGroup) waitIdle(ctx context.Context) error {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "traffic: shutdown")
	}
}
