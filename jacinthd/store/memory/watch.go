package memory

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/store"
)

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64, change func(store.Event)) error {
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	deadline := time.Now().Add(watchIdleTimeout)
	for {
		events, current, changed, err := s.changesSince(prefix, revision)
		if err != nil {
			return err
		}
		if changed == nil {
			if !time.Now().Before(deadline) {
				return errors.Wrap(store.ErrUnavailable, "watch received no events")
			}
		} else {
			deadline = time.Now().Add(watchIdleTimeout)
			revision = current
			for _, e := range events {
				change(e)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(store.ErrUnavailable, "watch: %v", ctx.Err())
		case <-changed:
		case <-time.After(bookmarkInterval):
			if changed != nil {
				change(store.Bookmark{Revision: revision})
			}
		}
	}
}

// changesSince returns the changes after revision under prefix, the current
// revision, and a channel that is closed at the next change. The channel is nil
// while the fault Silent is set.
func (s *Store) changesSince(prefix string, revision uint64) ([]store.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, 0, nil, errors.WithStack(store.ErrUnavailable)
	}
	if revision < s.compactedRevision {
		return nil, 0, nil, errors.WithStack(store.ErrCompacted)
	}
	if s.faults.Silent {
		return nil, 0, nil, nil
	}
	var events []store.Event
	next := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	for _, e := range s.history[next:] {
		if strings.HasPrefix(e.key, prefix) {
			events = append(events, e.change)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return events, s.revision, s.changed, nil
}
