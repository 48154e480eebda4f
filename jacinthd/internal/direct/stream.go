package direct

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/origin"
)

// catchUpTimeout limits the time in which the store tells which targets have changed.
const catchUpTimeout = 500 * time.Millisecond

// An originSource is where a host learned which build began a stream.
type originSource string

// The sources of a stream's origin.
const (
	fromRecord    originSource = "record"     // this host or another one remembers the stream
	fromOnlyBuild originSource = "only build" // no other build has served for as long as the stream may have lasted
	fromNowhere   originSource = "unknown"
)

// bind restricts a request that takes a stream up to targets of the build that began it. If
// that isn't known, bind refuses the request and returns false.
func (req *callerRequest) bind(ctx context.Context) bool {
	_, stream := req.route.Kind.(catalog.Stream)
	if !stream || req.call.Resumes == "" && req.call.LastEventID == "" {
		return true
	}
	began, source := req.findOrigin(ctx)
	req.Metrics.StreamsTakenUp.WithLabelValues(string(source)).Inc()
	req.log.Info("request: takes up a stream", zap.String("resumes", req.call.Resumes), zap.String("after", req.call.LastEventID),
		zap.String("build", began.Build), zap.String("service", began.Service), zap.String("source", string(source)))
	if source == fromNowhere {
		req.fail("unknown which build began the stream", defaultRetryAfter)
		return false
	}
	if req.route.Uses(began.Service) {
		req.service = began.Service
	}
	req.bound, req.build = true, began.Build
	req.events.last = req.call.LastEventID
	return true
}

// findOrigin finds out where the stream began that the request takes up. Where no host remembers
// it, or the request doesn't name it, it began at the service's only build if no other has served
// for as long as the stream may have lasted.
func (req *callerRequest) findOrigin(ctx context.Context) (origin.Origin, originSource) {
	longest := req.route.Timeout
	if longest == 0 {
		longest = origin.MaxStreamTime
	}
	_, since, _ := req.Dispatcher.OnlyBuild(time.Now(), req.service)
	var others peers.SeenBuilds
	if req.call.Resumes != "" || time.Since(since) < longest {
		found, seen, known := req.Peers.FindOrigin(ctx, origin.NewStream(req.call.Resumes), req.service)
		if known {
			return found, fromRecord
		}
		others = seen
	}
	if !req.seesAllTargets(ctx) {
		return origin.Origin{}, fromNowhere
	}
	build, since, only := req.Dispatcher.OnlyBuild(time.Now(), req.service)
	watched := max(time.Since(since), others.Watched(build))
	if !only || others.Contradict(build) || watched < longest {
		return origin.Origin{}, fromNowhere
	}
	return origin.Origin{Service: req.service, Build: build}, fromOnlyBuild
}

// seesAllTargets reports whether this host knows of all targets of the service, after it has read
// which have changed, and whether these have one build. A host that was cut off or stood still
// doesn't know of a build whose targets have come meanwhile, where the stream may have begun.
func (req *callerRequest) seesAllTargets(ctx context.Context) bool {
	if _, _, only := req.Dispatcher.OnlyBuild(time.Now(), req.service); !only {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := req.CatchUp(ctx); err != nil {
		req.log.Info("request: unknown whether there are other builds", zap.Error(err))
		return false
	}
	return true
}

// streamBegan binds the request to the build of the target that sent the first event of its
// answer, and tells other hosts of it.
func (req *callerRequest) streamBegan(target catalog.Target) {
	if req.bound {
		return
	}
	req.bound, req.build = true, target.Build
	if req.route.Retryable() {
		req.Peers.StreamBegan(origin.Origin{Stream: origin.NewStream(req.call.ID), Service: target.Service, Build: target.Build})
	}
}
