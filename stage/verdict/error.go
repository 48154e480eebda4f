package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// A Code classifies an Error. It is the word that callers see.
type Code string

// The codes of errors. The caller API maps each of them to an HTTP status.
const (
	Malformed        Code = "malformed"       // the request can't be parsed
	Unauthenticated  Code = "unauthenticated" // no caller has this token
	Forbidden        Code = "forbidden"       // no rule allows the caller this request
	NotFound         Code = "unknown"         // no such adapter, version or service
	Conflict         Code = "conflict"        // the idempotency key is in progress or was used for another body
	TooLarge         Code = "oversize"        // a body, header or message exceeds its limit
	Invalid          Code = "invalid"         // the request is well-formed, but the value of a field is not allowed
	RateLimited      Code = "limited"         // the caller exceeds its share
	Busy             Code = "busy"            // no capacity is free before the deadline
	Unavailable      Code = "unavailable"     // no target is fit to serve, or the object API is down
	DeadlineExceeded Code = "expired"         // the deadline passed
	Quarantined      Code = "suspect"         // the request crashed targets and is refused permanently
	Interrupted      Code = "broken"          // the target or the link failed with the request in progress
)

// An Error is a refusal or failure of a request, with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAt is the time from which a retry may succeed. It is zero if a retry
	// does not help.
	RetryAt time.Time
}

// Error returns the message followed by the code and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
}

// Refuse returns an Error with the verdict NotRun.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict of the first Error in err's chain, and MayHaveRun if there
// is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
