package route_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/route"
)

var zero = time.Unix(1000, 0)

func ref(i int) adapter.Ref { return adapter.Ref{Name: fmt.Sprint("a", i), Version: "1"} }

func runners(region string, from, to int) []route.Runner {
	var list []route.Runner
	for i := from; i < to; i++ {
		list = append(list, route.Runner{Name: fmt.Sprint(region, i), Region: region, BatchSize: 16})
	}
	return list
}

// weight is rendezvous weight, worked out again.
func weight(ref adapter.Ref, name string) uint64 {
	x := xxhash.Sum64String(ref.String()) ^ (xxhash.Sum64String(name) * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// scan returns the runners to try for ref by a plain scan, where width is 1.
func scan(all []route.Runner, region string, loads map[string]int, ref adapter.Ref) []route.Candidate {
	var near, far []route.Runner
	for _, r := range all {
		if r.Region == region {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	rank := func(list []route.Runner, n int) []route.Runner {
		slices.SortFunc(list, func(a, b route.Runner) int { return cmp.Compare(weight(ref, b.Name), weight(ref, a.Name)) })
		return list[:min(n, len(list))]
	}
	near, far = rank(near, 1+route.FallbackRunners), rank(far, 2)
	var choices []route.Candidate
	for level := range 3 {
		for _, r := range near {
			if min(loads[r.Name]/r.BatchSize, 2) == level {
				choices = append(choices, route.Candidate{Name: r.Name})
			}
		}
	}
	for _, r := range far {
		choices = append(choices, route.Candidate{Name: r.Name, CrossRegion: true})
	}
	return choices
}

func TestAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(runners("near", 0, rapid.IntRange(0, 30).Draw(t, "near")), runners("far", 0, rapid.IntRange(0, 5).Draw(t, "far"))...)
		table := &route.Table{Region: "near"}
		table.SetRunners(all)
		loads := map[string]int{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(all) > 0 {
				r := all[rapid.IntRange(0, len(all)-1).Draw(t, "runner")]
				loads[r.Name] = rapid.IntRange(0, 50).Draw(t, "load")
				table.Snapshot().SetHint(r.Name, route.Hint{Running: loads[r.Name], Expires: zero.Add(time.Second)})
			}
			q := route.Query{Ref: ref(rapid.IntRange(0, 5).Draw(t, "ref"))}
			require.Equal(t, scan(all, "near", loads, q.Ref), nonempty(table.Snapshot().Choose(zero, q)))
		}
	})
}

func nonempty(c []route.Candidate) []route.Candidate {
	if len(c) == 0 {
		return nil
	}
	return c
}

// TestMoves: a runner that comes or leaves moves only its own adapters.
func TestMoves(t *testing.T) {
	before, after := &route.Table{Region: "near"}, &route.Table{Region: "near"}
	before.SetRunners(runners("near", 0, 20))
	after.SetRunners(runners("near", 0, 21))
	moved := 0
	for i := range 3000 {
		old, now := before.Snapshot().PreferredRunners(ref(i))[0], after.Snapshot().PreferredRunners(ref(i))[0]
		if old != now {
			require.Equal(t, "near20", now)
			moved++
		}
	}
	require.InDelta(t, 3000/21, moved, 50)
}

// TestWidth: an adapter widens with its rate at once, and narrows a step at a
// time once its rate has been lower for a minute.
func TestWidth(t *testing.T) {
	table := &route.Table{Region: "near"}
	table.SetRunners(runners("near", 0, 20))
	table.RecordServiceTime(4 * time.Second)
	now := zero
	for range 1200 {
		now = now.Add(100 * time.Millisecond)
		table.CountRequest(now, ref(1))
	}
	// 10 requests a second of 4 s each take the half of 16 places on 5 runners.
	require.Len(t, table.Snapshot().PreferredRunners(ref(1)), 5)
	require.Len(t, table.Snapshot().PreferredRunners(ref(2)), 1)
	table.Tick(now)
	wide := table.Snapshot().PreferredRunners(ref(1))
	now = now.Add(5 * time.Minute)
	require.False(t, table.Tick(now), "narrowed at once")
	now = now.Add(59 * time.Second)
	require.False(t, table.Tick(now))
	now = now.Add(time.Second)
	require.True(t, table.Tick(now))
	require.Equal(t, wide[:4], table.Snapshot().PreferredRunners(ref(1)))
}

// TestCore: at weight 1 the homes are a part of the runners, and the others
// take what a full home can't.
func TestCore(t *testing.T) {
	table := &route.Table{Region: "near", Policy: route.Rendezvous{Weight: 1}}
	table.SetRunners(runners("near", 0, 20))
	s := table.Snapshot()
	homes := map[string]bool{}
	for i := range 1000 {
		homes[s.PreferredRunners(ref(i))[0]] = true
	}
	require.Len(t, homes, 12)
	first := s.PreferredRunners(ref(1))[0]
	s.SetHint(first, route.Hint{Running: 16, Expires: zero.Add(time.Second)})
	choices := s.Choose(zero, route.Query{Ref: ref(1)})
	require.Len(t, choices, 1+route.FallbackRunners)
	require.NotContains(t, homes, choices[0].Name)
	require.Equal(t, first, choices[route.FallbackRunners].Name)
}

// TestPrefix: requests with one prefix keep to one home, while it isn't full.
func TestPrefix(t *testing.T) {
	table := &route.Table{Region: "near"}
	table.SetRunners(runners("near", 0, 20))
	table.RecordServiceTime(4 * time.Second)
	for i := range 1200 {
		table.CountRequest(zero.Add(time.Duration(i)*100*time.Millisecond), ref(1))
	}
	s := table.Snapshot()
	used := map[string]bool{}
	for prefix := range uint64(50) {
		q := route.Query{Ref: ref(1), PrefixHash: prefix + 1, Salt: 1}
		first := s.Choose(zero, q)[0].Name
		q.Salt = 2
		require.Equal(t, first, s.Choose(zero, q)[0].Name)
		require.Contains(t, s.PreferredRunners(ref(1)), first)
		used[first] = true
	}
	require.Len(t, used, 5)
	q := route.Query{Ref: ref(1), PrefixHash: 1}
	first := s.Choose(zero, q)[0].Name
	s.SetHint(first, route.Hint{Running: 16, Expires: zero.Add(time.Second)})
	require.NotEqual(t, first, s.Choose(zero, q)[0].Name)
	require.Equal(t, first, s.Choose(zero.Add(2*time.Second), q)[0].Name)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 600} {
		b.Run(fmt.Sprint(n, " runners"), func(b *testing.B) {
			table := &route.Table{Region: "near"}
			table.SetRunners(runners("near", 0, n))
			s := table.Snapshot()
			i := 0
			for b.Loop() {
				i++
				s.Choose(zero, route.Query{Ref: ref(i % 2000), Salt: uint64(i)})
			}
		})
	}
}
