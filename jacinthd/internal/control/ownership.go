package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
	"jacinthstage/stage/load"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

// peerCallTimeout limits a call to another host.
const peerCallTimeout = 2 * time.Second

// An ownership is a runner that this host owns, or that it has released and still
// has requests on.
type ownership struct {
	runner       runner.Runner
	target       target.Target
	epoch        uint32
	waiting      map[string]waitingJob
	tickets      map[string]admission
	nextPoll     time.Time // when the next report is requested; zero while a request is in progress
	unresponsive bool      // the engine didn't answer the last request for a report
	handingOver  bool      // the runner is being handed over to another host
	// inherited is set if requests of an earlier owner could still run when this
	// host released the runner. This host then can't report the runner as drained.
	inherited bool
}

// A waitingJob is a job that waits to be admitted.
type waitingJob struct {
	job   Job
	reply chan decision
}

// An admission records when a job received its ticket.
type admission struct{ at time.Time }

// A decision is the answer to a waiting job. Exactly one field is set.
type decision struct {
	ticket *Ticket
	err    *verdict.Error
}

// acquire takes ownership of a runner as soon as the configuration contains its
// target.
func (l *Loop) acquire(a host.Acquire) {
	l.acquired[a.Runner] = a
	l.ownAcquired()
}

// ownAcquired takes ownership of the acquired runners whose targets are in the
// configuration.
func (l *Loop) ownAcquired() {
	for name, a := range l.acquired {
		t, ok := l.config.Targets[name]
		if !ok {
			continue
		}
		delete(l.acquired, name)
		l.takeOwnership(a, t)
	}
}

// takeOwnership starts or updates the ownership of a runner.
func (l *Loop) takeOwnership(a host.Acquire, t target.Target) {
	o := l.owned[a.Runner]
	continuous := o != nil && !a.Inherited && (a.PreviousOwner == l.Self.Name || a.Epoch == o.epoch)
	if o == nil {
		o = &ownership{waiting: map[string]waitingJob{}, tickets: map[string]admission{}}
		o.runner = runner.Runner{Name: t.Name, Slots: t.Slots, Batch: t.Batch, Policy: l.RunnerPolicy, MaxWaiting: l.MaxQueue}
		if kind, ok := l.config.Services[t.Service].Kind().(*service.Engine); ok {
			o.runner.Fenced = kind.Fenced
		}
		l.owned[a.Runner] = o
	}
	o.target = t
	o.epoch = a.Epoch
	o.handingOver = false
	o.nextPoll = l.now
	l.dirty = true
	l.Log.Info("host: runner acquired", zap.String("runner", a.Runner), zap.Uint32("epoch", a.Epoch),
		zap.String("from", a.PreviousOwner), zap.Bool("inherited", a.Inherited))
	l.stepRunner(o, runner.Owned{
		Epoch:          a.Epoch,
		Inherited:      a.Inherited,
		Continuous:     continuous,
		LatestDeadline: l.now.Add(l.MaxTimeout),
		LeaseEnd:       l.leaseEnd,
	})
	if !l.acceptsWork(t.Name) {
		l.stepRunner(o, runner.TargetRemoved{})
	}
}

// release gives up a runner immediately. Requests in progress run to completion.
func (l *Loop) release(name string) {
	delete(l.acquired, name)
	o := l.owned[name]
	if o == nil {
		return
	}
	l.Log.Info("host: runner released", zap.String("runner", name), zap.Uint32("epoch", o.epoch),
		zap.Int("running", len(o.tickets)))
	l.stepRunner(o, runner.HandoverStarted{})
	o.inherited = o.runner.Usage().Inherited
	delete(l.owned, name)
	l.dirty = true
	l.released[o] = true
	l.reportDrain(o)
}

// handover stops admitting requests to a runner, so that it can be handed over to
// another host.
func (l *Loop) handover(a host.Handover) {
	o := l.owned[a.Runner]
	if o == nil {
		delete(l.acquired, a.Runner)
		l.stepMember(host.Drained{Runner: a.Runner})
		return
	}
	l.Log.Info("host: runner handover started", zap.String("runner", a.Runner), zap.String("to", a.To))
	o.handingOver = true
	l.dirty = true
	l.stepRunner(o, runner.HandoverStarted{})
}

// reportDrain reports a released runner as drained to its current owner, once no
// request of this host is left on it.
func (l *Loop) reportDrain(o *ownership) {
	if !l.released[o] || len(o.tickets) > 0 {
		return
	}
	delete(l.released, o)
	defer l.notifyDrainWaits()
	row, ok := l.tables[l.Region].Row(o.target.Name)
	if o.inherited || !ok || row.Owner == "" || row.Owner == l.Self.Name {
		return
	}
	owner, ok := l.tables[l.Region].Member(row.Owner)
	if !ok {
		return
	}
	message := peer.Drained{Runner: o.target.Name, Epoch: uint64(o.epoch)}
	l.pendingDrainReports++
	go func() {
		defer l.send(drainReported{})
		ctx, cancel := context.WithTimeout(l.ctx, peerCallTimeout)
		defer cancel()
		if _, err := l.Link.Call(ctx, owner.Peer, owner.Name, message); err != nil {
			l.Log.Info("host: drain not reported to the new owner", zap.String("runner", message.Runner), zap.Error(err))
		}
	}()
}

// WaitDrained waits until no request is left on any runner that this host has
// released and the new owners have been notified, or until ctx ends.
func (l *Loop) WaitDrained(ctx context.Context) error {
	done := make(chan struct{})
	l.send(drainWaitStarted{done})
	select {
	case <-done:
		return nil
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notifyDrainWaits ends the waits in WaitDrained once nothing is left to drain or
// report.
func (l *Loop) notifyDrainWaits() {
	if len(l.released) > 0 || l.pendingDrainReports > 0 {
		return
	}
	for _, done := range l.drainWaits {
		close(done)
	}
	l.drainWaits = nil
}

// handleDrain records that the previous owner has drained a runner. A report for
// any other epoch than the previous one in the current table is ignored.
func (l *Loop) handleDrain(d runnerDrained) {
	o := l.owned[d.runner]
	if o == nil {
		return
	}
	row, ok := l.tables[l.Region].Row(d.runner)
	if ok && row.Epoch == o.epoch && row.PreviousEpoch == d.epoch {
		l.stepRunner(o, runner.PreviousOwnerDrained{})
	}
}

// stepAllRunners passes an event to every runner that this host owns.
func (l *Loop) stepAllRunners(event runner.Event) {
	for _, o := range l.owned {
		l.stepRunner(o, event)
	}
}

// stepRunner passes an event to a runner and carries out the resulting actions.
func (l *Loop) stepRunner(o *ownership, event runner.Event) {
	for _, action := range o.runner.Step(l.now, event) {
		l.doRunnerAction(o, action)
	}
}

func (l *Loop) doRunnerAction(o *ownership, action runner.Action) {
	switch a := action.(type) {
	case runner.Admit:
		l.admit(o, a)
	case runner.Refuse:
		l.refuse(o, a)
	case runner.Order:
		l.Metrics.order(a.Kind.String())
		go l.sendOrder(o, o.target.Address, a)
	case runner.RequestPermit:
		l.permits.step(l, load.PermitRequested{PendingLoad: load.PendingLoad{
			Runner: o.target.Name, Ref: a.Ref, Waiting: a.Waiting, Caller: a.Caller, Weight: a.Weight,
		}})
	case runner.ReturnPermit:
		l.permits.step(l, load.PermitReturned{Runner: o.target.Name, Ref: a.Ref, Used: a.Used})
	case runner.Cancel:
		go l.sendCancel(o, o.target.Address, a.ID)
	case runner.RequestReport:
		l.requestReport(o)
	case runner.OrdersFinished:
		l.yieldRunner(o)
	case runner.Drained:
		l.finishHandover(o)
	case runner.Superseded:
		l.Log.Warn("host: runner superseded by another owner", zap.String("runner", o.target.Name), zap.Uint64("number", a.Number))
		l.dirty = true
	default:
		panic(fmt.Sprintf("control: unknown runner action %T", action))
	}
}

func (l *Loop) admit(o *ownership, a runner.Admit) {
	w, ok := o.waiting[a.ID]
	if !ok {
		panic("control: admitted a job that is not waiting: " + a.ID)
	}
	delete(o.waiting, a.ID)
	o.tickets[a.ID] = admission{at: l.now}
	l.Metrics.admitted(a.Resident)
	usage := o.runner.Usage()
	hint := Hint{Waiting: usage.Waiting, Running: usage.Running, Resident: a.Resident}
	w.reply <- decision{ticket: NewTicket(o.target, a.SendBy, hint, a.Stall, func(outcome Outcome) {
		l.send(jobEnded{owner: o, id: a.ID, outcome: outcome})
	})}
}

func (l *Loop) refuse(o *ownership, a runner.Refuse) {
	w, ok := o.waiting[a.ID]
	if !ok {
		return
	}
	delete(o.waiting, a.ID)
	l.Metrics.refused(string(a.Err.Code))
	w.reply <- decision{err: a.Err}
}

// yieldRunner yields a runner that is being handed over, once no order of this host
// can take effect any more. The next owner serves it and takes over the requests
// that still run.
func (l *Loop) yieldRunner(o *ownership) {
	if o.handingOver && l.owned[o.target.Name] == o {
		l.stepMember(host.AdmissionStopped{Runner: o.target.Name})
	}
}

// finishHandover reports a runner that is being handed over as drained.
func (l *Loop) finishHandover(o *ownership) {
	if o.handingOver && l.owned[o.target.Name] == o {
		l.stepMember(host.Drained{Runner: o.target.Name})
	}
}
