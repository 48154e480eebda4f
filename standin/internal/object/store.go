// Package object is the stand-in's object API: objects with versions,
// conditional writes, lists and watches.
//
// The store has one revision, which grows with each write; an object's version
// is the revision of its last write. The newest changes are kept for watches,
// and a watch from an older revision is refused as compacted.
package object

import (
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value, in bytes.
const MaxValueBytes = 1 << 20

// maxPage is the largest number of objects in one page of a list.
const maxPage = 1000

// maxHistory is the number of changes kept for watches.
const maxHistory = 20000

// The errors of a Store, to be tested with errors.Is.
var (
	ErrMissing   = errors.New("object: missing")
	ErrConflict  = errors.New("object: conflict")
	ErrCompacted = errors.New("object: revision too old")
)

// An Object is one object at one version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// A Change is one event of a watch; Kind is put, delete or bookmark.
type Change struct {
	Kind     string `json:"kind"`
	Key      string `json:"key,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// A Page is a part of a list.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`
}

// A Store holds objects in memory. The zero value is empty and ready.
type Store struct {
	mu             sync.Mutex
	objects        map[string]Object
	revision       uint64
	changes        []Change
	oldestRevision uint64 // the oldest revision a watch may start from
	changed        chan struct{}
}

// Get returns the object at key, or ErrMissing.
func (s *Store) Get(key string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return Object{}, ErrMissing
	}
	return object, nil
}

// Create makes an object, or fails with ErrConflict where there is one.
func (s *Store) Create(key string, value []byte) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		return Object{}, ErrConflict
	}
	return s.put(key, value), nil
}

// Update replaces the object's value where its version is the given one, else
// it fails with ErrConflict.
func (s *Store) Update(key string, version uint64, value []byte) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok || object.Version != version {
		return Object{}, ErrConflict
	}
	return s.put(key, value), nil
}

// Delete removes the object where its version is the given one, else it fails
// with ErrConflict.
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

// List returns the objects whose keys start with prefix and sort behind after,
// at most limit of them.
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
// the revision they lead up to, and a channel closed at the next change. It
// fails with ErrCompacted where changes after revision are no longer kept.
func (s *Store) Changes(prefix string, revision uint64) ([]Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.oldestRevision {
		return nil, 0, nil, ErrCompacted
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > revision })
	var found []Change
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return found, s.revision, s.changed, nil
}

// Compact drops the changes kept for watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.oldestRevision = nil, s.revision
}

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
