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

// carry carries out a call on the store and tells the membership how it went.
func (k *Controller) carry(ctx context.Context, what, key string, call func() (host.Event, error)) {
	go func() {
		event, err := call()
		if err != nil {
			k.Log.Warn("lease: call on the store failed", zap.String("call", what), zap.String("key", key), zap.Error(err))
		}
		k.post(ctx, event)
	}()
}

func (k *Controller) get(ctx context.Context, a host.Get) {
	read := k.Store.Get
	if strings.HasPrefix(a.Key, lease.Prefix(region)) && a.Key != lease.Key(region, k.Self.Name) {
		// Another host's lease is broken at the version that was seen, which fails
		// where that was an old one.
		read = k.Store.GetStale
	}
	k.carry(ctx, "read", a.Key, func() (host.Event, error) { return storecall.Get(ctx, read, a) })
}

// see takes in an object of the kind that holds the table of owners.
func (k *Controller) see(ctx context.Context, object store.Object) {
	if object.Key != host.Key(region) {
		return
	}
	select {
	case k.events <- host.TableWatched{Version: object.Version, Value: object.Value}:
	case <-ctx.Done():
	}
}
