package traffic

import (
	"net/http"

	failure "jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/stage/verdict"
)

var (
	errNoPath   = verdict.Refuse(verdict.NotFound, "no such path")
	errNoMethod = verdict.Refuse(verdict.Malformed, "no such method on this path")
	errNoToken  = verdict.Refuse(verdict.Unauthenticated, "no caller has this token")
	errNoConfig = verdict.Refuse(verdict.Unavailable, "this host has no configuration yet")
	errNoTarget = verdict.Refuse(verdict.Unavailable, "no target can serve this now")
	errCrowded  = verdict.Refuse(verdict.Busy, "this host has too many requests in progress")
	errFar      = verdict.Refuse(verdict.Unavailable, "the budget of the link between regions is spent")
	errLate     = verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed")
	errSuspect  = verdict.Refuse(verdict.Quarantined, "this request crashed targets and is not run again")
)

// said returns the *verdict.Error in err's chain; an error without one
// promises nothing.
func said(err error) *verdict.Error { return failure.From(err) }

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
func encode(e *verdict.Error) []byte { return failure.Encode(e) }

// fail writes an error answer.
func fail(w http.ResponseWriter, err error) { failure.Write(w, err) }

func failWith(w http.ResponseWriter, status int, err error) { failure.WriteStatus(w, status, err) }
