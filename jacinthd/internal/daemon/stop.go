package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/jacinthd/internal/direct"
)

const (
	// shutdownDelay is how long a stopping host continues to accept requests, so
	// that the load balancer can detect that the host is not ready. Only requests sent within 3 s
	// after the stop signal may be unfinished at the end; the signal arrives later than it was sent.
	shutdownDelay = 2700 * time.Millisecond
	// refusalTime is how long it answers further requests with a refusal, until it closes its
	// listener and idle connections. A request that arrived before then but was read late, on a
	// busy machine, gets an answer.
	refusalTime = 500 * time.Millisecond
	// shutdownMargin is the time by which a planned stop ends before the grace period does.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is the time by which the requests in progress end before it. Most of it remains
	// to answer them.
	answerMargin = 600 * time.Millisecond
	// leaseReleaseTimeout limits the time in which a planned stop releases the
	// lease and the runners.
	leaseReleaseTimeout = 2 * time.Second
)

// The largest shares of the grace period, as divisors, that refusalTime and the margins take.
const (
	refusalShare        = 16
	shutdownMarginShare = 12
	answerMarginShare   = 8
)

// A stopSchedule is when the steps of a planned stop begin.
type stopSchedule struct {
	drain    time.Time // further requests are refused
	shutdown time.Time // the listener and idle connections are closed
	answer   time.Time // requests in progress end
	end      time.Time // the process ends
}

func scheduleStop(start time.Time, grace time.Duration) stopSchedule {
	life := grace - min(shutdownMargin, grace/shutdownMarginShare)
	drain := start.Add(min(shutdownDelay, life/2))
	return stopSchedule{
		drain:    drain,
		shutdown: drain.Add(min(refusalTime, grace/refusalShare)),
		answer:   start.Add(grace - min(answerMargin, grace/answerMarginShare)),
		end:      start.Add(life),
	}
}

// lastAnswer returns when the requests in progress end, the zero time if no planned stop has begun.
func (p *Process) lastAnswer() time.Time {
	if schedule := p.stopping.Load(); schedule != nil {
		return schedule.answer
	}
	return time.Time{}
}

// stop performs a planned stop. The host reports that it is not ready
// immediately, continues to accept requests for a while, and then waits for all
// requests in progress to end. Those that don't are answered before the process ends.
func (p *Process) stop(callers *http.Server) error {
	start := boottime.Now()
	schedule := scheduleStop(time.Now(), p.settings.GracePeriod)
	p.stopping.Store(&schedule)
	p.lifecycle.fire(stop)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.end)
	defer cancel()
	ending := time.AfterFunc(time.Until(schedule.answer), func() { p.endRequests(direct.ErrStopped) })
	defer ending.Stop()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancelLeave()
	go p.controller.Leave(leaveCtx)
	sleepUntil(schedule.drain)
	p.lifecycle.fire(drain)
	sleepUntil(schedule.shutdown)
	err := callers.Shutdown(ctx)
	p.proxy.Wait(ctx)
	p.lifecycle.fire(ended)
	p.log.Info("host: process ends", zap.Duration("took", boottime.Now().Sub(start)), zap.Error(err))
	return nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
