package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
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
	w.planned = true
	twice(t, func(round int) {
		n := w.nodes[fmt.Sprintf("h%03d", round)]
		w.deliver(n, host.Stop{})
		w.run(5 * time.Second)
		require.True(t, n.stopped)
		w.served()
		for _, other := range w.sorted() {
			for _, a := range other.reports {
				if acquire, ok := a.(host.Acquire); ok && acquire.PreviousOwner == n.name {
					require.False(t, acquire.Inherited, "%s was drained", acquire.Runner)
				}
			}
		}
	})
}

// A runner goes to its next owner before its last request has ended.
func TestPlannedStopGivesFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.yields = true
	w.crew(4, runners(8, 4))
	w.run(20 * time.Second)
	w.served()
	n := w.nodes["h000"]
	n.drain = time.Minute
	w.planned = true
	w.deliver(n, host.Stop{})
	w.run(5 * time.Second)
	require.True(t, n.stopped)
	w.served()
	taken := 0
	for _, other := range w.sorted() {
		for _, a := range other.reports {
			if acquire, ok := a.(host.Acquire); ok && acquire.PreviousOwner == n.name {
				require.True(t, acquire.Inherited, "%s still ran", acquire.Runner)
				taken++
			}
		}
	}
	require.NotZero(t, taken)
}

// Each renewal says which configuration version is in force on the host.
func TestLeaseTellsConfig(t *testing.T) {
	w := settled(t, 2, 2, 0)
	w.config = 7
	w.all(host.RunnersConfigured{Version: 7, Runners: runners(2, 0)})
	w.run(5 * time.Second)
	for _, name := range []string{"h000", "h001"} {
		value, err := lease.Decode(w.objects[lease.Key(region, name)].Value)
		require.NoError(t, err)
		require.Equal(t, uint64(7), value.ConfigVersion)
	}
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
			require.Contains(t, n.reports, host.Acquire{Runner: row.Runner, Epoch: row.Epoch, Inherited: true, PreviousOwner: "h001"})
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
	tables, deletes := w.tables, w.deletes
	w.run(16 * time.Second)
	require.LessOrEqual(t, w.deletes-deletes, 22, "each lease is broken by one host")
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
			require.Equal(t, host.Expired{}, n.reports[len(n.reports)-1])
		}
		w.outage = false
		w.run(time.Minute)
		w.served()
		require.Equal(t, before.Rows, w.table().Rows, "nobody is judged for the outage")
	})
}

// A store that takes no writes but answers reads must not make hosts judge one
// another: nobody could renew.
func TestWritesRefused(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed)
		w.crew(5, runners(10, 0))
		w.run(15*time.Second + time.Duration(seed)*100*time.Millisecond)
		before := w.table()
		twice(t, func(int) {
			w.frozen = true
			w.run(time.Minute)
			w.frozen = false
			w.run(time.Minute)
			w.served()
			require.Equal(t, before.Rows, w.table().Rows)
		})
	}
}

// Short spells without writes, at any phase of the renewals.
func TestWritesRefusedForAShortTime(t *testing.T) {
	for span := 4000; span < 8000; span += 50 {
		w := newWorld(t, uint64(span))
		for i := range 5 {
			w.start(fmt.Sprintf("h%03d", i), "z0", "1")
			w.run(time.Duration(w.rand.IntN(2000)) * time.Millisecond)
		}
		w.all(host.RunnersConfigured{Version: 1, Runners: runners(10, 0)})
		w.run(15 * time.Second)
		before := w.table()
		w.frozen = true
		w.run(time.Duration(span) * time.Millisecond)
		w.frozen = false
		w.run(20 * time.Second)
		require.Equal(t, before.Rows, w.table().Rows, "after %d ms", span)
	}
}

// The host before a lost one in the ring can't break its lease: another does.
func TestNearestCannotBreak(t *testing.T) {
	w := settled(t, 5, 10, 0)
	w.nodes["h001"].mute = true
	w.kill(w.nodes["h002"])
	w.run(30 * time.Second)
	delete(w.nodes, "h002")
	w.served()
}

// Twenty hosts give runners to twenty new ones at the same time.
func TestManyHandovers(t *testing.T) {
	w := settled(t, 20, 80, 0)
	for i := range 20 {
		n := w.start(fmt.Sprintf("n%03d", i), "z0", "1")
		w.step(n, host.RunnersConfigured{Version: 1, Runners: w.wanted})
	}
	puts := w.puts
	w.run(15 * time.Second)
	w.served()
	require.LessOrEqual(t, w.puts-puts, 60, "writers that lost wait for a growing span")
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
	w.all(host.PlatformStatus{Name: "h001", State: host.Gone})
	w.run(30 * time.Second)
	w.kill(w.nodes["h001"])
	w.run(12 * time.Second)
	_, member := w.table().Member("h001")
	require.False(t, member)
	w.all(host.PlatformStatus{Name: "h001", State: host.Live})
	w.run(time.Minute)
	require.Equal(t, 2, owned("h001"), "a lapsed lease alone moves nothing")
	w.all(host.PlatformStatus{Name: "h001", State: host.Gone})
	w.run(host.DefaultPlatformLag - time.Second)
	require.Equal(t, 2, owned("h001"), "the list may lag")
	w.run(10 * time.Second)
	delete(w.nodes, "h001")
	w.served()
}

func TestStaleGone(t *testing.T) {
	w := settled(t, 3, 0, 6)
	w.all(host.PlatformStatus{Name: "h001", State: host.Gone})
	w.run(30 * time.Second)
	before := w.table()
	w.pause(w.nodes["h001"], 15*time.Second)
	w.run(13 * time.Second)
	w.all(host.PlatformStatus{Name: "h001", State: host.Live})
	w.run(20 * time.Second)
	w.served()
	for _, row := range w.table().Rows {
		was, _ := before.Row(row.Runner)
		require.Equal(t, was.Owner, row.Owner)
	}
}

func TestRunnersComeAndGo(t *testing.T) {
	w := settled(t, 3, 6, 3)
	w.planned = true
	twice(t, func(round int) {
		config := uint64(2 + 2*round)
		w.all(host.RunnersConfigured{Version: config, Runners: runners(3, 0)})
		w.run(6 * time.Second)
		require.Len(t, w.table().Rows, 3)
		w.served()
		w.all(host.RunnersConfigured{Version: config + 1, Runners: runners(8, 4)})
		w.run(6 * time.Second)
		require.Len(t, w.table().Rows, 12)
		w.served()
	})
	late := w.start("h003", "z0", "1")
	w.step(late, host.RunnersConfigured{Version: 1, Runners: runners(1, 0)})
	w.run(6 * time.Second)
	require.Len(t, w.table().Rows, 12, "an older configuration changes nothing")
}

func TestChangeKnownToAllIsWrittenOnce(t *testing.T) {
	w := settled(t, 40, 40, 0)
	puts := w.puts
	w.all(host.RunnersConfigured{Version: 2, Runners: runners(80, 0)})
	w.run(10 * time.Second)
	w.served()
	require.LessOrEqual(t, w.puts-puts, 2)
}

// A host that was to get runners ends while their owners drain them.
func TestHandoverToALostHost(t *testing.T) {
	w := settled(t, 2, 8, 4)
	for _, n := range w.sorted() {
		n.drain = 20 * time.Second
	}
	joiner := w.start("h002", "z0", "1")
	w.run(5 * time.Second)
	require.Empty(t, joiner.holds)
	w.kill(joiner)
	delete(w.nodes, "h002")
	w.run(14 * time.Second)
	w.served()
	w.run(time.Minute)
	w.served()
}

// hand feeds one Member by hand.
type hand struct {
	t      *testing.T
	now    time.Time
	member host.Member
}

func (h *hand) step(e host.Event) []host.Action {
	h.now = h.now.Add(time.Millisecond)
	return h.member.Step(h.now, e)
}

// find returns the one action of its type.
func find[A host.Action](t *testing.T, actions []host.Action) A {
	var found []A
	for _, a := range actions {
		if one, ok := a.(A); ok {
			found = append(found, one)
		}
	}
	require.Len(t, found, 1)
	return found[0]
}

// joining returns a Member that holds its lease and has listed the leases to join.
func joining(t *testing.T) (h *hand, list host.List, own host.Put) {
	h = &hand{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	h.member = host.Member{Region: region, Self: members("b")[0]}
	started := h.step(host.Started{})
	own = find[host.Put](t, h.step(host.Missing{CallID: started[0].(host.Get).CallID}))
	h.step(host.Missing{CallID: started[1].(host.Get).CallID})
	h.step(host.Wrote{CallID: own.CallID, Version: 1})
	h.now = h.now.Add(time.Second)
	return h, find[host.List](t, h.step(host.Tick{})), own
}

// The leases were listed before the newer table was read, so they don't show
// the member that this one has.
func TestListOlderThanTheTable(t *testing.T) {
	h, list, own := joining(t)
	table := host.Assign(host.Table{}, host.Inputs{Members: members("a"), ConfigVersion: 1, Runners: runners(2, 0)})
	h.step(host.TableWatched{Version: 7, Value: table.Encode()})
	listed := host.Listed{CallID: list.CallID, Objects: []host.Object{{Key: own.Key, Version: 1, Value: own.Value}}}
	for _, a := range h.step(listed) {
		_, put := a.(host.Put)
		require.False(t, put)
	}
	h.now = h.now.Add(time.Second)
	require.Equal(t, list.Prefix, find[host.List](t, h.step(host.Tick{})).Prefix)
}

// A host that can't write its lease, or can't read the table, proposes nothing.
func TestHostWithoutLeaseOrTableProposesNothing(t *testing.T) {
	cases := []struct {
		name  string
		lease bool // can be written
	}{
		{name: "no lease"},
		{name: "no table", lease: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &hand{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			h.member = host.Member{Region: region, Self: members("b")[0]}
			actions := h.step(host.Started{})
			for version := range uint64(1000) {
				var next []host.Action
				for _, a := range actions {
					next = append(next, h.step(refuse(t, a, c.lease, version+1))...)
				}
				h.now = h.now.Add(20 * time.Millisecond)
				actions = append(next, h.step(host.Tick{})...)
			}
		})
	}
}

// refuse answers a call on a store without objects: where leases can be written,
// the table can't be read.
func refuse(t *testing.T, a host.Action, leases bool, version uint64) host.Event {
	switch a := a.(type) {
	case host.Get:
		if leases && a.Key == host.Key(region) {
			return host.Failed{CallID: a.CallID, Cause: lease.Unavailable}
		}
		return host.Missing{CallID: a.CallID}
	case host.Put:
		if leases {
			return host.Wrote{CallID: a.CallID, Version: version}
		}
		return host.Failed{CallID: a.CallID, Cause: lease.Unavailable}
	default:
		require.Fail(t, "it proposes")
		return host.Tick{}
	}
}

func TestOlderTableIsPassedOver(t *testing.T) {
	h, _, _ := joining(t)
	older := host.Assign(host.Table{}, host.Inputs{Members: members("a"), ConfigVersion: 1, Runners: runners(2, 0)})
	newer := host.Assign(older, host.Inputs{Members: members("a", "b"), ConfigVersion: 2, Runners: runners(3, 0)})
	h.step(host.TableWatched{Version: 7, Value: newer.Encode()})
	h.step(host.TableWatched{Version: 6, Value: older.Encode()})
	table, version := h.member.Table()
	require.Equal(t, newer, table)
	require.Equal(t, uint64(7), version)
}

// A host that stops before it is a member gives its lease up. Another that
// listed the lease before may still make it a member: it must not act.
func TestStopWhileOthersAddIt(t *testing.T) {
	h, _, own := joining(t)
	h.step(host.Stop{})
	v, err := lease.Decode(own.Value)
	require.NoError(t, err)
	self := host.Identity{Name: v.Name, Incarnation: v.Incarnation, Generation: v.Generation, Zone: v.Zone, Peer: v.Peer}
	facts := host.Inputs{Members: []host.Identity{self}, ConfigVersion: 1, Runners: runners(2, 0)}
	for _, a := range h.step(host.TableWatched{Version: 7, Value: host.Assign(host.Table{}, facts).Encode()}) {
		_, acquire := a.(host.Acquire)
		require.False(t, acquire)
	}
}

// Hosts that start together don't go on to call the object API together.
func TestCallsAreSpread(t *testing.T) {
	w := settled(t, 40, 40, 0)
	busiest := 0
	for range 10 {
		before := w.reads + w.writes
		w.run(time.Second)
		busiest = max(busiest, w.reads+w.writes-before)
	}
	require.LessOrEqual(t, busiest, 110, "of 84 a second on average")
}

// A watch that went silent: the table is read from time to time besides.
func TestSilentWatch(t *testing.T) {
	w := settled(t, 3, 6, 0)
	w.nodes["h002"].deaf = true
	for _, name := range []string{"h000", "h001"} {
		w.step(w.nodes[name], host.RunnersConfigured{Version: 2, Runners: runners(12, 0)})
	}
	w.run(15 * time.Second)
	w.served()
}
