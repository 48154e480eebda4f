package ownership

import (
	"context"
	"strings"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/storecall"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// callStore makes a call to the store on its own goroutine, and passes the result to
// the membership. name and key describe the call in the log.
func (c *Controller) callStore(ctx context.Context, name, key string, call func() (host.Event, error)) {
	go func() {
		event, err := call()
		if err != nil {
			c.Log.Warn("lease: call on the object API failed", zap.String("call", name), zap.String("key", key), zap.Error(err))
		}
		c.post(ctx, event)
	}()
}

// get reads an object as the membership requested.
func (c *Controller) get(ctx context.Context, a host.Get) {
	read := c.Store.Get
	if strings.HasPrefix(a.Key, lease.Prefix(sharedRegion)) && a.Key != lease.Key(sharedRegion, c.Self.Name) {
		// A stale read is sufficient for another host's lease: the lease is revoked
		// by a delete at the version that was read, which fails if that version is old.
		read = c.Store.GetStale
	}
	c.callStore(ctx, "read", a.Key, func() (host.Event, error) { return storecall.Get(ctx, read, a) })
}

// handleObject passes the assignment table to the membership. It ignores other
// objects that the watch returns.
func (c *Controller) handleObject(ctx context.Context, object store.Object) {
	if object.Key != host.Key(sharedRegion) {
		return
	}
	select {
	case c.events <- host.TableWatched{Version: object.Version, Value: object.Value}:
	case <-ctx.Done():
	}
}
