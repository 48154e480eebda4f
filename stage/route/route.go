// Package route chooses the runners to try for a request.
//
// Each adapter has a ranking of preferred runners: rendezvous hashing of
// name@version over the runners of its service in the host's region. Hosts
// therefore agree without communicating, and adding or removing a runner moves
// only the adapters of that runner. The first runners of the ranking, as many
// as the adapter has replicas, serve it; the number of replicas grows with the
// adapter's request rate and shrinks when the rate falls. Among them, requests
// with the same prompt prefix go to the same runner, unless load hints show
// that it is full. Runners of other regions come last.
//
// A Table belongs to the control goroutine. Its Snapshot is safe for use by any
// goroutine; it computes the ranking of each adapter once and caches it.
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

// FallbackRunners is the number of runners that a request may try beyond the
// preferred runners of its adapter.
const FallbackRunners = 2

// maxRemoteRunners is the number of runners of other regions that a request may
// try.
const maxRemoteRunners = 2

// maxRankings bounds the number of cached rankings. The cache is cleared when it
// is exceeded.
const maxRankings = 1 << 16

// A Runner describes one runner for routing.
type Runner struct {
	Name      string
	Region    string
	BatchSize int // requests that the runner processes at once
}

// A Query describes the request to be routed.
type Query struct {
	Ref        adapter.Ref
	PrefixHash uint64 // hash of the start of the prompt; 0 for none
	Salt       uint64 // differs between requests; randomizes choices between them
}

// A Candidate is a runner to try for a request.
type Candidate struct {
	Name        string
	CrossRegion bool // whether the runner is in another region
}

// A Snapshot holds the runners of one service as seen from one region. It is
// safe for concurrent use.
type Snapshot struct {
	policy   Policy
	replicas map[adapter.Ref]int // number of replicas of adapters that have more than one
	set      *runnerSet
}

// A runnerSet is a set of runners with the rankings computed for it. Snapshots
// taken between two changes of the runners share one runnerSet.
type runnerSet struct {
	local        []*runnerState
	preferred    []*runnerState // the runners of local that can be preferred; the others only take overflow
	remote       []*runnerState
	byName       map[string]*runnerState
	rankings     sync.Map // adapter.Ref to *ranking
	rankingCount atomic.Int64
}

// A runnerState is one runner with its latest load hint.
type runnerState struct {
	Runner
	hash     uint64
	loadHint atomic.Pointer[Hint]
}

// A Hint is the load of a runner as reported in a reply.
type Hint struct {
	Waiting int       // requests queued
	Running int       // requests on the engine
	Expires time.Time // last time at which the hint is used
}

// load returns the number of requests at the runner according to its hint, and 0
// without a valid hint.
func (r *runnerState) load(now time.Time) int {
	h := r.loadHint.Load()
	if h == nil || now.After(h.Expires) {
		return 0
	}
	return h.Waiting + h.Running
}

// A ranking is the list of runners of one adapter, most preferred first.
type ranking struct {
	local  []*runnerState
	remote []*runnerState
}

// Choose returns the runners to try, best first. It returns none if the service
// has no runner.
func (s *Snapshot) Choose(now time.Time, q Query) []Candidate {
	rk := s.set.ranking(q.Ref, s.replicaCount(q.Ref)+FallbackRunners)
	local := s.localCandidates(now, q, rk)
	candidates := make([]Candidate, 0, len(local)+len(rk.remote))
	for _, r := range local {
		candidates = append(candidates, Candidate{Name: r.Name})
	}
	for _, r := range rk.remote {
		candidates = append(candidates, Candidate{Name: r.Name, CrossRegion: true})
	}
	return candidates
}

// ranking returns the adapter's runners by rendezvous hashing, with at least n
// local runners if there are that many.
func (s *runnerSet) ranking(ref adapter.Ref, n int) *ranking {
	n = min(n, len(s.local))
	if v, ok := s.rankings.Load(ref); ok {
		if rk, ok := v.(*ranking); ok && len(rk.local) >= n {
			return rk
		}
	}
	hash := xxhash.Sum64String(ref.Name + "@" + ref.Version)
	rk := &ranking{local: topRanked(s.preferred, hash, n), remote: topRanked(s.remote, hash, maxRemoteRunners)}
	if missing := n - len(rk.local); missing > 0 || len(s.preferred) < len(s.local) {
		rk.local = s.addFallbacks(rk.local, hash, n)
	}
	if s.rankingCount.Add(1) > maxRankings {
		s.rankings.Clear()
		s.rankingCount.Store(0)
	}
	s.rankings.Store(ref, rk)
	return rk
}

// addFallbacks replaces the last FallbackRunners of n runners by runners that
// are not preferred for any adapter, and fills up to n with preferred ones.
func (s *runnerSet) addFallbacks(runners []*runnerState, hash uint64, n int) []*runnerState {
	runners = runners[:min(len(runners), max(1, n-FallbackRunners))]
	for _, r := range topRanked(s.local, hash, len(s.local)) {
		if len(runners) == n {
			break
		}
		if !slices.Contains(runners, r) && !slices.Contains(s.preferred, r) {
			runners = append(runners, r)
		}
	}
	for _, r := range topRanked(s.preferred, hash, len(s.preferred)) {
		if len(runners) < n && !slices.Contains(runners, r) {
			runners = append(runners, r)
		}
	}
	return runners
}

// fallbackShare is the share of the local runners that are not preferred for any
// adapter at weight 1.
const fallbackShare = 0.4

// preferredRunners returns the local runners that can be preferred for an
// adapter. The higher the weight, the fewer they are.
func preferredRunners(local []*runnerState, weight float64) []*runnerState {
	n := len(local) - int(fallbackShare*weight*float64(len(local)))
	all := slices.Clone(local)
	slices.SortFunc(all, func(a, b *runnerState) int { return cmp.Compare(a.hash, b.hash) })
	return all[:n]
}

func (s *Snapshot) replicaCount(ref adapter.Ref) int { return max(1, s.replicas[ref]) }

// topRanked returns the n runners with the highest rendezvous weight for hash.
func topRanked(runners []*runnerState, hash uint64, n int) []*runnerState {
	type weighted struct {
		*runnerState
		weight uint64
	}
	all := make([]weighted, len(runners))
	for i, r := range runners {
		all[i] = weighted{r, rendezvousWeight(hash, r.hash)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	out := make([]*runnerState, min(n, len(all)))
	for i := range out {
		out[i] = all[i].runnerState
	}
	return out
}

// rendezvousWeight returns the rendezvous weight of two hashes. It applies the
// finalizer of splitmix64 to both.
func rendezvousWeight(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// PreferredRunners returns the names of the adapter's preferred runners, best
// first.
func (s *Snapshot) PreferredRunners(ref adapter.Ref) []string {
	local := s.set.ranking(ref, s.replicaCount(ref)).local
	names := make([]string, 0, s.replicaCount(ref))
	for _, r := range local[:min(s.replicaCount(ref), len(local))] {
		names = append(names, r.Name)
	}
	return names
}

// SetHint sets the load hint of a runner until the hint expires. Later snapshots
// of the same Table see it too.
func (s *Snapshot) SetHint(runner string, hint Hint) {
	if r := s.set.byName[runner]; r != nil {
		r.loadHint.Store(&hint)
	}
}
