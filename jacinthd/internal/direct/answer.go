package direct

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/body"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/connection"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/memory"
	"jacinthstage/stage/speed"
	"jacinthstage/stage/verdict"
)

const (
	// maxBufferedBody is the size, in bytes, up to which an answer's body is read
	// completely before the answer is sent to the caller.
	maxBufferedBody = 1 << 20
	// maxDiscardedBody is the size, in bytes, up to which the body of an unusable answer
	// is read, and discardTimeout the time in which it must arrive.
	maxDiscardedBody = 64 << 10
	discardTimeout   = 20 * time.Millisecond
	// minRetryTime is the minimum time before the deadline at which a request may be
	// sent again after its target answered with an error.
	minRetryTime = 150 * time.Millisecond
	// clearingTime is how long after its first event a stream shows that the request does
	// not crash its target.
	clearingTime = 500 * time.Millisecond
)

// forwardAnswer sends a target's answer to the caller if it is usable.
func (req *callerRequest) forwardAnswer(ctx context.Context, attempt *dispatch.Attempt, x proxy.Exchange, head call.Response) outcome {
	now := time.Now()
	status := x.Response().StatusCode
	switch {
	case head.Verdict == verdict.NotRun && head.ID == "" && !x.First():
		// It may be a late answer to an earlier request on the connection.
		attempt.Report(now, dispatch.Failed{Connected: true})
		return mayHaveRun{reason: "refusal without an id on a used connection, status " + strconv.Itoa(status)}
	case head.Verdict == verdict.NotRun:
		full := status == http.StatusServiceUnavailable && (head.Load.Known && head.Load.Waiting > 0 || head.Notice.Brittle)
		req.discardBody(x)
		attempt.Report(now, dispatch.Rejected{QueueFull: full})
		// A runner that refused the request because its adapter is not loaded yet
		// may accept it soon.
		mayAcceptSoon := req.call.Model != "" && !full && status != http.StatusMisdirectedRequest
		req.avoid[attempt.Target.Name] = !mayAcceptSoon
		return notRun{reason: "status " + strconv.Itoa(status)}
	case !head.Signed || head.Encoded || head.ID != req.call.ID:
		attempt.Report(now, dispatch.Failed{Connected: true})
		return mayHaveRun{reason: "unusable answer, status " + strconv.Itoa(status)}
	}
	if _, ok := req.route.Kind.(catalog.Stream); ok && status == http.StatusOK {
		if kind := mediaType(x.Response().Header); req.headSent && !req.hasMediaType(kind) {
			return req.unusable(attempt, "answer of type "+strconv.Quote(kind)+" in place of the rest")
		}
		return req.forwardStream(ctx, attempt, x)
	}
	if req.headSent {
		req.discardBody(x)
		attempt.Report(time.Now(), dispatch.Completed{Failed: true})
		return mayHaveRun{reason: "status " + strconv.Itoa(status) + " in place of the rest"}
	}
	return req.forwardBody(ctx, attempt, x)
}

// hasMediaType reports whether the answer that has begun is of a media type, or declared none.
func (req *callerRequest) hasMediaType(kind string) bool {
	began := mediaType(req.w.Header())
	return began == "" || began == kind
}

// unusable reports an answer that doesn't go on with the stream, and returns its outcome.
func (req *callerRequest) unusable(attempt *dispatch.Attempt, reason string) outcome {
	attempt.Report(time.Now(), dispatch.Failed{Connected: true})
	return mayHaveRun{reason: reason}
}

// discardBody reads the rest of an answer, so that its connection can be reused. It
// doesn't wait long, since the request has to go elsewhere.
func (req *callerRequest) discardBody(x proxy.Exchange) {
	if err := x.Discard(maxDiscardedBody, time.Now().Add(discardTimeout)); err != nil {
		req.log.Debug("request: reading the rest of an answer failed", zap.Error(err))
	}
}

// forwardBody sends an answer that is not a stream to the caller, once it is read
// completely or up to maxBufferedBody.
func (req *callerRequest) forwardBody(ctx context.Context, attempt *dispatch.Attempt, x proxy.Exchange) outcome {
	held := req.Memory.Open(time.Now(), memory.Answer, nil)
	defer held.Close()
	buffer := body.Buffer{Holding: held, Limit: maxBufferedBody}
	_, err := buffer.ReadFrom(x)
	text := buffer.Bytes()
	complete := err == nil && len(text) < maxBufferedBody
	if err != nil && !errors.Is(err, body.ErrNoMemory) { // without memory, the rest passes through as it arrives
		return req.classifyError(ctx, attempt, errors.Wrap(err, "body"))
	}
	status := x.Response().StatusCode
	if impliesNotRun(status) {
		attempt.Report(time.Now(), dispatch.Completed{Failed: true})
		return mayHaveRun{reason: "status " + strconv.Itoa(status) + " of a request that may have run"}
	}
	attempt.Report(time.Now(), dispatch.Completed{Failed: status >= http.StatusInternalServerError})
	if status >= http.StatusInternalServerError && req.mayRetry(attempt) {
		return retryableFailure{status: status}
	}
	req.startAnswer(x.Response())
	if complete {
		req.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	req.w.WriteHeader(status)
	held.MayEvict(time.Now(), func() { _ = http.NewResponseController(req.w).SetWriteDeadline(time.Now()) })
	_, err = answerWriter{req, held}.Write(text)
	if err == nil && !complete {
		held.Close()
		if _, err = io.Copy(answerWriter{req: req}, x); err != nil {
			req.abort(err.Error())
		}
	}
	req.logAnswered(attempt, status, err)
	return answered{}
}

// mayRetry reports whether a request that its target answered with an error may run
// on another target. If so, mayRetry reserves that target and charges the retry
// budget.
func (req *callerRequest) mayRetry(attempt *dispatch.Attempt) bool {
	if !req.route.Retryable() || req.runs+1 >= req.route.MaxAttempts || time.Until(req.deadline) < minRetryTime {
		return false
	}
	return req.reserveAlternative(attempt) && req.Budgets.Take(time.Now(), req.service)
}

// impliesNotRun reports whether a status tells the caller that the request did not
// run. Such a status is not forwarded for a request that ran.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

// startAnswer sets the headers of the answer to the caller.
func (req *callerRequest) startAnswer(response *http.Response) {
	for name, values := range req.Headers.AnswerHeaders(response.Header) {
		if name != "Content-Length" {
			req.w.Header()[name] = values
		}
	}
	req.headSent = true
	req.headTime = time.Now()
	req.status = response.StatusCode
}

func (req *callerRequest) logAnswered(attempt *dispatch.Attempt, status int, err error) {
	req.durations.Add(req.route.Name, attempt.Age(time.Now()))
	req.finish("request: answered", status, zap.String("target", attempt.Target.Name), zap.String("build", attempt.Target.Build), zap.Duration("expected", attempt.Expected),
		zap.Int("running", attempt.Running), zap.Bool("loaded", attempt.Loaded != nil), zap.NamedError("write", err))
}

// forwardStream sends the events of a stream to the caller as they arrive. It
// sends only complete events, and those of a stream that was begun elsewhere only if they
// follow the ones that the caller has.
func (req *callerRequest) forwardStream(ctx context.Context, attempt *dispatch.Attempt, x proxy.Exchange) outcome {
	reader := bufio.NewReaderSize(x, 4<<10)
	var gaps speed.Gaps
	var last time.Time
	goesOn, begun, empty := req.events.last != "", req.headSent, true
	for {
		event, err := readEvent(reader)
		if err == nil && goesOn {
			err = req.events.check(event)
		}
		if err == io.EOF && begun && empty && !req.mayBeWhole {
			return req.unusable(attempt, "no event of the rest")
		}
		if err == io.EOF {
			if req.via == "" && !gaps.Full() {
				attempt.Report(time.Now(), dispatch.Streamed{Gaps: gaps})
			}
			attempt.Report(time.Now(), dispatch.Completed{})
			req.startStream(x.Response())
			req.logAnswered(attempt, req.status, nil)
			return answered{}
		}
		if errors.Is(err, errNoEvent) {
			return req.unusable(attempt, err.Error())
		}
		if err != nil {
			req.mayBeWhole = errors.Is(err, outbound.ErrCutOff)
			return req.classifyError(ctx, attempt, errors.Wrap(err, "stream"))
		}
		empty = empty && event.comment
		req.mayBeWhole = req.mayBeWhole && empty
		req.startStream(x.Response())
		req.streamBegan(attempt.Target)
		now := time.Now()
		req.recordEventGap(now)
		if !last.IsZero() && gaps.Add(now.Sub(last)) && req.via == "" {
			attempt.Report(now, dispatch.Streamed{Gaps: gaps})
		}
		last = now
		if req.lastEventTime.Sub(req.headTime) > clearingTime {
			req.answered()
		}
		if _, err := (answerWriter{req: req}).Write(event.text); err != nil {
			attempt.Report(time.Now(), dispatch.Canceled{})
			return callerGone{}
		}
		req.events.add(event)
		req.connection.Set(time.Now(), connection.Writing)
		if err := http.NewResponseController(req.w).Flush(); err != nil {
			attempt.Report(time.Now(), dispatch.Canceled{})
			return callerGone{}
		}
		req.connection.Set(time.Now(), connection.Serving)
	}
}

// recordEventGap records the time since the previous event.
func (req *callerRequest) recordEventGap(now time.Time) {
	if !req.lastEventTime.IsZero() {
		req.maxEventGap = max(req.maxEventGap, now.Sub(req.lastEventTime))
	}
	req.lastEventTime = now
}

// startStream sends the head of a stream's answer, unless it was sent before.
func (req *callerRequest) startStream(response *http.Response) {
	if !req.headSent {
		req.startAnswer(response)
		req.w.WriteHeader(response.StatusCode)
	}
}
