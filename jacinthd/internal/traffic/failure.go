package traffic

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

// comeBack is how soon coming back may help where a refusal doesn't say.
const comeBack = time.Second

var (
	errNoPath   = verdict.Refuse(verdict.Unknown, "no such path")
	errNoMethod = verdict.Refuse(verdict.Malformed, "no such method on this path")
	errNoToken  = verdict.Refuse(verdict.Unauthenticated, "no caller has this token")
	errNoConfig = verdict.Refuse(verdict.Unavailable, "this host has no configuration yet")
	errNoTarget = verdict.Refuse(verdict.Unavailable, "no target can serve this now")
	errCrowded  = verdict.Refuse(verdict.Busy, "this host has too many requests in progress")
	errFar      = verdict.Refuse(verdict.Unavailable, "the budget of the link between regions is spent")
	errLate     = verdict.Refuse(verdict.Expired, "the deadline passed")
	errSuspect  = verdict.Refuse(verdict.Suspect, "this request crashed targets and is not run again")
)

// statuses are the HTTP statuses of the codes.
var statuses = map[verdict.Code]int{
	verdict.Malformed:       http.StatusBadRequest,
	verdict.Unauthenticated: http.StatusUnauthorized,
	verdict.Forbidden:       http.StatusForbidden,
	verdict.Unknown:         http.StatusNotFound,
	verdict.Conflict:        http.StatusConflict,
	verdict.Oversize:        http.StatusRequestEntityTooLarge,
	verdict.Invalid:         http.StatusUnprocessableEntity,
	verdict.Limited:         http.StatusTooManyRequests,
	verdict.Busy:            http.StatusServiceUnavailable,
	verdict.Unavailable:     http.StatusServiceUnavailable,
	verdict.Expired:         http.StatusGatewayTimeout,
	verdict.Suspect:         http.StatusUnprocessableEntity,
	verdict.Broken:          http.StatusBadGateway,
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

// said returns the *verdict.Error in err's chain; an error without one
// promises nothing.
func said(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Code: verdict.Broken, Message: "the request failed"}
}

// marked returns err with the verdict MayHaveRun where an earlier try may have run.
func marked(err error, maybe bool) error {
	e := said(err)
	if !maybe || e.Verdict != verdict.NotRun {
		return err
	}
	changed := *e
	changed.Verdict = verdict.MayHaveRun
	return &changed
}

// encode returns the JSON of an error answer.
func encode(e *verdict.Error) []byte {
	body, err := json.Marshal(failure{problem{Code: e.Code, Message: e.Message, Verdict: e.Verdict}})
	if err != nil {
		return []byte(`{"error":{"code":"broken","message":"the request failed","verdict":"mayhaverun"}}`)
	}
	return body
}

// fail writes an error answer.
func fail(w http.ResponseWriter, err error) {
	status, ok := statuses[said(err).Code]
	if !ok {
		status = http.StatusBadGateway
	}
	failWith(w, status, err)
}

func failWith(w http.ResponseWriter, status int, err error) {
	e := said(err)
	if wait := again(e, time.Now()); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wait))
	}
	if e.Code == verdict.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encode(e), '\n'))
}

// again returns in how many whole seconds coming back may help, 0 where it
// does not.
func again(e *verdict.Error, now time.Time) int {
	wait := e.Again.Sub(now)
	if e.Again.IsZero() {
		wait = comeBack
	}
	switch e.Code {
	case verdict.Limited, verdict.Busy, verdict.Unavailable, verdict.Broken:
		return max(1, int(math.Ceil(wait.Seconds())))
	default:
		if e.Again.IsZero() {
			return 0
		}
		return max(1, int(math.Ceil(wait.Seconds())))
	}
}
