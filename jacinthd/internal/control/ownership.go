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

// tellTimeout limits the telling of another host.
const tellTimeout = 2 * time.Second

// An ownership is one runner that this host owns, or that it owned and still
// has requests on.
type ownership struct {
	runner  runner.Runner
	target  target.Target
	epoch   uint32
	waiting map[string]waiter
	tickets map[string]admission
	polling time.Time // when the next report is asked for; zero while one is
	silent  bool      // the engine gave no report when last asked
	handing bool
	// inherited says that, when the runner was released, requests of an owner
	// before this host could still run: it can't say that the runner is drained.
	inherited bool
}

// A waiter is a job that waits to be admitted.
type waiter struct {
	job   Job
	reply chan decision
}

// An admission is a job with a ticket.
type admission struct{ admitted time.Time }

// A decision answers a waiter: one of the two is set.
type decision struct {
	ticket *Ticket
	err    *verdict.Error
}

// acquire takes a runner in, as soon as the configuration has its target.
func (l *Loop) acquire(a host.Acquire) {
	l.acquired[a.Runner] = a
	l.takeAcquired()
}

func (l *Loop) takeAcquired() {
	for name, a := range l.acquired {
		t, ok := l.config.Targets[name]
		if !ok {
			continue
		}
		delete(l.acquired, name)
		l.own(a, t)
	}
}

func (l *Loop) own(a host.Acquire, t target.Target) {
	o := l.owned[a.Runner]
	kept := o != nil && !a.Inherited && (a.PreviousOwner == l.Self.Name || a.Epoch == o.epoch)
	if o == nil {
		o = &ownership{waiting: map[string]waiter{}, tickets: map[string]admission{}}
		o.runner = runner.Runner{Name: t.Name, Slots: t.Slots, Batch: t.Batch, Policy: l.RunnerPolicy, MaxWaiting: l.MaxQueue}
		if kind, ok := l.config.Services[t.Service].Kind().(*service.Engine); ok {
			o.runner.Fenced = kind.Fenced
		}
		l.owned[a.Runner] = o
	}
	o.target = t
	o.epoch = a.Epoch
	o.handing = false
	o.polling = l.now
	l.dirty = true
	l.Log.Info("host: acquired a runner", zap.String("runner", a.Runner), zap.Uint32("epoch", a.Epoch),
		zap.String("from", a.PreviousOwner), zap.Bool("inherited", a.Inherited))
	l.runnerStep(o, runner.Owned{
		Epoch:          a.Epoch,
		Inherited:      a.Inherited,
		Continuous:     kept,
		LatestDeadline: l.now.Add(l.MaxTimeout),
		LeaseEnd:       l.lease,
	})
	if !l.fit(t.Name) {
		l.runnerStep(o, runner.TargetRemoved{})
	}
}

// release gives a runner up at once. Requests in progress go on to their end.
func (l *Loop) release(name string) {
	delete(l.acquired, name)
	o := l.owned[name]
	if o == nil {
		return
	}
	l.Log.Info("host: released a runner", zap.String("runner", name), zap.Uint32("epoch", o.epoch),
		zap.Int("running", len(o.tickets)))
	l.runnerStep(o, runner.HandoverStarted{})
	o.inherited = o.runner.Usage().Inherited
	delete(l.owned, name)
	l.dirty = true
	l.former[o] = true
	l.finishFormer(o)
}

// handover stops the use of a runner, so that another host can have it.
func (l *Loop) handover(a host.Handover) {
	o := l.owned[a.Runner]
	if o == nil {
		delete(l.acquired, a.Runner)
		l.memberStep(host.Drained{Runner: a.Runner})
		return
	}
	l.Log.Info("host: handing a runner over", zap.String("runner", a.Runner), zap.String("to", a.To))
	o.handing = true
	l.dirty = true
	l.runnerStep(o, runner.HandoverStarted{})
}

// finishFormer tells the present owner once no request of this host is left.
func (l *Loop) finishFormer(o *ownership) {
	if !l.former[o] || len(o.tickets) > 0 {
		return
	}
	delete(l.former, o)
	defer l.settled()
	row, ok := l.tables[l.Region].Row(o.target.Name)
	if o.inherited || !ok || row.Owner == "" || row.Owner == l.Self.Name {
		return
	}
	owner, ok := l.tables[l.Region].Member(row.Owner)
	if !ok {
		return
	}
	message := peer.Drained{Runner: o.target.Name, Epoch: uint64(o.epoch)}
	l.telling++
	go func() {
		defer l.post(told{})
		ctx, cancel := context.WithTimeout(l.ctx, tellTimeout)
		defer cancel()
		if _, err := l.Link.Call(ctx, owner.Peer, owner.Name, message); err != nil {
			l.Log.Info("host: the new owner was not told of the drain", zap.String("runner", message.Runner), zap.Error(err))
		}
	}()
}

// WaitDrained returns once no request is left on any runner that this host gave up,
// and the new owners were told, or ctx ended.
func (l *Loop) WaitDrained(ctx context.Context) error {
	done := make(chan struct{})
	l.post(settle{done})
	select {
	case <-done:
		return nil
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settled ends the waits of Settle where nothing is left.
func (l *Loop) settled() {
	if len(l.former) > 0 || l.telling > 0 {
		return
	}
	for _, done := range l.settling {
		close(done)
	}
	l.settling = nil
}

// inherit takes in that an earlier owner has drained a runner.
func (l *Loop) inherit(d drained) {
	o := l.owned[d.runner]
	if o == nil {
		return
	}
	row, ok := l.tables[l.Region].Row(d.runner)
	if ok && row.Epoch == o.epoch && row.PreviousEpoch == d.epoch {
		l.runnerStep(o, runner.PreviousOwnerDrained{})
	}
}

// eachRunner passes an event to every runner owned here.
func (l *Loop) eachRunner(event runner.Event) {
	for _, o := range l.owned {
		l.runnerStep(o, event)
	}
}

// runnerStep passes an event to a runner and carries its actions out.
func (l *Loop) runnerStep(o *ownership, event runner.Event) {
	for _, action := range o.runner.Step(l.now, event) {
		l.runnerAct(o, action)
	}
}

func (l *Loop) runnerAct(o *ownership, action runner.Action) {
	switch a := action.(type) {
	case runner.Admit:
		l.admit(o, a)
	case runner.Refuse:
		l.refuse(o, a)
	case runner.Order:
		l.Metrics.order(a.Kind.String())
		go l.order(o, o.target.Address, a)
	case runner.RequestPermit:
		l.permits.step(l, load.PermitRequested{PendingLoad: load.PendingLoad{
			Runner: o.target.Name, Ref: a.Ref, Waiting: a.Waiting, Caller: a.Caller, Weight: a.Weight,
		}})
	case runner.ReturnPermit:
		l.permits.step(l, load.PermitReturned{Runner: o.target.Name, Ref: a.Ref, Used: a.Used})
	case runner.Cancel:
		go l.cancel(o, o.target.Address, a.ID)
	case runner.RequestReport:
		l.askReport(o)
	case runner.OrdersFinished:
		l.quiet(o)
	case runner.Drained:
		l.empty(o)
	case runner.Superseded:
		l.Log.Warn("host: superseded on a runner", zap.String("runner", o.target.Name), zap.Uint64("number", a.Number))
		l.dirty = true
	default:
		panic(fmt.Sprintf("control: action %T of a runner", action))
	}
}

func (l *Loop) admit(o *ownership, a runner.Admit) {
	w, ok := o.waiting[a.ID]
	if !ok {
		panic("control: admitted a job that does not wait: " + a.ID)
	}
	delete(o.waiting, a.ID)
	o.tickets[a.ID] = admission{admitted: l.now}
	l.Metrics.admitted(a.Resident)
	usage := o.runner.Usage()
	hint := Hint{Waiting: usage.Waiting, Running: usage.Running, Resident: a.Resident}
	w.reply <- decision{ticket: NewTicket(o.target, a.SendBy, hint, a.Stall, func(outcome Outcome) {
		l.post(ended{owner: o, id: a.ID, outcome: outcome})
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

// quiet gives a runner that is being handed over away: its next owner takes over
// what still runs, and serves meanwhile.
func (l *Loop) quiet(o *ownership) {
	if o.handing && l.owned[o.target.Name] == o {
		l.memberStep(host.AdmissionStopped{Runner: o.target.Name})
	}
}

// empty says that a runner that was stopped has nothing left.
func (l *Loop) empty(o *ownership) {
	if o.handing && l.owned[o.target.Name] == o {
		l.memberStep(host.Drained{Runner: o.target.Name})
	}
}
