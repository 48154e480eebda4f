package traffic

import (
	"net/http"

	"jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/stage/verdict"
)

var (
	errNoPath            = verdict.Refuse(verdict.NotFound, "no such path")
	errNoMethod          = verdict.Refuse(verdict.Malformed, "no such method on this path")
	errNoToken           = verdict.Refuse(verdict.Unauthenticated, "no caller has this token")
	errNoConfig          = verdict.Refuse(verdict.Unavailable, "this host has no configuration yet")
	errNoTarget          = verdict.Refuse(verdict.Unavailable, "no target can serve this now")
	errTooManyRequests   = verdict.Refuse(verdict.Busy, "this host has too many requests in progress")
	errCrossRegionBudget = verdict.Refuse(verdict.Unavailable, "the budget of the link between regions is spent")
	errDeadlinePassed    = verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed")
	errSuspect           = verdict.Refuse(verdict.Quarantined, "this request crashed targets and is not run again")
)

// verdictError returns the *verdict.Error in err's chain. For an error without
// one, the result makes no promise on whether the request ran.
func verdictError(err error) *verdict.Error { return apierror.From(err) }

// withMayHaveRun returns err, with the verdict NotRun replaced by MayHaveRun if an
// earlier attempt may have run.
func withMayHaveRun(err error, mayHaveRun bool) error {
	e := verdictError(err)
	if !mayHaveRun || e.Verdict != verdict.NotRun {
		return err
	}
	changed := *e
	changed.Verdict = verdict.MayHaveRun
	return &changed
}

// encodeError returns the JSON of an error answer.
func encodeError(e *verdict.Error) []byte { return apierror.Encode(e) }

// writeError writes an error answer with the status of the error's code.
func writeError(w http.ResponseWriter, err error) { apierror.Write(w, err) }

// writeErrorStatus writes an error answer with the given status.
func writeErrorStatus(w http.ResponseWriter, status int, err error) {
	apierror.WriteStatus(w, status, err)
}
