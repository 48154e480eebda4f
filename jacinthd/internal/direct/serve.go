package direct

import (
	"context"
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/residency"
)

const (
	// sendsMost is the number of targets that one request may reach.
	sendsMost = 6
	// dialsMost is the number of targets that one request may fail to reach.
	dialsMost = 4
	// patienceTimes and patienceLeast say how long a target may take for the head
	// of an answer that may be had elsewhere: a multiple of what was expected, and
	// at least so long.
	patienceTimes = 3
	patienceLeast = 700 * time.Millisecond
	// patienceMore is the time between two looks for another target after that.
	patienceMore = 200 * time.Millisecond
	// comeBack is when a caller may come back whose request found no room.
	comeBack = 200 * time.Millisecond
)

// serve sends the request until it is answered, or can't be.
func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	j.avoid = make(map[string]bool)
	defer j.release()
	for {
		k := j.pick()
		if k == nil || !j.send(ctx, k) {
			return
		}
	}
}

// pick returns the ticket of the next try. It gives the request up and returns
// nil where there is none.
func (j *job) pick() *dispatch.Attempt {
	if k := j.next; k != nil {
		j.next = nil
		return k
	}
	switch c := j.Board.Pick(time.Now(), j.want()).(type) {
	case dispatch.Refuse:
		j.giveUp(c.Reason, c.RetryAfter)
		return nil
	case dispatch.Send:
		return c.Attempt
	default:
		panic("direct: unknown choice")
	}
}

// release gives back the place elsewhere that was not used.
func (j *job) release() {
	if j.next != nil {
		j.next.Report(time.Now(), dispatch.Canceled{})
	}
}

func (j *job) want() dispatch.Request {
	return dispatch.Request{
		Call: j.call, Service: j.service, Size: len(j.body),
		Objective: j.arrived.Add(j.route.LatencyObjective), Deadline: j.deadline, Exclude: j.avoid, InProgress: j.runs > 0 || j.coming,
	}
}

// other looks for another target than that of k, and keeps the place there for
// the next try.
func (j *job) other(k *dispatch.Attempt) bool {
	want := j.want()
	want.Exclude = maps.Clone(j.avoid)
	want.Exclude[k.Target.Name] = true
	send, ok := j.Board.Pick(time.Now(), want).(dispatch.Send)
	if ok {
		j.next = send.Attempt
	}
	return ok
}

// send makes one try. It returns true where another is to follow.
func (j *job) send(ctx context.Context, k *dispatch.Attempt) bool {
	if !j.await(ctx, k) {
		return j.ended(ctx, k)
	}
	o := j.try(ctx, k)
	if _, ok := o.(answered); !ok {
		j.fault = describe(o)
		j.log.Info("request: try failed", zap.String("target", k.Target.Name), zap.String("outcome", j.fault),
			zap.Duration("expected", k.Expected), zap.Int("running", k.Running), zap.Duration("since", time.Since(j.arrived)))
	}
	switch o := o.(type) {
	case answered:
		return false
	case left:
		j.finish("request: caller left", j.status, zap.String("target", k.Target.Name))
		return false
	case late:
		j.runs++
		j.giveUp("timeout", 0)
		return false
	case unreached:
		j.dials++
		j.avoid[k.Target.Name] = true
		return j.again(j.dials < dialsMost, false, "no connection")
	case notRun:
		j.sends++
		return j.again(j.sends < sendsMost, true, o.reason)
	case failure:
		j.sends++
		j.runs++
		j.avoid[k.Target.Name] = true
		return true
	case broken:
		j.sends++
		j.runs++
		j.avoid[k.Target.Name] = true
		return j.again(j.route.Retryable() && j.runs < j.route.MaxAttempts, true, o.reason)
	default:
		panic("direct: unknown outcome")
	}
}

// again reports whether another try may follow, and gives the request up if not.
// A try that reached a target takes from the budget of retries.
func (j *job) again(allowed, reached bool, reason string) bool {
	switch {
	case !allowed:
		j.giveUp(reason, comeBack)
	case reached && !j.Budgets.Take(time.Now(), j.service):
		j.giveUp(reason+", no retry left", comeBack)
	default:
		return true
	}
	return false
}

// await waits for the ticket's adapter. It returns false where the wait ended
// without it.
func (j *job) await(ctx context.Context, k *dispatch.Attempt) bool {
	if k.Loaded == nil && k.Owner.Host == "" {
		return true
	}
	begun := time.Now()
	there := false
	if k.Loaded != nil {
		j.Wake()
		select {
		case <-k.Loaded:
		case <-ctx.Done():
		}
		there = k.Ready()
	} else {
		there = j.wish(ctx, k)
	}
	now := time.Now()
	j.Metrics.stalled(now.Sub(begun))
	j.stall += now.Sub(begun)
	k.ResetClock(now)
	return there
}

// wish asks the owner of the ticket's runner for the adapter. It reports whether
// to send the request.
func (j *job) wish(ctx context.Context, k *dispatch.Attempt) bool {
	begun := time.Now()
	limit := wishTimeout
	if k.Confirm {
		limit = confirmTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	wished, err := j.Peers.RequestLoad(ctx, k.Owner, k.Target.Name, residency.Key{Model: j.call.Model, Adapter: j.call.Adapter})
	if !wished.Loaded || !k.Confirm {
		j.log.Info("request: asked for its adapter", zap.String("owner", k.Owner.Host), zap.String("target", k.Target.Name),
			zap.String("adapter", j.call.Adapter), zap.Bool("confirm", k.Confirm), zap.String("refused", wished.Reason),
			zap.Duration("took", time.Since(begun)), zap.Error(err))
	}
	j.coming = wished.Loading
	return k.OwnerReplied(time.Now(), reply(wished, err))
}

// reply returns what the owner's answer to a wish means for the decision.
func reply(w peer.LoadResponse, err error) dispatch.OwnerReply {
	switch {
	case err != nil:
		return dispatch.NoAnswer{}
	case w.Loaded:
		return dispatch.Loaded{}
	case w.Loading:
		return dispatch.Loading{}
	default:
		return dispatch.Denied{Absent: w.Absent}
	}
}

// ended handles a wait that ended without the adapter.
func (j *job) ended(ctx context.Context, k *dispatch.Attempt) bool {
	k.Report(time.Now(), dispatch.Canceled{})
	if j.r.Context().Err() != nil {
		j.finish("request: caller left", 0, zap.String("target", k.Target.Name))
		return false
	}
	if ctx.Err() != nil {
		j.giveUp("adapter not loaded in time", comeBack)
		return false
	}
	j.early++
	if j.early >= sendsMost {
		j.giveUp("adapter not loaded", comeBack)
		return false
	}
	return true
}

// giveUp gives the final answer of a request that isn't served: one that was
// not run says so, one that may have run promises nothing.
func (j *job) giveUp(reason string, after time.Duration) {
	switch {
	case j.r.Context().Err() != nil:
		j.finish("request: caller left", j.status, zap.String("reason", reason))
	case j.runs == 0:
		j.refuse(http.StatusServiceUnavailable, reason, max(after, comeBack))
	case !time.Now().Before(j.deadline):
		j.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		j.refuse(http.StatusBadGateway, reason, 0)
	}
}
