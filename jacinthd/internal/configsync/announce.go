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
	// SuccessorCount is the number of hosts to which each host announces its version.
	SuccessorCount = 2
	// announcePeriod is the interval at which an unchanged version is announced.
	announcePeriod = 2 * time.Second
	// announceTimeout limits the time of one round of announcements.
	announceTimeout = time.Second
)

// SuccessorsOf returns the hosts to which self announces its version: the
// SuccessorCount hosts that follow self in a ring of all hosts, sorted by name.
func SuccessorsOf(self string, others []string) []string {
	others = slices.Sorted(slices.Values(others))
	next, _ := slices.BinarySearch(others, self)
	ring := slices.Concat(others[next:], others[:next])
	return ring[:min(len(ring), SuccessorCount)]
}

// announce sends the version in force to the successors when it changes and
// periodically, until ctx ends.
func (f *Follower) announce(ctx context.Context) {
	ticks := time.NewTicker(announcePeriod)
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
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, peer := range f.Successors() {
		group.Go(func() {
			if err := f.Peers.Announce(ctx, peer, version); err != nil {
				f.Log.Debug(fmt.Sprintf("config: failed to announce version %d to %s", version, peer), zap.Error(err))
			}
		})
	}
	group.Wait()
}
