// Package queue holds the requests that wait for one runner.
//
// The queue is bounded. When it is full, a request of a caller below its share
// replaces the newest request of the caller furthest above its own; shares follow
// the callers' weights. Next picks by priority, then the caller that has received
// the least service for its weight (start-time fair queueing), then the nearest
// deadline. The queue does not know the states of adapters: the user of Next
// passes the adapters that can be served.
package queue

import (
	"time"

	"jacinthstage/stage/adapter"
)

// DefaultLimit is the limit in requests of a Queue that sets none.
const DefaultLimit = 256

// An Item is one waiting request.
type Item struct {
	ID       string
	Ref      adapter.Ref
	Caller   string
	Weight   int // the caller's weight when capacity is short; 0 counts as 1
	Priority int // larger first
	Deadline time.Time
	Tokens   int       // maximum number of tokens to generate
	Arrived  time.Time // when it was pushed
	Resident bool      // its adapter was resident when it was pushed
}

func (i *Item) weight() float64 { return float64(max(i.Weight, 1)) }

// A Queue holds Items. The zero value is empty and has the limit DefaultLimit.
type Queue struct {
	Limit   int // maximum number of items
	items   map[string]*Item
	refs    map[adapter.Ref][]*Item // in order of arrival
	callers map[string]*share
	clock   float64 // service level of the last item served, in tokens by weight
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether the request with the given ID is waiting.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }

// Push adds an item. If the queue is full, it returns the item that is dropped:
// the new one, or another that the new one displaces. An item whose ID is waiting
// already is ignored.
func (q *Queue) Push(item Item) (dropped Item, full bool) {
	if q.items[item.ID] != nil {
		return Item{}, false
	}
	if q.items == nil {
		q.items = map[string]*Item{}
		q.refs = map[adapter.Ref][]*Item{}
		q.callers = map[string]*share{}
	}
	q.add(&item)
	if len(q.items) <= q.limit() {
		return Item{}, false
	}
	victim := q.victim()
	q.remove(victim)
	return *victim, true
}

func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

func (q *Queue) add(item *Item) {
	q.items[item.ID] = item
	q.refs[item.Ref] = append(q.refs[item.Ref], item)
	s := q.callers[item.Caller]
	if s == nil {
		s = &share{}
		q.callers[item.Caller] = s
	}
	s.weight = item.weight()
	if s.waiting == 0 {
		s.level = max(s.level, q.clock)
	}
	s.waiting++
}

// Remove removes an item and returns it.
func (q *Queue) Remove(id string) (Item, bool) {
	item := q.items[id]
	if item == nil {
		return Item{}, false
	}
	q.remove(item)
	return *item, true
}

func (q *Queue) remove(item *Item) {
	delete(q.items, item.ID)
	q.callers[item.Caller].waiting--
	list := q.refs[item.Ref]
	for i, other := range list {
		if other == item {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(q.refs, item.Ref)
		return
	}
	q.refs[item.Ref] = list
}

// Serve removes an item and charges its tokens to its caller.
func (q *Queue) Serve(id string) (Item, bool) {
	item, ok := q.Remove(id)
	if !ok {
		return Item{}, false
	}
	s := q.callers[item.Caller]
	q.clock = max(q.clock, s.level)
	s.level += float64(max(item.Tokens, 1)) / s.weight
	q.pruneCallers()
	return item, true
}

// Next returns the item to serve next among those whose adapter is in refs.
func (q *Queue) Next(refs []adapter.Ref) (Item, bool) {
	var best *Item
	for _, ref := range refs {
		for _, item := range q.refs[ref] {
			if best == nil || q.before(item, best) {
				best = item
			}
		}
	}
	if best == nil {
		return Item{}, false
	}
	return *best, true
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *Item) bool {
	switch la, lb := q.callers[a.Caller].level, q.callers[b.Caller].level; {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case la != lb:
		return la < lb
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	default:
		return a.ID < b.ID
	}
}

// Expired returns the items whose deadline is not after t, by ID.
func (q *Queue) Expired(t time.Time) []Item {
	var expired []Item
	for _, item := range q.items {
		if !item.Deadline.After(t) {
			expired = append(expired, *item)
		}
	}
	sortItems(expired)
	return expired
}

// All returns all items, by ID.
func (q *Queue) All() []Item {
	all := make([]Item, 0, len(q.items))
	for _, item := range q.items {
		all = append(all, *item)
	}
	sortItems(all)
	return all
}
