package queue

// A share is the part of the queue that one caller occupies, and the service that
// it has received.
type share struct {
	weight  float64
	waiting int     // items in the queue
	level   float64 // tokens served, divided by weight
}

// pruneThreshold is the number of callers above which the queue forgets those
// without an item.
const pruneThreshold = 1024

// victim returns the item to drop from a full queue: the newest of the lowest
// priority of the caller furthest above its share.
func (q *Queue) victim() *Item {
	var caller string
	var largest *share
	for name, s := range q.callers {
		if s.waiting == 0 {
			continue
		}
		if largest == nil || s.above(largest) || !largest.above(s) && name < caller {
			caller, largest = name, s
		}
	}
	var out *Item
	for _, item := range q.items {
		if item.Caller == caller && (out == nil || dropBefore(item, out)) {
			out = item
		}
	}
	return out
}

// above reports whether s has more waiting items for its weight than other.
func (s *share) above(other *share) bool {
	return float64(s.waiting)/s.weight > float64(other.waiting)/other.weight
}

// dropBefore reports whether a is dropped before b, an item of the same caller.
func dropBefore(a, b *Item) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.Arrived.Equal(b.Arrived):
		return a.Arrived.After(b.Arrived)
	default:
		return a.ID > b.ID
	}
}

// pruneCallers forgets callers without items whose level the clock has passed.
func (q *Queue) pruneCallers() {
	if len(q.callers) <= pruneThreshold {
		return
	}
	for name, s := range q.callers {
		if s.waiting == 0 && s.level <= q.clock {
			delete(q.callers, name)
		}
	}
}
