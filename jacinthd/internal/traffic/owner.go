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
	// resumes is the number of tries at resuming on an engine without progress.
	resumes = 3
	// cancelTries is the number of tries at having a cancel confirmed.
	cancelTries = 2
)

// own serves a request on a runner owned here.
func (s *Server) own(ctx context.Context, q request, runner string, to sink) error {
	ticket, err := s.Control.Admit(ctx, runner, q.job)
	if err != nil {
		return errors.WithMessage(err, "traffic: admit")
	}
	return s.admitted(q, ticket, to).serve(ctx)
}

func (s *Server) admitted(q request, ticket *control.Ticket, to sink) *work {
	return &work{s: s, q: q, ticket: ticket, to: to, incarnation: s.Engine.Incarnation(ticket.Target.Address)}
}

// A work is one admitted request on its engine.
type work struct {
	s      *Server
	q      request
	ticket *control.Ticket
	to     sink
	// incarnation is that of the engine before the request was sent.
	incarnation string
	// sent says that the engine may have got the request.
	sent bool
	// hold, where set, may take over the ticket of a request that was sent and
	// that nobody waits for; it reports whether it did.
	hold func(*work) bool
	// run names this run for Suspects; empty before it has leave.
	run string
}

// serve sends the request to the engine, hands its answer on and ends the ticket.
func (w *work) serve(ctx context.Context) error {
	err := w.watched(ctx)
	w.settle(err)
	return err
}

// answer returns nil once the whole answer was handed on.
func (w *work) answer(ctx context.Context) error {
	if err := w.to.admitted(w.ticket.Hint, w.ticket.Stall); err != nil {
		return err
	}
	if err := w.fresh(ctx); err != nil {
		return err
	}
	left := resumes
	for {
		next := w.to.next()
		err := w.stream(ctx)
		if err != nil && ctx.Err() != nil {
			return w.verdict(over(ctx))
		}
		if err == nil || !w.broke(err) {
			return w.verdict(err)
		}
		if w.crashed(ctx, err) {
			return w.crash(err)
		}
		if w.to.next() > next {
			left = resumes
		}
		left -= w.cost(err)
		if left < 0 {
			return w.verdict(err)
		}
		pause(ctx, resumePause*time.Duration(resumes-left-1))
	}
}

// cost returns how many of the tries at resuming a failure uses up. Silence
// allows one more, none where the request can still go elsewhere.
func (w *work) cost(err error) int {
	switch {
	case !engine.Stalled.Matches(err):
		return 1
	case w.to.next() == 0:
		return resumes + 1
	default:
		return resumes
	}
}

// fresh refuses to send what nobody waits for any more, or what may no longer
// be sent: this host may have been paused.
func (w *work) fresh(ctx context.Context) error {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return over(ctx)
	case !now.Before(w.q.job.Deadline):
		return errLate
	case !w.sent && !w.ticket.SendBefore.IsZero() && !now.Before(w.ticket.SendBefore):
		return verdict.Refuse(verdict.Unavailable, "the leave to use the runner lapsed")
	default:
		return nil
	}
}

// stream hands the engine's events on, from the next token wanted.
func (w *work) stream(ctx context.Context) error {
	in, err := w.s.Engine.Complete(ctx, w.ticket.Target.Address, w.q.engine(w.to.next(), w.before()))
	w.sent = w.sent || verdict.Of(err) != verdict.NotRun
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
			err = w.to.token(e, in.HasBuffered())
		case engine.End:
			return w.to.end(e)
		default:
			return errors.Errorf("traffic: unknown event %T", event)
		}
		if err != nil {
			return err
		}
	}
}

// before returns when the first sending must be over; a try at resuming has
// only the deadline.
func (w *work) before() time.Time {
	if w.sent {
		return time.Time{}
	}
	return w.ticket.SendBefore
}

// broke reports whether the engine may still run the request and tell the rest.
func (w *work) broke(err error) bool {
	return w.sent && (engine.Reset.Matches(err) || engine.Stalled.Matches(err) || engine.Unreachable.Matches(err))
}

// crashed reports whether the engine's process ended with the request in
// progress: it refuses connections now, or has another incarnation.
func (w *work) crashed(ctx context.Context, err error) bool {
	if engine.Stalled.Matches(err) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	report, err := w.s.Engine.Report(ctx, w.ticket.Target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return w.incarnation != "" && report.Incarnation != w.incarnation
}

// crash tells control and returns the error for whoever waits.
func (w *work) crash(cause error) error {
	w.s.log.Warn("traffic: runner "+w.ticket.Target.Name+" crashed", zap.String("id", w.q.job.ID), zap.Error(cause))
	w.s.Control.RecordCrash(w.ticket.Target.Name, []string{w.q.job.ID})
	name := w.crashName()
	if w.s.Quarantine != nil {
		w.s.Quarantine.CrashedRun(w.q.print, w.run, name)
	}
	return &peer.CrashError{ID: name, Err: &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.Interrupted, Message: "the engine crashed with the request in progress"}}
}

// verdict returns err with the verdict of all that this host did: a refusal
// of a try at resuming doesn't undo the first sending.
func (w *work) verdict(err error) error {
	if err == nil {
		return nil
	}
	return marked(err, w.sent)
}

// settle ends the ticket. Where the request may still run, it is cancelled
// first; nobody waits for that but the ticket.
func (w *work) settle(err error) {
	var crash *peer.CrashError
	reason := engine.ReasonOf(err)
	switch {
	case err == nil:
		w.end(control.Served{})
	case !w.sent:
		w.end(control.Refused{Absent: reason == engine.Absent})
	case errors.As(err, &crash):
		w.end(control.Lost{})
	case w.hold != nil && w.hold(w):
	default:
		w.s.tasks.add()
		go w.cancel()
	}
}

// cancel ends the request on the engine, and then the ticket.
func (w *work) cancel() {
	defer w.s.tasks.done()
	for range cancelTries {
		_, err := w.s.Engine.Cancel(context.Background(), w.ticket.Target.Address, w.q.job.ID)
		if err == nil {
			w.end(control.Cancelled{})
			return
		}
		w.s.log.Info("traffic: cancel not confirmed", zap.String("id", w.q.job.ID), zap.Error(err))
	}
	w.end(control.Lost{})
}
