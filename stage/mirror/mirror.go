// Package mirror keeps copies of kinds of the platform's objects, which a host
// reads from the platform's store or gets from another host.
//
// A Copy is updated by lists and changes that its host reads from the store, and
// by pages from other hosts. It passes on what is new, in order, and holds the
// objects byte for byte as the store encoded them. It knows the last time at which
// it was certainly the newest state. As long as another host that reads the store
// shows that the copy is recent, the copy need not be read from the store.
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
	// maxUnreadAge is how long a copy goes without being read from the store after
	// another host last showed that it was the newest state.
	maxUnreadAge = 2600 * time.Millisecond
	// maxBatchBytes is the number of bytes of past changes that a copy holds. A
	// host that is farther behind gets all objects.
	maxBatchBytes = 128 << 10
	// maxBatches is the number of responses of the store whose changes a copy holds.
	maxBatches = 64
)

// An Object is one object, or its removal.
type Object struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64 // revision of its last change
	Body     []byte // its content as the store encoded it
	Removed  bool
}

func (o Object) equal(other Object) bool {
	return o.Revision == other.Revision && bytes.Equal(o.Body, other.Body)
}

// A Page is what a copy lacks: all objects if Full is set, otherwise the changes
// up to Revision, in order.
type Page struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Full     bool
	Objects  []Object
	// Unseen is the last time before the page at which the copy was certainly the newest state,
	// zero in the first page: what is new in the page was written after it. In a full page,
	// changes since then may be missing.
	Unseen time.Time `cbor:"-"`
}

// A Copy is a copy of all objects of one kind. It is safe for concurrent use.
type Copy struct {
	apply func(Page)
	order func(Object) uint64 // nil if the order of changes is that of revisions

	mu         sync.Mutex
	objects    map[string]Object // nil before the first list
	revision   uint64            // revision up to which the copy is complete
	lastChange uint64            // revision of the last change
	floor      uint64            // batches hold all changes after this revision
	batches    []batch
	batchBytes int       // total size of batches
	currentAt  time.Time // last time at which the copy was certainly the newest state
	// peerCurrentAt is the same as currentAt, counting only what other hosts showed.
	peerCurrentAt time.Time
	encoded       encodedPage
}

// A batch is the changes of one page.
type batch struct {
	revision uint64
	objects  []Object
	size     int
}

// Update updates the copy by a page that was read from the store and was the
// newest state at asOf. The page holds the changes after the revision after, or
// all objects. Update reports whether the page could be used. One that does not
// follow on from the state of the copy cannot; one that is older than the copy
// changes nothing.
func (c *Copy) Update(p Page, after uint64, asOf time.Time) bool {
	return c.update(p, after, asOf, false)
}

func (c *Copy) update(p Page, after uint64, asOf time.Time, fromPeer bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !p.Full && (c.objects == nil || after > c.revision):
		return false
	case p.Revision < c.revision:
		return true
	}
	p.Unseen = c.currentAt
	c.confirm(asOf, fromPeer)
	switch {
	case p.Full:
		same := c.objects != nil && maps.EqualFunc(c.objects, p.byName(), Object.equal)
		if same && p.Revision == c.revision {
			return true
		}
		// Even if the objects are the same here, changes that cancelled each other
		// out may lie between, which other hosts saw only in part. So the batches
		// are dropped, hosts that are behind get all objects, and the page is passed on.
		c.replace(p)
	case p.Revision == c.revision || len(p.Objects) == 0:
		c.revision = p.Revision
		return true
	default:
		p.Objects = c.appendChanges(p)
		if len(p.Objects) == 0 {
			return true
		}
	}
	c.apply(p)
	return true
}

// confirm records that the copy was the newest state at asOf.
func (c *Copy) confirm(asOf time.Time, fromPeer bool) {
	if asOf.After(c.currentAt) {
		c.currentAt = asOf
	}
	if fromPeer && asOf.After(c.peerCurrentAt) {
		c.peerCurrentAt = asOf
	}
}

// isStale reports whether the copy hasn't been read yet, or hasn't been confirmed as the newest state
// for so long that it has to be read from the store.
func (c *Copy) isStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects == nil || now.Sub(c.currentAt) > maxUnreadAge
}

// isReadHere reports whether the copy is recent because this host reads it from the store, and no
// other host has shown that it is.
func (c *Copy) isReadHere(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects != nil && now.Sub(c.currentAt) <= maxUnreadAge && now.Sub(c.peerCurrentAt) > maxUnreadAge
}

func (p Page) byName() map[string]Object {
	out := make(map[string]Object, len(p.Objects))
	for _, o := range p.Objects {
		out[o.Name] = o
	}
	return out
}

// replace replaces all objects by those of a full page.
func (c *Copy) replace(p Page) {
	objects := p.byName()
	for name, known := range c.objects {
		if listed, ok := objects[name]; c.order != nil && (!ok || c.order(known) > c.order(listed)) {
			objects[name] = known
		}
	}
	c.objects, c.encoded = objects, encodedPage{}
	c.batches, c.batchBytes, c.floor = nil, 0, p.Revision
	c.revision, c.lastChange = p.Revision, p.Revision
}

// appendChanges applies the changes of a page and keeps them as a batch. It returns those that are
// news to this copy; the batch holds them all, since the copies of other hosts may lack them.
func (c *Copy) appendChanges(p Page) []Object {
	size := 0
	news := make([]Object, 0, len(p.Objects))
	for _, o := range p.Objects {
		size += len(o.Body) + len(o.Name)
		if c.isKnown(o) {
			continue
		}
		news = append(news, o)
		switch {
		case o.Removed && c.order == nil:
			delete(c.objects, o.Name)
		case !o.Removed && c.isNewer(o):
			c.objects[o.Name] = o
		}
	}
	c.revision, c.lastChange = p.Revision, p.Revision
	c.batches = append(c.batches, batch{p.Revision, p.Objects, size})
	c.batchBytes += size
	for len(c.batches) > 0 && (c.batchBytes > maxBatchBytes || len(c.batches) > maxBatches) {
		c.floor = c.batches[0].revision
		c.batchBytes -= c.batches[0].size
		c.batches = c.batches[1:]
	}
	return news
}

// isKnown reports whether the copy holds the state after a change, or a later one. The pages of a
// list are read one after the other, and its revision is that of the first: the later ones hold
// changes that are told again after that revision. A removal of unknown revision counts.
func (c *Copy) isKnown(o Object) bool {
	known, ok := c.objects[o.Name]
	switch {
	case !ok || c.order != nil:
		return false
	case o.Removed:
		return o.Revision > 0 && o.Revision < known.Revision
	default:
		return o.Revision <= known.Revision && o.Revision > 0
	}
}

// isNewer reports whether an object may replace the one with its name.
func (c *Copy) isNewer(o Object) bool {
	known, ok := c.objects[o.Name]
	return c.order == nil || !ok || c.order(o) >= c.order(known)
}

// merge takes over the objects of a full page of another host that are newer by the copy's
// own order, whatever the revisions. It reports whether there were any.
func (c *Copy) merge(p Page) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	newer := Page{Revision: c.revision} // written before the store lost it: when isn't known
	for _, o := range p.Objects {
		known, ok := c.objects[o.Name]
		if c.order == nil || o.Removed || ok && c.order(o) <= c.order(known) {
			continue
		}
		if c.objects == nil {
			c.objects = make(map[string]Object)
		}
		c.objects[o.Name] = o
		newer.Objects = append(newer.Objects, o)
	}
	if len(newer.Objects) == 0 {
		return false
	}
	// The changes that are kept lack the merged objects.
	c.batches, c.batchBytes, c.floor, c.encoded = nil, 0, c.revision, encodedPage{}
	c.apply(newer)
	return true
}

// pageSince returns what a copy at the given revision lacks. The page is full if
// this copy no longer holds every change after that revision.
func (c *Copy) pageSince(revision uint64) Page {
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

// Revision returns the revision up to which the copy is complete, or 0 before the
// first list.
func (c *Copy) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// RefreshDue returns the time at which the copy has to be read from the store
// again. It is zero if no other host keeps the copy recent.
func (c *Copy) RefreshDue() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerCurrentAt.IsZero() || c.objects == nil {
		return time.Time{}
	}
	return c.peerCurrentAt.Add(maxUnreadAge)
}

// state returns the state of the copy, to be reported to other hosts.
func (c *Copy) state(now time.Time, kind string) relay.CopyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return relay.CopyState{Kind: kind, Revision: c.revision, LastChange: c.lastChange, Age: uint64(max(0, now.Sub(c.currentAt)).Milliseconds())}
}

// observe compares the copy with the state of another host's copy. It reports
// whether this copy is behind, and the revision after which it lacks changes. A
// state that is at least as recent confirms this copy as recent.
func (c *Copy) observe(now time.Time, s relay.CopyState) (after uint64, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.LastChange > c.revision || c.objects == nil {
		return c.revision, s.Revision > 0
	}
	if s.Revision >= c.revision {
		c.revision = s.Revision
		c.confirm(currentTime(now, s), true)
	}
	return c.revision, false
}

// currentTime returns the last time at which a copy, whose state was received at
// now, was certainly the newest state.
func currentTime(now time.Time, s relay.CopyState) time.Time {
	return now.Add(-time.Duration(s.Age) * time.Millisecond)
}

// ReaderInfo is what the frequency of reading the store depends on.
type ReaderInfo struct {
	Hosts         int  // all hosts
	Readers       int  // hosts that read the store
	ServesOthers  bool // other hosts rely on what this one reads
	ServedByOther bool // another host usually reads for this one
	Known         bool // all hosts are known; else the numbers are guesses
}
