package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is the cause with which the context of a request ends if the request must be answered
// now, since the process ends. Without this cause, the caller has left.
var ErrStopped = errors.New("the host has stopped")

// refuseLate refuses a request that arrives too late in a planned stop, and reports whether it has.
func (req *callerRequest) refuseLate() bool {
	if !req.Draining() {
		return false
	}
	req.w.Header().Set("Connection", "close")
	req.refuse(http.StatusServiceUnavailable, "the host is stopping", defaultRetryAfter)
	return true
}

// refuseTooLong refuses a request that would probably end only after the process, and reports whether it
// has. One that may have run goes on.
func (req *callerRequest) refuseTooLong() bool {
	last := req.LastAnswer()
	if last.IsZero() || req.runs > 0 || !time.Now().Add(req.durations.Of(req.route.Name)).After(last) {
		return false
	}
	req.fail("the host is stopping", defaultRetryAfter)
	return true
}

// stopped reports whether the request must be answered now, since the process ends.
func (req *callerRequest) stopped() bool {
	return errors.Is(context.Cause(req.r.Context()), ErrStopped)
}

// answerDeadline returns the time by which the answer must begin for the caller to get it.
func (req *callerRequest) answerDeadline() time.Time {
	if last := req.LastAnswer(); !last.IsZero() && last.Before(req.deadline) {
		return last
	}
	return req.deadline
}

// callerLeft reports whether the caller has closed its connection.
func (req *callerRequest) callerLeft() bool { return req.r.Context().Err() != nil && !req.stopped() }
