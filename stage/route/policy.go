package route

import (
	"cmp"
	"slices"
	"time"
)

// A Policy selects how runners are chosen. It is one of Rendezvous, Random and
// LeastLoaded.
type Policy interface{ policy() }

// Rendezvous sends requests to the preferred runners of their adapter.
type Rendezvous struct {
	// Weight is between 0 and 1. 0 keeps load stalls short, 1 fills batches.
	Weight float64
}

// Random chooses runners at random.
type Random struct{}

// LeastLoaded chooses the runners with the fewest requests.
type LeastLoaded struct{}

func (Rendezvous) policy()  {}
func (Random) policy()      {}
func (LeastLoaded) policy() {}

// localCandidates returns the runners of the snapshot's own region to try, best
// first.
func (s *Snapshot) localCandidates(now time.Time, q Query, rk *ranking) []*runnerState {
	switch s.policy.(type) {
	case Rendezvous, nil:
		return s.byPreference(now, q, rk.local[:min(s.replicaCount(q.Ref)+FallbackRunners, len(rk.local))])
	case Random:
		return topRanked(s.set.local, q.Salt, 1+FallbackRunners)
	case LeastLoaded:
		return s.leastLoaded(now, q)
	default:
		panic("route: unknown policy")
	}
}

// byPreference orders the preferred runners among runners by prompt prefix (by
// salt where the request has no prefix), and moves runners that are full
// behind the others.
func (s *Snapshot) byPreference(now time.Time, q Query, runners []*runnerState) []*runnerState {
	replicas := min(s.replicaCount(q.Ref), len(runners))
	out := slices.Clone(runners)
	if replicas > 1 {
		key := q.PrefixHash
		if key == 0 {
			key = q.Salt
		}
		slices.SortStableFunc(out[:replicas], func(a, b *runnerState) int {
			return cmp.Compare(rendezvousWeight(key, b.hash), rendezvousWeight(key, a.hash))
		})
	}
	slices.SortStableFunc(out, func(a, b *runnerState) int {
		return cmp.Compare(occupancy(now, a), occupancy(now, b))
	})
	return out
}

// occupancy returns 0 for a runner with free batch slots, 1 for one whose batch
// slots are taken, and 2 for one whose queue is full as well, which is assumed
// at a load of twice its batch size.
func occupancy(now time.Time, r *runnerState) int {
	switch load := r.load(now); {
	case load < r.BatchSize:
		return 0
	case load < 2*r.BatchSize:
		return 1
	default:
		return 2
	}
}

// leastLoaded returns the runners with the lowest load, in random order where
// loads are equal.
func (s *Snapshot) leastLoaded(now time.Time, q Query) []*runnerState {
	type loaded struct {
		*runnerState
		load int
	}
	all := make([]loaded, len(s.set.local))
	for i, r := range s.set.local {
		all[i] = loaded{r, r.load(now)}
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
