package traffic

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

const (
	// maxResumes is how often an answer is resumed on its engine without a new
	// token in between.
	maxResumes = 3
	// maxCancels is how often a cancellation is sent until the engine confirms it.
	maxCancels = 2
)

// executeLocal runs a request on a runner that this host owns.
func (s *Server) executeLocal(ctx context.Context, req request, runner string, to answerSink) error {
	ticket, err := s.Control.Admit(ctx, runner, req.job)
	if err != nil {
		return errors.WithMessage(err, "traffic: admit")
	}
	return s.newExecution(req, ticket, to).serve(ctx)
}

func (s *Server) newExecution(req request, ticket *control.Ticket, to answerSink) *execution {
	return &execution{s: s, req: req, ticket: ticket, to: to, incarnation: s.Engine.Incarnation(ticket.Target.Address)}
}

// An execution is an admitted request on its engine.
type execution struct {
	s      *Server
	req    request
	ticket *control.Ticket
	to     answerSink
	// incarnation is the engine's incarnation before the request was sent.
	incarnation string
	// sent is set once the engine may have received the request.
	sent bool
	// retain, if set, may take over the ticket of a request that was sent and that
	// nothing waits for any more. It reports whether it did.
	retain func(*execution) bool
	// runID identifies this run to the Quarantine. It is empty if the run
	// has no permission or needs none.
	runID string
}

// serve sends the request to the engine, relays its answer and ends the ticket.
func (ex *execution) serve(ctx context.Context) error {
	err := ex.runPermitted(ctx)
	ex.finish(err)
	return err
}

// run sends the request to the engine and relays its answer, resuming it where it
// breaks. It returns nil once the complete answer was relayed.
func (ex *execution) run(ctx context.Context) error {
	if err := ex.to.admitted(ex.ticket.Hint, ex.ticket.Stall); err != nil {
		return err
	}
	if err := ex.checkSendable(ctx); err != nil {
		return err
	}
	left := maxResumes
	for {
		next := ex.to.next()
		err := ex.streamEvents(ctx)
		if err != nil && ctx.Err() != nil {
			return ex.withVerdict(endReason(ctx))
		}
		if err == nil || !ex.canResume(err) {
			return ex.withVerdict(err)
		}
		if ex.engineCrashed(ctx, err) {
			return ex.reportCrash(err)
		}
		if ex.to.next() > next {
			left = maxResumes
		}
		left -= ex.resumeCost(err)
		if left < 0 {
			return ex.withVerdict(err)
		}
		sleep(ctx, resumeInterval*time.Duration(maxResumes-left-1))
	}
}

// resumeCost returns how many of the maxResumes a failure uses up. A silent engine
// is resumed only once, and not at all if no token has arrived, since the request
// can then still go to another runner.
func (ex *execution) resumeCost(err error) int {
	switch {
	case !engine.Stalled.Matches(err):
		return 1
	case ex.to.next() == 0:
		return maxResumes + 1
	default:
		return maxResumes
	}
}

// checkSendable returns an error if nothing waits for the request any more, or if
// its deadline or the permit to use the runner has expired. This can happen when
// this host was paused after admission.
func (ex *execution) checkSendable(ctx context.Context) error {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return endReason(ctx)
	case !now.Before(ex.req.job.Deadline):
		return errDeadlinePassed
	case !ex.sent && !ex.ticket.SendBefore.IsZero() && !now.Before(ex.ticket.SendBefore):
		return verdict.Refuse(verdict.Unavailable, "the leave to use the runner lapsed")
	default:
		return nil
	}
}

// streamEvents relays the engine's events, starting from the next token needed.
func (ex *execution) streamEvents(ctx context.Context) error {
	in, err := ex.s.Engine.Complete(ctx, ex.ticket.Target.Address, ex.req.engineRequest(ex.to.next(), ex.sendDeadline()))
	ex.sent = ex.sent || verdict.Of(err) != verdict.NotRun
	if err != nil {
		return err
	}
	defer in.Close()
	for {
		event, err := in.Next()
		if err != nil {
			return err
		}
		switch e := event.(type) {
		case engine.Token:
			err = ex.to.token(e, in.HasBuffered())
		case engine.End:
			return ex.to.end(e)
		default:
			return errors.Errorf("traffic: unknown event %T", event)
		}
		if err != nil {
			return err
		}
	}
}

// sendDeadline returns the time by which the request must have been sent for the
// first time. It is zero when resuming, which only the request's deadline limits.
func (ex *execution) sendDeadline() time.Time {
	if ex.sent {
		return time.Time{}
	}
	return ex.ticket.SendBefore
}

// canResume reports whether the engine may still be running the request and able
// to send the rest of the answer.
func (ex *execution) canResume(err error) bool {
	return ex.sent && (engine.Reset.Matches(err) || engine.Stalled.Matches(err) || engine.Unreachable.Matches(err))
}

// engineCrashed reports whether the engine's process ended while the request was
// in progress: it now refuses connections or has a different incarnation.
func (ex *execution) engineCrashed(ctx context.Context, err error) bool {
	if engine.Stalled.Matches(err) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	report, err := ex.s.Engine.Report(ctx, ex.ticket.Target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return ex.incarnation != "" && report.Incarnation != ex.incarnation
}

// reportCrash reports the crash to Control and to the Quarantine, and returns the
// error for the receiver of the answer.
func (ex *execution) reportCrash(cause error) error {
	ex.s.log.Warn("traffic: runner "+ex.ticket.Target.Name+" crashed", zap.String("id", ex.req.job.ID), zap.Error(cause))
	ex.s.Control.RecordCrash(ex.ticket.Target.Name, []string{ex.req.job.ID})
	name := ex.crashID()
	if ex.s.Quarantine != nil {
		ex.s.Quarantine.CrashedRun(ex.req.fingerprint, ex.runID, name)
	}
	return &peer.CrashError{ID: name, Err: &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.Interrupted, Message: "the engine crashed with the request in progress"}}
}

// withVerdict returns err with a verdict that covers the whole execution: if the
// engine refuses to resume the answer, the request was still sent before.
func (ex *execution) withVerdict(err error) error {
	if err == nil {
		return nil
	}
	return withMayHaveRun(err, ex.sent)
}

// finish ends the ticket. A request that may still be running is retained or
// cancelled first; the cancellation runs in the background and only delays the
// end of the ticket.
func (ex *execution) finish(err error) {
	var crash *peer.CrashError
	reason := engine.ReasonOf(err)
	switch {
	case err == nil:
		ex.endTicket(control.Served{})
	case !ex.sent:
		ex.endTicket(control.Refused{Absent: reason == engine.Absent})
	case errors.As(err, &crash):
		ex.endTicket(control.Lost{})
	case ex.retain != nil && ex.retain(ex):
	default:
		ex.s.active.add()
		go ex.cancel()
	}
}

// cancel cancels the request on the engine and then ends the ticket.
func (ex *execution) cancel() {
	defer ex.s.active.done()
	for range maxCancels {
		_, err := ex.s.Engine.Cancel(context.Background(), ex.ticket.Target.Address, ex.req.job.ID)
		if err == nil {
			ex.endTicket(control.Cancelled{})
			return
		}
		ex.s.log.Info("traffic: cancel not confirmed", zap.String("id", ex.req.job.ID), zap.Error(err))
	}
	ex.endTicket(control.Lost{})
}
