// Package contact observes the contact of a host with targets: which it reaches, and which
// ended while requests were in progress there. It keeps requests that crash targets from
// being sent to further ones.
package contact

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/metrics"
	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/reach"
)

// probeTick is the time between two looks at which targets to probe.
const probeTick = 100 * time.Millisecond

// A Reach observes which targets this host reaches, as the Watcher of its connections. All
// fields but Links must be set.
type Reach struct {
	Links      reach.Links
	Pool       *outbound.Pool
	Dispatcher *dispatch.Dispatcher
	Suspects   *Suspects
	Metrics    *metrics.Host
	Log        *zap.Logger
}

var _ outbound.Watcher = (*Reach)(nil)

// Connected implements outbound.Watcher.
func (r *Reach) Connected(target netip.AddrPort) {
	if r.Links.Connected(time.Now(), target) {
		r.Dispatcher.SetCut(time.Now(), false)
		r.Metrics.Cut.Set(0)
		r.Log.Warn("reach: targets are reached again", zap.Stringer("address", target))
	}
}

// NotConnected implements outbound.Watcher.
func (r *Reach) NotConnected(target netip.AddrPort, cause error) {
	if r.Links.Failed(time.Now(), target) {
		// What failed lately says something of this host's links, not of the targets. Attempts
		// without an answer are kept: a target that turns out to have ended did so anyway.
		r.Dispatcher.SetCut(time.Now(), true)
		r.Metrics.Cut.Set(1)
		r.Log.Warn("reach: no target is reached, requests go through other hosts", zap.Stringer("address", target), zap.Error(cause))
	}
}

// Sent implements outbound.Watcher.
func (r *Reach) Sent() { r.Links.Sent(time.Now()) }

// Heard implements outbound.Watcher.
func (r *Reach) Heard() { r.Links.Heard(time.Now()) }

// EndedUnannounced reports whether a target's process has ended without having announced it.
func (r *Reach) EndedUnannounced(ctx context.Context, target catalog.Target) bool {
	return !r.Dispatcher.IsLeaving(target) && r.Suspects.HasEnded(ctx, target)
}

// Probe opens connections to targets that are in doubt until ctx ends. The connections are
// kept for later requests.
func (r *Reach) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			ready := func() []netip.AddrPort { return r.Dispatcher.ReadyAddresses(now) }
			for _, target := range r.Links.Probes(now, ready) {
				go r.probe(ctx, target)
			}
		}
	}
}

func (r *Reach) probe(ctx context.Context, target netip.AddrPort) {
	if err := r.Pool.Open(ctx, target); err != nil {
		r.Log.Debug("reach: probe failed", zap.Stringer("address", target), zap.Error(err))
	}
}

// LogNotice logs what a target says of itself.
func LogNotice(log *zap.Logger, target catalog.Target, n notice.Notice) {
	log.Info("target: says of itself", zap.String("target", target.Name), zap.Float64("limit", n.Limit),
		zap.Bool("leaving", n.Leaving), zap.Duration("quiet", n.Quiet), zap.Bool("brittle", n.Brittle), zap.Int("tolerated", n.Tolerated))
}
