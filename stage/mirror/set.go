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
)

// unpackedMost is the largest page that is unpacked, in bytes.
const unpackedMost = 64 << 20

// A Set is a host's copies by kind. Its zero value has none.
type Set struct {
	mu     sync.Mutex
	copies map[string]*Copy
}

// Open returns the copy of a kind, which is new; apply gets what is new in it and
// must not call the copy.
func (s *Set) Open(kind string, apply func(Page)) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies == nil {
		s.copies = make(map[string]*Copy)
	}
	c := &Copy{apply: apply}
	s.copies[kind] = c
	return c
}

func (s *Set) copy(kind string) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[kind]
}

// States tells how far this host has come with each kind.
func (s *Set) States(now time.Time) []relay.CopyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []relay.CopyState
	for _, kind := range slices.Sorted(maps.Keys(s.copies)) {
		out = append(out, s.copies[kind].head(now, kind))
	}
	return out
}

// Observe takes in how far another host has come with a kind. It reports whether
// this host lacks something of it, and from where on.
func (s *Set) Observe(now time.Time, h relay.CopyState) (after uint64, behind bool) {
	c := s.copy(h.Kind)
	if c == nil {
		return 0, false
	}
	return c.heard(now, h)
}

// packed is the last page that was packed, for the next host that lacks the same.
type packed struct {
	after, revision uint64
	data            []byte
}

// EncodePage returns what a host lacks of a kind that has come to a revision,
// compressed, nil where this host has no such kind.
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
	if p := c.packed; p.data != nil && p.after == after && p.revision == c.revision {
		return p.data, nil
	}
	data, err := pack(c.since(after))
	if err != nil {
		return nil, err
	}
	c.packed = packed{after: after, revision: c.revision, data: data}
	return data, nil
}

// ApplyPage takes in what another host packed for this one behind a revision; h is
// how far that one had come when it was asked. It reports whether the page
// could be taken.
func (s *Set) ApplyPage(h relay.CopyState, after uint64, heard time.Time, data []byte) (bool, error) {
	c := s.copy(h.Kind)
	if c == nil {
		return false, nil
	}
	p, err := unpack(data)
	if err != nil {
		return false, err
	}
	return c.take(p, after, asof(heard, h), true), nil
}

func pack(p Page) ([]byte, error) {
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

func unpack(data []byte) (Page, error) {
	var p Page
	r := flate.NewReader(bytes.NewReader(data))
	err := cbor.NewDecoder(io.LimitReader(r, unpackedMost)).Decode(&p)
	return p, errors.Wrap(err, "mirror: page")
}
