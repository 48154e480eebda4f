// Package origins keeps in the store which builds of targets serve, and which of them began recent
// streams, so that a stream goes on at its build after the end of all hosts.
package origins

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/store"
)

const (
	// buildCallTimeout limits each call to the store for the builds of services, and
	// buildRecordInterval is the time between two looks at whether they have changed.
	buildCallTimeout    = 2 * time.Second
	buildRecordInterval = 500 * time.Millisecond
	// buildWriters is the number of hosts that write a change of the builds. Each waits
	// buildWriterDelay for the one before it, and writes if that hasn't.
	buildWriters     = 3
	buildWriterDelay = time.Second
)

// A Builds keeps the recent builds of all services in the store, for hosts that start
// while no other runs: the stream that a caller takes up there may have begun at a build whose
// last target has left. It is written only when a build comes or has been gone for a minute. All
// exported fields but OnSeveral must be set.
type Builds struct {
	Store      store.Objects
	Dispatcher *dispatch.Dispatcher
	// Rank returns the place of this host among those that write, from 0. It returns false if
	// the hosts are unknown.
	Rank func() (int, bool)
	// OnSeveral, if set, is called if a service has several builds when they are first read.
	OnSeveral func(ctx context.Context)
	Log       *zap.Logger

	restored    atomic.Bool   // the store may hold an older object than the one that is known
	known       origin.Builds // in the store, as far as this host knows
	version     uint64        // of the object; 0 if there is none
	differsFrom time.Time     // since when the builds differ from known; zero if they don't
}

// Run reads the builds, and writes those that change, until ctx ends.
func (r *Builds) Run(ctx context.Context) {
	ticker := time.NewTicker(buildRecordInterval)
	defer ticker.Stop()
	read := r.readFirst(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case !read:
				read = r.readFirst(ctx)
			case r.restored.Swap(false):
				if !r.read(ctx) {
					r.ReadAgain()
				}
			default:
				r.update(ctx, now)
			}
		}
	}
}

// readFirst reads the builds as the process starts. It reports whether it could.
func (r *Builds) readFirst(ctx context.Context) bool {
	if !r.read(ctx) {
		return false
	}
	if r.known.Several() && r.OnSeveral != nil {
		go r.OnSeveral(ctx)
	}
	return true
}

// ReadAgain lets Run read the builds once more, since the store may have lost what it held.
func (r *Builds) ReadAgain() { r.restored.Store(true) }

// read takes over what the store holds. It reports whether it could.
func (r *Builds) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, buildCallTimeout)
	defer cancel()
	o, err := r.Store.Get(ctx, origin.BuildsKey)
	if errors.Is(err, store.ErrNotFound) {
		r.known, r.version = nil, 0
		return true
	}
	if err != nil {
		r.Log.Warn("builds: not read from the store", zap.Error(err))
		return false
	}
	builds, err := origin.DecodeBuilds(o.Value)
	if err != nil {
		// The next write replaces it.
		r.Log.Warn("builds: object can't be read", zap.Error(err))
	}
	r.known, r.version = builds, o.Version
	r.Dispatcher.LearnBuilds(time.Now(), builds)
	r.Log.Info("builds: read from the store", zap.Any("services", builds))
	return true
}

// update writes the builds if they differ from those in the store, and it is this host's turn.
func (r *Builds) update(ctx context.Context, now time.Time) {
	if r.Dispatcher.RecentBuilds(now).Equal(r.known) {
		r.differsFrom = time.Time{}
		return
	}
	if r.differsFrom.IsZero() {
		r.differsFrom = now
	}
	rank, ok := r.Rank()
	if !ok || rank >= buildWriters || now.Sub(r.differsFrom) < time.Duration(rank)*buildWriterDelay {
		return
	}
	if !r.read(ctx) {
		return
	}
	if builds := r.Dispatcher.RecentBuilds(now); !builds.Equal(r.known) {
		r.write(ctx, builds)
	}
}

func (r *Builds) write(ctx context.Context, builds origin.Builds) {
	ctx, cancel := context.WithTimeout(ctx, buildCallTimeout)
	defer cancel()
	var o store.Object
	var err error
	if r.version == 0 {
		o, err = r.Store.Create(ctx, origin.BuildsKey, builds.Encode())
	} else {
		o, err = r.Store.Update(ctx, origin.BuildsKey, r.version, builds.Encode())
	}
	if err != nil {
		r.Log.Warn("builds: not written to the store", zap.Any("services", builds), zap.Error(err))
		return
	}
	r.known, r.version = builds, o.Version
	r.Log.Info("builds: written to the store", zap.Any("services", builds))
}
