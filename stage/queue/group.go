package queue

import (
	"cmp"
	"slices"
	"time"

	"jacinthstage/stage/adapter"
)

// A Group is the items that wait for one adapter.
type Group struct {
	Ref      adapter.Ref
	Waiting  int
	Priority int       // the highest
	Deadline time.Time // the nearest
	Oldest   time.Time // the earliest arrival
	Stalled  bool      // an item waited for its adapter
	// Callers are the callers of the items, each once, with their weights.
	Callers []CallerWeight
}

// A Claim is a caller with its weight.
type CallerWeight struct {
	Caller string
	Weight int
}

// Groups returns a Group for each adapter with items, by adapter.
func (q *Queue) Groups() []Group {
	groups := make([]Group, 0, len(q.refs))
	for ref, items := range q.refs {
		groups = append(groups, q.group(ref, items))
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Ref.Name, b.Ref.Name), cmp.Compare(a.Ref.Version, b.Ref.Version))
	})
	return groups
}

// Group returns the Group of ref, whose Waiting is 0 where no item waits for it.
func (q *Queue) Group(ref adapter.Ref) Group { return q.group(ref, q.refs[ref]) }

func (q *Queue) group(ref adapter.Ref, items []*Item) Group {
	g := Group{Ref: ref, Waiting: len(items)}
	for i, item := range items {
		if i == 0 {
			g.Priority, g.Deadline, g.Oldest = item.Priority, item.Deadline, item.Arrived
		}
		g.claim(item)
		g.Stalled = g.Stalled || !item.Resident
		g.Priority = max(g.Priority, item.Priority)
		if item.Deadline.Before(g.Deadline) {
			g.Deadline = item.Deadline
		}
	}
	return g
}

func (g *Group) claim(item *Item) {
	for _, c := range g.Callers {
		if c.Caller == item.Caller {
			return
		}
	}
	g.Callers = append(g.Callers, CallerWeight{Caller: item.Caller, Weight: item.Weight})
}

func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
}
