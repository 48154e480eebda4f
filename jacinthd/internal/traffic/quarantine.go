package traffic

import (
	"context"
	"strconv"
	"sync"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/stage/verdict"
)

// errRunCancelled is the cause of a run's cancellation after the same request,
// running elsewhere, crashed a target there. From then on, the request runs only
// once at a time.
var errRunCancelled = verdict.Refuse(verdict.Busy, "the request crashed a target and runs once at a time")

// runTable holds the runs in progress on runners that this host owns, so that the
// Quarantine can have them cancelled.
type runTable struct {
	mu         sync.Mutex
	lastNumber uint64
	byID       map[string]*run
}

// A run is one execution of a request on a runner that this host owns. CancelRun
// cancels it at once if an attempt waits for it. If the link of that attempt was lost,
// the run is cancelled when the next attempt registers.
type run struct {
	cancel    context.CancelCauseFunc // cancels the attempt in progress
	cancelled bool
}

// newID returns an ID that no other run of this process has.
func (t *runTable) newID(requestID string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	return requestID + "/" + strconv.FormatUint(t.lastNumber, 10)
}

// register sets the function that cancels the run. It calls cancel at once if the
// run was cancelled before.
func (t *runTable) register(id string, cancel context.CancelCauseFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[string]*run{}
	}
	if t.byID[id] == nil {
		t.byID[id] = &run{}
	}
	t.byID[id].cancel = cancel
	if t.byID[id].cancelled {
		cancel(errRunCancelled)
	}
}

func (t *runTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// CancelRun cancels a run on a runner that this host owns. id is the ID that was
// passed to Quarantine.Enter. CancelRun does nothing if the run has ended.
func (s *Server) CancelRun(id string) {
	s.runs.mu.Lock()
	defer s.runs.mu.Unlock()
	if r := s.runs.byID[id]; r != nil {
		r.cancelled = true
		r.cancel(errRunCancelled)
	}
}

// endReason returns the error for a request whose context has ended.
func endReason(ctx context.Context) error {
	if context.Cause(ctx) == error(errRunCancelled) {
		return errRunCancelled
	}
	return errDeadlinePassed
}

// runPermitted runs the request after the Quarantine, if there is one, has
// permitted it. The permission covers later attempts that continue the execution.
func (ex *execution) runPermitted(ctx context.Context) error {
	if ex.s.Quarantine == nil {
		return ex.run(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := ex.runID == ""
	if first {
		ex.runID = ex.s.runs.newID(ex.req.job.ID)
	}
	ex.s.runs.register(ex.runID, cancel)
	if first {
		if err := ex.s.Quarantine.Enter(ctx, ex.req.fingerprint, ex.runID, ex.ticket.Target.Name); err != nil {
			ex.s.runs.remove(ex.runID)
			ex.runID = ""
			return err
		}
	}
	return ex.run(ctx)
}

// endTicket ends the run and the ticket.
func (ex *execution) endTicket(outcome control.Outcome) {
	if ex.runID != "" {
		ex.s.runs.remove(ex.runID)
		_, complete := outcome.(control.Served)
		ex.s.Quarantine.Leave(ex.req.fingerprint, ex.runID, complete)
	}
	ex.ticket.End(outcome)
}

// crashID returns an ID for the crash of the runner that is the same on every
// host. It consists of the runner's name and the incarnation that ended, or the
// request's ID if the incarnation is unknown.
func (ex *execution) crashID() string {
	if ex.incarnation == "" {
		return ex.ticket.Target.Name + "/" + ex.req.job.ID
	}
	return ex.ticket.Target.Name + "/" + ex.incarnation
}
