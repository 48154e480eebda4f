// Package answer writes the error answers of the caller API: the status of
// each code, a JSON body with code, message and verdict, and Retry-After where
// coming back may help.
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

// comeBack is how soon coming back may help where an error doesn't say.
const comeBack = time.Second

// statuses are the HTTP statuses of the codes.
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

// A failure is the body of an error answer.
type failure struct {
	Error problem `json:"error"`
}

type problem struct {
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
}

// From returns the *verdict.Error in err's chain; an error without one promises
// nothing.
func From(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Code: verdict.Interrupted, Message: "the request failed"}
}

// Encode returns the JSON of an error answer.
func Encode(e *verdict.Error) []byte {
	body, err := json.Marshal(failure{problem{Code: e.Code, Message: e.Message, Verdict: e.Verdict}})
	if err != nil {
		return []byte(`{"error":{"code":"broken","message":"the request failed","verdict":"mayhaverun"}}`)
	}
	return body
}

// Write answers with err, by the status of its code.
func Write(w http.ResponseWriter, err error) {
	status, ok := statuses[From(err).Code]
	if !ok {
		status = http.StatusBadGateway
	}
	WriteStatus(w, status, err)
}

// WriteStatus answers with err by a status of its own.
func WriteStatus(w http.ResponseWriter, status int, err error) {
	e := From(err)
	if wait := again(e, time.Now()); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wait))
	}
	if e.Code == verdict.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(Encode(e), '\n'))
}

// again returns in how many whole seconds coming back may help, 0 where it
// does not.
func again(e *verdict.Error, now time.Time) int {
	wait := e.RetryAt.Sub(now)
	if e.RetryAt.IsZero() {
		wait = comeBack
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
