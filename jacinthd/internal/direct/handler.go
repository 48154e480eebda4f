// Package direct serves callers by sending their requests directly to targets.
//
// Each request is handled by its own goroutine, which matches the route, asks the
// dispatch.Dispatcher for a target, sends the request and forwards the answer as it
// arrives.
//
// The verdict on a failed attempt decides whether the request is sent again. A
// request that certainly did not run may go to another target. A request that
// may have run is sent again only if its route allows repeats. No request is
// sent again after its deadline or beyond the retry budget. A request that did
// not run and cannot be served is refused immediately.
package direct

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/callers"
	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/metrics"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/account"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/connection"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/duration"
	"jacinthstage/stage/memory"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/retry"
	"jacinthstage/stage/suspect"
)

const (
	// defaultTimeout is the time limit of a request; the caller and the route may
	// set shorter ones.
	defaultTimeout = 60 * time.Second
	// unconfiguredRetryAfter is the time after which a caller may try again if the
	// host has no configuration yet, or another host has a newer one.
	unconfiguredRetryAfter = 500 * time.Millisecond
)

// A Handler serves the requests of callers. All fields but Memory must be set.
type Handler struct {
	Dispatcher *dispatch.Dispatcher
	Headers    outbound.HeaderCodec
	Pool       *outbound.Pool
	Peers      *peers.Group
	Budgets    *retry.Budgets
	Suspects   *contact.Suspects
	Reach      *contact.Reach
	Quotas     *quota.Keeper
	Metrics    *metrics.Host
	Log        *zap.Logger
	// Memory is the account of what is held for callers. nil means no limit.
	Memory *memory.Budget
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Draining reports whether requests that have not arrived whole are refused, since the process
	// ends soon.
	Draining func() bool
	// LastAnswer returns the time by which a planned stop that has begun ends all requests, else the
	// zero time.
	LastAnswer func() time.Time
	// Wake is called when a runner may need an order.
	Wake func()
	// CatchUp returns once the Dispatcher knows of all targets that the platform has acknowledged.
	CatchUp func(ctx context.Context) error

	durations duration.Means // of answered requests, from when they were sent
}

// A callerRequest is one request of a caller, with the state of its attempts.
type callerRequest struct {
	*Handler
	w           http.ResponseWriter
	r           *http.Request
	call        call.Call
	config      uint64            // version of the configuration that route is from
	accounts    bool              // that configuration has client accounts
	account     account.Account   // of the caller; the zero value if it has none
	authorized  uint64            // version of the configuration that the key was last looked up in
	reservation quota.Reservation // in the quota of the account
	mayRun      bool              // an attempt may have run the request

	route      catalog.Route
	service    string
	body       []byte
	held       *memory.Holding   // holds body; nil until it is read
	connection *connection.Entry // on which the request arrived; may be nil
	identity   suspect.Request   // see suspectRequest; zero until it is needed
	trial      bool              // the request may be sent although a trait of it is refused
	cleared    bool              // an answer has shown that the request crashes no target
	arrived    time.Time
	// deadline is the earliest of the caller's deadline, the route's and the default.
	deadline time.Time
	log      *zap.Logger

	avoid        map[string]bool // targets that further attempts do not use
	runs         int             // attempts that may have run
	sends        int             // attempts that reached a target
	dialFailures int             // attempts that could not connect
	loadFailures int             // attempts that ended because the adapter was not loaded

	adapterLoading bool // whether the runner of the last load request is still loading the adapter

	headTime      time.Time         // when the head of the answer was sent to the caller
	stall         time.Duration     // time spent waiting for the adapter, over all attempts
	headSent      bool              // whether the head of the answer was sent to the caller
	lastFailure   string            // description of the last failed attempt
	via           string            // host through which the last attempt was sent; empty if it was sent from here
	reserved      *dispatch.Attempt // reserved on another target for the next attempt; nil if none is
	events        eventOrder        // those that the caller has
	mayBeWhole    bool              // the stream ended between two events, and its target may have ended with it before its end
	admitted      bool              // the request may use room that is short
	bound         bool              // only targets of build may run the request
	build         string            // that began the stream
	lastEventTime time.Time         // when the last event arrived
	maxEventGap   time.Duration     // longest time between two events
	status        int               // status code sent to the caller
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &callerRequest{Handler: h, w: w, r: r, arrived: time.Now(), log: h.Log, connection: callers.Entry(r.Context())}
	defer req.release()
	defer h.Metrics.RequestStarted()()
	if h.Stopping() || len(r.TransferEncoding) > 0 {
		// A request with a chunked body may also have a Content-Length header, so
		// an intermediary may place the start of the next request elsewhere.
		// Closing the connection prevents request smuggling.
		w.Header().Set("Connection", "close")
	}
	defer req.releaseQuota()
	if !req.accept() {
		return
	}
	req.serve()
}

// accept reads the request and finds its route. If the request can't be served,
// accept sends the refusal and returns false.
func (req *callerRequest) accept() bool {
	req.limitReadTime()
	if req.refuseLate() {
		return false
	}
	var err error
	req.call, err = req.Headers.ParseCall(req.r.Header)
	if err != nil {
		req.refuse(http.StatusBadRequest, err.Error(), 0)
		return false
	}
	req.log = req.Log.With(zap.String("id", req.call.ID))
	config := req.Dispatcher.Config()
	if config == nil {
		req.refuse(http.StatusServiceUnavailable, "no configuration yet", unconfiguredRetryAfter)
		return false
	}
	req.config, req.authorized = config.Version, config.Version
	var ok bool
	req.route, ok = config.Route(hostname(req.r.Host), path(req.r.RequestURI))
	if !ok {
		req.refuseUnknown(http.StatusNotFound, "no route")
		return false
	}
	if !req.authorize(config) {
		req.refuseUnknown(http.StatusUnauthorized, "unknown key")
		return false
	}
	req.service = req.route.ChooseService(rand.Float64())
	req.Budgets.CountRequest(req.arrived, req.service)
	req.deadline = req.arrived.Add(defaultTimeout)
	for _, limit := range []time.Duration{req.call.Budget, req.route.Timeout} {
		if limit > 0 && req.arrived.Add(limit).Before(req.deadline) {
			req.deadline = req.arrived.Add(limit)
		}
	}
	return req.reserveQuota() && req.readBody(config.Limits.MaxBody) && !req.refuseLate()
}

// refuse sends an answer that this host generates itself, and logs the reason. If
// the answer has begun already, refuse aborts it.
func (req *callerRequest) refuse(status int, reason string, after time.Duration) {
	if req.headSent {
		req.abort(reason)
		return
	}
	req.Headers.SetRefusal(req.w.Header(), req.call.ID, after)
	req.w.Header().Set("Content-Type", "text/plain")
	req.w.WriteHeader(status)
	_, err := io.WriteString(req.w, reason+"\n")
	message := "request: refused"
	if req.runs > 0 {
		message = "request: failed"
	}
	req.finish(message, status, zap.String("reason", reason), zap.String("fault", req.lastFailure),
		zap.Duration("after", after), zap.NamedError("write", err))
}

// abort ends an answer that has begun so that the caller can tell that it is incomplete.
func (req *callerRequest) abort(reason string) {
	req.finish("request: answer aborted", req.status, zap.String("reason", reason), zap.String("last", req.events.last))
	req.breakOff()
}

// abandon ends a request whose caller has left. A caller may have closed its own side of the
// connection only and still read, so that an answer that has begun must not look complete.
func (req *callerRequest) abandon(fields ...zap.Field) {
	req.finish("request: caller left", req.status, fields...)
	if req.headSent {
		req.breakOff()
	}
}

// breakOff ends the answer so that it looks incomplete.
func (req *callerRequest) breakOff() { callers.BreakOff(req.w, req.r, req.log) }

// finish logs the end of the request and records it in the metrics.
func (req *callerRequest) finish(message string, status int, fields ...zap.Field) {
	duration := time.Since(req.arrived)
	req.Metrics.RequestEnded(req.service, req.account.Name, status, duration)
	fields = append(fields, zap.Int("status", status), zap.Duration("took", duration), zap.Uint64("config", req.config),
		zap.String("route", req.route.Name), zap.Int("sends", req.sends), zap.Int("dials", req.dialFailures), zap.Int("runs", req.runs))
	if req.account.Name != "" {
		fields = append(fields, zap.String("account", req.account.Name))
	}
	if req.via != "" {
		fields = append(fields, zap.String("via", req.via))
	}
	if req.headSent {
		fields = append(fields, zap.Duration("first", req.headTime.Sub(req.arrived)))
	}
	if req.call.Model != "" {
		fields = append(fields, zap.Duration("stall", req.stall), zap.Duration("pause", req.maxEventGap), zap.Int("input", req.call.InputTokens))
		fields = append(fields, zap.String("model", req.call.Model), zap.String("adapter", req.call.Adapter))
	}
	req.log.Info(message, fields...)
}

// hostname returns the host of a Host header, in lower case and without the port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// path returns the path of a request target, not decoded.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}
