// Package plain serves the calls of plain services: it passes them through to a
// target, body and all, both ways.
//
// Calls that the service lists as idempotent may be repeated on another target
// before their first byte has reached the caller, within the retry budget. All
// others run at most once: package ledger decides, and this package carries out
// its actions on the object API and the targets. Such a call is sent over a
// connection of its own, so that the client library never repeats it by itself
// and an idle connection that went silent costs no call.
package plain

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/service"
	"jacinthstage/stage/store"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline"

	// maxKey is the longest idempotency key, in bytes.
	maxKey = 256
	// dialTime is the time to open a connection to a target.
	dialTime = 2 * time.Second
	// idle connections kept to each target.
	idle = 32
)

// A Budget limits retries.
type RetryBudget interface {
	// Succeeded counts a call that was answered.
	Succeeded(service string)
	// Retry takes the leave for one retry; false where the budget is spent.
	Retry(service string) bool
}

// A Handler serves calls. Store must be set before the first call, the other
// fields may be; a zero field means its default.
type Handler struct {
	Store       store.Store
	RetryBudget RetryBudget // nil leaves only the number of targets
	Region      string      // targets of this region are tried first
	Log         *zap.Logger

	MaxBodyBytes   int64         // largest request body in bytes; 1 MiB
	DefaultTimeout time.Duration // distance of the deadline where a call names none; 30 s
	MaxTimeout     time.Duration // most distant deadline that a call may name; 2 min
	// IdleTimeout is how long a target may go without a byte of its answer; 10 s.
	IdleTimeout time.Duration
	// RecordTimeout is how long an answer may wait for its record to be written; 500 ms.
	RecordTimeout time.Duration

	once   sync.Once
	pooled *http.Client
	single *http.Client
	next   atomic.Uint64
	tasks  sync.WaitGroup
}

func (h *Handler) open() {
	h.once.Do(func() {
		fill(&h.MaxBodyBytes, 1<<20)
		fill(&h.DefaultTimeout, 30*time.Second)
		fill(&h.MaxTimeout, 2*time.Minute)
		fill(&h.IdleTimeout, 10*time.Second)
		fill(&h.RecordTimeout, 500*time.Millisecond)
		if h.Log == nil {
			h.Log = zap.NewNop()
		}
		h.pooled, h.single = client(false), client(true)
	})
}

func fill[T int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// client returns an HTTP client that passes answers on as they are.
func client(single bool) *http.Client {
	dialer := net.Dialer{Timeout: dialTime}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			DisableKeepAlives:   single,
			MaxIdleConnsPerHost: idle,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Wait returns when the records of all calls that have ended are written, or
// could not be written before their deadlines.
func (h *Handler) Wait() { h.tasks.Wait() }

// A call is one request as the handler works on it.
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

// Serve answers one call of who to svc. path is the path behind the service's
// name; targets are those that may be tried.
func (h *Handler) Serve(w http.ResponseWriter, r *http.Request, who caller.Caller, svc service.Service, path string, targets []target.Target) {
	h.open()
	c, err := h.read(w, r, svc, path, targets)
	if err != nil {
		apierror.Write(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if idempotent(svc, r.Method, path) {
		c.repeat(ctx)
		return
	}
	key := r.Header.Get(headerKey)
	if key == "" || len(key) > maxKey {
		apierror.Write(w, verdict.Refuse(verdict.Malformed, "a call that may run only once needs "+headerKey+", of at most 256 bytes"))
		return
	}
	c.once(ctx, who.Name, key)
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request, svc service.Service, path string, targets []target.Target) (*call, error) {
	deadline, err := h.deadline(r, time.Now())
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
	return &call{h: h, w: w, r: r, service: svc.Name, path: path, body: body, deadline: deadline, targets: h.order(targets)}, nil
}

// deadline returns when the call must be over.
func (h *Handler) deadline(r *http.Request, now time.Time) (time.Time, error) {
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

// order returns the targets in turn, those of the own region first.
func (h *Handler) order(targets []target.Target) []target.Target {
	if len(targets) == 0 {
		return nil
	}
	first := int(h.next.Add(1) % uint64(len(targets)))
	turned := append(slices.Clone(targets[first:]), targets[:first]...)
	slices.SortStableFunc(turned, func(a, b target.Target) int { return h.far(a) - h.far(b) })
	return turned
}

func (h *Handler) far(t target.Target) int {
	if t.Region == h.Region {
		return 0
	}
	return 1
}

func idempotent(svc service.Service, method, path string) bool {
	if svc.Plain == nil {
		return false
	}
	return slices.ContainsFunc(svc.Plain.Idempotent, func(c service.CallPattern) bool {
		return c.Method == method && strings.HasPrefix(path, c.Path)
	})
}
