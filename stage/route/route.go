// Package route chooses the runners to try for a request.
//
// Each adapter has an order of home runners, by rendezvous hashing of
// name@version over the runners of its service in the host's region, so that
// hosts agree without telling each other, and a runner that comes or leaves
// moves only its own adapters. The first Width of them serve the adapter; the
// width grows with its request rate and shrinks when it falls idle. Among them a
// prompt prefix leads to the same runner, and load hints decide against one that
// is full. Runners of other regions come last.
//
// A Table belongs to the control goroutine. Its Snapshot is for any goroutine:
// the order of each adapter is worked out once and kept.
package route

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/adapter"
)

// FallbackRunners is how many runners beyond an adapter's homes a request may try.
const FallbackRunners = 2

// distant is how many runners of other regions a request may try.
const distant = 2

// kept is how many adapters' orders a snapshot keeps.
const kept = 1 << 16

// A Runner is what routing knows of one runner.
type Runner struct {
	Name      string
	Region    string
	BatchSize int // requests that it runs at once
}

// A Query is the request to be routed.
type Query struct {
	Ref        adapter.Ref
	PrefixHash uint64 // hash of the prompt's head; 0 for none
	Salt       uint64 // differs between requests, for the random policy
}

// A Choice is a runner to try.
type Candidate struct {
	Name        string
	CrossRegion bool // in another region
}

// A Snapshot is one service's runners as seen from one region. It is safe for
// use by any number of goroutines.
type Snapshot struct {
	policy Policy
	widths map[adapter.Ref]int // of those wider than one
	ring   *ring
}

// A ring is a set of runners with the orders that were worked out for it. The
// snapshots between two changes of the runners share one.
type ring struct {
	near    []*cell
	core    []*cell // those of near that are homes; the others take what these can't
	far     []*cell
	cells   map[string]*cell
	orders  sync.Map // adapter.Ref to *order
	ordered atomic.Int64
}

// A cell is one runner, with its newest hint.
type cell struct {
	Runner
	hash uint64
	hint atomic.Pointer[Hint]
}

// A Hint is what a reply said of a runner.
type Hint struct {
	Waiting int       // requests queued
	Running int       // requests on the engine
	Expires time.Time // when the hint expires
}

// load returns the requests at the runner, as far as a hint tells.
func (c *cell) load(now time.Time) int {
	h := c.hint.Load()
	if h == nil || now.After(h.Expires) {
		return 0
	}
	return h.Waiting + h.Running
}

// An order is one adapter's runners, best home first.
type order struct {
	near []*cell
	far  []*cell
}

// Choose returns the runners to try, best first; none where there is no runner.
func (s *Snapshot) Choose(now time.Time, q Query) []Candidate {
	o := s.ring.order(q.Ref, s.width(q.Ref)+FallbackRunners)
	near := s.arrange(now, q, o)
	choices := make([]Candidate, 0, len(near)+len(o.far))
	for _, c := range near {
		choices = append(choices, Candidate{Name: c.Name})
	}
	for _, c := range o.far {
		choices = append(choices, Candidate{Name: c.Name, CrossRegion: true})
	}
	return choices
}

// order returns the adapter's runners by rendezvous hashing, at least n of its
// own region where there are as many.
func (r *ring) order(ref adapter.Ref, n int) *order {
	n = min(n, len(r.near))
	if v, ok := r.orders.Load(ref); ok {
		if o, ok := v.(*order); ok && len(o.near) >= n {
			return o
		}
	}
	hash := xxhash.Sum64String(ref.Name + "@" + ref.Version)
	o := &order{near: ranked(r.core, hash, n), far: ranked(r.far, hash, distant)}
	if more := n - len(o.near); more > 0 || len(r.core) < len(r.near) {
		o.near = r.spare(o.near, hash, n)
	}
	if r.ordered.Add(1) > kept {
		r.orders.Clear()
		r.ordered.Store(0)
	}
	r.orders.Store(ref, o)
	return o
}

// spare replaces the last Spare of n runners by those that are no homes.
func (r *ring) spare(homes []*cell, hash uint64, n int) []*cell {
	homes = homes[:min(len(homes), max(1, n-FallbackRunners))]
	for _, c := range ranked(r.near, hash, len(r.near)) {
		if len(homes) == n {
			break
		}
		if !slices.Contains(homes, c) && !slices.Contains(r.core, c) {
			homes = append(homes, c)
		}
	}
	for _, c := range ranked(r.core, hash, len(r.core)) {
		if len(homes) < n && !slices.Contains(homes, c) {
			homes = append(homes, c)
		}
	}
	return homes
}

// concentrated is the part of the runners that are no homes at weight 1.
const concentrated = 0.4

// core returns the runners that are homes: the fewer the higher the weight.
func core(near []*cell, weight float64) []*cell {
	n := len(near) - int(concentrated*weight*float64(len(near)))
	all := slices.Clone(near)
	slices.SortFunc(all, func(a, b *cell) int { return cmp.Compare(a.hash, b.hash) })
	return all[:n]
}

func (s *Snapshot) width(ref adapter.Ref) int { return max(1, s.widths[ref]) }

// ranked returns the n cells with the highest rendezvous weight for hash.
func ranked(cells []*cell, hash uint64, n int) []*cell {
	type weighed struct {
		*cell
		weight uint64
	}
	all := make([]weighed, len(cells))
	for i, c := range cells {
		all[i] = weighed{c, mix(hash, c.hash)}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	out := make([]*cell, min(n, len(all)))
	for i := range out {
		out[i] = all[i].cell
	}
	return out
}

// mix returns the rendezvous weight of two hashes, by the finalizer of
// splitmix64 over both.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// PreferredRunners returns the names of the adapter's homes, best first.
func (s *Snapshot) PreferredRunners(ref adapter.Ref) []string {
	near := s.ring.order(ref, s.width(ref)).near
	names := make([]string, 0, s.width(ref))
	for _, c := range near[:min(s.width(ref), len(near))] {
		names = append(names, c.Name)
	}
	return names
}

// SetHint keeps a hint until its time; a Table's later snapshots keep it too.
func (s *Snapshot) SetHint(runner string, hint Hint) {
	if c := s.ring.cells[runner]; c != nil {
		c.hint.Store(&hint)
	}
}
