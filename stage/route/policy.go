package route

import (
	"cmp"
	"slices"
	"time"
)

// A Policy is how runners are chosen: Homes, Random or Least.
type Policy interface{ policy() }

// Rendezvous prefers an adapter's home runners.
type Rendezvous struct {
	// Weight is between 0 and 1: 0 keeps load stalls short, 1 fills batches.
	Weight float64
}

// Random takes any runner.
type Random struct{}

// LeastLoaded takes the runner with the fewest requests.
type LeastLoaded struct{}

func (Rendezvous) policy()  {}
func (Random) policy()      {}
func (LeastLoaded) policy() {}

// arrange returns the near runners to try, best first.
func (s *Snapshot) arrange(now time.Time, q Query, o *order) []*cell {
	switch s.policy.(type) {
	case Rendezvous, nil:
		return s.homes(now, q, o.near[:min(s.width(q.Ref)+FallbackRunners, len(o.near))])
	case Random:
		return ranked(s.ring.near, q.Salt, 1+FallbackRunners)
	case LeastLoaded:
		return s.least(now, q)
	default:
		panic("route: unknown policy")
	}
}

// homes orders the homes by prefix, and moves the full ones behind the rest.
func (s *Snapshot) homes(now time.Time, q Query, near []*cell) []*cell {
	width := min(s.width(q.Ref), len(near))
	out := slices.Clone(near)
	if width > 1 {
		key := q.PrefixHash
		if key == 0 {
			key = q.Salt
		}
		slices.SortStableFunc(out[:width], func(a, b *cell) int {
			return cmp.Compare(mix(key, b.hash), mix(key, a.hash))
		})
	}
	slices.SortStableFunc(out, func(a, b *cell) int {
		return cmp.Compare(full(now, a), full(now, b))
	})
	return out
}

// full ranks a runner by whether its places are taken, and its queue too.
func full(now time.Time, c *cell) int {
	switch load := c.load(now); {
	case load < c.BatchSize:
		return 0
	case load < 2*c.BatchSize:
		return 1
	default:
		return 2
	}
}

// least orders all runners by load, equal ones at random.
func (s *Snapshot) least(now time.Time, q Query) []*cell {
	type loaded struct {
		*cell
		load int
	}
	all := make([]loaded, len(s.ring.near))
	for i, c := range s.ring.near {
		all[i] = loaded{c, c.load(now)}
	}
	slices.SortFunc(all, func(a, b loaded) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(mix(q.Salt, a.hash), mix(q.Salt, b.hash)))
	})
	out := make([]*cell, min(1+FallbackRunners, len(all)))
	for i := range out {
		out[i] = all[i].cell
	}
	return out
}
