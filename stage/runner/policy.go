package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
)

// A group is the requests that wait for one adapter.
type group struct {
	queue.Group
	claim queue.CallerWeight // of the caller that has had the fewest loads
	level float64            // that caller's level
}

// ahead is how many loads by weight a caller may be ahead of the least served
// one before its loads go after those of others.
const ahead = 1

// over reports whether all the group's callers are ahead of the others.
func (r *Runner) over(g group) bool { return r.shares.Exceeds(g.claim.Caller, ahead) }

// wanted returns the groups whose adapter is in no slot.
func (r *Runner) wanted() []group {
	var list []group
	for _, g := range r.queue.Groups() {
		if r.table.State(g.Ref) == slot.Empty {
			list = append(list, group{Group: g})
		}
	}
	r.shares.Advance(func(yield func(string) bool) {
		for _, g := range list {
			for _, c := range g.Callers {
				if !yield(c.Caller) {
					return
				}
			}
		}
	})
	for i := range list {
		list[i].claim, list[i].level = r.least(list[i].Callers)
	}
	return list
}

func (r *Runner) least(claims []queue.CallerWeight) (queue.CallerWeight, float64) {
	best, level := claims[0], r.shares.Usage(claims[0].Caller)
	for _, c := range claims[1:] {
		if l := r.shares.Usage(c.Caller); l < level {
			best, level = c, l
		}
	}
	return best, level
}

// A Policy is how a runner chooses loads and evictions: Aged or Recent.
type Policy interface{ policy() }

// AgedLFU loads for the most waiting requests first, then the nearest deadline,
// and evicts the adapter with the lowest request rate, which ages.
type AgedLFU struct {
	// Weight is between 0 and 1: 0 keeps load stalls short, 1 fills batches.
	Weight float64
}

// LRU loads in the order of arrival and evicts the least recently used.
type LRU struct{}

func (AgedLFU) policy() {}
func (LRU) policy()     {}

// longWait is the wait after which a load goes before those for more requests,
// and closes a slot for itself.
const longWait = 2 * time.Second

// choose returns the group whose adapter is worth loading first.
func (r *Runner) choose(now time.Time) (group, bool) {
	var best group
	found := false
	for _, g := range r.wanted() {
		if until := r.blocked(g.Ref); now.Before(until) {
			r.at(until)
			continue
		}
		if !found || r.prefers(now, g, best) {
			best, found = g, true
		}
	}
	return best, found
}

func (r *Runner) prefers(now time.Time, a, b group) bool {
	switch r.Policy.(type) {
	case LRU:
		return a.Oldest.Before(b.Oldest)
	case AgedLFU, nil:
		return r.worthMore(now, a, b)
	default:
		panic("runner: unknown policy")
	}
}

func (r *Runner) worthMore(now time.Time, a, b group) bool {
	la, lb := now.Sub(a.Oldest) > longWait, now.Sub(b.Oldest) > longWait
	da, db := r.promises.due(now, a.Ref), r.promises.due(now, b.Ref)
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case r.over(a) != r.over(b):
		return r.over(b)
	case da != db:
		return da
	case la != lb:
		return la
	case a.Waiting != b.Waiting:
		return a.Waiting > b.Waiting
	default:
		return a.Deadline.Before(b.Deadline)
	}
}

// victim returns the adapter to evict for a load.
func (r *Runner) victim(now time.Time) (adapter.Ref, bool) {
	var best adapter.Ref
	found := false
	for _, ref := range r.evictable() {
		if !found || r.less(now, ref, best) {
			best, found = ref, true
		}
	}
	return best, found
}

// less reports whether a is worth less in its slot than b.
func (r *Runner) less(now time.Time, a, b adapter.Ref) bool {
	wa, wb := r.queue.Group(a).Waiting, r.queue.Group(b).Waiting
	switch r.Policy.(type) {
	case LRU:
		return r.demand.last(a).Before(r.demand.last(b))
	case AgedLFU, nil:
		if (wa > 0) != (wb > 0) {
			return wb > 0
		}
		return r.demand.rate(now, a) < r.demand.rate(now, b)
	default:
		panic("runner: unknown policy")
	}
}

// drain closes a slot for g, where it has waited long and none is closing.
func (r *Runner) drain(now time.Time, g group) {
	if len(r.closing) > 0 {
		return
	}
	if start := g.Oldest.Add(longWait); now.Before(start) {
		r.at(start)
		return
	}
	var worst adapter.Ref
	found := false
	for _, ref := range r.table.InState(slot.Resident) {
		if !found || r.less(now, ref, worst) {
			worst, found = ref, true
		}
	}
	if found {
		r.closing[worst] = true
	}
}
