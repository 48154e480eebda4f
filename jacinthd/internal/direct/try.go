package direct

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/verdict"
)

// An outcome is how one try ended.
type outcome interface{ outcome() }

// answered: the caller has the whole answer, or the most of it that can be had.
type answered struct{}

// notRun: the target did not run the request.
type notRun struct{ reason string }

// broken: no whole answer came, and the request may have run.
type broken struct{ reason string }

// failure: the target ran the request and answered that it failed; the request
// is repeated.
type failure struct{ status int }

// unreached: no connection could be opened.
type unreached struct{ cause error }

// left: the caller has gone.
type left struct{}

// late: the deadline has passed.
type late struct{}

func (answered) outcome() {}

func (notRun) outcome() {}

func (broken) outcome() {}

func (failure) outcome() {}

func (unreached) outcome() {}

func (left) outcome() {}

func (late) outcome() {}

// try sends the request to one target and hands the answer on.
func (j *job) try(ctx context.Context, k *dispatch.Attempt) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watchdog{}
	if patience := j.patience(k); patience > 0 {
		w.start(patience, func() { j.elsewhere(w, k, cancel) })
		defer w.stop()
	}
	return j.exchange(ctx, k, w)
}

// A watchdog looks for another target while one keeps a request waiting.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

func (w *watchdog) start(patience time.Duration, look func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patience, look)
}

// stop ends the watchdog. It reports whether the wait goes on.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	went := !w.done
	w.done = true
	return went
}

// elsewhere ends a try where the request can be served by another target, and
// otherwise lets it wait on.
func (j *job) elsewhere(w *watchdog, k *dispatch.Attempt, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if !j.other(k) {
		w.timer.Reset(patienceMore)
		return
	}
	w.done = true
	cancel()
}

// patience returns how long the target may take for the head of its answer; 0
// sets no limit, as where the answer can't be had elsewhere.
func (j *job) patience(k *dispatch.Attempt) time.Duration {
	if !j.route.Retryable() || j.runs+1 >= j.route.MaxAttempts {
		return 0
	}
	return max(patienceLeast, patienceTimes*k.Expected, j.route.LatencyObjective)
}

func (j *job) exchange(ctx context.Context, k *dispatch.Attempt, w *watchdog) outcome {
	rest := time.Until(j.deadline)
	send := call.ForwardParams{Target: k.Target.Name, Priority: j.route.Priority, Version: k.Version, LastEventID: j.last}
	if j.call.Budget > 0 {
		send.Remaining = rest
	}
	_, once := j.route.Kind.(catalog.AtMostOnce)
	x, err := j.Pool.Do(ctx, k.Target.Address, outbound.Request{
		Method: j.r.Method, RequestURI: j.r.RequestURI, Host: j.r.Host,
		Header: j.Headers.RequestHeaders(j.r.Header, send), Body: j.body, AtMostOnce: once || !j.route.Retryable(),
	}, j.mine)
	if err != nil {
		return j.failed(ctx, k, err)
	}
	defer x.Close()
	if !w.stop() {
		return j.failed(ctx, k, ctx.Err())
	}
	head := j.Headers.ParseAnswer(x.Response.StatusCode, x.Response.Header)
	k.Report(time.Now(), dispatch.Head{Load: head.Load})
	return j.answer(ctx, k, x, head)
}

// mine reports whether the head of an answer is for this request.
func (j *job) mine(h http.Header) bool {
	id := j.Headers.ParseAnswer(0, h).ID
	return id == "" || id == j.call.ID
}

// failed returns the outcome of a try without an answer.
func (j *job) failed(ctx context.Context, k *dispatch.Attempt, err error) outcome {
	now := time.Now()
	var fault *outbound.Error
	if errors.As(err, &fault) && fault.Verdict == verdict.NotRun && ctx.Err() == nil {
		k.Report(now, dispatch.Failed{})
		return unreached{cause: err}
	}
	switch {
	case j.r.Context().Err() != nil:
		k.Report(now, dispatch.Canceled{})
		return left{}
	case !now.Before(j.deadline):
		k.Report(now, dispatch.Canceled{TimedOut: true})
		return late{}
	case ctx.Err() != nil:
		k.Report(now, dispatch.Canceled{TimedOut: true})
		return broken{reason: "no answer in time"}
	default:
		k.Report(now, dispatch.Failed{Connected: true})
		return broken{reason: err.Error()}
	}
}

func describe(o outcome) string {
	switch o := o.(type) {
	case notRun:
		return "not run: " + o.reason
	case broken:
		return "broken: " + o.reason
	case failure:
		return "failed: status " + strconv.Itoa(o.status)
	case unreached:
		return "unreached: " + o.cause.Error()
	case left:
		return "caller left"
	case late:
		return "timeout"
	default:
		return "answered"
	}
}
