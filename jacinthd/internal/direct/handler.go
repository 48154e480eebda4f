package direct

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/retry"
)

const (
	// defaultBody is the largest body of a request where the configuration sets none, in bytes.
	defaultBody = 4 << 20
	// readLimit is how long a caller may take to send a body.
	readLimit = 5 * time.Second
	// longest is the deadline of a request whose caller and route set none.
	longest = 60 * time.Second
	// unconfigured is when a caller may come back that a host without a
	// configuration refused.
	unconfigured = 500 * time.Millisecond
)

// A Handler serves callers. Its fields must be set.
type Handler struct {
	Board   *dispatch.Dispatcher
	Headers HeaderCodec
	Pool    *outbound.Pool
	Peers   *Peers
	Budgets *retry.Budgets
	Metrics *Metrics
	Log     *zap.Logger
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Wake is called when a runner may want an order.
	Wake func()
}

// A job is one request of a caller.
type job struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	call    call.Call
	config  uint64 // version that the route is from
	route   catalog.Route
	service string
	body    []byte
	arrived time.Time
	// deadline is when the caller, or the route, waits no longer.
	deadline time.Time
	log      *zap.Logger

	avoid map[string]bool
	runs  int // tries that may have run
	sends int // tries that reached a target
	dials int // tries that reached none
	early int // tries that came before their adapter

	coming bool // the adapter is on its way to the runner that was asked last

	begun   time.Time         // when the answer's head went to the caller
	stall   time.Duration     // waited for the adapter, over all tries
	started bool              // the answer's head went to the caller
	fault   string            // of the last try that failed
	next    *dispatch.Attempt // a place elsewhere, while a target keeps the request waiting
	last    string            // id of the last event that the caller has
	event   time.Time         // when it came
	pause   time.Duration     // the longest between two events
	status  int               // that the caller got
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{Handler: h, w: w, r: r, arrived: time.Now(), log: h.Log}
	defer h.Metrics.begin()()
	if h.Stopping() || len(r.TransferEncoding) > 0 {
		// A chunked body may come with a length as well, by which something on
		// the way may see other bounds of the next request.
		w.Header().Set("Connection", "close")
	}
	if !j.accept() {
		return
	}
	j.serve()
}

// accept reads the request and finds its route. It answers and returns false
// where the request can't be served.
func (j *job) accept() bool {
	var err error
	j.call, err = j.Headers.ParseCall(j.r.Header)
	if err != nil {
		j.refuse(http.StatusBadRequest, err.Error(), 0)
		return false
	}
	j.log = j.Log.With(zap.String("id", j.call.ID))
	config := j.Board.Config()
	if config == nil {
		j.refuse(http.StatusServiceUnavailable, "no configuration yet", unconfigured)
		return false
	}
	j.config = config.Version
	var ok bool
	j.route, ok = config.Route(hostname(j.r.Host), path(j.r.RequestURI))
	if !ok {
		j.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	j.service = j.route.ChooseService(rand.Float64())
	j.Budgets.CountRequest(j.arrived, j.service)
	j.deadline = j.arrived.Add(longest)
	for _, limit := range []time.Duration{j.call.Budget, j.route.Timeout} {
		if limit > 0 && j.arrived.Add(limit).Before(j.deadline) {
			j.deadline = j.arrived.Add(limit)
		}
	}
	return j.readBody(config.Limits.MaxBody)
}

func (j *job) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBody
	}
	if j.r.ContentLength > limit {
		j.w.Header().Set("Connection", "close")
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	control := http.NewResponseController(j.w)
	if err := control.SetReadDeadline(j.arrived.Add(readLimit)); err != nil {
		j.log.Warn("request: no deadline for the body", zap.Error(err))
	}
	var err error
	j.body, err = io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	if err != nil {
		j.badBody(err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		j.log.Warn("request: deadline for the body not taken off", zap.Error(err))
	}
	return true
}

func (j *job) badBody(err error) {
	j.w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		j.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		j.refuse(http.StatusRequestTimeout, "body too slow", 0)
		return
	}
	j.refuse(http.StatusBadRequest, "body can't be read", 0)
}

// refuse answers for the system itself and logs why.
func (j *job) refuse(status int, reason string, after time.Duration) {
	if j.started {
		j.cut(reason)
		return
	}
	j.Headers.SetRefusal(j.w.Header(), j.call.ID, after)
	j.w.Header().Set("Content-Type", "text/plain")
	j.w.WriteHeader(status)
	_, err := io.WriteString(j.w, reason+"\n")
	message := "request: refused"
	if j.runs > 0 {
		message = "request: failed"
	}
	j.finish(message, status, zap.String("reason", reason), zap.String("fault", j.fault),
		zap.Duration("after", after), zap.NamedError("write", err))
}

// cut ends an answer that has begun so that the caller sees that it isn't whole.
func (j *job) cut(reason string) {
	j.finish("request: cut", j.status, zap.String("reason", reason), zap.String("last", j.last))
	panic(http.ErrAbortHandler)
}

// finish logs the end of a request and counts it.
func (j *job) finish(message string, status int, fields ...zap.Field) {
	took := time.Since(j.arrived)
	j.Metrics.ended(j.service, status, took)
	fields = append(fields, zap.Int("status", status), zap.Duration("took", took), zap.Uint64("config", j.config),
		zap.String("route", j.route.Name), zap.Int("sends", j.sends), zap.Int("dials", j.dials), zap.Int("runs", j.runs))
	if j.started {
		fields = append(fields, zap.Duration("first", j.begun.Sub(j.arrived)))
	}
	if j.call.Model != "" {
		fields = append(fields, zap.Duration("stall", j.stall), zap.Duration("pause", j.pause), zap.Int("input", j.call.InputTokens))
		fields = append(fields, zap.String("model", j.call.Model), zap.String("adapter", j.call.Adapter))
	}
	j.log.Info(message, fields...)
}

// hostname returns a Host header without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// path returns the path of a request line's target, as it was sent.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}
