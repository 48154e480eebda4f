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
	// resumeInterval is the pause before an answer is resumed.
	resumeInterval = 100 * time.Millisecond
	// handoverWait is how long a request waits for the new owner of a runner that
	// is being handed over.
	handoverWait = 200 * time.Millisecond
	// handoverPollInterval is the pause between checks for the new owner.
	handoverPollInterval = 10 * time.Millisecond
)

// serveCompletions answers POST /v1/completions.
func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	s.active.add()
	defer s.active.done()
	defer s.inProgress.Add(-1)
	if s.inProgress.Add(1) > int64(s.limits.MaxRequests) {
		s.metrics.countCompletion(errTooManyRequests)
		writeError(w, errTooManyRequests)
		return
	}
	req, streamed, err := s.readCompletion(w, r)
	if err != nil {
		s.metrics.countCompletion(err)
		writeError(w, err)
		return
	}
	base := newAnswerBase(w, req, s.limits.CallerIOTimeout, &s.metrics)
	var to callerAnswer = &jsonAnswer{answerBase: base}
	if streamed {
		to = &eventStream{answerBase: base}
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.job.Deadline)
	defer cancel()
	err = s.complete(ctx, req, to)
	if r.Context().Err() != nil {
		err = errReceiverGone
	}
	s.metrics.countCompletion(err)
	if err != nil && !errors.Is(err, errReceiverGone) {
		s.log.Info("traffic: request failed", zap.String("id", req.job.ID), zap.Stringer("ref", req.job.Ref), zap.Error(err))
		to.fail(err)
	}
}

// complete attempts the request on one runner after another until one has
// answered or no further attempt is allowed.
func (s *Server) complete(ctx context.Context, req request, to callerAnswer) error {
	if s.isQuarantined(req) {
		return errSuspect
	}
	a := &attempts{s: s, req: req, to: to, tried: map[control.Candidate]bool{}, err: errNoTarget}
	for a.canAttempt(ctx) {
		if err := a.attempt(ctx); err == nil {
			s.countSuccess(req)
			return nil
		}
		if a.exhausted(ctx) {
			break
		}
		to.restart()
	}
	return withMayHaveRun(a.err, a.mayHaveRun)
}

// attempts holds the state of the attempts at one request.
type attempts struct {
	s          *Server
	req        request
	to         callerAnswer
	tried      map[control.Candidate]bool
	candidate  control.Candidate // of the last attempt
	err        error             // of the last attempt
	mayHaveRun bool              // whether any attempt may have run
	// resumed is set once the answer was resumed, which is the last attempt.
	resumed bool
}

// canAttempt reports whether another attempt is possible, and takes a retry from
// the budget if the attempt needs one. After the loss of a link there is always
// one more attempt, as the link may recover even if no other runner is left.
//
// No retry is taken after the loss of a host or the handover of a runner: all
// requests of that host move elsewhere at once, no engine has wasted work on
// them, and a request attempts each pair of runner and owner at most once.
func (a *attempts) canAttempt(ctx context.Context) bool {
	_, ok := a.nextCandidate()
	if len(a.tried) == 0 {
		return ok
	}
	if !ok && isHandover(a.err) {
		ok = a.awaitNewOwner(ctx)
	}
	return isLinkLost(a.err) || ok && (isUnreachable(a.err) || isHandover(a.err) || a.s.takeRetry(a.req))
}

// awaitNewOwner waits up to handoverWait for a new candidate, and reports whether
// there is one. An owner that hands over a runner refuses all requests that wait
// there, shortly before the other hosts learn who the new owner is.
func (a *attempts) awaitNewOwner(ctx context.Context) bool {
	for until := time.Now().Add(handoverWait); ctx.Err() == nil && time.Now().Before(until); {
		sleep(ctx, handoverPollInterval)
		if _, ok := a.nextCandidate(); ok {
			return true
		}
	}
	return false
}

// isHandover reports whether err may come from an owner that hands over the
// runner.
func isHandover(err error) bool {
	e := verdictError(err)
	return e.Code == verdict.Unavailable && e.Verdict == verdict.NotRun
}

// attempt runs the request on the next candidate. If the answer has started and
// breaks, or if no candidate is left, it resumes the answer on the last one.
func (a *attempts) attempt(ctx context.Context) error {
	c, ok := a.nextCandidate()
	if ok {
		a.tried[c], a.candidate = true, c
		a.err = a.s.execute(ctx, a.req, c, a.to)
	}
	if a.err != nil && (a.to.started() || !ok) {
		a.resumed = true
		a.err = a.s.resume(ctx, a.req, a.candidate, a.to, a.err)
	}
	return a.err
}

// exhausted reports whether no further attempt can help after a failed one.
func (a *attempts) exhausted(ctx context.Context) bool {
	a.mayHaveRun = a.mayHaveRun || verdict.Of(a.err) != verdict.NotRun
	switch {
	case ctx.Err() != nil:
		a.err = errDeadlinePassed
		return true
	case a.s.isQuarantined(a.req):
		a.err = errSuspect
		return true
	default:
		return a.resumed || a.to.started() || isFinal(a.err)
	}
}

// nextCandidate returns the best candidate that has not been tried.
func (a *attempts) nextCandidate() (control.Candidate, bool) {
	for _, c := range a.s.Control.Route(a.req.job) {
		if !a.tried[c] {
			return c, true
		}
	}
	return control.Candidate{}, false
}

// isFinal reports whether err would be the same on every runner.
func isFinal(err error) bool {
	if errors.Is(err, errReceiverGone) {
		return true
	}
	switch verdictError(err).Code {
	case verdict.Malformed, verdict.Unauthenticated, verdict.Forbidden, verdict.NotFound, verdict.Conflict,
		verdict.TooLarge, verdict.Invalid, verdict.DeadlineExceeded, verdict.Quarantined:
		return true
	default:
		return false
	}
}

// execute runs the request on one runner, starting from the next token that the
// answer needs.
func (s *Server) execute(ctx context.Context, req request, c control.Candidate, to answerSink) error {
	if c.Local {
		return s.executeLocal(ctx, req, c.Runner, to)
	}
	if c.CrossRegion && s.CrossRegionLimiter != nil && !s.CrossRegionLimiter.AllowN(time.Now(), estimateLinkBytes(req)) {
		return errCrossRegionBudget
	}
	return s.forward(ctx, req, c, to)
}

const (
	// forwardOverheadBytes is the approximate number of bytes that a forwarded
	// request puts on the link apart from its prompt and tokens.
	forwardOverheadBytes = 400
	// tokenBytes is the approximate number of bytes per token on the link.
	tokenBytes = 64
)

// NewCrossRegionLimiter returns a limiter for Server.CrossRegionLimiter that
// allows the given number of bytes per second. Its burst is large enough for a
// single request of the largest size that limits allow. It returns nil if bytes
// is 0.
func NewCrossRegionLimiter(bytes int, limits Limits) *rate.Limiter {
	if bytes <= 0 {
		return nil
	}
	limits = limits.withDefaults()
	largest := forwardOverheadBytes + int(limits.MaxBodyBytes) + tokenBytes*limits.MaxTokens
	return rate.NewLimiter(rate.Limit(bytes), max(bytes, largest))
}

// estimateLinkBytes estimates the most bytes that a request puts on the link.
func estimateLinkBytes(req request) int {
	return forwardOverheadBytes + len(req.prompt) + tokenBytes*req.job.MaxTokens
}

// resume continues a broken answer on the runner that began it, through the
// runner's current owner. It keeps trying until ResumeTimeout passes without a
// new token or the error shows that the answer can't be resumed.
func (s *Server) resume(ctx context.Context, req request, c control.Candidate, to callerAnswer, err error) error {
	until := time.Now().Add(s.limits.ResumeTimeout)
	next := to.next()
	for ctx.Err() == nil && isResumable(err) && time.Now().Before(until) {
		s.metrics.resumes.Inc()
		s.log.Info("traffic: answer broke, resuming", zap.String("id", req.job.ID), zap.Int("offset", to.next()), zap.Error(err))
		sleep(ctx, resumeInterval)
		owner, ok := s.currentOwner(req, c.Runner)
		if !ok {
			continue
		}
		if err = s.execute(ctx, req, owner, to); err == nil {
			return nil
		}
		if to.next() > next {
			next = to.next()
			until = time.Now().Add(s.limits.ResumeTimeout)
		}
	}
	// An earlier attempt may have run, whatever the verdict of the last one.
	e := *verdictError(err)
	e.Verdict = verdict.MayHaveRun
	return &e
}

// isResumable reports whether the answer may be resumed through the runner's
// owner: the link failed, or the owner didn't accept the request. If the
// owner reports that the engine lost the request, the answer is not resumed.
func isResumable(err error) bool {
	return isLinkLost(err) || verdict.Of(err) == verdict.NotRun && !isFinal(err)
}

// isLinkLost reports whether the link to the owner failed while the request was
// in progress.
func isLinkLost(err error) bool {
	var link *peer.LinkError
	return errors.As(err, &link)
}

// isUnreachable reports whether err means that a host could not be reached.
func isUnreachable(err error) bool {
	var u *peer.UnreachableError
	return errors.As(err, &u)
}

// currentOwner returns the candidate for a runner under its current owner.
func (s *Server) currentOwner(req request, runner string) (control.Candidate, bool) {
	for _, c := range s.Control.Route(req.job) {
		if c.Runner == runner {
			return c, true
		}
	}
	return control.Candidate{}, false
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) takeRetry(req request) bool {
	ok := s.RetryBudget == nil || s.RetryBudget.Retry(req.job.Service)
	if ok {
		s.metrics.retries.Inc()
	}
	return ok
}

func (s *Server) countSuccess(req request) {
	if s.RetryBudget != nil {
		s.RetryBudget.Succeeded(req.job.Service)
	}
}

func (s *Server) isQuarantined(req request) bool {
	return s.Quarantine != nil && s.Quarantine.Refused(req.fingerprint)
}
