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

// maxResponseBytes limits the total size of the patches in one Response, in bytes.
// A single larger patch is still sent, alone.
const maxResponseBytes = 512 << 10

// maxParts limits the number of snapshot parts that a peer's manifest may name.
const maxParts = 256

// pollTimeout limits the wait for the responses of the seeds.
const pollTimeout = time.Second

// A Request asks a peer for the patches after version After or, if Snapshot isn't
// zero, for one part of that snapshot.
type Request struct {
	After    uint64 `json:"after"`
	Snapshot uint64 `json:"snapshot,omitempty"`
	Part     int    `json:"part,omitempty"`
}

// A Response answers a Request. If the peer no longer has the patches after
// version After, it returns the manifest of a snapshot instead. The parts of that
// snapshot are then requested one by one.
type Response struct {
	Version  uint64              `json:"version"` // version in force at the peer
	Patches  []patch.StoredPatch `json:"patches,omitempty"`
	Snapshot uint64              `json:"snapshot,omitempty"`
	Manifest []byte              `json:"manifest,omitempty"`
	Part     []byte              `json:"part,omitempty"`
}

// A snapshotCache holds the last snapshot that a peer requested, while its parts
// are being read.
type snapshotCache struct {
	mu       sync.Mutex
	version  uint64
	snapshot patch.Snapshot
}

// HandleRequest answers a peer's request. It fails if no version is in force on this
// host, or if the requested snapshot is no longer cached; the peer then starts
// over. The texts of its errors begin with "follow" because other hosts receive them
// in refusals.
func (f *Follower) HandleRequest(ctx context.Context, request Request) (Response, error) {
	f.init()
	if request.Snapshot != 0 {
		return f.snapshots.part(request)
	}
	response := Response{Version: f.Version()}
	if response.Version == 0 {
		return Response{}, errors.New("follow: no version in force")
	}
	var config *patch.Config
	err := f.query(ctx, func(log *patch.Log) {
		tail, ok := log.PatchesAfter(request.After)
		if !ok {
			config = log.LatestConfig()
			return
		}
		response.Patches = fitting(tail)
	})
	if err != nil || config == nil {
		return response, err
	}
	response.Snapshot = config.Version
	response.Manifest, err = f.snapshots.manifest(config)
	return response, err
}

// fitting returns the first patches of tail, as many as fit in one Response.
func fitting(tail []patch.StoredPatch) []patch.StoredPatch {
	size := 0
	for i, a := range tail {
		size += len(a.Data)
		if size > maxResponseBytes && i > 0 {
			return append([]patch.StoredPatch(nil), tail[:i]...)
		}
	}
	return append([]patch.StoredPatch(nil), tail...)
}

// query runs read in the goroutine that owns the log.
func (f *Follower) query(ctx context.Context, read func(*patch.Log)) error {
	done := make(chan struct{})
	select {
	case f.queries <- func(log *patch.Log) { read(log); close(done) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "follow")
	}
	<-done
	return nil
}

// manifest returns the manifest of the snapshot of config. It makes and caches the
// snapshot unless it is already cached.
func (s *snapshotCache) manifest(config *patch.Config) ([]byte, error) {
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

// part returns the requested part of the cached snapshot.
func (s *snapshotCache) part(request Request) (Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Snapshot != s.version || request.Part < 0 || request.Part >= len(s.snapshot.Parts) {
		return Response{}, errors.Errorf("follow: no part %d of snapshot %d", request.Part, request.Snapshot)
	}
	return Response{Version: s.version, Snapshot: s.version, Part: s.snapshot.Parts[request.Part]}, nil
}

// unreadable reports to the log that the object API can't be read. While no version
// is in force, it also queries the seeds for their versions.
func (f *Follower) unreadable(ctx context.Context, err error) {
	f.Log.Warn("config: failed to read the object API", zap.Error(err))
	f.send(ctx, patch.StoreUnavailable{})
	if f.Peers != nil && f.Version() == 0 {
		f.startOnce(&f.fetching, func() { f.pollSeeds(ctx) })
	}
}

// pollSeeds queries the seeds for their versions and reports these to the log,
// highest first, so that the log doesn't start with an older version.
func (f *Follower) pollSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	versions := make([]patch.PeerVersion, len(f.Seeds))
	var group sync.WaitGroup
	for i, seed := range f.Seeds {
		group.Go(func() {
			response, err := f.Peers.Fetch(ctx, seed, Request{After: math.MaxUint64})
			if err == nil {
				versions[i] = patch.PeerVersion{Peer: seed, Version: response.Version}
			}
		})
	}
	group.Wait()
	slices.SortFunc(versions, func(a, b patch.PeerVersion) int { return cmp.Compare(b.Version, a.Version) })
	for _, v := range versions {
		if v.Version > 0 {
			f.send(ctx, v)
		}
	}
}

// catchUp fetches patches from a peer until it has no newer ones.
func (f *Follower) catchUp(ctx context.Context, peer string) {
	if f.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	after := f.applied.Load()
	for ctx.Err() == nil {
		next, err := f.fetchOnce(ctx, peer, after)
		if err != nil {
			f.Log.Warn("config: failed to fetch patches from "+peer, zap.Error(err))
			return
		}
		if next <= after {
			return
		}
		after = next
	}
}

// fetchOnce sends one request for patches to a peer, passes what it returns to the
// log, and returns the newest patch number received.
func (f *Follower) fetchOnce(ctx context.Context, peer string, after uint64) (uint64, error) {
	response, err := f.Peers.Fetch(ctx, peer, Request{After: after})
	if err != nil {
		return 0, err
	}
	if response.Snapshot > after {
		config, err := f.fetchSnapshot(ctx, peer, response)
		if err != nil {
			return 0, err
		}
		f.send(ctx, patch.SnapshotReceived{Config: config})
		after = config.Version
	}
	for _, a := range response.Patches {
		f.send(ctx, patch.ReceivedPatch{StoredPatch: a})
		after = a.Number
	}
	f.send(ctx, patch.PeerVersion{Peer: peer, Version: response.Version})
	return after, nil
}

// fetchSnapshot fetches the parts of the snapshot whose manifest is in response.
func (f *Follower) fetchSnapshot(ctx context.Context, peer string, response Response) (*patch.Config, error) {
	version, parts, err := patch.ParseManifest(response.Manifest)
	if err != nil {
		return nil, err
	}
	if parts > maxParts || version != response.Snapshot {
		return nil, errors.Errorf("configsync: peer sent a manifest for snapshot %d with %d parts, want snapshot %d with at most %d", version, parts, response.Snapshot, maxParts)
	}
	snapshot := patch.Snapshot{Manifest: response.Manifest}
	for i := range parts {
		part, err := f.Peers.Fetch(ctx, peer, Request{Snapshot: version, Part: i})
		if err != nil {
			return nil, err
		}
		snapshot.Parts = append(snapshot.Parts, part.Part)
	}
	return snapshot.Config()
}
