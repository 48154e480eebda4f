// Package store is the port towards the platform's object API, which holds all
// that must last: configuration, leases, assignments and records of calls.
//
// Objects have versions of their own; every write is conditional, so that of
// two writers one wins. A write whose answer was lost has failed with
// ErrUnknown and may have taken effect: the caller settles it by reading back.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// The errors of a Store, to be tested with errors.Is.
var (
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("store: no such object")
	// ErrConflict says that a conditional write did not take effect since the object exists or has another version.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable says that the call was not carried out; a write did not take effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown says that no answer came; a write may have taken effect.
	ErrOutcomeUnknown = errors.New("store: answer lost")
	// ErrTooLarge says that a value is over MaxValue; the write did not take effect.
	ErrTooLarge = errors.New("store: value over the limit")
	// ErrCompacted says that a watch asked for a revision too old to serve: list again.
	ErrCompacted = errors.New("store: revision too old")
)

// An Object is one object at one version.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// A Change is an event of a watch: Put, Delete or Bookmark.
type Event interface{ change() }

// Put says that an object was created or updated.
type Put struct {
	Object   Object
	Revision uint64
}

// Delete says that an object was deleted.
type Delete struct {
	Key      string
	Revision uint64
}

// Bookmark says that a watch is alive and has delivered all up to Revision.
type Bookmark struct{ Revision uint64 }

func (Put) change()      {}
func (Delete) change()   {}
func (Bookmark) change() {}

// A Page is one answer of List: objects sorted by key, and the store's revision.
type Page struct {
	Objects  []Object
	Revision uint64
	More     bool
}

// A Presence is an entry of the platform's list of hosts and targets.
type Presence struct {
	Name  string
	State string // live, leaving or gone
	Kind  string // host or target
}

// Objects is the part of the object API that reads and writes objects. Every call
// ends by the context's deadline and by a deadline of the implementation's own.
type Objects interface {
	Get(ctx context.Context, key string) (Object, error)
	Create(ctx context.Context, key string, value []byte) (Object, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the objects whose keys start with prefix and sort behind after.
	List(ctx context.Context, prefix, after string) (Page, error)
}

// A Store is the platform's object API.
type Store interface {
	Objects
	// Watch calls change for each change behind revision until ctx ends or the
	// watch breaks or goes silent; it always returns an error.
	Watch(ctx context.Context, prefix string, revision uint64, change func(Event)) error
	// Hosts returns the platform's list of hosts and targets, which lags.
	Hosts(ctx context.Context) ([]Presence, error)
}
