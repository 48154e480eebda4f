// Package store defines the interface to the platform's object API, which holds
// all durable state: configuration, leases, assignments and records of calls.
//
// Each object has its own version and every write is conditional on it, so of two
// concurrent writers one succeeds. A write whose response was lost fails with
// ErrOutcomeUnknown and may have taken effect; the caller reads the object to
// find out.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValue is the maximum size of an object's value, in bytes.
const MaxValue = 1 << 20

// The errors of a Store, for use with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict means that a conditional write did not take effect because the
	// object exists or has another version.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the call was not carried out. A write did not take
	// effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that no response arrived. A write may have taken
	// effect.
	ErrOutcomeUnknown = errors.New("store: no response, outcome unknown")
	// ErrTooLarge means that a value is larger than MaxValue. The write did not take
	// effect.
	ErrTooLarge = errors.New("store: value too large")
	// ErrCompacted means that a watch asked for a revision that is no longer
	// available. The client must list the objects again.
	ErrCompacted = errors.New("store: revision compacted")
)

// An Object is an object at one version.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// An Event is an event of a watch: Put, Delete or Bookmark.
type Event interface{ event() }

// Put reports that an object was created or updated.
type Put struct {
	Object   Object
	Revision uint64
}

// Delete reports that an object was deleted.
type Delete struct {
	Key      string
	Revision uint64
}

// Bookmark reports that a watch is alive and has delivered all events up to
// Revision.
type Bookmark struct{ Revision uint64 }

func (Put) event()      {}
func (Delete) event()   {}
func (Bookmark) event() {}

// A Page is one page of the result of List.
type Page struct {
	Objects  []Object // sorted by key
	Revision uint64   // revision of the store
	More     bool     // whether more objects follow
}

// A Presence is an entry in the platform's list of hosts and targets.
type Presence struct {
	Name  string
	State string // live, leaving or gone
	Kind  string // host or target
}

// Objects reads and writes objects. Each call ends by the deadline of its context
// and by a timeout of the implementation.
type Objects interface {
	Get(ctx context.Context, key string) (Object, error)
	Create(ctx context.Context, key string, value []byte) (Object, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	Delete(ctx context.Context, key string, version uint64) error
	// List returns a page of the objects whose keys start with prefix and sort after
	// the key after.
	List(ctx context.Context, prefix, after string) (Page, error)
}

// A Store is the platform's object API.
type Store interface {
	Objects
	// Watch calls handle for each event after revision until ctx ends, or the watch
	// fails or receives nothing for too long. It always returns an error.
	Watch(ctx context.Context, prefix string, revision uint64, handle func(Event)) error
	// Hosts returns the platform's list of hosts and targets. The list lags behind
	// their actual state.
	Hosts(ctx context.Context) ([]Presence, error)
}
