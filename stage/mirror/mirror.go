// Package mirror keeps copies of kinds of the platform's objects, which a host
// reads from the platform's store or takes over from another host.
//
// A Copy takes lists and changes from whoever reads the store, and pages from
// other hosts. It hands on what is new, in order, and holds the objects as they
// were spelled. It knows when it was the newest state for sure. As long as
// another host, which reads the store, shows that the copy is recent, it needs
// not be read from the store.
package mirror

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthstage/stage/relay"
)

const (
	// freshMost is how long a copy goes without the store after it was the newest
	// state for sure.
	freshMost = 2600 * time.Millisecond
	// keptMost is the number of bytes of past changes that a copy holds; who is
	// farther behind gets all objects.
	keptMost = 128 << 10
	// keptBatches is the number of answers of the store whose changes it holds.
	keptBatches = 64
)

// An Object is one object, or its removal.
type Object struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64 // of its last change
	Body     []byte // its content as the store spelled it
	Removed  bool
}

func (o Object) equal(other Object) bool {
	return o.Revision == other.Revision && bytes.Equal(o.Body, other.Body)
}

// A Page is what a copy lacked: all objects where Whole is set, otherwise the
// changes up to Revision in order.
type Page struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Full     bool
	Objects  []Object
}

// A Copy is one kind of objects. It may be used by several goroutines at once.
type Copy struct {
	apply func(Page)

	mu       sync.Mutex
	objects  map[string]Object // nil before the first list
	revision uint64            // up to which it is complete
	changed  uint64            // of the last change
	floor    uint64            // the changes behind it are all in batches
	batches  []batch
	kept     int // bytes in batches
	asof     time.Time
	told     time.Time // the same, as other hosts showed
	packed   packed
}

type batch struct {
	revision uint64
	objects  []Object
	size     int
}

// Update takes in a page of the changes behind a revision, or of all objects, that
// was the newest state at asof. It reports whether the page could be taken: it
// followed on what the copy had.
func (c *Copy) Update(p Page, after uint64, asof time.Time) bool {
	return c.take(p, after, asof, false)
}

func (c *Copy) take(p Page, after uint64, asof time.Time, told bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !p.Full && (c.objects == nil || after > c.revision):
		return false
	case p.Revision < c.revision:
		return true
	}
	c.confirm(asof, told)
	switch {
	case p.Full:
		same := c.objects != nil && maps.EqualFunc(c.objects, p.byName(), Object.equal)
		if same && p.Revision == c.revision {
			return true
		}
		// Where nothing is new here, others may still lack changes there and back.
		c.replace(p)
		if same {
			return true
		}
	case p.Revision == c.revision || len(p.Objects) == 0:
		c.revision = p.Revision
		return true
	default:
		c.append(p)
	}
	c.apply(p)
	return true
}

func (c *Copy) confirm(asof time.Time, told bool) {
	if asof.After(c.asof) {
		c.asof = asof
	}
	if told && asof.After(c.told) {
		c.told = asof
	}
}

func (p Page) byName() map[string]Object {
	out := make(map[string]Object, len(p.Objects))
	for _, o := range p.Objects {
		out[o.Name] = o
	}
	return out
}

func (c *Copy) replace(p Page) {
	c.objects = p.byName()
	c.batches, c.kept, c.floor = nil, 0, p.Revision
	c.revision, c.changed = p.Revision, p.Revision
}

func (c *Copy) append(p Page) {
	size := 0
	for _, o := range p.Objects {
		size += len(o.Body) + len(o.Name)
		if o.Removed {
			delete(c.objects, o.Name)
			continue
		}
		c.objects[o.Name] = o
	}
	c.revision, c.changed = p.Revision, p.Revision
	c.batches = append(c.batches, batch{p.Revision, p.Objects, size})
	c.kept += size
	for len(c.batches) > 0 && (c.kept > keptMost || len(c.batches) > keptBatches) {
		c.floor = c.batches[0].revision
		c.kept -= c.batches[0].size
		c.batches = c.batches[1:]
	}
}

// since returns what a copy lacks that has come to a revision, all objects where
// this one no longer has each change behind it.
func (c *Copy) since(revision uint64) Page {
	p := Page{Revision: c.revision}
	if revision < c.floor {
		p.Full = true
		for _, name := range slices.Sorted(maps.Keys(c.objects)) {
			p.Objects = append(p.Objects, c.objects[name])
		}
		return p
	}
	for _, b := range c.batches {
		if b.revision > revision {
			p.Objects = append(p.Objects, b.objects...)
		}
	}
	return p
}

// Revision returns the revision up to which the copy is complete, 0 before the
// first list.
func (c *Copy) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// RefreshDue returns when the copy has to be read from the store again, zero where
// nobody else keeps it recent.
func (c *Copy) RefreshDue() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told.IsZero() || c.objects == nil {
		return time.Time{}
	}
	return c.told.Add(freshMost)
}

// head tells how far the copy has come.
func (c *Copy) head(now time.Time, kind string) relay.CopyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return relay.CopyState{Kind: kind, Revision: c.revision, LastChange: c.changed, Age: uint64(max(0, now.Sub(c.asof)).Milliseconds())}
}

// heard takes in how far another host has come. It reports whether the copy
// lacks something of it, and from where on.
func (c *Copy) heard(now time.Time, h relay.CopyState) (after uint64, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.LastChange > c.revision || c.objects == nil {
		return c.revision, h.Revision > 0
	}
	if h.Revision >= c.revision {
		c.revision = h.Revision
		c.confirm(asof(now, h), true)
	}
	return c.revision, false
}

// asof returns when a head was the newest state for sure.
func asof(now time.Time, h relay.CopyState) time.Time {
	return now.Add(-time.Duration(h.Age) * time.Millisecond)
}

// A Pace is what the pace of reading the store depends on.
type ReaderInfo struct {
	Readers       int  // hosts that read it
	ServesOthers  bool // other hosts rely on what this one reads
	ServedByOther bool // another host usually reads for this one
}
