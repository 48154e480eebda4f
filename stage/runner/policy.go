package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
)

// A group is the set of requests that wait for one adapter.
type group struct {
	queue.Group
	caller queue.CallerWeight // the caller that has received the fewest loads
	level  float64            // usage of that caller in loadLevels
}

// loadSlack is how many loads by weight a caller may be ahead of the least
// served one before its loads are ordered after those of other callers.
const loadSlack = 1

// overShare reports whether every caller of the group is ahead of its share of
// the loads.
func (r *Runner) overShare(g group) bool { return r.loadLevels.Exceeds(g.caller.Caller, loadSlack) }

// waitingForLoad returns the groups whose adapter is in no slot.
func (r *Runner) waitingForLoad() []group {
	var list []group
	for _, g := range r.queue.Groups() {
		if r.table.State(g.Ref) == slot.Empty {
			list = append(list, group{Group: g})
		}
	}
	r.loadLevels.Advance(func(yield func(string) bool) {
		for _, g := range list {
			for _, c := range g.Callers {
				if !yield(c.Caller) {
					return
				}
			}
		}
	})
	for i := range list {
		list[i].caller, list[i].level = r.leastServed(list[i].Callers)
	}
	return list
}

func (r *Runner) leastServed(callers []queue.CallerWeight) (queue.CallerWeight, float64) {
	best, level := callers[0], r.loadLevels.Usage(callers[0].Caller)
	for _, c := range callers[1:] {
		if l := r.loadLevels.Usage(c.Caller); l < level {
			best, level = c, l
		}
	}
	return best, level
}

// A Policy determines how a runner chooses loads and evictions. It is AgedLFU
// or LRU.
type Policy interface{ policy() }

// AgedLFU loads the adapter with the most waiting requests first, then the one
// with the nearest deadline. It evicts the adapter with the lowest request rate,
// in which older requests count less.
type AgedLFU struct {
	// Weight is between 0 and 1: 0 keeps load stalls short, 1 fills batches.
	Weight float64
}

// LRU loads adapters in the order in which requests arrived, and evicts the
// least recently used adapter.
type LRU struct{}

func (AgedLFU) policy() {}
func (LRU) policy()     {}

// longWait is the waiting time after which a load is ordered before loads that
// serve more requests, and after which a slot is closed to make space for it.
const longWait = 2 * time.Second

// nextLoad returns the group whose adapter is to be loaded first.
func (r *Runner) nextLoad(now time.Time) (group, bool) {
	var best group
	found := false
	for _, g := range r.waitingForLoad() {
		if until := r.blockedUntil(g.Ref); now.Before(until) {
			r.wakeAt(until)
			continue
		}
		if !found || r.loadsBefore(now, g, best) {
			best, found = g, true
		}
	}
	return best, found
}

// loadsBefore reports whether the policy loads the adapter of a before that of b.
func (r *Runner) loadsBefore(now time.Time, a, b group) bool {
	switch r.Policy.(type) {
	case LRU:
		return a.Oldest.Before(b.Oldest)
	case AgedLFU, nil:
		return r.loadsBeforeByDemand(now, a, b)
	default:
		panic("runner: unknown policy")
	}
}

func (r *Runner) loadsBeforeByDemand(now time.Time, a, b group) bool {
	longA, longB := now.Sub(a.Oldest) > longWait, now.Sub(b.Oldest) > longWait
	dueA, dueB := r.retries.due(now, a.Ref), r.retries.due(now, b.Ref)
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case r.overShare(a) != r.overShare(b):
		return r.overShare(b)
	case dueA != dueB:
		return dueA
	case longA != longB:
		return longA
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
		if !found || r.evictsBefore(now, ref, best) {
			best, found = ref, true
		}
	}
	return best, found
}

// evictsBefore reports whether the policy evicts a before b.
func (r *Runner) evictsBefore(now time.Time, a, b adapter.Ref) bool {
	waitingA, waitingB := r.queue.Group(a).Waiting, r.queue.Group(b).Waiting
	switch r.Policy.(type) {
	case LRU:
		return r.demand.last(a).Before(r.demand.last(b))
	case AgedLFU, nil:
		if (waitingA > 0) != (waitingB > 0) {
			return waitingB > 0
		}
		return r.demand.rate(now, a) < r.demand.rate(now, b)
	default:
		panic("runner: unknown policy")
	}
}

// closeSlot closes the slot of the adapter that the policy evicts first, so that
// it drains for g. It does nothing while another slot is closing or g has waited
// for less than longWait.
func (r *Runner) closeSlot(now time.Time, g group) {
	if len(r.closing) > 0 {
		return
	}
	if start := g.Oldest.Add(longWait); now.Before(start) {
		r.wakeAt(start)
		return
	}
	var worst adapter.Ref
	found := false
	for _, ref := range r.table.InState(slot.Resident) {
		if !found || r.evictsBefore(now, ref, worst) {
			worst, found = ref, true
		}
	}
	if found {
		r.closing[worst] = true
	}
}
