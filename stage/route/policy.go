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

// localCandidates returns the near runners to try, best first.
func (s *Snapshot) localCandidates(now time.Time, q Query, o *ranking) []*runnerState {
	switch s.policy.(type) {
	case Rendezvous, nil:
		return s.byPreference(now, q, o.local[:min(s.replicaCount(q.Ref)+FallbackRunners, len(o.local))])
	case Random:
		return topRanked(s.set.local, q.Salt, 1+FallbackRunners)
	case LeastLoaded:
		return s.leastLoaded(now, q)
	default:
		panic("route: unknown policy")
	}
}

// byPreference orders the homes by prefix, and moves the full ones behind the rest.
func (s *Snapshot) byPreference(now time.Time, q Query, near []*runnerState) []*runnerState {
	width := min(s.replicaCount(q.Ref), len(near))
	out := slices.Clone(near)
	if width > 1 {
		key := q.PrefixHash
		if key == 0 {
			key = q.Salt
		}
		slices.SortStableFunc(out[:width], func(a, b *runnerState) int {
			return cmp.Compare(rendezvousWeight(key, b.hash), rendezvousWeight(key, a.hash))
		})
	}
	slices.SortStableFunc(out, func(a, b *runnerState) int {
		return cmp.Compare(occupancy(now, a), occupancy(now, b))
	})
	return out
}

// occupancy ranks a runner by whether its places are taken, and its queue too.
func occupancy(now time.Time, c *runnerState) int {
	switch load := c.load(now); {
	case load < c.Batch:
		return 0
	case load < 2*c.Batch:
		return 1
	default:
		return 2
	}
}

// leastLoaded orders all runners by load, equal ones at random.
func (s *Snapshot) leastLoaded(now time.Time, q Query) []*runnerState {
	type loaded struct {
		*runnerState
		load int
	}
	all := make([]loaded, len(s.set.local))
	for i, c := range s.set.local {
		all[i] = loaded{c, c.load(now)}
	}
	slices.SortFunc(all, func(a, b loaded) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(rendezvousWeight(q.Salt, a.hash), rendezvousWeight(q.Salt, b.hash)))
	})
	out := make([]*runnerState, min(1+FallbackRunners, len(all)))
	for i := range out {
		out[i] = all[i].runnerState
	}
	return out
}
