package direct

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/verdict"
)

// An outcome is the result of one attempt.
type outcome interface{ outcome() }

// answered means that the answer was sent to the caller, as far as possible.
type answered struct{}

// notRun means that the target did not run the request.
type notRun struct{ reason string }

// mayHaveRun means that no usable complete answer arrived, so the request may have
// run.
type mayHaveRun struct{ reason string }

// retryableFailure means that the target ran the request and answered with an
// error, and that the request is sent again.
type retryableFailure struct{ status int }

// connectFailed means that no connection could be opened.
type connectFailed struct{ cause error }

// callerGone means that the caller closed its connection.
type callerGone struct{}

// hostStopped means that this host's process ends before the answer has come.
type hostStopped struct{ sent bool }

// deadlinePassed means that the request's deadline passed.
type deadlinePassed struct{}

func (answered) outcome() {}

func (notRun) outcome() {}

func (mayHaveRun) outcome() {}

func (retryableFailure) outcome() {}

func (connectFailed) outcome() {}

func (callerGone) outcome() {}

func (hostStopped) outcome() {}

func (deadlinePassed) outcome() {}

// sendTo sends the request to the attempt's target and forwards the answer.
func (req *callerRequest) sendTo(ctx context.Context, attempt *dispatch.Attempt) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := req.limitStart(attempt, cancel)
	defer start.stop()
	w := &watchdog{}
	if timeout := req.headTimeout(attempt); timeout > 0 {
		w.start(timeout, func() { req.switchTarget(w, attempt, cancel) })
		defer w.stop()
	}
	return req.roundTrip(ctx, attempt, w, start)
}

// A watchdog checks whether to end an attempt while its request waits for the head of its
// answer: for another target, or because the request must not begin any more.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

func (w *watchdog) start(timeout time.Duration, check func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, check)
}

// stop ends the watchdog. It returns false if the watchdog has ended the attempt,
// or was stopped before.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	running := !w.done
	w.done = true
	return running
}

// switchTarget cancels the attempt if the request can be sent to another target.
// Otherwise the attempt continues to wait and switchTarget runs again later.
func (req *callerRequest) switchTarget(w *watchdog, attempt *dispatch.Attempt, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if !req.reserveAlternative(attempt) {
		w.timer.Reset(alternativeCheckInterval)
		return
	}
	w.done = true
	cancel()
}

// headTimeout returns how long the attempt waits for the head of the answer before
// it looks for another target. 0 means no limit, because the route does not allow
// another attempt.
func (req *callerRequest) headTimeout(attempt *dispatch.Attempt) time.Duration {
	if !req.route.Retryable() || req.runs+1 >= req.route.MaxAttempts {
		return 0
	}
	return max(minHeadTimeout, headTimeoutFactor*attempt.Expected, req.route.LatencyObjective)
}

// roundTrip sends the request and waits for the head of the answer.
func (req *callerRequest) roundTrip(ctx context.Context, attempt *dispatch.Attempt, w, start *watchdog) outcome {
	remaining := time.Until(req.deadline)
	send := call.ForwardParams{Target: attempt.Target.Name, Priority: req.priority(), Accounts: req.accounts, Account: req.account.Name, Version: attempt.Version, LastEventID: req.events.last}
	if req.call.Budget > 0 {
		send.Remaining = remaining
	}
	_, once := req.route.Kind.(catalog.AtMostOnce)
	x, err := req.exchange(ctx, attempt, outbound.Request{
		ID: req.call.ID, Method: req.r.Method, RequestURI: req.r.RequestURI, Host: req.r.Host,
		Header: req.Headers.RequestHeaders(req.r.Header, send), Body: req.body, AtMostOnce: once || !req.route.Retryable(),
	})
	if err != nil {
		return req.classifyError(ctx, attempt, err)
	}
	defer x.Close()
	if !start.stop() || !w.stop() {
		return req.classifyError(ctx, attempt, context.Canceled)
	}
	status := x.Response().StatusCode
	head := req.Headers.ParseAnswer(status, x.Response().Header)
	worked := head.Signed && status < http.StatusMultipleChoices
	if worked {
		took, expected := attempt.FirstByte(time.Now())
		req.Metrics.ObserveFirstByte(req.service, took, expected)
	}
	attempt.Report(time.Now(), dispatch.Head{Load: head.Load, Indirect: req.via != "", Worked: worked})
	if attempt.Heard(time.Now(), head.Notice, head.Source()) {
		req.Metrics.TargetSpoke(head.Notice)
		contact.LogNotice(req.log, attempt.Target, head.Notice)
	}
	req.noteVersion(attempt, time.Now())
	return req.forwardAnswer(ctx, attempt, x, head)
}

// noteVersion logs and counts an answer of a target that held, as far as this host knew when it
// sent the request, a version of the adapter of which a newer one was published before the answer.
func (req *callerRequest) noteVersion(attempt *dispatch.Attempt, now time.Time) {
	older, ok := attempt.ReplacedBy()
	if !ok {
		return
	}
	req.Metrics.OlderVersions.Inc()
	req.log.Info("request: began on an older version", zap.String("target", attempt.Target.Name), zap.String("adapter", req.call.Adapter),
		zap.Int("version", attempt.Held), zap.Int("expected", attempt.Version), zap.Int("newer", older.Version),
		zap.Duration("seen", now.Sub(older.Seen)), zap.Duration("after", now.Sub(older.After)), zap.Duration("sent", attempt.Age(now)),
		zap.Duration("since", now.Sub(req.arrived)), zap.String("via", req.via))
}

// classifyError returns the outcome of an attempt that failed with err, and reports
// it to the dispatcher.
func (req *callerRequest) classifyError(ctx context.Context, attempt *dispatch.Attempt, err error) outcome {
	now := time.Now()
	var fault *outbound.Error
	if errors.As(err, &fault) && fault.Verdict == verdict.NotRun && ctx.Err() == nil {
		attempt.Report(now, dispatch.Failed{OwnLink: errors.Is(err, proxy.ErrNoProxy)})
		return connectFailed{cause: err}
	}
	switch {
	case req.stopped():
		attempt.Report(now, dispatch.Canceled{})
		return hostStopped{sent: fault == nil || fault.Verdict != verdict.NotRun}
	case req.callerLeft():
		attempt.Report(now, dispatch.Canceled{})
		return callerGone{}
	case !now.Before(req.deadline):
		attempt.Report(now, dispatch.Canceled{TimedOut: true})
		req.noAnswer(attempt.Target)
		return deadlinePassed{}
	case ctx.Err() != nil:
		attempt.Report(now, dispatch.Canceled{TimedOut: true})
		req.noAnswer(attempt.Target)
		return mayHaveRun{reason: "no answer in time"}
	default:
		attempt.Report(now, dispatch.Failed{Connected: true})
		req.connectionBroke(ctx, attempt.Target, err)
		return mayHaveRun{reason: err.Error()}
	}
}

// describe returns the text that is logged for an outcome.
func describe(o outcome) string {
	switch o := o.(type) {
	case notRun:
		return "not run: " + o.reason
	case mayHaveRun:
		return "broken: " + o.reason
	case retryableFailure:
		return "failed: status " + strconv.Itoa(o.status)
	case connectFailed:
		return "unreached: " + o.cause.Error()
	case callerGone:
		return "caller left"
	case hostStopped:
		return ErrStopped.Error()
	case deadlinePassed:
		return "timeout"
	default:
		return "answered"
	}
}
