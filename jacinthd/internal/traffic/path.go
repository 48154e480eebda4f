package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

const (
	// resumePause is the pause between tries at resuming.
	resumePause = 100 * time.Millisecond
	// moveTime is how long a request waits for the next owner of a runner that is
	// handed over, with movePause between looks.
	moveTime  = 200 * time.Millisecond
	movePause = 10 * time.Millisecond
)

// completions answers POST /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.tasks.add()
	defer s.tasks.done()
	defer s.present.Add(-1)
	if s.present.Add(1) > int64(s.limits.MaxRequests) {
		s.meters.answered(errCrowded)
		fail(w, errCrowded)
		return
	}
	q, streamed, err := s.read(w, r)
	if err != nil {
		s.meters.answered(err)
		fail(w, err)
		return
	}
	base := newBase(w, q, s.limits.CallerIOTimeout, &s.meters)
	var to answer = &whole{base: base}
	if streamed {
		to = &stream{base: base}
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.job.Deadline)
	defer cancel()
	err = s.serve(ctx, q, to)
	if r.Context().Err() != nil {
		err = errGone
	}
	s.meters.answered(err)
	if err != nil && !errors.Is(err, errGone) {
		s.log.Info("traffic: request failed", zap.String("id", q.job.ID), zap.Stringer("ref", q.job.Ref), zap.Error(err))
		to.fail(err)
	}
}

// serve tries runners until one has answered or no further try is allowed.
func (s *Server) serve(ctx context.Context, q request, to answer) error {
	if s.suspect(q) {
		return errSuspect
	}
	a := &attempts{s: s, q: q, to: to, tried: map[control.Candidate]bool{}, last: errNoTarget}
	for a.more(ctx) {
		if err := a.step(ctx); err == nil {
			s.succeeded(q)
			return nil
		}
		if a.over(ctx) {
			break
		}
		to.restart()
	}
	return marked(a.last, a.maybe)
}

// attempts are the tries at one request so far.
type attempts struct {
	s     *Server
	q     request
	to    answer
	tried map[control.Candidate]bool
	at    control.Candidate // of the last try
	last  error             // of the last try
	maybe bool              // a try may have run
	// resumed says that the last try was one at resuming, after which there is none.
	resumed bool
}

// more reports whether there is something to try, and for a retry takes the
// leave. Where no runner is left, a lost link may still be found again. A host
// that was lost, or that gave a runner away, needs no leave: all that it had goes
// elsewhere at once, no engine did work for it in vain, and a request tries each
// runner of each owner once at most.
func (a *attempts) more(ctx context.Context) bool {
	_, ok := a.pick()
	if len(a.tried) == 0 {
		return ok
	}
	if !ok && moving(a.last) {
		ok = a.await(ctx)
	}
	return lost(a.last) || ok && (unreached(a.last) || moving(a.last) || a.s.retry(a.q))
}

// await waits a little for a runner's new owner: an owner that hands a runner over
// refuses all that waits there, moments before the others hear of the next one.
func (a *attempts) await(ctx context.Context) bool {
	for until := time.Now().Add(moveTime); ctx.Err() == nil && time.Now().Before(until); {
		pause(ctx, movePause)
		if _, ok := a.pick(); ok {
			return true
		}
	}
	return false
}

// moving reports whether err may be an owner's refusal of a runner that it gives away.
func moving(err error) bool {
	e := said(err)
	return e.Code == verdict.Unavailable && e.Verdict == verdict.NotRun
}

// step makes one try. An answer that has started can only be resumed.
func (a *attempts) step(ctx context.Context) error {
	c, ok := a.pick()
	if ok {
		a.tried[c], a.at = true, c
		a.last = a.s.try(ctx, a.q, c, a.to)
	}
	if a.last != nil && (a.to.started() || !ok) {
		a.resumed = true
		a.last = a.s.resume(ctx, a.q, a.at, a.to, a.last)
	}
	return a.last
}

// over reports whether no further try is of use after a failed one.
func (a *attempts) over(ctx context.Context) bool {
	a.maybe = a.maybe || verdict.Of(a.last) != verdict.NotRun
	switch {
	case ctx.Err() != nil:
		a.last = errLate
		return true
	case a.s.suspect(a.q):
		a.last = errSuspect
		return true
	default:
		return a.resumed || a.to.started() || final(a.last)
	}
}

// pick returns the best candidate not yet tried.
func (a *attempts) pick() (control.Candidate, bool) {
	for _, c := range a.s.Control.Route(a.q.job) {
		if !a.tried[c] {
			return c, true
		}
	}
	return control.Candidate{}, false
}

// final reports whether err is the same on every runner.
func final(err error) bool {
	if errors.Is(err, errGone) {
		return true
	}
	switch said(err).Code {
	case verdict.Malformed, verdict.Unauthenticated, verdict.Forbidden, verdict.NotFound, verdict.Conflict,
		verdict.TooLarge, verdict.Invalid, verdict.DeadlineExceeded, verdict.Quarantined:
		return true
	default:
		return false
	}
}

// try sends the request to one runner, from the answer's next token on.
func (s *Server) try(ctx context.Context, q request, c control.Candidate, to sink) error {
	if c.Local {
		return s.own(ctx, q, c.Runner, to)
	}
	if c.CrossRegion && s.CrossRegionLimiter != nil && !s.CrossRegionLimiter.AllowN(time.Now(), worth(q)) {
		return errFar
	}
	return s.forward(ctx, q, c, to)
}

const (
	// callBytes and tokenBytes are about what a forwarded request and each of
	// its tokens put on the link, in bytes.
	callBytes  = 400
	tokenBytes = 64
)

// NewCrossRegionLimiter returns a limiter for Server.Far of so many bytes a second, which a
// single request of the largest kind that limits allow never exceeds; nil where
// bytes is 0.
func NewCrossRegionLimiter(bytes int, limits Limits) *rate.Limiter {
	if bytes <= 0 {
		return nil
	}
	limits = limits.filled()
	largest := callBytes + int(limits.MaxBodyBytes) + tokenBytes*limits.MaxTokens
	return rate.NewLimiter(rate.Limit(bytes), max(bytes, largest))
}

// worth returns about how many bytes a request puts on the link at most.
func worth(q request) int { return callBytes + len(q.prompt) + tokenBytes*q.job.MaxTokens }

// resume goes on with an answer that broke after its first byte, where it
// began. It tries again for as long as the runner may still be reached through
// its owner of that time.
func (s *Server) resume(ctx context.Context, q request, c control.Candidate, to answer, err error) error {
	until := time.Now().Add(s.limits.ResumeTimeout)
	next := to.next()
	for ctx.Err() == nil && resumable(err) && time.Now().Before(until) {
		s.meters.resumes.Inc()
		s.log.Info("traffic: answer broke, resuming", zap.String("id", q.job.ID), zap.Int("offset", to.next()), zap.Error(err))
		pause(ctx, resumePause)
		owner, ok := s.owner(q, c.Runner)
		if !ok {
			continue
		}
		if err = s.try(ctx, q, owner, to); err == nil {
			return nil
		}
		if to.next() > next {
			next = to.next()
			until = time.Now().Add(s.limits.ResumeTimeout)
		}
	}
	// The answer has begun, so whatever the last try says, it ran.
	e := *said(err)
	e.Verdict = verdict.MayHaveRun
	return &e
}

// resumable reports whether the answer may go on elsewhere: the link failed, or
// the owner did not take the request. An owner that says that the engine lost
// the request is right.
func resumable(err error) bool {
	return lost(err) || verdict.Of(err) == verdict.NotRun && !final(err)
}

// lost reports whether the link to the owner failed with the request in progress.
func lost(err error) bool {
	var link *peer.LinkError
	return errors.As(err, &link)
}

// unreached reports whether err says that a host could not be reached.
func unreached(err error) bool {
	var u *peer.UnreachableError
	return errors.As(err, &u)
}

// owner returns the candidate for a runner as ownership is now.
func (s *Server) owner(q request, runner string) (control.Candidate, bool) {
	for _, c := range s.Control.Route(q.job) {
		if c.Runner == runner {
			return c, true
		}
	}
	return control.Candidate{}, false
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) retry(q request) bool {
	ok := s.RetryBudget == nil || s.RetryBudget.Retry(q.job.Service)
	if ok {
		s.meters.retries.Inc()
	}
	return ok
}

func (s *Server) succeeded(q request) {
	if s.RetryBudget != nil {
		s.RetryBudget.Succeeded(q.job.Service)
	}
}

func (s *Server) suspect(q request) bool {
	return s.Quarantine != nil && s.Quarantine.Refused(q.print)
}
