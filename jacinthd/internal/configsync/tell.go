package configsync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// SuccessorCount is how many hosts each host tells its version.
	SuccessorCount = 2
	// tellPeriod is the time between two tellings of the same version.
	tellPeriod = 2 * time.Second
	// tellTime is the longest that one telling takes.
	tellTime = time.Second
)

// SuccessorsOf returns the next hosts behind self when all are in a ring by name, the
// hosts that self tells its version.
func SuccessorsOf(self string, others []string) []string {
	others = slices.Sorted(slices.Values(others))
	behind, _ := slices.BinarySearch(others, self)
	ring := slices.Concat(others[behind:], others[:behind])
	return ring[:min(len(ring), SuccessorCount)]
}

// announce tells the ring the version in force when it changes, and now and
// then, until ctx ends.
func (f *Follower) announce(ctx context.Context) {
	ticks := time.NewTicker(tellPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-ticks.C:
		}
		f.announceOnce(ctx)
	}
}

func (f *Follower) announceOnce(ctx context.Context) {
	version := f.Version()
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	var group sync.WaitGroup
	for _, peer := range f.Successors() {
		group.Go(func() {
			if err := f.Peers.Announce(ctx, peer, version); err != nil {
				f.Log.Debug(fmt.Sprintf("config: %s not told of version %d", peer, version), zap.Error(err))
			}
		})
	}
	group.Wait()
}
