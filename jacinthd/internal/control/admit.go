package control

import (
	"context"

	"jacinthstage/stage/patch"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/verdict"
)

// Admit implements Control.
func (l *Loop) Admit(ctx context.Context, name string, job Job) (*Ticket, error) {
	reply := make(chan decision, 1)
	l.send(jobArrived{runner: name, job: job, reply: reply})
	select {
	case d := <-reply:
		if d.err != nil {
			return nil, d.err
		}
		return d.ticket, nil
	case <-ctx.Done():
		l.send(jobAbandoned{runner: name, id: job.ID})
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.DeadlineExceeded, Message: "the request ended while it waited"}
	case <-l.done:
		return nil, verdict.Refuse(verdict.Unavailable, "the host stops")
	}
}

// enqueueJob adds a job to its runner's queue, or refuses it if the runner is not
// owned here or doesn't answer, or if the job already waits.
func (l *Loop) enqueueJob(m jobArrived) {
	o := l.owned[m.runner]
	if o == nil {
		m.reply <- decision{err: verdict.Refuse(verdict.Unavailable, "runner %s is not owned here", m.runner)}
		return
	}
	if o.unresponsive {
		m.reply <- decision{err: verdict.Refuse(verdict.Unavailable, "runner %s does not answer", m.runner)}
		return
	}
	if _, duplicate := o.waiting[m.job.ID]; duplicate {
		m.reply <- decision{err: verdict.Refuse(verdict.Conflict, "request %s waits already", m.job.ID)}
		return
	}
	o.waiting[m.job.ID] = waitingJob{job: m.job, reply: m.reply}
	l.stepRunner(o, runner.RequestArrived{
		ID:        m.job.ID,
		Ref:       m.job.Ref,
		Caller:    m.job.Caller,
		Weight:    m.job.Weight,
		Priority:  m.job.Priority,
		Deadline:  m.job.Deadline,
		MaxTokens: m.job.MaxTokens,
	})
}

// abandonJob removes a job whose caller no longer waits for its decision. If the
// job already has a ticket, the ticket is returned unused.
func (l *Loop) abandonJob(m jobAbandoned) {
	for o := range l.ownershipsWithJobs(m.runner) {
		if _, ok := o.waiting[m.id]; ok {
			l.stepRunner(o, runner.CallerLeft{ID: m.id})
			delete(o.waiting, m.id)
			return
		}
		if _, ok := o.tickets[m.id]; ok {
			l.endJob(jobEnded{owner: o, id: m.id, outcome: Refused{}})
			return
		}
	}
}

// ownershipsWithJobs returns the ownerships of a runner that may have jobs: the
// current one and those that were released with jobs in progress.
func (l *Loop) ownershipsWithJobs(name string) map[*ownership]bool {
	found := map[*ownership]bool{}
	if o := l.owned[name]; o != nil {
		found[o] = true
	}
	for o := range l.released {
		if o.target.Name == name {
			found[o] = true
		}
	}
	return found
}

// endJob ends a job's ticket and releases the pin on its adapter.
func (l *Loop) endJob(m jobEnded) {
	admitted, ok := m.owner.tickets[m.id]
	if !ok {
		return
	}
	if t := l.routeTables[m.owner.target.Service]; t != nil {
		t.RecordServiceTime(l.now.Sub(admitted.at))
	}
	delete(m.owner.tickets, m.id)
	l.stepRunner(m.owner, runner.RequestEnded{ID: m.id, Outcome: runnerOutcome(m.outcome)})
	l.reportDrain(m.owner)
}

// runnerOutcome converts the outcome of a ticket to the runner's type.
func runnerOutcome(o Outcome) runner.Outcome {
	switch o := o.(type) {
	case Served:
		return runner.Served
	case Cancelled:
		return runner.Cancelled
	case Refused:
		if o.Absent {
			return runner.Absent
		}
		return runner.NotRun
	case Lost:
		return runner.Lost
	default:
		panic("control: unknown outcome")
	}
}

// RecordCrash implements Control.
func (l *Loop) RecordCrash(name string, ids []string) { l.send(engineCrashed{runner: name, ids: ids}) }

// Configure puts a configuration in force unless a newer one already is.
func (l *Loop) Configure(config *patch.Config) { l.send(configPublished{config}) }

// RecordDrain records that the previous owner of a runner, at the given epoch,
// has no request left on it.
func (l *Loop) RecordDrain(name string, epoch uint32) {
	l.send(runnerDrained{runner: name, epoch: epoch})
}

// applyConfig puts a configuration in force. A configuration with a lower version
// than the current one is ignored, so that the version never decreases.
func (l *Loop) applyConfig(config *patch.Config) {
	if config.Version < l.config.Version {
		return
	}
	l.config = config
	l.dirty = true
	l.Metrics.configured(config.Version)
	for _, o := range l.owned {
		if t, ok := config.Targets[o.target.Name]; ok {
			o.target = t
		}
	}
	l.ownAcquired()
	l.updateMemberRunners()
}
