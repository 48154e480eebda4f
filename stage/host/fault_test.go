package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/host"
)

// settled returns a world in which a crew has started and owns its runners.
func settled(t *testing.T, hosts, fenced, unfenced int) *world {
	w := newWorld(t, 1)
	w.crew(hosts, runners(fenced, unfenced))
	w.run(15 * time.Second)
	w.served()
	return w
}

// twice runs a fault and the check of what follows two times over.
func twice(t *testing.T, fault func(round int)) {
	for round := range 2 {
		require.NotPanics(t, func() { fault(round) })
	}
}

func TestStart(t *testing.T) {
	settled(t, 3, 6, 3)
}

func TestKill(t *testing.T) {
	w := settled(t, 4, 8, 0)
	twice(t, func(round int) {
		w.kill(w.nodes[fmt.Sprintf("h%03d", 2*round)])
		w.run(12 * time.Second)
		delete(w.nodes, fmt.Sprintf("h%03d", 2*round))
		w.served()
	})
}

func TestPlannedStop(t *testing.T) {
	w := settled(t, 4, 8, 4)
	twice(t, func(round int) {
		n := w.nodes[fmt.Sprintf("h%03d", round)]
		w.deliver(n, host.Stop{})
		w.run(5 * time.Second)
		require.True(t, n.stopped)
		w.served()
		for _, other := range w.sorted() {
			for _, a := range other.reports {
				if acquire, ok := a.(host.Acquire); ok && acquire.From == n.name {
					require.False(t, acquire.Inherited, "%s was drained", acquire.Runner)
				}
			}
		}
	})
}

func TestStopOfTheLast(t *testing.T) {
	w := settled(t, 1, 2, 1)
	n := w.nodes["h000"]
	w.deliver(n, host.Stop{})
	w.run(5 * time.Second)
	require.True(t, n.stopped)
	require.Empty(t, w.table().Members)
	w.start("h001", "z0", "1")
	w.run(5 * time.Second)
	w.served()
}

func TestPausedOwnerWakes(t *testing.T) {
	w := settled(t, 3, 6, 3)
	twice(t, func(int) {
		n := w.nodes["h001"]
		before := w.table()
		w.pause(n, 30*time.Second)
		w.run(29 * time.Second)
		for _, row := range w.table().Rows {
			was, _ := before.Row(row.Runner)
			if row.Fenced {
				require.NotEqual(t, "h001", row.Owner)
			} else {
				require.Equal(t, was.Owner, row.Owner, "an engine that ignores numbers keeps its owner")
			}
		}
		w.run(20 * time.Second)
		w.served()
	})
}

func TestNewIncarnation(t *testing.T) {
	w := settled(t, 3, 6, 3)
	for _, incarnation := range []string{"2", "3"} {
		before := w.table()
		w.kill(w.nodes["h001"])
		n := w.start("h001", "z1", incarnation)
		w.run(15 * time.Second)
		w.served()
		for _, row := range w.table().Rows {
			was, _ := before.Row(row.Runner)
			if row.Owner != "h001" {
				continue
			}
			require.Equal(t, "h001", was.Owner)
			require.Greater(t, row.Epoch, was.Epoch)
			require.Contains(t, n.reports, host.Acquire{Runner: row.Runner, Epoch: row.Epoch, Inherited: true, From: "h001"})
		}
	}
}

func TestMassStart(t *testing.T) {
	for seed := range uint64(2) {
		w := newWorld(t, seed)
		w.crew(40, runners(60, 6))
		w.run(10 * time.Second)
		w.served()
		require.LessOrEqual(t, w.tables, 12, "joins are batched")
	}
}

func TestZoneLoss(t *testing.T) {
	w := settled(t, 30, 60, 0)
	twice(t, func(round int) {
		tables, writes := w.tables, w.writes
		for i := range 10 {
			w.kill(w.nodes[fmt.Sprintf("h%03d", 10*round+i)])
		}
		w.run(16 * time.Second)
		for i := range 10 {
			delete(w.nodes, fmt.Sprintf("h%03d", 10*round+i))
		}
		w.served()
		require.LessOrEqual(t, w.tables-tables, 4, "one write moves many")
		renewals := (30 - 10*round) * 8
		require.LessOrEqual(t, w.writes-writes-renewals, 30)
	})
}

func TestInterleavedZoneLoss(t *testing.T) {
	w := settled(t, 40, 60, 0)
	for i := 0; i < 40; i += 2 {
		w.kill(w.nodes[fmt.Sprintf("h%03d", i)])
	}
	tables := w.tables
	w.run(16 * time.Second)
	for i := 0; i < 40; i += 2 {
		delete(w.nodes, fmt.Sprintf("h%03d", i))
	}
	w.served()
	require.LessOrEqual(t, w.tables-tables, 6)
}

func TestOutage(t *testing.T) {
	w := settled(t, 5, 10, 5)
	twice(t, func(int) {
		before := w.table()
		w.outage = true
		w.run(5 * time.Minute)
		for _, n := range w.sorted() {
			require.NotEmpty(t, n.holds, "an owner keeps its runners")
		}
		w.outage = false
		w.run(time.Minute)
		w.served()
		require.Equal(t, before.Rows, w.table().Rows, "nobody is judged for the outage")
	})
}

func TestOutageWithLoss(t *testing.T) {
	w := settled(t, 5, 10, 0)
	twice(t, func(round int) {
		name := fmt.Sprintf("h%03d", 1+round)
		w.outage = true
		w.run(time.Minute)
		w.kill(w.nodes[name])
		w.run(time.Minute)
		w.outage = false
		healed := w.now
		w.run(6 * time.Second)
		owned := 0
		for _, row := range w.table().Rows {
			if row.Owner == name {
				owned++
			}
		}
		require.NotZero(t, owned, "judged before a whole term after %s", healed)
		w.run(20 * time.Second)
		delete(w.nodes, name)
		w.served()
	})
}

func TestLostAnswers(t *testing.T) {
	w := settled(t, 4, 8, 4)
	twice(t, func(int) {
		w.noise.mute = 0.3
		w.run(2 * time.Minute)
		w.noise.mute = 0
		w.run(30 * time.Second)
		w.served()
	})
}

func TestUnfencedRunnerOfLostHost(t *testing.T) {
	w := settled(t, 3, 0, 6)
	owned := func(name string) (n int) {
		for _, row := range w.table().Rows {
			if row.Owner == name {
				n++
			}
		}
		return n
	}
	// What the list showed of an earlier life doesn't count for this one.
	w.all(host.Presence{Name: "h001", State: host.Gone})
	w.run(30 * time.Second)
	w.kill(w.nodes["h001"])
	w.run(12 * time.Second)
	_, member := w.table().Member("h001")
	require.False(t, member)
	w.all(host.Presence{Name: "h001", State: host.Live})
	w.run(time.Minute)
	require.Equal(t, 2, owned("h001"), "a lapsed lease alone moves nothing")
	w.all(host.Presence{Name: "h001", State: host.Gone})
	w.run(host.DefaultLag - time.Second)
	require.Equal(t, 2, owned("h001"), "the list may lag")
	w.run(10 * time.Second)
	delete(w.nodes, "h001")
	w.served()
}

func TestStaleGone(t *testing.T) {
	w := settled(t, 3, 0, 6)
	w.all(host.Presence{Name: "h001", State: host.Gone})
	w.run(30 * time.Second)
	before := w.table()
	w.pause(w.nodes["h001"], 15*time.Second)
	w.run(13 * time.Second)
	w.all(host.Presence{Name: "h001", State: host.Live})
	w.run(20 * time.Second)
	w.served()
	for _, row := range w.table().Rows {
		was, _ := before.Row(row.Runner)
		require.Equal(t, was.Owner, row.Owner)
	}
}

func TestRunnersComeAndGo(t *testing.T) {
	w := settled(t, 3, 6, 3)
	twice(t, func(round int) {
		config := uint64(2 + 2*round)
		w.all(host.Runners{Config: config, Runners: runners(3, 0)})
		w.run(6 * time.Second)
		require.Len(t, w.table().Rows, 3)
		w.served()
		w.all(host.Runners{Config: config + 1, Runners: runners(8, 4)})
		w.run(6 * time.Second)
		require.Len(t, w.table().Rows, 12)
		w.served()
		w.step(w.nodes["h002"], host.Runners{Config: 1, Runners: runners(1, 0)})
		w.run(6 * time.Second)
		require.Len(t, w.table().Rows, 12, "an older configuration changes nothing")
	})
}

func TestSecondProcessOfAName(t *testing.T) {
	w := settled(t, 3, 6, 0)
	former := w.nodes["h001"]
	w.start("h001", "z1", "2")
	w.run(10 * time.Second)
	require.Contains(t, former.reports, host.Replaced{})
	require.Empty(t, former.holds)
	w.served()
}
