package direct

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/suspect"
)

// suspectRequest returns what the request may share with others that crash targets.
func (req *callerRequest) suspectRequest() suspect.Request {
	if req.identity.Exact != 0 {
		return req.identity
	}
	uri, caller := req.r.Host+" "+req.r.RequestURI, callerOf(req.r)
	req.identity = suspect.Request{
		Exact:   suspect.ExactTrait(caller, uri, req.body),
		Repeat:  suspect.RepeatTrait(caller, hostname(req.r.Host), path(req.r.RequestURI), req.body),
		Content: suspect.ContentTrait(uri, req.body),
	}
	for _, part := range req.call.SharedSegments() {
		req.identity.Parts = append(req.identity.Parts, suspect.PartTrait(part.ID))
	}
	return req.identity
}

// callerOf returns the address from which a request came, invalid if it is unknown.
func callerOf(r *http.Request) netip.Addr {
	address, _ := netip.ParseAddrPort(r.RemoteAddr)
	return address.Addr()
}

// attemptAt returns an attempt that got no answer.
func (req *callerRequest) attemptAt(now time.Time) suspect.Attempt {
	return suspect.Attempt{Request: req.suspectRequest(), ID: req.call.ID, Caller: callerOf(req.r), Path: path(req.r.RequestURI), At: now}
}

// refuseSuspect refuses the request if one of its traits is refused, and reports whether
// it has.
func (req *callerRequest) refuseSuspect() bool {
	if req.trial || req.Suspects.List.Empty() {
		return false
	}
	switch d := req.Suspects.List.Check(time.Now(), req.suspectRequest()).(type) {
	case suspect.Allowed:
		if d.Despite != 0 {
			req.log.Info("suspect: request is sent, since the same one was answered", zap.Stringer("trait", d.Despite), zap.Int("crashes", req.Suspects.List.Crashes(d.Despite)))
		}
		return false
	case suspect.Trial:
		req.trial = true
		req.Metrics.SuspectTrials.Inc()
		req.log.Warn("suspect: request is sent as a trial", zap.Stringer("trait", d.Trait), zap.Int("crashes", req.Suspects.List.Crashes(d.Trait)))
		return false
	case suspect.Refuse:
		req.Metrics.SuspectsRefused.Inc()
		req.log.Info("suspect: request is not sent", zap.Stringer("trait", d.Trait), zap.Stringers("traits", req.identity.Traits()),
			zap.Stringers("parts", req.call.SharedSegments()), zap.Int("crashes", req.Suspects.List.Crashes(d.Trait)), zap.Time("until", d.Until))
		req.fail("crashed targets", time.Until(d.Until))
		return true
	default:
		panic(fmt.Sprintf("direct: unknown decision %T", d))
	}
}

// connectionBroke adds a crash to the request if the process of its target has ended
// without having announced it. It is called when a connection broke with the request in
// progress.
func (req *callerRequest) connectionBroke(ctx context.Context, target catalog.Target, cause error) {
	if req.cleared || req.Dispatcher.IsLeaving(target) {
		return
	}
	var atProxy *proxy.Error
	ended := errors.As(cause, &atProxy) && atProxy.Ended
	if atProxy == nil {
		ended = req.Suspects.HasEnded(ctx, target)
	}
	if !ended {
		req.noAnswer(target)
		return
	}
	req.Suspects.Crashed(req.attemptAt(time.Now()), target)
}

// noAnswer records that an attempt got no answer, in case the target turns out to have
// ended.
func (req *callerRequest) noAnswer(target catalog.Target) {
	if !req.cleared {
		now := time.Now()
		req.Suspects.NoAnswer(now, target, req.attemptAt(now))
	}
}

// answered clears the request's traits once it has got a complete answer other than an
// error, or an answer has been arriving for a while.
func (req *callerRequest) answered() {
	if req.cleared || req.status >= http.StatusInternalServerError {
		return
	}
	req.cleared = true
	for _, c := range req.Suspects.List.Answered(time.Now(), req.suspectRequest(), req.trial) {
		req.log.Info("suspect: cleared by an answer", zap.Stringer("trait", c.Trait), zap.Int("crashes", c.Crashes), zap.Bool("refused", c.Refused), zap.Bool("trial", req.trial))
		if c.Refused {
			go req.Suspects.Remove(context.WithoutCancel(req.r.Context()), c.Trait)
		}
	}
}
