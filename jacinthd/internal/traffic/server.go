// Package traffic is the caller API and the path of a request through a host.
//
// A completion goes from the host that its caller reached (the entry host) to
// the host that owns a runner, and from there to the runner's engine; the two
// hosts may be one. Only the owner takes tickets and speaks to the engine. The
// entry host picks runners, retries and resumes:
//
//   - a try with the verdict NotRun, or any try whose answer has not reached the
//     caller by a single byte, may be followed by a try on the next runner,
//     within the retry budget and never past the deadline;
//   - an answer that broke after its first byte goes on only where it began, at
//     its offset: on the same engine, through the runner's owner of that time;
//     where that fails it ends with an explicit error;
//   - a refusal is given at once.
//
// A ticket ends after the last byte, a confirmed cancel or a clean refusal; a
// request whose fate is unknown ends its ticket as Lost. An owner whose link to
// the entry host broke holds the ticket for a while, so that the entry host may
// resume, and then cancels.
//
// Goroutines here belong to requests; they read control's view and never touch
// its state.
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

// A Plain serves the calls of plain services.
type PlainHandler interface {
	// Serve answers one call of who to svc. path is the decoded path behind the
	// service's name, with its leading slash and without dot segments.
	Serve(w http.ResponseWriter, r *http.Request, who caller.Caller, svc service.Service, path string, targets []target.Target)
}

// A Budget limits retries.
type RetryBudget interface {
	// Succeeded counts a request that was answered.
	Succeeded(service string)
	// Retry takes the leave for one retry; false where the budget is spent.
	Retry(service string) bool
}

// Quarantine remember requests that were in progress when targets crashed.
type Quarantine interface {
	// Refused reports whether a request with this fingerprint is to be refused.
	Refused(fingerprint string) bool
	// Enter asks for leave to run a request on a runner; id names the run. Its
	// error is a *verdict.Error with NotRun. Where it is nil, Leave follows.
	Enter(ctx context.Context, fingerprint, id, runner string) error
	// Leave says that a run has ended; whole, that it was answered whole.
	Leave(fingerprint, id string, whole bool)
	// CrashedRun records that a run was in progress at a crash.
	CrashedRun(fingerprint, id, crash string)
	// Crashed records a crash of which another host told. The same crash may be
	// recorded by several hosts and several times; its name tells that it is the
	// same.
	Crashed(fingerprint, crash string)
}

// Limits bound what a caller may ask for. A zero field means its default.
type Limits struct {
	MaxBodyBytes    int64         // largest request body in bytes; 1 MiB
	MaxHeaderBytes  int           // largest request header in bytes; 32 KiB
	MaxTokens       int           // most tokens of one answer; 4096
	MaxRequests     int           // most completions of callers in progress at once; 2048
	DefaultTimeout  time.Duration // distance of the deadline where a request names none; 30 s
	MaxTimeout      time.Duration // most distant deadline that a request may name; 5 min
	CallerIOTimeout time.Duration // a caller that takes no byte for so long is gone; 10 s
	// ResumeTimeout is how long an answer that broke waits for its runner to be
	// reachable again, and an owner for a lost entry host to resume; 10 s.
	ResumeTimeout time.Duration
}

func (l Limits) filled() Limits {
	fill(&l.MaxBodyBytes, 1<<20)
	fill(&l.MaxHeaderBytes, 32<<10)
	fill(&l.MaxTokens, 4096)
	fill(&l.MaxRequests, 2048)
	fill(&l.DefaultTimeout, 30*time.Second)
	fill(&l.MaxTimeout, 5*time.Minute)
	fill(&l.CallerIOTimeout, 10*time.Second)
	fill(&l.ResumeTimeout, 10*time.Second)
	return l
}

func fill[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// A Server serves callers, and the requests that other hosts forward. Control,
// Engine and Link must be set before the first request, the other fields may be.
type Server struct {
	Control control.Control
	Engine  *engine.Client
	Link    *peer.Link
	// Plain serves plain services; without it they are unknown.
	Plain PlainHandler
	// RetryBudget limits retries; nil leaves only the number of runners.
	RetryBudget RetryBudget
	// Quarantine may be nil: then no request is refused for crashes.
	Quarantine Quarantine
	// CrossRegionLimiter limits the bytes a second that requests to other regions may be
	// worth; nil sets no limit.
	CrossRegionLimiter *rate.Limiter
	Limits             Limits
	Log                *zap.Logger

	once   sync.Once
	limits Limits
	log    *zap.Logger
	server *http.Server

	flights flights
	runs    runs
	shelf   shelf
	tasks   tasks
	// present counts the completions of callers in progress.
	present atomic.Int64
	meters  meters
}

func (s *Server) open() {
	s.once.Do(func() {
		s.limits = s.Limits.filled()
		s.log = s.Log
		if s.log == nil {
			s.log = zap.NewNop()
		}
		s.meters = newMeters()
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
	s.open()
	return s.server.Handler
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(s.named)
	r.Post("/v1/completions", s.completions)
	r.Get("/v1/models", s.models)
	r.HandleFunc("/service/{name}", s.service)
	r.HandleFunc("/service/{name}/*", s.service)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { fail(w, errNoPath) })
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) { failWith(w, http.StatusMethodNotAllowed, errNoMethod) })
	return r
}

// Serve serves callers on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	s.open()
	err := s.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "traffic: serve")
}

// Shutdown takes no new connection and returns once all requests, those of
// callers and those that other hosts forwarded, have ended, or with ctx's
// error. The link must go on being served until then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.open()
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "traffic: shutdown")
	}
	return s.tasks.wait(ctx)
}

// tasks counts what must end before a planned stop does.
type tasks struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when the count falls to 0; nil if nobody waits
}

func (t *tasks) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *tasks) wait(ctx context.Context) error {
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
