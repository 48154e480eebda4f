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
	silent := time.Now().Add(silence)
	for {
		events, reached, changed, err := s.since(prefix, revision)
		if err != nil {
			return err
		}
		if changed == nil {
			if !time.Now().Before(silent) {
				return errors.Wrap(store.ErrUnavailable, "watch went silent")
			}
		} else {
			silent = time.Now().Add(silence)
			revision = reached
			for _, e := range events {
				change(e)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(store.ErrUnavailable, "watch: %v", ctx.Err())
		case <-changed:
		case <-time.After(bookmark):
			if changed != nil {
				change(store.Bookmark{Revision: revision})
			}
		}
	}
}

// since returns the changes behind revision, and a channel closed at the next
// change; the channel is nil while the store is silent.
func (s *Store) since(prefix string, revision uint64) ([]store.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, 0, nil, errors.WithStack(store.ErrUnavailable)
	}
	if revision < s.compacted {
		return nil, 0, nil, errors.WithStack(store.ErrCompacted)
	}
	if s.faults.Silent {
		return nil, 0, nil, nil
	}
	var events []store.Event
	behind := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	for _, e := range s.history[behind:] {
		if strings.HasPrefix(e.key, prefix) {
			events = append(events, e.change)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return events, s.revision, s.changed, nil
}
