package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// A Code is the kind of an Error, one word, as callers see it.
type Code string

// The codes and what they mean. The HTTP status of each is the caller API's matter.
const (
	Malformed        Code = "malformed"       // the request can't be read
	Unauthenticated  Code = "unauthenticated" // no caller has this token
	Forbidden        Code = "forbidden"       // no rule allows the caller this
	NotFound         Code = "unknown"         // no such adapter, version or service
	Conflict         Code = "conflict"        // the same key is in progress or was used for another body
	TooLarge         Code = "oversize"        // a body, header or message over its limit
	Invalid          Code = "invalid"         // readable, but a field's value is not allowed
	RateLimited      Code = "limited"         // over the caller's share
	Busy             Code = "busy"            // no capacity before the deadline
	Unavailable      Code = "unavailable"     // no fit target, or the object API is down
	DeadlineExceeded Code = "expired"         // the deadline passed
	Quarantined      Code = "suspect"         // the request crashed targets and is refused for good
	Interrupted      Code = "broken"          // the target or the link failed with the request in progress
)

// An Error is a refusal or failure of a request, with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAt is when coming back may help; zero where it does not.
	RetryAt time.Time
}

// Error returns the message with its code and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

// Refuse returns an Error with the verdict NotRun.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict of err: that of the first Error in its chain, else MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
