package origins

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/store"
)

const (
	// originCallTimeout limits each call to the store for the origins of streams.
	originCallTimeout = 2 * time.Second
	// originWriteInterval is the time between two writes of the origins.
	originWriteInterval = time.Second
	// originAge is the age up to which the origin of a stream is written: streams end within
	// that time.
	originAge = origin.MaxStreamTime
	// staleBatchAge is the age of a batch that is deleted: its host has not written for long.
	staleBatchAge = 10 * time.Minute
)

// Streams keeps the origins of recent streams in the store while a service has targets of
// several builds, so that the streams go on after the end of all hosts. The hosts that read the
// store for the others of their region write what they know, each into one object. All exported
// fields must be set.
type Streams struct {
	Self       string
	Store      store.Objects
	Dispatcher *dispatch.Dispatcher
	Peers      *peers.Group
	Log        *zap.Logger

	version uint64 // of this host's object; 0 if there is none, as far as this host knows
	written []origin.Origin
}

// Run writes the origins until ctx ends.
func (r *Streams) Run(ctx context.Context) {
	ticker := time.NewTicker(originWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.update(ctx, now)
		}
	}
}

func (r *Streams) update(ctx context.Context, now time.Time) {
	if !r.Dispatcher.RecentBuilds(now).Several() {
		r.written = nil
		return
	}
	if !r.Peers.KeepsOrigins() {
		return
	}
	origins := r.Peers.Origins.Since(now.Add(-originAge))
	if len(origins) == 0 || sameStreams(origins, r.written) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	if err := r.write(ctx, origin.Batch{Written: now, Origins: origins}); err != nil {
		r.Log.Warn("origins: not written to the store", zap.Int("streams", len(origins)), zap.Error(err))
		return
	}
	if r.written == nil {
		r.Log.Info("origins: written to the store from now on", zap.Int("streams", len(origins)))
	}
	r.written = origins
}

// sameStreams reports whether two batches hold the same streams.
func sameStreams(a, b []origin.Origin) bool {
	return slices.EqualFunc(a, b, func(x, y origin.Origin) bool { return x.Stream == y.Stream })
}

// write replaces this host's object, whatever an earlier process of the host left there.
func (r *Streams) write(ctx context.Context, b origin.Batch) error {
	key, data := origin.BatchKey(r.Self), b.Encode()
	var o store.Object
	var err error
	if r.version == 0 {
		o, err = r.Store.Create(ctx, key, data)
	} else {
		o, err = r.Store.Update(ctx, key, r.version, data)
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		if o, err = r.Store.Get(ctx, key); err == nil {
			o, err = r.Store.Update(ctx, key, o.Version, data)
		}
	}
	if errors.Is(err, store.ErrNotFound) {
		r.version = 0 // deleted; the next write creates it
	}
	if err != nil {
		return err
	}
	r.version = o.Version
	return nil
}

// Restore takes over the origins that the store holds. It tries again until it succeeds or ctx
// ends.
func (r *Streams) Restore(ctx context.Context) {
	for {
		streams, err := r.readAll(ctx)
		if err == nil {
			r.Log.Info("origins: read from the store", zap.Int("streams", streams))
			return
		}
		r.Log.Warn("origins: not read from the store", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(originWriteInterval):
		}
	}
}

func (r *Streams) readAll(ctx context.Context) (streams int, err error) {
	err = store.Each(ctx, r.Store, origin.BatchPrefix, originCallTimeout, func(o store.Object) { streams += r.restore(ctx, o) })
	return streams, err
}

// restore takes over one batch and returns the number of its streams. It deletes a stale one.
func (r *Streams) restore(ctx context.Context, o store.Object) int {
	b, err := origin.DecodeBatch(o.Value)
	if err != nil {
		r.Log.Warn("origins: object can't be read", zap.String("key", o.Key), zap.Error(err))
		return 0
	}
	now := time.Now()
	if now.Sub(b.Written) > staleBatchAge {
		ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
		defer cancel()
		if err := r.Store.Delete(ctx, o.Key, o.Version); err != nil {
			r.Log.Debug("origins: stale object not deleted", zap.String("key", o.Key), zap.Error(err))
		}
		return 0
	}
	add := r.Peers.Origins.Restore
	if o.Key == origin.BatchKey(r.Self) {
		add = r.Peers.Origins.Add // the next write replaces this object
	}
	for _, began := range b.Origins {
		add(now, began)
	}
	return len(b.Origins)
}
