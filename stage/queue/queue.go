// Package queue keeps the requests that wait for one runner.
//
// The queue is bounded. When it is full, a caller below its share takes the
// place of the newest request of the caller furthest above its own; shares
// follow the callers' weights. Next picks by priority, then the caller that
// has had the least service for its weight (start-time fair queueing), then
// the nearest deadline. The queue does not know what an adapter's state is: who
// asks passes the set of adapters that can be served.
package queue

import (
	"time"

	"jacinthstage/stage/adapter"
)

// DefaultLimit is the limit of a Queue that states none, in requests.
const DefaultLimit = 256

// An Item is one waiting request.
type Item struct {
	ID       string
	Ref      adapter.Ref
	Caller   string
	Weight   int // the caller's part when capacity is short; 0 counts as 1
	Priority int // larger first
	Deadline time.Time
	Tokens   int       // most tokens to generate
	Arrived  time.Time // when it was pushed
	Resident bool      // its adapter was resident when it was pushed
}

func (i *Item) weight() float64 { return float64(max(i.Weight, 1)) }

// A Queue holds Items. The zero value is empty with the limit Default.
type Queue struct {
	Limit   int // most items
	items   map[string]*Item
	refs    map[adapter.Ref][]*Item // in order of arrival
	callers map[string]*share
	clock   float64 // the service level of the last pick, in tokens by weight
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether the request waits.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }

// Push adds an item. Where the queue is full it returns the item that has no
// place: the new one, or another that had to give way to it. A second item
// with an ID that waits is ignored.
func (q *Queue) Push(item Item) (out Item, ok bool) {
	if q.items[item.ID] != nil {
		return Item{}, false
	}
	if q.items == nil {
		q.items = map[string]*Item{}
		q.refs = map[adapter.Ref][]*Item{}
		q.callers = map[string]*share{}
	}
	q.enter(&item)
	if len(q.items) <= q.limit() {
		return Item{}, false
	}
	loser := q.loser()
	q.drop(loser)
	return *loser, true
}

func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

func (q *Queue) enter(item *Item) {
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

// Remove takes an item out and returns it.
func (q *Queue) Remove(id string) (Item, bool) {
	item := q.items[id]
	if item == nil {
		return Item{}, false
	}
	q.drop(item)
	return *item, true
}

func (q *Queue) drop(item *Item) {
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

// Serve takes the item out and counts its tokens as service to its caller.
func (q *Queue) Serve(id string) (Item, bool) {
	item, ok := q.Remove(id)
	if !ok {
		return Item{}, false
	}
	s := q.callers[item.Caller]
	q.clock = max(q.clock, s.level)
	s.level += float64(max(item.Tokens, 1)) / s.weight
	q.forget()
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

// Expired returns the items whose deadline is not after t.
func (q *Queue) Expired(t time.Time) []Item {
	var due []Item
	for _, item := range q.items {
		if !item.Deadline.After(t) {
			due = append(due, *item)
		}
	}
	sortItems(due)
	return due
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
