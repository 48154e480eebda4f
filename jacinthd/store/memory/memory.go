// Package memory is a naive object API in the process's memory, for tests.
//
// Its faults are switched on by Faults and end by themselves or by another
// call. Waits use the package time, so that it works in a testing/synctest
// bubble.
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
	timeout  = 2 * time.Second // longest that a silent call waits
	silence  = 3 * time.Second // longest that a silent watch waits
	bookmark = time.Second     // between bookmarks of a watch
	limit    = 200             // objects in one answer of List
)

// Faults are the switches. The zero value is a sound store.
type Faults struct {
	Outage      bool          // each call fails with store.ErrUnavailable and watches end
	Silent      bool          // calls get no answer and take no effect; watches get no event
	LoseAnswers int           // number of next writes that take effect and whose answer is lost
	DropWrites  int           // number of next writes that take no effect and whose answer is lost
	Delay       time.Duration // added to each call
}

// Counts are the calls that reached the store since it was made.
type Counts struct{ Reads, Writes, Watches int }

// An event is a change with its key, for the prefix of a watch.
type event struct {
	key      string
	revision uint64
	change   store.Event
}

// A Store is an object API. The zero value is empty and ready for use.
type Store struct {
	mu        sync.Mutex
	objects   map[string]store.Object
	revision  uint64
	history   []event
	compacted uint64 // highest revision that history no longer has
	hosts     []store.Presence
	faults    Faults
	counts    Counts
	changed   chan struct{} // closed at each change, then replaced
}

var _ store.Store = (*Store)(nil)

// SetFaults sets the switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact forgets the changes so far: watches behind them fail with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// SetPresence puts the entry into the list of hosts and targets.
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
		found, ok := s.objects[key]
		if !ok {
			return errors.WithStack(store.ErrNotFound)
		}
		o = found
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
		p = store.Page{Revision: s.revision, More: len(keys) > limit}
		for _, key := range keys[:min(len(keys), limit)] {
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

// call runs do under the lock, with the faults that are switched on.
func (s *Store) call(ctx context.Context, write bool, do func() error) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if err := wait(ctx, f); err != nil {
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

// wait holds a call back while the store is slow or silent.
func wait(ctx context.Context, f Faults) error {
	if ctx.Err() != nil {
		return errors.Wrapf(store.ErrUnavailable, "%v", ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// record keeps a change for watches and wakes them; the lock is held.
func (s *Store) record(key string, change store.Event) {
	s.history = append(s.history, event{key: key, revision: s.revision, change: change})
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
