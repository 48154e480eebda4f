package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
)

var zero = time.Unix(1000, 0)

// A plain queue is a list, scanned in full for each question.
type plain struct {
	limit int
	items []queue.Item
	level map[string]float64
	clock float64
}

func (p *plain) count(caller string) int {
	n := 0
	for _, i := range p.items {
		if i.Caller == caller {
			n++
		}
	}
	return n
}

func (p *plain) push(i queue.Item) (string, bool) {
	if slices.ContainsFunc(p.items, func(o queue.Item) bool { return o.ID == i.ID }) {
		return "", false
	}
	if p.count(i.Caller) == 0 {
		p.level[i.Caller] = max(p.level[i.Caller], p.clock)
	}
	p.items = append(p.items, i)
	if len(p.items) <= p.limit {
		return "", false
	}
	loser := p.items[0]
	for _, o := range p.items[1:] {
		if p.worse(o, loser) {
			loser = o
		}
	}
	p.remove(loser.ID)
	return loser.ID, true
}

// worse reports whether a goes before b when one must go.
func (p *plain) worse(a, b queue.Item) bool {
	oa, ob := float64(p.count(a.Caller))/float64(a.Weight), float64(p.count(b.Caller))/float64(b.Weight)
	switch {
	case oa != ob:
		return oa > ob
	case a.Caller != b.Caller:
		return a.Caller < b.Caller
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.Arrived.Equal(b.Arrived):
		return a.Arrived.After(b.Arrived)
	default:
		return a.ID > b.ID
	}
}

func (p *plain) remove(id string) bool {
	n := len(p.items)
	p.items = slices.DeleteFunc(p.items, func(i queue.Item) bool { return i.ID == id })
	return len(p.items) < n
}

func (p *plain) next(refs []adapter.Ref) string {
	best := -1
	for i, item := range p.items {
		if slices.Contains(refs, item.Ref) && (best < 0 || p.before(item, p.items[best])) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return p.items[best].ID
}

func (p *plain) before(a, b queue.Item) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case p.level[a.Caller] != p.level[b.Caller]:
		return p.level[a.Caller] < p.level[b.Caller]
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	default:
		return a.ID < b.ID
	}
}

func (p *plain) serve(i queue.Item) {
	p.remove(i.ID)
	p.clock = max(p.clock, p.level[i.Caller])
	p.level[i.Caller] += float64(i.Tokens) / float64(i.Weight)
}

func ref(i int) adapter.Ref { return adapter.Ref{Name: fmt.Sprint("a", i), Version: "1"} }

// TestAgainstScan: the queue and a plain list decide alike after each step.
func TestAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Limit: 8}
		p := &plain{limit: 8, level: map[string]float64{}}
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now := zero.Add(time.Duration(n) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1, 2:
				item := draw(t, n, now)
				out, full := q.Push(item)
				id, want := p.push(item)
				require.Equal(t, want, full)
				require.Equal(t, id, out.ID)
			case 3:
				refs := []adapter.Ref{ref(0), ref(rapid.IntRange(0, 3).Draw(t, "open"))}
				item, ok := q.Next(refs)
				require.Equal(t, p.next(refs), item.ID)
				if ok {
					q.Serve(item.ID)
					p.serve(item)
				}
			default:
				id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))
				_, ok := q.Remove(id)
				require.Equal(t, p.remove(id), ok)
			}
			compare(t, q, p)
		}
	})
}

func draw(t *rapid.T, n int, now time.Time) queue.Item {
	caller := rapid.IntRange(0, 3).Draw(t, "caller")
	return queue.Item{
		ID:       fmt.Sprint(n),
		Ref:      ref(rapid.IntRange(0, 3).Draw(t, "ref")),
		Caller:   fmt.Sprint("c", caller),
		Weight:   1 + caller,
		Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "deadline")) * time.Second),
		Tokens:   rapid.IntRange(1, 3).Draw(t, "tokens"),
		Arrived:  now,
	}
}

func compare(t *rapid.T, q *queue.Queue, p *plain) {
	require.Equal(t, len(p.items), q.Len())
	waiting := 0
	for _, g := range q.Groups() {
		waiting += g.Waiting
		for _, i := range p.items {
			if i.Ref == g.Ref {
				require.False(t, i.Deadline.Before(g.Deadline))
				require.LessOrEqual(t, i.Priority, g.Priority)
				require.True(t, slices.Contains(g.Callers, queue.CallerWeight{Caller: i.Caller, Weight: i.Weight}))
			}
		}
	}
	require.Equal(t, len(p.items), waiting)
}

// TestShares: callers that always wait are served by their weights.
func TestShares(t *testing.T) {
	q := &queue.Queue{}
	served := map[string]int{}
	push := func(caller string, weight, n int) {
		q.Push(queue.Item{ID: fmt.Sprint(caller, n), Ref: ref(0), Caller: caller, Weight: weight, Tokens: 10, Deadline: zero})
	}
	for n := range 400 {
		push("light", 1, n)
		push("heavy", 3, n)
		item, ok := q.Next([]adapter.Ref{ref(0)})
		require.True(t, ok)
		q.Serve(item.ID)
		served[item.Caller]++
	}
	require.InDelta(t, 100, served["light"], 2)
	require.InDelta(t, 300, served["heavy"], 2)
}
