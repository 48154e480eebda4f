// Package configsync keeps a host's configuration up to date. It reads the newest
// snapshot and the patches after it from the object API, watches for new patches,
// fetches patches from peers when the object API can't be read, and writes
// snapshots when it is this host's turn.
//
// One goroutine owns the patch.Log. Other goroutines read the store and query
// peers, and send it events with what they found. After an error the store is
// called again with a jittered backoff, so that all hosts together stay within its
// rate limits after an outage. An interrupted watch resumes at its last revision
// without a new listing.
package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

const (
	tickPeriod   = 500 * time.Millisecond // interval between ticks of the log
	minBackoff   = time.Second            // longest delay before the first retry of a store call
	maxBackoff   = 2 * time.Second        // longest delay between retries
	saveTimeout  = 30 * time.Second       // limit for writing a snapshot
	fetchTimeout = 10 * time.Second       // limit for fetching patches from a peer
	eventQueue   = 64                     // capacity of the queue of events for the log
)

// Peers calls other hosts.
type Peers interface {
	// Fetch requests patches or a part of a snapshot from the peer.
	Fetch(ctx context.Context, peer string, request Request) (Response, error)
	// Announce reports to the peer that version is in force on this host.
	Announce(ctx context.Context, peer string, version uint64) error
}

// A Follower keeps the configuration of one host up to date. Set the exported
// fields before Run; Store and Publish are required.
type Follower struct {
	Host       string   // this host's name
	Seeds      []string // peers to query while the object API can't be read
	Store      store.Store
	Peers      Peers               // nil if there are none
	Successors func() []string     // peers that the version in force is announced to; nil disables announcements
	Publish    func(*patch.Config) // called by a single goroutine with each configuration that comes into force
	Log        *zap.Logger         // nil disables logging

	once   sync.Once
	events chan patch.Event
	relist chan struct{}
	// changed signals that another version has come into force.
	changed   chan struct{}
	queries   chan func(*patch.Log) // functions that read the log, run by the goroutine that owns it
	applied   atomic.Uint64         // newest patch applied, for the store reader
	inForce   atomic.Uint64         // version in force
	workers   sync.WaitGroup        // goroutines that Run waits for
	saving    atomic.Bool
	fetching  atomic.Bool
	snapshots snapshotCache
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.events = make(chan patch.Event, eventQueue)
		f.relist = make(chan struct{}, 1)
		f.changed = make(chan struct{}, 1)
		f.queries = make(chan func(*patch.Log))
		if f.Log == nil {
			f.Log = zap.NewNop()
		}
	})
}

// Version returns the version in force, or 0 if there is none.
func (f *Follower) Version() uint64 { return f.inForce.Load() }

// NotePeerVersion records that a peer has version in force.
func (f *Follower) NotePeerVersion(peer string, version uint64) {
	f.init()
	select {
	case f.events <- patch.PeerVersion{Peer: peer, Version: version}:
	default: // the peer will announce it again
	}
}

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	defer f.workers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.workers.Go(func() { f.readStore(ctx) })
	if f.Peers != nil && f.Successors != nil {
		f.workers.Go(func() { f.announce(ctx) })
	}
	log := patch.Log{Host: f.Host}
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	for {
		var event patch.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case query := <-f.queries:
			query(&log)
			continue
		case event = <-f.events:
		case <-ticks.C:
			event = patch.Tick{}
		}
		actions := log.Step(time.Now(), event)
		f.applied.Store(log.LatestConfig().Version)
		for _, a := range actions {
			f.perform(ctx, a)
		}
	}
}

// perform executes an action of the log.
func (f *Follower) perform(ctx context.Context, action patch.Action) {
	switch x := action.(type) {
	case patch.Activate:
		f.inForce.Store(x.Config.Version)
		f.Log.Info(fmt.Sprintf("config: version %d in force", x.Config.Version))
		f.Publish(x.Config)
		select {
		case f.changed <- struct{}{}:
		default:
		}
	case patch.InvalidPatch:
		f.Log.Error(fmt.Sprintf("config: patch %d doesn't apply and is ignored", x.Number), zap.Error(x.Err))
	case patch.ConflictingPatch:
		f.Log.Error(fmt.Sprintf("config: patch %d was received with two different values, keeping the first", x.Number))
	case patch.ListPatches:
		f.Log.Warn(fmt.Sprintf("config: patches after %d are missing", x.After))
		f.requestRelist()
	case patch.QueryPeer:
		f.startOnce(&f.fetching, func() { f.catchUp(ctx, x.Peer) })
	case patch.SaveSnapshot:
		f.startOnce(&f.saving, func() { f.save(ctx, x.Config) })
	default:
		panic(fmt.Sprintf("configsync: unknown action %T", action))
	}
}

// startOnce runs do in a goroutine unless it is already running.
func (f *Follower) startOnce(running *atomic.Bool, do func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	f.workers.Go(func() {
		defer running.Store(false)
		do()
	})
}

// requestRelist makes the store reader list the patches again.
func (f *Follower) requestRelist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// send passes an event to the log. It returns false if ctx ended first.
func (f *Follower) send(ctx context.Context, event patch.Event) bool {
	select {
	case f.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// save writes a snapshot to the store.
func (f *Follower) save(ctx context.Context, config *patch.Config) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := archive.SaveSnapshot(ctx, f.Store, config); err != nil {
		f.Log.Warn(fmt.Sprintf("config: failed to write snapshot %d", config.Version), zap.Error(err))
		return
	}
	f.send(ctx, patch.SnapshotSaved{Version: config.Version})
}

// readStore lists and watches the store until ctx ends.
func (f *Follower) readStore(ctx context.Context) {
	var r reader
	for ctx.Err() == nil {
		err := r.step(ctx, f)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if !r.responded {
			f.unreadable(ctx, err)
		}
		r.backoff(ctx)
	}
}

// A reader holds the progress of reading the store.
type reader struct {
	loaded    bool          // whether the newest snapshot has been read, or there is none
	after     uint64        // version of that snapshot, or of the newest patch applied since
	responded bool          // whether the store responded to the last call
	listed    bool          // whether a watch can start at revision
	revision  uint64        // last store revision read
	maxDelay  time.Duration // longest delay before the next call after an error
}

// step makes one call, or runs one watch until it ends.
func (r *reader) step(ctx context.Context, f *Follower) error {
	r.responded = false
	switch {
	case !r.loaded:
		return r.load(ctx, f)
	case !r.listed:
		return r.list(ctx, f)
	default:
		return r.watch(ctx, f)
	}
}

// load reads the newest snapshot.
func (r *reader) load(ctx context.Context, f *Follower) error {
	config, err := archive.LatestSnapshot(ctx, f.Store)
	if err != nil {
		return err
	}
	r.loaded = true
	if config != nil {
		f.send(ctx, patch.SnapshotLoaded{Config: config})
		r.after = config.Version
	}
	return nil
}

// list reads the patches after the newest one known.
func (r *reader) list(ctx context.Context, f *Follower) error {
	r.after = max(r.after, f.applied.Load())
	revision, err := archive.PatchesAfter(ctx, f.Store, r.after, func(a patch.StoredPatch) {
		f.send(ctx, patch.ReceivedPatch{StoredPatch: a})
	})
	if err != nil {
		return err
	}
	r.listed, r.revision, r.maxDelay = true, revision, 0
	f.send(ctx, patch.ListingComplete{})
	return nil
}

// watch receives changes until the watch breaks or the log requests a listing. If
// the watch delivered a change, it is retried after the shortest backoff;
// otherwise the backoff grows each time.
func (r *reader) watch(outer context.Context, f *Follower) error {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.relist:
			cancel()
		case <-stop:
		}
	}()
	err := f.Store.Watch(ctx, archive.PatchPrefix, r.revision, func(c store.Event) {
		r.responded, r.maxDelay = true, 0
		r.handleChange(ctx, f, c)
	})
	if errors.Is(err, store.ErrCompacted) {
		r.listed, r.responded, r.maxDelay = false, true, 0
	}
	if ctx.Err() != nil && outer.Err() == nil {
		r.listed = false
		return nil
	}
	return err
}

// handleChange passes a change of the store to the log.
func (r *reader) handleChange(ctx context.Context, f *Follower, change store.Event) {
	switch x := change.(type) {
	case store.Put:
		r.revision = x.Revision
		if number, ok := archive.ParseNumber(archive.PatchPrefix, x.Object.Key); ok {
			f.send(ctx, patch.ReceivedPatch{StoredPatch: patch.StoredPatch{Number: number, Data: x.Object.Value}})
		}
	case store.Delete:
		r.revision = x.Revision
		f.Log.Error("config: object deleted: " + x.Key)
	case store.Bookmark:
		r.revision = x.Revision
	default:
		panic(fmt.Sprintf("configsync: unknown change %T", change))
	}
}

// backoff doubles the longest delay, up to maxBackoff, and waits for a random part
// of it.
func (r *reader) backoff(ctx context.Context) {
	r.maxDelay = min(max(2*r.maxDelay, minBackoff), maxBackoff)
	select {
	case <-time.After(rand.N(r.maxDelay)):
	case <-ctx.Done():
	}
}
