package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/verdict"
)

const (
	// heldMost is the largest body that is read whole before the answer begins,
	// in bytes.
	heldMost = 1 << 20
	// repeatLeast is the least time that a request must have left to be repeated
	// after its target failed.
	repeatLeast = 150 * time.Millisecond
	// eventMost is the largest event of a stream, in bytes.
	eventMost = 1 << 20
)

// answer hands a target's answer on.
func (j *job) answer(ctx context.Context, k *dispatch.Attempt, x *outbound.Exchange, head call.Response) outcome {
	now := time.Now()
	status := x.Response.StatusCode
	switch {
	case head.Verdict == verdict.NotRun:
		full := status == http.StatusServiceUnavailable && head.Load.Known && head.Load.Waiting > 0
		j.drain(x)
		k.Report(now, dispatch.Rejected{QueueFull: full})
		// A runner that holds the request back for its adapter may take it soon.
		soon := j.call.Model != "" && !full && status != http.StatusMisdirectedRequest
		j.avoid[k.Target.Name] = !soon
		return notRun{reason: "status " + strconv.Itoa(status)}
	case !head.Signed || head.Encoded || head.ID != j.call.ID:
		k.Report(now, dispatch.Failed{Connected: true})
		return broken{reason: "unusable answer, status " + strconv.Itoa(status)}
	}
	if _, ok := j.route.Kind.(catalog.Stream); ok && status == http.StatusOK {
		return j.stream(ctx, k, x)
	}
	return j.plain(ctx, k, x)
}

// drain reads what is left of an answer, so that its connection can be kept.
func (j *job) drain(x *outbound.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(x, heldMost)); err != nil {
		j.log.Debug("request: rest of an answer not read", zap.Error(err))
	}
}

// plain hands on an answer that is read whole before the caller gets any of it,
// or as far as heldMost where it is larger.
func (j *job) plain(ctx context.Context, k *dispatch.Attempt, x *outbound.Exchange) outcome {
	body, err := io.ReadAll(io.LimitReader(x, heldMost))
	if err != nil {
		return j.failed(ctx, k, errors.Wrap(err, "body"))
	}
	status := x.Response.StatusCode
	if forbidden(status) {
		k.Report(time.Now(), dispatch.Completed{Failed: true})
		return broken{reason: "status " + strconv.Itoa(status) + " of a request that may have run"}
	}
	if j.started {
		k.Report(time.Now(), dispatch.Completed{Failed: true})
		return broken{reason: "status " + strconv.Itoa(status) + " in place of the rest"}
	}
	k.Report(time.Now(), dispatch.Completed{Failed: status >= http.StatusInternalServerError})
	if status >= http.StatusInternalServerError && j.mayRepeat(k) {
		return failure{status: status}
	}
	j.begin(x.Response)
	whole := len(body) < heldMost
	if whole {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.w.WriteHeader(status)
	_, err = j.w.Write(body)
	if err == nil && !whole {
		if _, err = io.Copy(j.w, x); err != nil {
			j.cut(err.Error())
		}
	}
	j.done(k, status, err)
	return answered{}
}

// mayRepeat reports whether a request that failed at its target may run at
// another one, and takes the retry from the budget.
func (j *job) mayRepeat(k *dispatch.Attempt) bool {
	if !j.route.Retryable() || j.runs+1 >= j.route.MaxAttempts || time.Until(j.deadline) < repeatLeast {
		return false
	}
	return j.other(k) && j.Budgets.Take(time.Now(), j.service)
}

// forbidden reports whether a status promises that a request did not run.
func forbidden(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

// begin sets the answer's headers.
func (j *job) begin(response *http.Response) {
	for name, values := range j.Headers.AnswerHeaders(response.Header) {
		if name != "Content-Length" {
			j.w.Header()[name] = values
		}
	}
	j.started = true
	j.begun = time.Now()
	j.status = response.StatusCode
}

func (j *job) done(k *dispatch.Attempt, status int, err error) {
	j.finish("request: answered", status, zap.String("target", k.Target.Name), zap.Duration("expected", k.Expected),
		zap.Int("running", k.Running), zap.Bool("loaded", k.Loaded != nil), zap.NamedError("write", err))
}

// stream hands events on as they come, each of them whole.
func (j *job) stream(ctx context.Context, k *dispatch.Attempt, x *outbound.Exchange) outcome {
	reader := bufio.NewReaderSize(x, 4<<10)
	for {
		event, err := readEvent(reader)
		if err == io.EOF {
			k.Report(time.Now(), dispatch.Completed{})
			j.open(x.Response)
			j.done(k, j.status, nil)
			return answered{}
		}
		if err != nil {
			return j.failed(ctx, k, errors.Wrap(err, "stream"))
		}
		j.open(x.Response)
		j.paused(time.Now())
		if _, err := j.w.Write(event); err != nil {
			k.Report(time.Now(), dispatch.Canceled{})
			return left{}
		}
		if id := eventID(event); id != "" {
			j.last = id
		}
		if err := http.NewResponseController(j.w).Flush(); err != nil {
			k.Report(time.Now(), dispatch.Canceled{})
			return left{}
		}
	}
}

// paused notes the pause before an event.
func (j *job) paused(now time.Time) {
	if !j.event.IsZero() {
		j.pause = max(j.pause, now.Sub(j.event))
	}
	j.event = now
}

// open begins the answer of a stream with its first event.
func (j *job) open(response *http.Response) {
	if !j.started {
		j.begin(response)
		j.w.WriteHeader(response.StatusCode)
	}
}

// readEvent reads an event with the empty line that ends it. It returns io.EOF
// where the stream ended behind an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) < eventMost {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
	return nil, errors.New("event too large")
}

// eventID returns the id of an event, empty where it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
