// Package object implements the object store of the stand-in platform:
// versioned objects with conditional writes, lists and watches.
//
// The store has a single revision, which increases by one with each write; an
// object's version is the revision of its last write. The store keeps the most
// recent changes for watches and refuses a watch from an older revision as
// compacted.
package object

import (
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value, in bytes.
const MaxValueBytes = 1 << 20

// maxPage is the maximum number of objects in one page of a list.
const maxPage = 1000

// maxHistory is the maximum number of changes kept for watches.
const maxHistory = 20000

// Errors returned by a Store; test for them with errors.Is.
var (
	ErrMissing   = errors.New("object: missing")
	ErrConflict  = errors.New("object: conflict")
	ErrCompacted = errors.New("object: revision too old")
)

// An Object is one version of a stored value.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// A Change is one event of a watch. Kind is put, delete or bookmark.
type Change struct {
	Kind     string `json:"kind"`
	Key      string `json:"key,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// A Page is one page of a list. More reports whether objects follow.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`
}

// A Store holds objects in memory. The zero value is an empty store ready for use.
type Store struct {
	mu             sync.Mutex
	objects        map[string]Object
	revision       uint64
	changes        []Change
	oldestRevision uint64        // oldest revision that a watch may start from
	changed        chan struct{} // closed at the next change; nil if nobody waits
}

// Get returns the object at key, or ErrMissing if there is none.
func (s *Store) Get(key string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return Object{}, ErrMissing
	}
	return object, nil
}

// Create stores a new object. It fails with ErrConflict if the key exists.
func (s *Store) Create(key string, value []byte) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		return Object{}, ErrConflict
	}
	return s.put(key, value), nil
}

// Update replaces the object's value. It fails with ErrConflict unless the
// object has the given version.
func (s *Store) Update(key string, version uint64, value []byte) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok || object.Version != version {
		return Object{}, ErrConflict
	}
	return s.put(key, value), nil
}

// Delete removes the object. It fails with ErrConflict unless the object has
// the given version.
func (s *Store) Delete(key string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok || object.Version != version {
		return ErrConflict
	}
	delete(s.objects, key)
	s.revision++
	s.recordChange(Change{Kind: "delete", Key: key, Version: version, Revision: s.revision})
	return nil
}

// List returns the first objects, in key order, whose keys start with prefix and
// sort after the given key. A limit of zero or above maxPage means maxPage.
func (s *Store) List(prefix, after string, limit int) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	page := Page{Revision: s.revision, Objects: []Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Objects = append(page.Objects, object)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Key < page.Objects[j].Key })
	if len(page.Objects) > limit {
		page.Objects, page.More = page.Objects[:limit], true
	}
	return page
}

// Changes returns the changes after revision to keys that start with prefix,
// the store's current revision, and a channel that is closed at the next
// change. It fails with ErrCompacted if some changes after revision have been
// discarded.
func (s *Store) Changes(prefix string, revision uint64) ([]Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.oldestRevision {
		return nil, 0, nil, ErrCompacted
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > revision })
	var matching []Change
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			matching = append(matching, change)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return matching, s.revision, s.changed, nil
}

// Compact discards the changes kept for watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.oldestRevision = nil, s.revision
}

// put stores the value under a new version. The caller holds s.mu.
func (s *Store) put(key string, value []byte) Object {
	if s.objects == nil {
		s.objects = map[string]Object{}
	}
	s.revision++
	object := Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = object
	s.recordChange(Change{Kind: "put", Key: key, Version: object.Version, Revision: s.revision, Value: value})
	return object
}

// recordChange adds a change to the history and wakes the watches. A history
// over maxHistory loses its older half.
func (s *Store) recordChange(change Change) {
	s.changes = append(s.changes, change)
	if len(s.changes) > maxHistory {
		drop := maxHistory / 2
		s.oldestRevision = s.changes[drop-1].Revision
		s.changes = append([]Change(nil), s.changes[drop:]...)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
