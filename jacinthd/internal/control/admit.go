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
	l.post(arrived{runner: name, job: job, reply: reply})
	select {
	case d := <-reply:
		if d.err != nil {
			return nil, d.err
		}
		return d.ticket, nil
	case <-ctx.Done():
		l.post(gone{runner: name, id: job.ID})
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.DeadlineExceeded, Message: "the request ended while it waited"}
	case <-l.done:
		return nil, verdict.Refuse(verdict.Unavailable, "the host stops")
	}
}

func (l *Loop) arrive(p arrived) {
	o := l.owned[p.runner]
	if o == nil {
		p.reply <- decision{err: verdict.Refuse(verdict.Unavailable, "runner %s is not owned here", p.runner)}
		return
	}
	if o.silent {
		p.reply <- decision{err: verdict.Refuse(verdict.Unavailable, "runner %s does not answer", p.runner)}
		return
	}
	if _, twice := o.waiting[p.job.ID]; twice {
		p.reply <- decision{err: verdict.Refuse(verdict.Conflict, "request %s waits already", p.job.ID)}
		return
	}
	o.waiting[p.job.ID] = waiter{job: p.job, reply: p.reply}
	l.runnerStep(o, runner.RequestArrived{
		ID:        p.job.ID,
		Ref:       p.job.Ref,
		Caller:    p.job.Caller,
		Weight:    p.job.Weight,
		Priority:  p.job.Priority,
		Deadline:  p.job.Deadline,
		MaxTokens: p.job.MaxTokens,
	})
}

// leave ends the wait of a job. A ticket that nobody took is given back unused.
func (l *Loop) leave(p gone) {
	for o := range l.withJobs(p.runner) {
		if _, ok := o.waiting[p.id]; ok {
			l.runnerStep(o, runner.CallerLeft{ID: p.id})
			delete(o.waiting, p.id)
			return
		}
		if _, ok := o.tickets[p.id]; ok {
			l.end(ended{owner: o, id: p.id, outcome: Refused{}})
			return
		}
	}
}

// withJobs returns the ownerships of a runner that may have jobs: the present and the former.
func (l *Loop) withJobs(name string) map[*ownership]bool {
	found := map[*ownership]bool{}
	if o := l.owned[name]; o != nil {
		found[o] = true
	}
	for o := range l.former {
		if o.target.Name == name {
			found[o] = true
		}
	}
	return found
}

// end gives a job's pin back.
func (l *Loop) end(p ended) {
	pin, ok := p.owner.tickets[p.id]
	if !ok {
		return
	}
	if t := l.routes[p.owner.target.Service]; t != nil {
		t.RecordServiceTime(l.now.Sub(pin.admitted))
	}
	delete(p.owner.tickets, p.id)
	l.runnerStep(p.owner, runner.RequestEnded{ID: p.id, Outcome: outcome(p.outcome)})
	l.finishFormer(p.owner)
}

func outcome(o Outcome) runner.Outcome {
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
func (l *Loop) RecordCrash(name string, ids []string) { l.post(crashed{runner: name, ids: ids}) }

// Configure makes a newer configuration the one in force.
func (l *Loop) Configure(config *patch.Config) { l.post(configured{config}) }

// RecordDrain takes in that an earlier owner has no request left on a runner.
func (l *Loop) RecordDrain(name string, epoch uint32) { l.post(drained{runner: name, epoch: epoch}) }

// configure puts a configuration in force. The version only grows.
func (l *Loop) configure(config *patch.Config) {
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
	l.takeAcquired()
	l.tellRunners()
}
