package plain

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"jacinthstage/stage/verdict"
)

// comeBack is how soon coming back may help where an error doesn't say.
const comeBack = time.Second

// statuses are the HTTP statuses of the codes that a plain service's calls end with.
var statuses = map[verdict.Code]int{
	verdict.Malformed:   http.StatusBadRequest,
	verdict.Conflict:    http.StatusConflict,
	verdict.Oversize:    http.StatusRequestEntityTooLarge,
	verdict.Invalid:     http.StatusUnprocessableEntity,
	verdict.Unavailable: http.StatusServiceUnavailable,
	verdict.Expired:     http.StatusGatewayTimeout,
	verdict.Broken:      http.StatusBadGateway,
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

// refuse answers with e, and with Retry-After where coming back may help.
func refuse(w http.ResponseWriter, e *verdict.Error, now time.Time) {
	wait := e.Again.Sub(now)
	if e.Again.IsZero() && e.Code == verdict.Unavailable {
		wait = comeBack
	}
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	status, ok := statuses[e.Code]
	if !ok {
		status = http.StatusBadGateway
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failure{problem{e.Code, e.Message, e.Verdict}})
}
