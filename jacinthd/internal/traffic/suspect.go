package traffic

import (
	"context"
	"strconv"
	"sync"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/stage/verdict"
)

// errOnce says that a run was cancelled since its request, which also ran
// elsewhere, crashed a target there: from then on it runs once at a time.
var errOnce = verdict.Refuse(verdict.Busy, "the request crashed a target and runs once at a time")

// runs are the runs in progress on runners owned here, so that Suspects can
// have one cancelled.
type runs struct {
	mu   sync.Mutex
	last uint64
	byID map[string]*run
}

// A run is cancelled at once where a try waits for it, and by the next try
// where its link was lost.
type run struct {
	cancel context.CancelCauseFunc // of the try in progress
	ended  bool
}

// name returns a name that no other run of this process has.
func (r *runs) name(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	return id + "/" + strconv.FormatUint(r.last, 10)
}

// watch has cancel called when the run is to end.
func (r *runs) watch(name string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*run{}
	}
	if r.byID[name] == nil {
		r.byID[name] = &run{}
	}
	r.byID[name].cancel = cancel
	if r.byID[name].ended {
		cancel(errOnce)
	}
}

func (r *runs) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, name)
}

// CancelRun cancels a run on a runner owned here, by the id that Suspects know.
// A run that has ended is left alone.
func (s *Server) CancelRun(id string) {
	s.runs.mu.Lock()
	defer s.runs.mu.Unlock()
	if r := s.runs.byID[id]; r != nil {
		r.ended = true
		r.cancel(errOnce)
	}
}

// over returns why ctx ended.
func over(ctx context.Context) error {
	if context.Cause(ctx) == error(errOnce) {
		return errOnce
	}
	return errLate
}

// watched answers with the leave of Suspects, where there are any.
func (w *work) watched(ctx context.Context) error {
	if w.s.Quarantine == nil {
		return w.answer(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := w.run == ""
	if first {
		w.run = w.s.runs.name(w.q.job.ID)
	}
	w.s.runs.watch(w.run, cancel)
	if first {
		if err := w.s.Quarantine.Enter(ctx, w.q.print, w.run, w.ticket.Target.Name); err != nil {
			w.s.runs.forget(w.run)
			w.run = ""
			return err
		}
	}
	return w.answer(ctx)
}

// end ends the ticket, and the run.
func (w *work) end(outcome control.Outcome) {
	if w.run != "" {
		w.s.runs.forget(w.run)
		_, whole := outcome.(control.Served)
		w.s.Quarantine.Leave(w.q.print, w.run, whole)
	}
	w.ticket.End(outcome)
}

// crashName names a crash of the runner, the same on every host: by the
// incarnation that ended or, where none was known, by the request.
func (w *work) crashName() string {
	if w.incarnation == "" {
		return w.ticket.Target.Name + "/" + w.q.job.ID
	}
	return w.ticket.Target.Name + "/" + w.incarnation
}
