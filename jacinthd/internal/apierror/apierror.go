// Package apierror writes the error responses of the caller API: an HTTP status
// for each error code, a JSON body with code, message and verdict, and a
// Retry-After header if a retry may succeed.
package apierror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

// defaultRetryDelay is the Retry-After delay of a retryable error that doesn't set
// one.
const defaultRetryDelay = time.Second

// statuses maps error codes to HTTP statuses.
var statuses = map[verdict.Code]int{
	verdict.Malformed:        http.StatusBadRequest,
	verdict.Unauthenticated:  http.StatusUnauthorized,
	verdict.Forbidden:        http.StatusForbidden,
	verdict.NotFound:         http.StatusNotFound,
	verdict.Conflict:         http.StatusConflict,
	verdict.TooLarge:         http.StatusRequestEntityTooLarge,
	verdict.Invalid:          http.StatusUnprocessableEntity,
	verdict.RateLimited:      http.StatusTooManyRequests,
	verdict.Busy:             http.StatusServiceUnavailable,
	verdict.Unavailable:      http.StatusServiceUnavailable,
	verdict.DeadlineExceeded: http.StatusGatewayTimeout,
	verdict.Quarantined:      http.StatusUnprocessableEntity,
	verdict.Interrupted:      http.StatusBadGateway,
}

// An errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
}

// From returns the *verdict.Error in err's chain. An error without one becomes a
// generic one with the zero verdict, which doesn't rule out that the request ran.
func From(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Code: verdict.Interrupted, Message: "the request failed"}
}

// Encode returns the JSON body of an error response.
func Encode(e *verdict.Error) []byte {
	body, err := json.Marshal(errorBody{errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict}})
	if err != nil {
		return []byte(`{"error":{"code":"broken","message":"the request failed","verdict":"mayhaverun"}}`)
	}
	return body
}

// Write writes an error response with the status of err's code.
func Write(w http.ResponseWriter, err error) {
	status, ok := statuses[From(err).Code]
	if !ok {
		status = http.StatusBadGateway
	}
	WriteStatus(w, status, err)
}

// WriteStatus writes an error response for err with the given status.
func WriteStatus(w http.ResponseWriter, status int, err error) {
	e := From(err)
	if wait := retryAfterSeconds(e, time.Now()); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wait))
	}
	if e.Code == verdict.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(Encode(e), '\n'))
}

// retryAfterSeconds returns the value of the Retry-After header in whole seconds,
// rounded up, or 0 to omit it.
func retryAfterSeconds(e *verdict.Error, now time.Time) int {
	wait := e.RetryAt.Sub(now)
	if e.RetryAt.IsZero() {
		wait = defaultRetryDelay
	}
	switch e.Code {
	case verdict.RateLimited, verdict.Busy, verdict.Unavailable, verdict.Interrupted:
		return max(1, int(math.Ceil(wait.Seconds())))
	default:
		if e.RetryAt.IsZero() {
			return 0
		}
		return max(1, int(math.Ceil(wait.Seconds())))
	}
}
