package configsync

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/stage/patch"
)

// maxShare is the largest sum of patches in one Share, in bytes, but for one
// patch that is larger alone.
const maxShare = 512 << 10

// maxParts bounds the parts that a peer may name.
const maxParts = 256

// pollTime is the longest that the seeds are waited for.
const pollTime = time.Second

// An Ask is what a host asks a peer for: the patches behind After or, while
// Snapshot isn't zero, one part of that snapshot.
type Request struct {
	After    uint64 `json:"after"`
	Snapshot uint64 `json:"snapshot,omitempty"`
	Part     int    `json:"part,omitempty"`
}

// A Share answers an Ask. Where the peer no longer has the patches behind
// After, it gives the manifest of a snapshot in their place, and its parts
// when asked for them.
type Response struct {
	Version  uint64              `json:"version"` // in force at the peer
	Patches  []patch.StoredPatch `json:"patches,omitempty"`
	Snapshot uint64              `json:"snapshot,omitempty"`
	Manifest []byte              `json:"manifest,omitempty"`
	Part     []byte              `json:"part,omitempty"`
}

// shares keeps the last snapshot that a peer asked for, while it is read.
type shares struct {
	mu       sync.Mutex
	version  uint64
	snapshot patch.Snapshot
}

// HandleRequest answers a peer. It fails where nothing is in force here, or where the
// snapshot asked for is no longer kept: the peer then asks anew.
func (f *Follower) HandleRequest(ctx context.Context, ask Request) (Response, error) {
	f.init()
	if ask.Snapshot != 0 {
		return f.shares.part(ask)
	}
	share := Response{Version: f.Version()}
	if share.Version == 0 {
		return Response{}, errors.New("follow: no version in force")
	}
	var config *patch.Config
	err := f.question(ctx, func(log *patch.Log) {
		tail, ok := log.PatchesAfter(ask.After)
		if !ok {
			config = log.LatestConfig()
			return
		}
		share.Patches = first(tail)
	})
	if err != nil || config == nil {
		return share, err
	}
	share.Snapshot = config.Version
	share.Manifest, err = f.shares.keep(config)
	return share, err
}

// first returns the patches that fit in one Share.
func first(tail []patch.StoredPatch) []patch.StoredPatch {
	size := 0
	for i, a := range tail {
		size += len(a.Data)
		if size > maxShare && i > 0 {
			return append([]patch.StoredPatch(nil), tail[:i]...)
		}
	}
	return append([]patch.StoredPatch(nil), tail...)
}

// question has the log's goroutine run ask.
func (f *Follower) question(ctx context.Context, ask func(*patch.Log)) error {
	done := make(chan struct{})
	select {
	case f.asks <- func(log *patch.Log) { ask(log); close(done) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "follow")
	}
	<-done
	return nil
}

// keep makes the snapshot of config unless the one kept is that.
func (s *shares) keep(config *patch.Config) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == config.Version {
		return s.snapshot.Manifest, nil
	}
	snapshot, err := config.Snapshot()
	if err != nil {
		return nil, err
	}
	s.version, s.snapshot = config.Version, snapshot
	return snapshot.Manifest, nil
}

func (s *shares) part(ask Request) (Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Snapshot != s.version || ask.Part < 0 || ask.Part >= len(s.snapshot.Parts) {
		return Response{}, errors.Errorf("follow: no part %d of snapshot %d", ask.Part, ask.Snapshot)
	}
	return Response{Version: s.version, Snapshot: s.version, Part: s.snapshot.Parts[ask.Part]}, nil
}

// unreadable tells the log that the object API can't be read and, while
// nothing is in force, which versions the seeds have.
func (f *Follower) unreadable(ctx context.Context, err error) {
	f.Log.Warn("config: object API not readable", zap.Error(err))
	f.tell(ctx, patch.StoreUnavailable{})
	if f.Peers != nil && f.Version() == 0 {
		f.start(&f.asking, func() { f.poll(ctx) })
	}
}

// poll asks the seeds for their versions and tells them, the highest first, so
// that the log doesn't start with less.
func (f *Follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	told := make([]patch.PeerVersion, len(f.Seeds))
	var group sync.WaitGroup
	for i, seed := range f.Seeds {
		group.Go(func() {
			share, err := f.Peers.Fetch(ctx, seed, Request{After: math.MaxUint64})
			if err == nil {
				told[i] = patch.PeerVersion{Peer: seed, Version: share.Version}
			}
		})
	}
	group.Wait()
	slices.SortFunc(told, func(a, b patch.PeerVersion) int { return cmp.Compare(b.Version, a.Version) })
	for _, t := range told {
		if t.Version > 0 {
			f.tell(ctx, t)
		}
	}
}

// ask takes patches from a peer until it has no more.
func (f *Follower) ask(ctx context.Context, peer string) {
	if f.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	after := f.newest.Load()
	for ctx.Err() == nil {
		next, err := f.handover(ctx, peer, after)
		if err != nil {
			f.Log.Warn("config: no handover by "+peer, zap.Error(err))
			return
		}
		if next <= after {
			return
		}
		after = next
	}
}

// handover asks a peer once and returns the newest number that it gave.
func (f *Follower) handover(ctx context.Context, peer string, after uint64) (uint64, error) {
	share, err := f.Peers.Fetch(ctx, peer, Request{After: after})
	if err != nil {
		return 0, err
	}
	if share.Snapshot > after {
		config, err := f.collect(ctx, peer, share)
		if err != nil {
			return 0, err
		}
		f.tell(ctx, patch.SnapshotReceived{Config: config})
		after = config.Version
	}
	for _, a := range share.Patches {
		f.tell(ctx, patch.ReceivedPatch{StoredPatch: a})
		after = a.Number
	}
	f.tell(ctx, patch.PeerVersion{Peer: peer, Version: share.Version})
	return after, nil
}

// collect reads the parts of the snapshot that share names.
func (f *Follower) collect(ctx context.Context, peer string, share Response) (*patch.Config, error) {
	version, parts, err := patch.ParseManifest(share.Manifest)
	if err != nil {
		return nil, err
	}
	if parts > maxParts || version != share.Snapshot {
		return nil, errors.Errorf("follow: snapshot %d of %d parts in place of %d", version, parts, share.Snapshot)
	}
	snapshot := patch.Snapshot{Manifest: share.Manifest}
	for i := range parts {
		part, err := f.Peers.Fetch(ctx, peer, Request{Snapshot: version, Part: i})
		if err != nil {
			return nil, err
		}
		snapshot.Parts = append(snapshot.Parts, part.Part)
	}
	return snapshot.Config()
}
