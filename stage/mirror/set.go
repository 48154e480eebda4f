package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/relay"
	"jacinthstage/stage/wire"
)

// maxPageSize is the size in bytes of the largest page that is decoded, measured
// after decompression.
const maxPageSize = 64 << 20

// A Set holds a host's copies by kind. Its zero value is empty.
type Set struct {
	mu     sync.Mutex
	copies map[string]*Copy
}

// Open creates the copy of a kind. The copy calls apply with each page that is new
// in it; apply must not call the copy.
func (s *Set) Open(kind string, apply func(Page)) *Copy { return s.OpenOrdered(kind, nil, apply) }

// OpenOrdered creates the copy of a kind whose objects have an order of their own: in the
// copy none gives way to one of a lower order, and none is removed. The store, when it comes
// back from an older copy, may hold older ones than were acknowledged before.
func (s *Set) OpenOrdered(kind string, order func(Object) uint64, apply func(Page)) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies == nil {
		s.copies = make(map[string]*Copy)
	}
	c := &Copy{apply: apply, order: order}
	s.copies[kind] = c
	return c
}

// OrderedKinds returns the kinds that OpenOrdered created copies of.
func (s *Set) OrderedKinds() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for kind, c := range s.copies {
		if c.order != nil {
			out = append(out, kind)
		}
	}
	return out
}

func (s *Set) copy(kind string) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[kind]
}

// States returns the states of all copies of this host, by kind.
func (s *Set) States(now time.Time) []relay.CopyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []relay.CopyState
	for _, kind := range slices.Sorted(maps.Keys(s.copies)) {
		out = append(out, s.copies[kind].state(now, kind))
	}
	return out
}

// IsStale reports whether a copy is out of date, for instance because neither this host nor any that
// reads the store for it reaches the store.
func (s *Set) IsStale(now time.Time) bool {
	return s.any(func(c *Copy) bool { return c.isStale(now) })
}

// ReadsAlone reports whether this host reads a copy from the store since no other host passes it on.
func (s *Set) ReadsAlone(now time.Time) bool {
	return s.any(func(c *Copy) bool { return c.isReadHere(now) })
}

func (s *Set) any(holds func(*Copy) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		if holds(c) {
			return true
		}
	}
	return false
}

// Observe compares this host's copy of a kind with the state of another host's.
// It reports whether this host is behind, and the revision after which it lacks
// changes. A state that is at least as recent confirms this host's copy as recent.
func (s *Set) Observe(now time.Time, state relay.CopyState) (after uint64, behind bool) {
	c := s.copy(state.Kind)
	if c == nil {
		return 0, false
	}
	return c.observe(now, state)
}

// An encodedPage is the last page that was encoded. It is reused for the next host
// that lacks the same changes.
type encodedPage struct {
	after, revision uint64
	data            []byte
}

// EncodePage returns the compressed page of what a host with a copy at revision
// after lacks of a kind. It returns nil if this host has no objects of the kind to
// offer.
func (s *Set) EncodePage(kind string, after uint64) ([]byte, error) {
	c := s.copy(kind)
	if c == nil {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects == nil {
		return nil, nil
	}
	if p := c.encoded; p.data != nil && p.after == after && p.revision == c.revision {
		return p.data, nil
	}
	data, err := encode(c.pageSince(after))
	if err != nil {
		return nil, err
	}
	c.encoded = encodedPage{after: after, revision: c.revision, data: data}
	return data, nil
}

// ApplyPage updates a copy by a page that another host encoded for this one and
// that holds the changes after the given revision. The state is that of the other
// host's copy as received at the time received, before the page was requested.
// ApplyPage reports whether the page could be used.
func (s *Set) ApplyPage(state relay.CopyState, after uint64, received time.Time, data []byte) (bool, error) {
	c := s.copy(state.Kind)
	if c == nil {
		return false, nil
	}
	p, err := decode(data)
	if err != nil {
		return false, err
	}
	return c.update(p, after, currentTime(received, state), true), nil
}

// MergePage takes over the objects of a full page, which another host encoded, that are
// newer by the order of their kind. It reports whether there were any.
func (s *Set) MergePage(kind string, data []byte) (bool, error) {
	c := s.copy(kind)
	if c == nil {
		return false, nil
	}
	p, err := decode(data)
	if err != nil {
		return false, err
	}
	return c.merge(p), nil
}

func encode(p Page) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := cbor.NewEncoder(w).Encode(p); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

func decode(data []byte) (Page, error) {
	var p Page
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPageSize))
	if err == nil {
		err = wire.Unmarshal(text, &p)
	}
	return p, errors.Wrap(err, "mirror: decode page")
}
