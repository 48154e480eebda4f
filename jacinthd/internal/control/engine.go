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
	// pollPeriod is the time between two polls of an engine's report.
	pollPeriod = 2 * time.Second
	// repollPeriod replaces pollPeriod while the engine doesn't answer.
	repollPeriod = 300 * time.Millisecond
	// cancelTimeout limits the wait for an engine to confirm a cancel.
	cancelTimeout = 5 * time.Second
)

// sendOrder sends an order to the engine and the answer to the control goroutine.
func (l *Loop) sendOrder(o *ownership, addr netip.AddrPort, a runner.Order) {
	var order engine.Order
	switch a.Kind {
	case runner.Load:
		order = engine.Load{Ref: a.Ref}
	case runner.Unload:
		order = engine.Unload{Ref: a.Ref}
	case runner.Fence:
		order = engine.Fence{}
	default:
		panic(fmt.Sprintf("control: unknown order kind %v", a.Kind))
	}
	receipt, err := l.Engines.Order(l.ctx, addr, order, a.Number, a.Deadline)
	l.send(orderAnswered{owner: o, event: classifyAnswer(a, receipt, err)})
}

// classifyAnswer converts an engine's answer to an order, or the call's error, to
// a runner event. A call that failed without a definite answer stays Unanswered,
// because the order may still take effect.
func classifyAnswer(a runner.Order, receipt engine.Receipt, err error) runner.Answered {
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

// sendCancel cancels a request on the engine. Only a confirmed cancel is sent to
// the control goroutine.
func (l *Loop) sendCancel(o *ownership, addr netip.AddrPort, id string) {
	ctx, stop := context.WithTimeout(l.ctx, cancelTimeout)
	defer stop()
	if _, err := l.Engines.Cancel(ctx, addr, id); err == nil {
		l.send(cancelConfirmed{owner: o, id: id})
	}
}

// poll requests the engine's report if the next poll is due.
func (l *Loop) poll(o *ownership) {
	if due(o.nextPoll, l.now) {
		l.requestReport(o)
	}
}

// requestReport requests the engine's report on a separate goroutine. No further
// poll is due until the result has arrived.
func (l *Loop) requestReport(o *ownership) {
	o.nextPoll = time.Time{}
	addr := o.target.Address
	go func() {
		report, err := l.Engines.Report(l.ctx, addr)
		if err != nil {
			l.send(reportReceived{owner: o})
			return
		}
		l.send(reportReceived{owner: o, report: runnerReport(report)})
	}()
}

// runnerReport converts an engine's report to the runner's type.
func runnerReport(r engine.Report) *runner.Report {
	out := &runner.Report{Number: r.FencingNumber, CreatedAt: r.MadeAt, Incarnation: r.Incarnation}
	for _, s := range r.Slots {
		out.Slots = append(out.Slots, runner.OccupiedSlot{Ref: s.Adapter, Loading: s.State == "loading", Requests: s.Requests})
	}
	return out
}

// handleReport passes an engine's report to its runner and schedules the next
// poll.
func (l *Loop) handleReport(m reportReceived) {
	o := m.owner
	unresponsive := m.report == nil
	if unresponsive != o.unresponsive {
		o.unresponsive = unresponsive
		l.dirty = true
		l.Log.Info("engine: report availability changed", zap.String("runner", o.target.Name), zap.Bool("answered", !unresponsive))
	}
	if unresponsive {
		o.nextPoll = l.now.Add(repollPeriod)
		return
	}
	o.nextPoll = l.now.Add(pollPeriod)
	l.stepRunner(o, runner.ReportReceived{Report: *m.report})
}

// handleCrash requests a report from an engine whose connections broke. The report
// shows whether the engine restarted.
func (l *Loop) handleCrash(m engineCrashed) {
	l.Metrics.crashed()
	l.Log.Warn("engine: crashed with requests in progress", zap.String("runner", m.runner), zap.Strings("requests", m.ids))
	if o := l.owned[m.runner]; o != nil {
		l.requestReport(o)
	}
}
