// Package follow keeps a host's configuration up to date: it reads snapshot and
// patches from the object API, watches for more, takes patches from peers when
// the object API can't be read, and writes snapshots when it is this host's turn.
//
// One goroutine owns the patch.Log; others read the store and ask peers, and
// tell it what they found. After an error the store is called again with a
// jittered backoff, so that all hosts together stay under its rates after an
// outage; an interrupted watch is taken up at its last revision without a new
// listing.
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
	tick      = 500 * time.Millisecond // between ticks of the log
	firstWait = time.Second            // most before the first repetition of a call
	mostWait  = 2 * time.Second        // most between repetitions
	saveTime  = 30 * time.Second       // longest that the writing of a snapshot takes
	askTime   = 10 * time.Second       // longest that a handover by a peer takes
	queue     = 64                     // events waiting for the log
)

// Peers reaches other hosts.
type Peers interface {
	// Fetch asks the peer for patches or a part of a snapshot.
	Fetch(ctx context.Context, peer string, ask Request) (Response, error)
	// Announce tells the peer that version is in force here.
	Announce(ctx context.Context, peer string, version uint64) error
}

// A Follower follows the configuration for one host. Set the exported fields
// before Run; Store and Publish are needed.
type Follower struct {
	Host       string   // this host's name
	Seeds      []string // peers to ask where the object API can't be read
	Store      store.Store
	Peers      Peers               // nil where there are none
	Successors func() []string     // peers to tell the version in force; nil tells none
	Publish    func(*patch.Config) // called by one goroutine with each configuration in force
	Log        *zap.Logger         // nil logs nothing

	once   sync.Once
	events chan patch.Event
	reread chan struct{}
	// changed says that another version is in force.
	changed chan struct{}
	asks    chan func(*patch.Log) // questions to the log, run by its goroutine
	newest  atomic.Uint64         // newest patch applied, for the reader
	force   atomic.Uint64         // version in force
	group   sync.WaitGroup        // goroutines that Run waits for
	saving  atomic.Bool
	asking  atomic.Bool
	shares  shares
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.events = make(chan patch.Event, queue)
		f.reread = make(chan struct{}, 1)
		f.changed = make(chan struct{}, 1)
		f.asks = make(chan func(*patch.Log))
		if f.Log == nil {
			f.Log = zap.NewNop()
		}
	})
}

// Version returns the version in force, 0 where none is.
func (f *Follower) Version() uint64 { return f.force.Load() }

// NotePeerVersion notes that a peer has version in force.
func (f *Follower) NotePeerVersion(peer string, version uint64) {
	f.init()
	select {
	case f.events <- patch.PeerVersion{Peer: peer, Version: version}:
	default: // the peer tells again
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	defer f.group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.group.Go(func() { f.read(ctx) })
	if f.Peers != nil && f.Successors != nil {
		f.group.Go(func() { f.announce(ctx) })
	}
	log := patch.Log{Host: f.Host}
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	for {
		var event patch.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-f.asks:
			ask(&log)
			continue
		case event = <-f.events:
		case <-ticks.C:
			event = patch.Tick{}
		}
		actions := log.Step(time.Now(), event)
		f.newest.Store(log.LatestConfig().Version)
		for _, a := range actions {
			f.act(ctx, a)
		}
	}
}

// act carries out an action of the log.
func (f *Follower) act(ctx context.Context, action patch.Action) {
	switch x := action.(type) {
	case patch.Activate:
		f.force.Store(x.Config.Version)
		f.Log.Info(fmt.Sprintf("config: version %d in force", x.Config.Version))
		f.Publish(x.Config)
		select {
		case f.changed <- struct{}{}:
		default:
		}
	case patch.InvalidPatch:
		f.Log.Error(fmt.Sprintf("config: patch %d changes nothing", x.Number), zap.Error(x.Err))
	case patch.ConflictingPatch:
		f.Log.Error(fmt.Sprintf("config: patch %d came with two values", x.Number))
	case patch.ListPatches:
		f.Log.Warn(fmt.Sprintf("config: patches behind %d are missing", x.After))
		f.signal()
	case patch.QueryPeer:
		f.start(&f.asking, func() { f.ask(ctx, x.Peer) })
	case patch.SaveSnapshot:
		f.start(&f.saving, func() { f.save(ctx, x.Config) })
	default:
		panic(fmt.Sprintf("follow: unknown action %T", action))
	}
}

// start runs do on a goroutine unless it runs already.
func (f *Follower) start(running *atomic.Bool, do func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	f.group.Go(func() {
		defer running.Store(false)
		do()
	})
}

func (f *Follower) signal() {
	select {
	case f.reread <- struct{}{}:
	default:
	}
}

// tell gives the log an event, false where ctx ended.
func (f *Follower) tell(ctx context.Context, event patch.Event) bool {
	select {
	case f.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) save(ctx context.Context, config *patch.Config) {
	ctx, cancel := context.WithTimeout(ctx, saveTime)
	defer cancel()
	if err := archive.SaveSnapshot(ctx, f.Store, config); err != nil {
		f.Log.Warn(fmt.Sprintf("config: snapshot %d not written", config.Version), zap.Error(err))
		return
	}
	f.tell(ctx, patch.SnapshotSaved{Version: config.Version})
}

// read lists and watches until ctx ends.
func (f *Follower) read(ctx context.Context) {
	var r reader
	for ctx.Err() == nil {
		err := r.step(ctx, f)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if !r.lived {
			f.unreadable(ctx, err)
		}
		r.backoff(ctx)
	}
}

// A reader is where the reading of the store has got to.
type reader struct {
	loaded   bool          // whether a snapshot was looked for
	after    uint64        // version of that snapshot
	lived    bool          // whether the last call was answered
	listed   bool          // whether a watch may begin at revision
	revision uint64        // store revision reached
	wait     time.Duration // before the next call after an error
}

// step makes one call, or one watch until it ends.
func (r *reader) step(ctx context.Context, f *Follower) error {
	r.lived = false
	switch {
	case !r.loaded:
		return r.load(ctx, f)
	case !r.listed:
		return r.list(ctx, f)
	default:
		return r.watch(ctx, f)
	}
}

func (r *reader) load(ctx context.Context, f *Follower) error {
	config, err := archive.LatestSnapshot(ctx, f.Store)
	if err != nil {
		return err
	}
	r.loaded = true
	if config != nil {
		f.tell(ctx, patch.SnapshotLoaded{Config: config})
		r.after = config.Version
	}
	return nil
}

func (r *reader) list(ctx context.Context, f *Follower) error {
	r.after = max(r.after, f.newest.Load())
	revision, err := archive.PatchesAfter(ctx, f.Store, r.after, func(a patch.StoredPatch) {
		f.tell(ctx, patch.ReceivedPatch{StoredPatch: a})
	})
	if err != nil {
		return err
	}
	r.listed, r.revision, r.wait = true, revision, 0
	f.tell(ctx, patch.ListingComplete{})
	return nil
}

// watch follows changes until the watch breaks or the log wants a listing. A
// watch that delivered something is taken up again after the first wait, one
// that didn't after a longer one each time.
func (r *reader) watch(outer context.Context, f *Follower) error {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.reread:
			cancel()
		case <-stop:
		}
	}()
	err := f.Store.Watch(ctx, archive.PatchPrefix, r.revision, func(c store.Event) {
		r.lived, r.wait = true, 0
		r.change(ctx, f, c)
	})
	if errors.Is(err, store.ErrCompacted) {
		r.listed, r.lived, r.wait = false, true, 0
	}
	if ctx.Err() != nil && outer.Err() == nil {
		r.listed = false
		return nil
	}
	return err
}

func (r *reader) change(ctx context.Context, f *Follower, change store.Event) {
	switch x := change.(type) {
	case store.Put:
		r.revision = x.Revision
		if number, ok := archive.ParseNumber(archive.PatchPrefix, x.Object.Key); ok {
			f.tell(ctx, patch.ReceivedPatch{StoredPatch: patch.StoredPatch{Number: number, Data: x.Object.Value}})
		}
	case store.Delete:
		r.revision = x.Revision
		f.Log.Error("config: object deleted: " + x.Key)
	case store.Bookmark:
		r.revision = x.Revision
	default:
		panic(fmt.Sprintf("follow: unknown change %T", change))
	}
}

// backoff waits for a random part of the wait, and doubles the wait.
func (r *reader) backoff(ctx context.Context) {
	r.wait = min(max(2*r.wait, firstWait), mostWait)
	select {
	case <-time.After(rand.N(r.wait)):
	case <-ctx.Done():
	}
}
