package queue

// A share is what one caller holds of the queue and has had of the service.
type share struct {
	weight  float64
	waiting int     // items in the queue
	level   float64 // tokens served by weight
}

// callersKept is how many callers without an item the queue remembers.
const callersKept = 1024

// loser returns the item that must go: the newest of the lowest priority of the
// caller furthest above its share.
func (q *Queue) loser() *Item {
	var most string
	var m *share
	for name, s := range q.callers {
		if s.waiting == 0 {
			continue
		}
		if m == nil || s.over(m) || !m.over(s) && name < most {
			most, m = name, s
		}
	}
	var out *Item
	for _, item := range q.items {
		if item.Caller == most && (out == nil || worse(item, out)) {
			out = item
		}
	}
	return out
}

func (s *share) over(other *share) bool {
	return float64(s.waiting)/s.weight > float64(other.waiting)/other.weight
}

func worse(a, b *Item) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.Arrived.Equal(b.Arrived):
		return a.Arrived.After(b.Arrived)
	default:
		return a.ID > b.ID
	}
}

// forget drops callers without items whose service the clock has passed.
func (q *Queue) forget() {
	if len(q.callers) <= callersKept {
		return
	}
	for name, s := range q.callers {
		if s.waiting == 0 && s.level <= q.clock {
			delete(q.callers, name)
		}
	}
}
