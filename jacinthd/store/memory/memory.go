// Package memory implements the object API in memory, for tests.
//
// SetFaults injects faults. A fault that counts writes ends once its count is
// used up, the others with the next call of SetFaults. All waiting uses the
// package time, so a Store works in a testing/synctest bubble.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/store"
)

const (
	callTimeout      = 2 * time.Second // maximum duration of a call without an answer
	watchIdleTimeout = 3 * time.Second // time after which a watch without events fails
	bookmarkInterval = time.Second     // time between bookmarks of a watch
	pageLimit        = 200             // maximum number of objects in one page of List
)

// Faults selects the injected faults. The zero value injects none.
type Faults struct {
	Outage      bool          // calls and watches fail with store.ErrUnavailable
	Silent      bool          // calls have no effect and get no answer; watches get no events
	LoseAnswers int           // number of following writes that take effect and whose answers are lost
	DropWrites  int           // number of following writes that have no effect and whose answers are lost
	Delay       time.Duration // added to the duration of each call
}

// Counts holds the numbers of calls that reached the store since its creation.
type Counts struct{ Reads, Writes, Watches int }

// An event is a change with its key, against which watches match their prefix.
type event struct {
	key      string
	revision uint64
	change   store.Event
}

// A Store implements store.Store. The zero value is empty and ready to use.
type Store struct {
	mu                sync.Mutex
	objects           map[string]store.Object
	revision          uint64
	history           []event
	compactedRevision uint64 // highest revision that history no longer contains
	hosts             []store.Presence
	faults            Faults
	counts            Counts
	changed           chan struct{} // closed at the next change; nil while no watch waits
}

var _ store.Store = (*Store)(nil)

// SetFaults replaces the injected faults and wakes all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact discards the history of changes: watches from an earlier revision fail
// with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// SetPresence adds or replaces an entry in the list of hosts and targets.
func (s *Store) SetPresence(p store.Presence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, old := range s.hosts {
		if old.Name == p.Name {
			s.hosts[i] = p
			return
		}
	}
	s.hosts = append(s.hosts, p)
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = s.call(ctx, false, func() error {
		stored, ok := s.objects[key]
		if !ok {
			return errors.WithStack(store.ErrNotFound)
		}
		o = stored
		return nil
	})
	return o, err
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return s.put(ctx, key, 0, value)
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	if version == 0 {
		return store.Object{}, errors.WithStack(store.ErrConflict)
	}
	return s.put(ctx, key, version, value)
}

// put writes the object if it has the given version; version 0 stands for a
// missing object.
func (s *Store) put(ctx context.Context, key string, version uint64, value []byte) (o store.Object, err error) {
	if len(value) > store.MaxValue {
		return o, errors.WithStack(store.ErrTooLarge)
	}
	err = s.call(ctx, true, func() error {
		if s.objects[key].Version != version {
			return errors.WithStack(store.ErrConflict)
		}
		if s.objects == nil {
			s.objects = map[string]store.Object{}
		}
		s.revision++
		o = store.Object{Key: key, Version: s.revision, Value: append([]byte(nil), value...)}
		s.objects[key] = o
		s.record(key, store.Put{Object: o, Revision: s.revision})
		return nil
	})
	if err != nil {
		return store.Object{}, err
	}
	return o, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	return s.call(ctx, true, func() error {
		if o, ok := s.objects[key]; !ok || o.Version != version {
			return errors.WithStack(store.ErrConflict)
		}
		delete(s.objects, key)
		s.revision++
		s.record(key, store.Delete{Key: key, Revision: s.revision})
		return nil
	})
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix, after string) (p store.Page, err error) {
	err = s.call(ctx, false, func() error {
		var keys []string
		for key := range s.objects {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		p = store.Page{Revision: s.revision, More: len(keys) > pageLimit}
		for _, key := range keys[:min(len(keys), pageLimit)] {
			p.Objects = append(p.Objects, s.objects[key])
		}
		return nil
	})
	return p, err
}

// Hosts implements store.Store.
func (s *Store) Hosts(ctx context.Context) (out []store.Presence, err error) {
	err = s.call(ctx, false, func() error {
		out = append(out, s.hosts...)
		return nil
	})
	return out, err
}

// call runs do under the lock and applies the injected faults.
func (s *Store) call(ctx context.Context, write bool, do func() error) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if err := applyDelay(ctx, f); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(write)
	if s.faults.Outage {
		return errors.WithStack(store.ErrUnavailable)
	}
	if write && s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return errors.WithStack(store.ErrOutcomeUnknown)
	}
	err := do()
	if write && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return errors.WithStack(store.ErrOutcomeUnknown)
	}
	return err
}

func (s *Store) count(write bool) {
	if write {
		s.counts.Writes++
		return
	}
	s.counts.Reads++
}

// applyDelay delays a call as the faults demand. A call that reaches callTimeout
// before the delay ends has no effect and fails with store.ErrOutcomeUnknown.
func applyDelay(ctx context.Context, f Faults) error {
	if ctx.Err() != nil {
		return errors.Wrapf(store.ErrUnavailable, "%v", ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if f.Silent {
		<-ctx.Done()
		return errors.WithStack(store.ErrOutcomeUnknown)
	}
	if f.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(f.Delay):
		return nil
	case <-ctx.Done():
		return errors.WithStack(store.ErrOutcomeUnknown)
	}
}

// record appends a change to the history and wakes all watches. The caller holds
// the lock.
func (s *Store) record(key string, change store.Event) {
	s.history = append(s.history, event{key: key, revision: s.revision, change: change})
	s.wakeWatches()
}

// wakeWatches wakes all watches. The caller holds the lock.
func (s *Store) wakeWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
