package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

func (k *Keeper) get(ctx context.Context, a host.Get) {
	read := k.Store.Get
	if strings.HasPrefix(a.Key, lease.Prefix(region)) && a.Key != lease.Key(region, k.Self.Name) {
		// Another host's lease is broken at the version that was seen, which fails
		// where that was an old one.
		read = k.Store.GetStale
	}
	object, err := read(ctx, a.Key)
	switch {
	case err == nil:
		k.post(ctx, host.Found{Call: a.Call, Version: object.Version, Value: object.Value})
	case errors.Is(err, store.ErrMissing):
		k.post(ctx, host.Missing{Call: a.Call})
	default:
		k.failed(ctx, a.Call, "read", a.Key, err)
	}
}

func (k *Keeper) list(ctx context.Context, a host.List) {
	var objects []host.Object
	after := ""
	for {
		page, err := k.Store.List(ctx, a.Prefix, after)
		if err != nil {
			k.failed(ctx, a.Call, "list", a.Prefix, err)
			return
		}
		for _, object := range page.Objects {
			objects = append(objects, host.Object{Key: object.Key, Version: object.Version, Value: object.Value})
			after = object.Key
		}
		if !page.More {
			k.post(ctx, host.Listed{Call: a.Call, Objects: objects})
			return
		}
	}
}

func (k *Keeper) put(ctx context.Context, a host.Put) {
	var object store.Object
	var err error
	if a.Version == 0 {
		object, err = k.Store.Create(ctx, a.Key, a.Value)
	} else {
		object, err = k.Store.Update(ctx, a.Key, a.Version, a.Value)
	}
	if err != nil {
		k.failed(ctx, a.Call, "write", a.Key, err)
		return
	}
	k.post(ctx, host.Wrote{Call: a.Call, Version: object.Version})
}

func (k *Keeper) remove(ctx context.Context, a host.Delete) {
	if err := k.Store.Delete(ctx, a.Key, a.Version); err != nil {
		k.failed(ctx, a.Call, "delete", a.Key, err)
		return
	}
	k.post(ctx, host.Deleted{Call: a.Call})
}

func (k *Keeper) failed(ctx context.Context, call uint64, what, key string, err error) {
	cause := lease.Unknown
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrMissing):
		cause = lease.Conflict
	case errors.Is(err, store.ErrUnavailable):
		cause = lease.Unavailable
	}
	k.Log.Warn("lease: call on the store failed", zap.String("call", what), zap.String("key", key), zap.Error(err))
	k.post(ctx, host.Failed{Call: call, Cause: cause})
}

// watch follows the table of owners until ctx ends.
func (k *Keeper) watch(ctx context.Context) {
	prefix := host.Key("")
	for ctx.Err() == nil {
		page, err := k.Store.List(ctx, prefix, "")
		if err == nil {
			for _, object := range page.Objects {
				k.see(ctx, object)
			}
			err = k.Store.Watch(ctx, prefix, page.Revision, func(c store.Change) {
				if put, ok := c.(store.Put); ok {
					k.see(ctx, put.Object)
				}
			})
		}
		if ctx.Err() == nil {
			k.Log.Warn("host: watch of the owners ended", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(settleEvery):
		}
	}
}

func (k *Keeper) see(ctx context.Context, object store.Object) {
	if object.Key != host.Key(region) {
		return
	}
	select {
	case k.events <- host.Watched{Version: object.Version, Value: object.Value}:
	case <-ctx.Done():
	}
}
