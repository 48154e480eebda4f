package direct

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/admission"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/residency"
)

const (
	// maxSends is the maximum number of attempts of one request that reach a
	// target. It also limits the attempts that end without their adapter.
	maxSends = 6
	// maxDialFailures is the number of connection failures after which a request is
	// given up.
	maxDialFailures = 4
	// headTimeoutFactor and minHeadTimeout determine how long an attempt waits for
	// the head of the answer before another target is tried: the expected time
	// multiplied by headTimeoutFactor, but at least minHeadTimeout and the route's
	// latency objective.
	headTimeoutFactor = 3
	minHeadTimeout    = 700 * time.Millisecond
	// alternativeCheckInterval is the time between two checks for another target
	// after that, while there is none.
	alternativeCheckInterval = 200 * time.Millisecond
	// defaultRetryAfter is the minimum time after which the caller of a request that
	// did not run may try again.
	defaultRetryAfter = 200 * time.Millisecond
)

// serve makes attempts until the request is answered or given up.
func (req *callerRequest) serve() {
	ctx, cancel := context.WithDeadline(req.r.Context(), req.deadline)
	defer cancel()
	req.avoid = make(map[string]bool)
	defer req.releaseReserved()
	if !req.bind(ctx) {
		return
	}
	for {
		req.trial = false
		if req.refuseSuspect() || req.refuseTooLong() {
			return
		}
		attempt := req.pick()
		if attempt == nil || !req.try(ctx, attempt) {
			return
		}
	}
}

// pick returns the next attempt: the reserved one or, if there is none, one on a
// target that the dispatcher selects. If no target is found, pick refuses the request
// and returns nil.
func (req *callerRequest) pick() *dispatch.Attempt {
	if attempt := req.reserved; attempt != nil {
		req.reserved = nil
		return attempt
	}
	switch c := req.pickOrWait().(type) {
	case dispatch.Refuse:
		if c.Admission {
			req.Metrics.AdmissionRefused(req.service, c.Pool.String(), req.priority())
		}
		req.fail(c.Reason, c.RetryAfter)
		return nil
	case dispatch.Send:
		req.admitted = true
		return c.Attempt
	default:
		panic(fmt.Sprintf("direct: unknown choice %T", c))
	}
}

// pickOrWait selects a target. If there is no room for the request that it may have, it waits for some
// in the queue of its service, see admission.Queue.
func (req *callerRequest) pickOrWait() dispatch.Decision {
	var place *admission.Waiter
	defer func() { req.Dispatcher.EndWait(req.service, place) }()
	for {
		now := time.Now()
		r := req.dispatchRequest()
		r.Waiting = place != nil
		decision := req.Dispatcher.Pick(now, r)
		refusal, refused := decision.(dispatch.Refuse)
		if !refused {
			return decision
		}
		var next time.Time
		var ok bool
		place, next, ok = req.Dispatcher.WaitForRoom(now, r, refusal, place)
		if !ok {
			return decision
		}
		req.admitted = true
		select {
		case <-time.After(time.Until(next)):
		case <-req.r.Context().Done():
			return decision
		}
	}
}

// releaseReserved ends a reserved attempt that was not made.
func (req *callerRequest) releaseReserved() {
	if req.reserved != nil {
		req.reserved.Report(time.Now(), dispatch.Canceled{})
	}
}

// dispatchRequest returns the request in the form in which the dispatcher selects a
// target for it.
func (req *callerRequest) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Priority: req.priority(), Account: req.account.Name, Admitted: req.admitted,
		Call: req.call, Service: req.service, Size: len(req.body),
		Objective: req.arrived.Add(req.route.LatencyObjective), Deadline: req.answerDeadline(), Exclude: req.avoid, InProgress: req.runs > 0 || req.adapterLoading || req.bound,
		Bound: req.bound, Build: req.build, Pause: req.route.PauseObjective(),
	}
}

// reserveAlternative reserves a target other than that of attempt for the next
// attempt. It returns false if there is none.
func (req *callerRequest) reserveAlternative(attempt *dispatch.Attempt) bool {
	r := req.dispatchRequest()
	r.Exclude = maps.Clone(req.avoid)
	r.Exclude[attempt.Target.Name] = true
	send, ok := req.Dispatcher.Pick(time.Now(), r).(dispatch.Send)
	if ok {
		req.reserved = send.Attempt
	}
	return ok
}

// try makes one attempt. It returns true if another one is to follow.
func (req *callerRequest) try(ctx context.Context, attempt *dispatch.Attempt) bool {
	if !req.awaitAdapter(ctx, attempt) {
		return req.adapterNotLoaded(ctx, attempt)
	}
	if !attempt.Willing(time.Now()) {
		return req.adapterNotLoaded(ctx, attempt)
	}
	if req.refuseSuspect() || req.refuseTooLong() || req.refuseRevoked() || req.refuseOverQuota() {
		attempt.Report(time.Now(), dispatch.Canceled{})
		return false
	}
	o := req.sendTo(ctx, attempt)
	if _, ok := o.(answered); !ok {
		req.lastFailure = describe(o)
		req.log.Info("request: attempt failed", zap.String("target", attempt.Target.Name), zap.String("outcome", req.lastFailure),
			zap.Duration("expected", attempt.Expected), zap.Int("running", attempt.Running), zap.Duration("since", time.Since(req.arrived)),
			zap.Stringers("parts", req.call.SharedSegments()), zap.Bool("begun", req.headSent), zap.String("build", attempt.Target.Build), zap.String("via", req.via))
	}
	switch o := o.(type) {
	case answered:
		req.answered()
		return false
	case callerGone:
		req.abandon(zap.String("target", attempt.Target.Name))
		return false
	case deadlinePassed:
		req.runs++
		req.fail("timeout", 0)
		return false
	case hostStopped:
		if o.sent {
			req.runs++
		} else {
			req.notSent()
		}
		req.fail(ErrStopped.Error(), defaultRetryAfter)
		return false
	case connectFailed:
		req.notSent()
		req.dialFailures++
		req.avoid[attempt.Target.Name] = true
		return req.allowRetry(req.dialFailures < maxDialFailures, false, "no connection")
	case notRun:
		req.notSent()
		req.sends++
		return req.allowRetry(req.sends < maxSends, true, o.reason)
	case retryableFailure:
		req.sends++
		req.runs++
		req.avoid[attempt.Target.Name] = true
		return true
	case mayHaveRun:
		req.sends++
		req.runs++
		req.avoid[attempt.Target.Name] = true
		return req.allowRetry(req.route.Retryable() && req.runs < req.route.MaxAttempts && !req.events.withoutID, true, o.reason)
	default:
		panic(fmt.Sprintf("direct: unknown outcome %T", o))
	}
}

// allowRetry reports whether another attempt may follow, and ends the request if
// not. The retry after an attempt that reached a target is charged to the retry
// budget.
func (req *callerRequest) allowRetry(allowed, reached bool, reason string) bool {
	switch {
	case !allowed:
		req.fail(reason, defaultRetryAfter)
	case reached && !req.Budgets.Take(time.Now(), req.service):
		req.fail(reason+", no retry left", defaultRetryAfter)
	default:
		return true
	}
	return false
}

// awaitAdapter waits until the adapter is loaded on the attempt's runner. It
// returns false if the wait ended and the request is not to be sent there.
func (req *callerRequest) awaitAdapter(ctx context.Context, attempt *dispatch.Attempt) bool {
	if attempt.Loaded == nil && attempt.Owner.Host == "" {
		return true
	}
	start := time.Now()
	loaded := false
	if attempt.Loaded != nil {
		req.Wake()
		select {
		case <-attempt.Loaded:
		case <-ctx.Done():
		}
		loaded = attempt.Ready(time.Now())
	} else {
		loaded = req.requestLoad(ctx, attempt)
	}
	now := time.Now()
	req.Metrics.ObserveStall(now.Sub(start))
	req.stall += now.Sub(start)
	attempt.ResetClock(now)
	return loaded
}

// requestLoad asks the owner of the attempt's runner to load the adapter or, if the
// attempt says so, to confirm that it is loaded. It reports whether to send the
// request.
func (req *callerRequest) requestLoad(ctx context.Context, attempt *dispatch.Attempt) bool {
	start := time.Now()
	timeout := peers.LoadRequestTimeout
	if attempt.Confirm {
		timeout = peers.ConfirmTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := req.Peers.RequestLoad(ctx, attempt.Owner, attempt.Target.Name, residency.Key{Model: req.call.Model, Adapter: req.call.Adapter})
	if !answer.Loaded || !attempt.Confirm {
		req.log.Info("request: adapter requested from its owner", zap.String("owner", attempt.Owner.Host), zap.String("target", attempt.Target.Name),
			zap.String("adapter", req.call.Adapter), zap.Bool("confirm", attempt.Confirm), zap.String("refused", answer.Reason),
			zap.Duration("took", time.Since(start)), zap.Error(err))
	}
	req.adapterLoading = answer.Loading
	return attempt.OwnerReplied(time.Now(), ownerReply(answer, err))
}

// ownerReply converts the owner's answer to a load request into the reply that is
// passed to the attempt.
func ownerReply(answer peer.LoadResponse, err error) dispatch.OwnerReply {
	switch {
	case err != nil:
		return dispatch.NoAnswer{}
	case answer.Loaded:
		return dispatch.Loaded{}
	case answer.Loading:
		return dispatch.Loading{}
	default:
		return dispatch.Denied{Absent: answer.Absent}
	}
}

// adapterNotLoaded handles a wait that ended without the adapter. It returns true
// if another attempt is to follow.
func (req *callerRequest) adapterNotLoaded(ctx context.Context, attempt *dispatch.Attempt) bool {
	attempt.Report(time.Now(), dispatch.Canceled{})
	if req.callerLeft() {
		req.abandon(zap.String("target", attempt.Target.Name))
		return false
	}
	if req.stopped() {
		req.fail(ErrStopped.Error(), defaultRetryAfter)
		return false
	}
	if ctx.Err() != nil {
		req.fail("adapter not loaded in time", defaultRetryAfter)
		return false
	}
	req.loadFailures++
	if req.loadFailures >= maxSends {
		req.fail("adapter not loaded", defaultRetryAfter)
		return false
	}
	return true
}

// fail sends the final answer of a request that can't be served. The status is 503
// only if the request did not run; otherwise it says nothing about whether the
// request ran.
func (req *callerRequest) fail(reason string, after time.Duration) {
	switch {
	case req.callerLeft():
		req.abandon(zap.String("reason", reason))
	case req.runs == 0:
		req.refuse(http.StatusServiceUnavailable, reason, max(after, defaultRetryAfter))
	case !time.Now().Before(req.deadline):
		req.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		req.refuse(http.StatusBadGateway, reason, 0)
	}
}
