package direct

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/shelf"
	"jacinthstage/stage/verdict"
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

// An outcome is how one try ended.
type outcome interface{ outcome() }

// answered: the caller has the whole answer, or the most of it that can be had.
type answered struct{}

// notRun: the target did not run the request.
type notRun struct{ reason string }

// broken: no whole answer came, and the request may have run.
type broken struct{ reason string }

// failure: the target ran the request and answered that it failed; the request
// is repeated.
type failure struct{ status int }

// unreached: no connection could be opened.
type unreached struct{ cause error }

// left: the caller has gone.
type left struct{}

// late: the deadline has passed.
type late struct{}

func (answered) outcome()  {}
func (notRun) outcome()    {}
func (broken) outcome()    {}
func (failure) outcome()   {}
func (unreached) outcome() {}
func (left) outcome()      {}
func (late) outcome()      {}

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
func (j *job) pick() *dispatch.Ticket {
	if k := j.next; k != nil {
		j.next = nil
		return k
	}
	switch c := j.Board.Pick(time.Now(), j.want()).(type) {
	case dispatch.Refuse:
		j.giveUp(c.Reason, c.After)
		return nil
	case dispatch.Send:
		return c.Ticket
	default:
		panic("direct: unknown choice")
	}
}

// release gives back the place elsewhere that was not used.
func (j *job) release() {
	if j.next != nil {
		j.next.Report(time.Now(), dispatch.Left{})
	}
}

func (j *job) want() dispatch.Want {
	return dispatch.Want{
		Call: j.call, Service: j.service, Size: len(j.body),
		Aim: j.arrived.Add(j.route.Aim), Deadline: j.deadline, Avoid: j.avoid, Begun: j.started,
	}
}

// other looks for another target than that of k, and keeps the place there for
// the next try.
func (j *job) other(k *dispatch.Ticket) bool {
	want := j.want()
	want.Avoid = maps.Clone(j.avoid)
	want.Avoid[k.Target.Name] = true
	send, ok := j.Board.Pick(time.Now(), want).(dispatch.Send)
	if ok {
		j.next = send.Ticket
	}
	return ok
}

// send makes one try. It returns true where another is to follow.
func (j *job) send(ctx context.Context, k *dispatch.Ticket) bool {
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
		return j.again(j.route.Repeatable() && j.runs < j.route.Attempts, true, o.reason)
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
func (j *job) await(ctx context.Context, k *dispatch.Ticket) bool {
	if k.Arrived == nil && k.Owner.Host == "" {
		return true
	}
	begun := time.Now()
	there := false
	if k.Arrived != nil {
		j.Wake()
		select {
		case <-k.Arrived:
		case <-ctx.Done():
		}
		there = k.Ready(time.Now())
	} else {
		there = j.wish(ctx, k)
	}
	now := time.Now()
	j.Meter.stalled(now.Sub(begun))
	j.stall += now.Sub(begun)
	k.Started(now)
	return there
}

// wish asks the owner of the ticket's runner for the adapter. It reports whether
// to send the request.
func (j *job) wish(ctx context.Context, k *dispatch.Ticket) bool {
	begun := time.Now()
	limit := wishTimeout
	if k.Confirm {
		limit = confirmTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	wished, err := j.Peers.Wish(ctx, k.Owner, k.Target.Name, shelf.Key{Model: j.call.Model, Adapter: j.call.Adapter})
	if !wished.Arrived || !k.Confirm {
		j.log.Info("request: asked for its adapter", zap.String("owner", k.Owner.Host), zap.String("target", k.Target.Name),
			zap.String("adapter", j.call.Adapter), zap.Bool("confirm", k.Confirm), zap.String("refused", wished.Reason),
			zap.Duration("took", time.Since(begun)), zap.Error(err))
	}
	return k.Wished(time.Now(), reply(wished, err))
}

// reply returns what the owner's answer to a wish means for the decision.
func reply(w peer.Wished, err error) dispatch.Reply {
	switch {
	case err != nil:
		return dispatch.Silent{}
	case w.Arrived:
		return dispatch.There{}
	default:
		return dispatch.Denied{Absent: w.Absent}
	}
}

// ended handles a wait that ended without the adapter.
func (j *job) ended(ctx context.Context, k *dispatch.Ticket) bool {
	k.Report(time.Now(), dispatch.Left{})
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

// try sends the request to one target and hands the answer on.
func (j *job) try(ctx context.Context, k *dispatch.Ticket) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watchdog{}
	if patience := j.patience(k); patience > 0 {
		w.start(patience, func() { j.elsewhere(w, k, cancel) })
		defer w.stop()
	}
	return j.exchange(ctx, k, w)
}

// A watchdog looks for another target while one keeps a request waiting.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

func (w *watchdog) start(patience time.Duration, look func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patience, look)
}

// stop ends the watchdog. It reports whether the wait goes on.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	went := !w.done
	w.done = true
	return went
}

// elsewhere ends a try where the request can be served by another target, and
// otherwise lets it wait on.
func (j *job) elsewhere(w *watchdog, k *dispatch.Ticket, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if !j.other(k) {
		w.timer.Reset(patienceMore)
		return
	}
	w.done = true
	cancel()
}

// patience returns how long the target may take for the head of its answer; 0
// sets no limit, as where the answer can't be had elsewhere.
func (j *job) patience(k *dispatch.Ticket) time.Duration {
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return 0
	}
	return max(patienceLeast, patienceTimes*k.Expected, j.route.Aim)
}

func (j *job) exchange(ctx context.Context, k *dispatch.Ticket, w *watchdog) outcome {
	rest := time.Until(j.deadline)
	send := call.Send{Target: k.Target.Name, Rank: j.route.Rank, Version: k.Version, After: j.last}
	if j.call.Budget > 0 {
		send.Left = rest
	}
	_, once := j.route.Kind.(catalog.Once)
	x, err := j.Pool.Do(ctx, k.Target.Address, outbound.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host,
		Header: j.Headers.Forward(j.r.Header, send), Body: j.body, Once: once || !j.route.Repeatable(),
	}, j.mine)
	if err != nil {
		return j.failed(ctx, k, err)
	}
	defer x.Close()
	if !w.stop() {
		return j.failed(ctx, k, ctx.Err())
	}
	head := j.Headers.Answer(x.Response.StatusCode, x.Response.Header)
	k.Report(time.Now(), dispatch.Head{Load: head.Load})
	return j.answer(ctx, k, x, head)
}

// mine reports whether the head of an answer is for this request.
func (j *job) mine(h http.Header) bool {
	id := j.Headers.Answer(0, h).ID
	return id == "" || id == j.call.ID
}

// failed returns the outcome of a try without an answer.
func (j *job) failed(ctx context.Context, k *dispatch.Ticket, err error) outcome {
	now := time.Now()
	var fault *outbound.Fault
	if errors.As(err, &fault) && fault.Verdict == verdict.NotRun && ctx.Err() == nil {
		k.Report(now, dispatch.Broke{})
		return unreached{cause: err}
	}
	switch {
	case j.r.Context().Err() != nil:
		k.Report(now, dispatch.Left{})
		return left{}
	case !now.Before(j.deadline):
		k.Report(now, dispatch.Left{Late: true})
		return late{}
	case ctx.Err() != nil:
		k.Report(now, dispatch.Left{Late: true})
		return broken{reason: "no answer in time"}
	default:
		k.Report(now, dispatch.Broke{Reached: true})
		return broken{reason: err.Error()}
	}
}

func describe(o outcome) string {
	switch o := o.(type) {
	case notRun:
		return "not run: " + o.reason
	case broken:
		return "broken: " + o.reason
	case failure:
		return "failed: status " + strconv.Itoa(o.status)
	case unreached:
		return "unreached: " + o.cause.Error()
	case left:
		return "caller left"
	case late:
		return "timeout"
	default:
		return "answered"
	}
}
