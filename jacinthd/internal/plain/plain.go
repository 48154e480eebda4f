// Package plain serves calls to plain services. It proxies the call to a target and
// the answer back to the caller.
//
// Calls that the service lists as idempotent may be retried on another target until
// the first byte of the answer has reached the caller, within the retry budget. All
// other calls run at most once: package ledger makes the decisions, and this package
// carries out its actions on the object API and the targets. Such a call is sent over
// a new connection, so that no call is lost to an idle connection that has gone dead.
//
// Package outbound sends the calls and reads the answers: it never retries a call by
// itself, and an answer that isn't usable, or that may be cut off, is an error.
package plain

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/service"
	"jacinthstage/stage/store"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline"

	// maxKeyBytes is the length of the longest idempotency key.
	maxKeyBytes = 256
	// maxIdlePerTarget is the number of idle connections kept to each target.
	maxIdlePerTarget = 32
)

// A RetryBudget limits the retries of calls to a service.
type RetryBudget interface {
	// Succeeded counts a call that was answered.
	Succeeded(service string)
	// Retry takes one retry from the service's budget. It returns false if the
	// budget is exhausted.
	Retry(service string) bool
}

// A Handler serves calls. Store must be set before the first call. The other fields
// are optional; a zero field selects its default.
type Handler struct {
	Store       store.Store
	RetryBudget RetryBudget // if nil, only the number of targets limits retries
	Region      string      // this host's region, whose targets are tried first
	Log         *zap.Logger

	MaxBodyBytes   int64         // largest request body; default 1 MiB
	DefaultTimeout time.Duration // time limit of a call without a deadline; default 30 s
	MaxTimeout     time.Duration // longest time limit that a call may set; default 2 min
	// IdleTimeout is how long a target may send nothing before its answer counts as
	// lost, and how long a caller may take to accept a write; default 10 s.
	IdleTimeout time.Duration
	// RecordTimeout is how long an answer is held back until its record is written;
	// default 500 ms.
	RecordTimeout time.Duration

	once   sync.Once
	pool   outbound.Pool
	next   atomic.Uint64
	writes sync.WaitGroup
}

func (h *Handler) setup() {
	h.once.Do(func() {
		setDefault(&h.MaxBodyBytes, 1<<20)
		setDefault(&h.DefaultTimeout, 30*time.Second)
		setDefault(&h.MaxTimeout, 2*time.Minute)
		setDefault(&h.IdleTimeout, 10*time.Second)
		setDefault(&h.RecordTimeout, 500*time.Millisecond)
		if h.Log == nil {
			h.Log = zap.NewNop()
		}
		h.pool.Dial = outbound.Dialer(netip.Addr{}).DialContext
		h.pool.SetMaxIdle(maxIdlePerTarget)
	})
}

func setDefault[T int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Run closes idle connections that have expired until ctx ends, and then all of them.
func (h *Handler) Run(ctx context.Context) { h.pool.Run(ctx) }

// Wait returns once the records of all calls that have ended are written or have
// failed to be written in time.
func (h *Handler) Wait() { h.writes.Wait() }

// A call is a call that the handler processes.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	service  string
	path     string
	body     []byte
	deadline time.Time
	targets  []target.Target
}

// Serve answers one call of the caller from to svc. path is the path after the
// service's name. targets are the targets that may be tried.
func (h *Handler) Serve(w http.ResponseWriter, r *http.Request, from caller.Caller, svc service.Service, path string, targets []target.Target) {
	h.setup()
	c, err := h.readCall(w, r, svc, path, targets)
	if err != nil {
		apierror.Write(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if isIdempotent(svc, r.Method, path) {
		c.serveIdempotent(ctx)
		return
	}
	key := r.Header.Get(headerKey)
	if key == "" || len(key) > maxKeyBytes {
		apierror.Write(w, verdict.Refuse(verdict.Malformed, "a call that may run only once needs "+headerKey+", of at most 256 bytes"))
		return
	}
	c.serveOnce(ctx, from.Name, key)
}

// readCall reads the call's deadline and body.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request, svc service.Service, path string, targets []target.Target) (*call, error) {
	deadline, err := h.parseDeadline(r, time.Now())
	if err != nil {
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, verdict.Refuse(verdict.TooLarge, "the body is over %d bytes", large.Limit)
	}
	if err != nil {
		return nil, verdict.Refuse(verdict.Malformed, "the body can't be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return &call{h: h, w: w, r: r, service: svc.Name, path: path, body: body, deadline: deadline, targets: h.orderTargets(targets)}, nil
}

// parseDeadline returns the time by which the call must have ended.
func (h *Handler) parseDeadline(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(h.DefaultTimeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	switch {
	case err != nil:
		return deadline, verdict.Refuse(verdict.Malformed, headerDeadline+" is not a time in RFC 3339")
	case !deadline.After(now):
		return deadline, verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed")
	case deadline.After(now.Add(h.MaxTimeout)):
		return now.Add(h.MaxTimeout), nil
	default:
		return deadline, nil
	}
}

// orderTargets returns the targets in round-robin order, with those of this host's
// region first.
func (h *Handler) orderTargets(targets []target.Target) []target.Target {
	if len(targets) == 0 {
		return nil
	}
	first := int(h.next.Add(1) % uint64(len(targets)))
	ordered := append(slices.Clone(targets[first:]), targets[:first]...)
	slices.SortStableFunc(ordered, func(a, b target.Target) int { return h.regionRank(a) - h.regionRank(b) })
	return ordered
}

// regionRank returns 0 for a target of this host's region and 1 for any other.
func (h *Handler) regionRank(t target.Target) int {
	if t.Region == h.Region {
		return 0
	}
	return 1
}

// isIdempotent reports whether svc lists calls with this method and path as
// idempotent.
func isIdempotent(svc service.Service, method, path string) bool {
	if svc.Plain == nil {
		return false
	}
	return slices.ContainsFunc(svc.Plain.Idempotent, func(c service.Call) bool {
		return c.Method == method && strings.HasPrefix(path, c.Path)
	})
}
