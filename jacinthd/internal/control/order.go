package control

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/verdict"
)

const (
	// pollPeriod is the time between two reports asked of an engine.
	pollPeriod = 2 * time.Second
	// repollPeriod is the same while the engine gives none.
	repollPeriod = 300 * time.Millisecond
	// cancelTimeout limits the wait for an engine's confirmation.
	cancelTimeout = 5 * time.Second
)

// order sends an order to the engine and posts what became of it.
func (l *Loop) order(o *ownership, addr netip.AddrPort, a runner.Order) {
	var order engine.Order
	switch a.Kind {
	case runner.Load:
		order = engine.Load{Ref: a.Ref}
	case runner.Unload:
		order = engine.Unload{Ref: a.Ref}
	case runner.Fence:
		order = engine.Fence{}
	default:
		panic(fmt.Sprintf("control: order %v", a.Kind))
	}
	receipt, err := l.Engines.Order(l.ctx, addr, order, a.Number, a.Deadline)
	l.post(answered{owner: o, event: outcomeOf(a, receipt, err)})
}

// outcomeOf tells what an engine's answer to an order means.
func outcomeOf(a runner.Order, receipt engine.Receipt, err error) runner.Answered {
	event := runner.Answered{Number: a.Number, HighestNumber: receipt.FencingNumber, Incarnation: receipt.Incarnation}
	if err == nil {
		event.Answer = runner.Done
		return event
	}
	var refusal *engine.Refusal
	if !errors.As(err, &refusal) {
		if verdict.Of(err) == verdict.NotRun {
			event.Answer = runner.Failed
		}
		return event
	}
	event.HighestNumber = refusal.FencingNumber
	switch refusal.Reason {
	case engine.Fenced:
		event.Answer = runner.Fenced
	case engine.Full:
		event.Answer = runner.Full
	case engine.Absent:
		event.Answer = runner.Missing
	default:
		event.Answer = runner.Failed
	}
	return event
}

func (l *Loop) cancel(o *ownership, addr netip.AddrPort, id string) {
	ctx, stop := context.WithTimeout(l.ctx, cancelTimeout)
	defer stop()
	if _, err := l.Engines.Cancel(ctx, addr, id); err == nil {
		l.post(cancelled{owner: o, id: id})
	}
}

// poll asks for a report where one is due.
func (l *Loop) poll(o *ownership) {
	if due(o.polling, l.now) {
		l.askReport(o)
	}
}

func (l *Loop) askReport(o *ownership) {
	o.polling = time.Time{}
	addr := o.target.Address
	go func() {
		report, err := l.Engines.Report(l.ctx, addr)
		if err != nil {
			l.post(reported{owner: o})
			return
		}
		l.post(reported{owner: o, report: convert(report)})
	}()
}

func convert(r engine.Report) *runner.Report {
	out := &runner.Report{Number: r.FencingNumber, CreatedAt: r.MadeAt, Incarnation: r.Incarnation}
	for _, s := range r.Slots {
		out.Slots = append(out.Slots, runner.OccupiedSlot{Ref: s.Adapter, Loading: s.State == "loading", Requests: s.Requests})
	}
	return out
}

func (l *Loop) report(p reported) {
	o := p.owner
	silent := p.report == nil
	if silent != o.silent {
		o.silent = silent
		l.dirty = true
		l.Log.Info("engine: reports", zap.String("runner", o.target.Name), zap.Bool("answered", !silent))
	}
	if silent {
		o.polling = l.now.Add(repollPeriod)
		return
	}
	o.polling = l.now.Add(pollPeriod)
	l.runnerStep(o, runner.ReportReceived{Report: *p.report})
}

// crash asks an engine whose connections broke for a report, which tells
// whether it restarted.
func (l *Loop) crash(p crashed) {
	l.Metrics.crashed()
	l.Log.Warn("engine: ended with requests in progress", zap.String("runner", p.runner), zap.Strings("requests", p.ids))
	if o := l.owned[p.runner]; o != nil {
		l.askReport(o)
	}
}
