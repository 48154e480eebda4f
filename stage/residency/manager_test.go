package residency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/residency"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const model = "base"

func key(adapter string) residency.Key { return residency.Key{Model: model, Adapter: adapter} }

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newSynced returns a manager that knows its runner to hold the given adapters in
// version 1.
func newSynced(t *testing.T, slots int, adapters ...string) *residency.Manager {
	m := &residency.Manager{Target: "runner-0", Holder: "host-0", Fence: 7, Slots: slots, LoadTime: 250 * time.Millisecond}
	action, _ := m.Next(at(0))
	require.Equal(t, residency.PollReport{}, action)
	resident := call.ResidentModel{Model: model, Version: 1}
	for _, a := range adapters {
		resident.Adapters = append(resident.Adapters, call.AdapterVersion{Model: model, Name: a, Version: 1})
	}
	m.HandleReport(at(1), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{resident}})
	return m
}

// nextOrder returns the order that the manager sends now.
func nextOrder(t *testing.T, m *residency.Manager, ms int) call.Order {
	action, _ := m.Next(at(ms))
	require.IsType(t, residency.SendOrder{}, action)
	return action.(residency.SendOrder).Order
}

// requireIdle requires that the manager has nothing to do now.
func requireIdle(t *testing.T, m *residency.Manager, ms int) {
	action, _ := m.Next(at(ms))
	require.Nil(t, action)
}

func state(m *residency.Manager, adapter string) residency.State {
	got, _, _ := m.Lookup(key(adapter))
	return got
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLoadIsConfirmed checks that an adapter counts as resident only once the
// runner says so. The runner doesn't count an order that is sent again while the
// adapter is loading, so the manager must not count it either.
func TestLoadIsConfirmed(t *testing.T) {
	m := newSynced(t, 2)
	done := m.RequestLoad(at(10), key("a"))
	o := nextOrder(t, m, 10)
	require.Equal(t, call.Order{Kind: call.Load, Model: model, Adapter: "a", Holder: "host-0", Fence: 7, AcceptedOrders: 5, Target: "runner-0"}, o)
	m.HandleReply(at(12), call.Accepted)
	require.Equal(t, residency.Loading, state(m, "a"))
	requireIdle(t, m, 100)

	require.EqualValues(t, 6, nextOrder(t, m, 263).AcceptedOrders)
	m.HandleReply(at(264), call.Accepted)
	require.False(t, closed(done))
	require.EqualValues(t, 6, nextOrder(t, m, 310).AcceptedOrders, "the runner does not count an order for an adapter that is loading")
	m.HandleReply(at(311), call.Applied)
	require.True(t, closed(done))
	require.Equal(t, residency.Resident, state(m, "a"))

	m.RequestLoad(at(400), key("b"))
	require.EqualValues(t, 6, nextOrder(t, m, 400).AcceptedOrders, "nor one for a resident adapter")
}

// TestReplacementDoesNotBlockOrders guards against a runner that refuses all requests for an adapter
// and all orders for as long as a replacement waits for the runs of the old version: none is
// ordered while the adapter is in use, and other adapters are loaded at once.
func TestReplacementDoesNotBlockOrders(t *testing.T) {
	m := newSynced(t, 3, "hot")
	m.BeginUse(at(1), key("hot"))
	m.SetNewest(key("hot"), 2)
	requireIdle(t, m, 10)

	m.RequestLoad(at(20), key("a"))
	o := nextOrder(t, m, 20)
	require.Equal(t, "a", o.Adapter)
	require.EqualValues(t, 5, o.AcceptedOrders)
	m.HandleReply(at(21), call.Accepted)

	m.EndUse(key("hot"))
	o = nextOrder(t, m, 30)
	require.Equal(t, call.Order{Kind: call.Load, Model: model, Adapter: "hot", Version: 2, Holder: "host-0", Fence: 7, AcceptedOrders: 6, Target: "runner-0"}, o)
	m.HandleReply(at(31), call.Accepted)
	require.Equal(t, residency.Loading, state(m, "hot"))

	m.RequestLoad(at(40), key("b"))
	requireIdle(t, m, 40)
	o = nextOrder(t, m, 290)
	require.Equal(t, "hot", o.Adapter, "the runner takes no other order meanwhile")
	require.EqualValues(t, 7, o.AcceptedOrders, "it counts a replacement once, when it is ordered")
	m.HandleReply(at(291), call.Applied)
	require.Equal(t, residency.Resident, state(m, "hot"))
	require.Equal(t, "a", nextOrder(t, m, 292).Adapter)
}

// TestOlderVersionIsReplacedOnRequest checks that a request for an adapter that is there in an older
// version waits for the newest, unless requests use the older one.
func TestOlderVersionIsReplacedOnRequest(t *testing.T) {
	m := newSynced(t, 1, "a")
	m.SetNewest(key("a"), 2)
	m.RecordPeerUse(at(5), key("a"), "host-1", 1, 1)
	require.Equal(t, residency.OlderInUse, m.UnavailableReason(at(6), key("a")))
	m.RecordPeerUse(at(7), key("a"), "host-1", 0, 0)
	require.Empty(t, m.UnavailableReason(at(8), key("a")))

	done := m.RequestLoad(at(10), key("a"))
	require.Equal(t, 2, nextOrder(t, m, 10).Version)
	m.HandleReply(at(11), call.Accepted)
	require.False(t, closed(done))
	nextOrder(t, m, 261)
	m.HandleReply(at(262), call.Applied)
	require.True(t, closed(done))
	_, held, _ := m.Lookup(key("a"))
	require.Equal(t, 2, held)
}

// TestOwnerBehindNamesWhatWasListed guards against an owner that has not learned of a version which its runner has
// reported: it ordered the one before, and took the runner for a holder of the later one.
func TestOwnerBehindNamesWhatWasListed(t *testing.T) {
	m := &residency.Manager{Target: "runner-0", Holder: "host-0", Fence: 7, Slots: 1, LoadTime: 250 * time.Millisecond}
	m.SetNewest(key("a"), 2)
	m.Next(at(0))
	holds3 := call.ResidentModel{Model: model, Version: 1, Adapters: []call.AdapterVersion{{Model: model, Name: "a", Version: 3}}}
	m.HandleReport(at(1), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{holds3}})
	m.RequestLoad(at(10), key("b"))
	require.Equal(t, call.Unload, nextOrder(t, m, 10).Kind)
	m.HandleReply(at(11), call.Applied)
	m.CancelLoadRequest(key("b"))
	m.RequestLoad(at(20), key("a"))
	o := nextOrder(t, m, 20)
	require.Equal(t, 3, o.Version)
	m.HandleReply(at(21), call.Applied)
	_, held, _ := m.Lookup(key("a"))
	require.Equal(t, o.Version, held)
}

// TestKeptVersionIsNotReplaced guards against the replacement of an older version that another host has just been told
// is there: the runner would refuse its request.
func TestKeptVersionIsNotReplaced(t *testing.T) {
	m := newSynced(t, 4, "a")
	m.SetNewest(key("a"), 2)
	m.Keep(at(10), key("a"))
	require.Equal(t, residency.OlderInUse, m.UnavailableReason(at(11), key("a")))
	m.RequestLoad(at(11), key("a"))
	requireIdle(t, m, 12)
}

// TestReportDuringReplacement guards against waits that end, and other orders that the runner refuses, because a report
// shows the older version while the newest is loading.
func TestReportDuringReplacement(t *testing.T) {
	m := newSynced(t, 4, "a")
	m.SetNewest(key("a"), 2)
	done := m.RequestLoad(at(10), key("a"))
	nextOrder(t, m, 10)
	m.HandleReply(at(12), call.Accepted)
	nextOrder(t, m, 300)
	m.HandleReply(at(400), call.Unanswered)
	action, _ := m.Next(at(900))
	require.Equal(t, residency.PollReport{}, action)
	older := call.ResidentModel{Model: model, Version: 1, Adapters: []call.AdapterVersion{{Model: model, Name: "a", Version: 1}}}
	m.HandleReport(at(910), call.Report{AcceptedOrders: 6, Models: []call.ResidentModel{older}, Loading: []call.AdapterVersion{{Model: model, Name: "a", Version: 2}}})
	require.False(t, closed(done))
	require.Equal(t, residency.Loading, state(m, "a"))
	m.RequestLoad(at(911), key("b"))
	require.Equal(t, "a", nextOrder(t, m, 912).Adapter)
}

// TestMissOfOlderVersionIsNotLoadedAgain guards against an order that names the version that a newer
// one has replaced.
func TestMissOfOlderVersionIsNotLoadedAgain(t *testing.T) {
	m := newSynced(t, 2)
	m.RequestLoad(at(10), key("a"))
	nextOrder(t, m, 10)
	m.HandleReply(at(11), call.Accepted)
	nextOrder(t, m, 262)
	m.HandleReply(at(263), call.Applied)
	m.BeginUse(at(264), key("a"))
	m.SetNewest(key("a"), 2)
	m.RecordMiss(at(300), key("a"), 10*time.Millisecond)
	for ms := 300; ms < 3000; ms += 50 {
		if action, _ := m.Next(at(ms)); action != nil {
			require.Equal(t, residency.PollReport{}, action)
			m.HandleReportFailure(at(ms))
		}
	}
}

// TestReplacementAskedForDuringUnload guards against a crash: a request asked for the newest version of an adapter, of
// which the runner held an older one, while the order to unload that was on its way.
func TestReplacementAskedForDuringUnload(t *testing.T) {
	askedFor := func(reply call.Reply) *residency.Manager {
		m := newSynced(t, 1, "a")
		m.SetNewest(key("a"), 2)
		m.RequestLoad(at(10), key("b"))
		require.Equal(t, call.Unload, nextOrder(t, m, 10).Kind)
		m.RequestLoad(at(11), key("a"))
		m.CancelLoadRequest(key("b"))
		m.HandleReply(at(12), reply)
		return m
	}
	o := nextOrder(t, askedFor(call.Applied), 13)
	require.Equal(t, call.Load, o.Kind)
	require.Equal(t, 2, o.Version)

	m := askedFor(call.Accepted)
	requireIdle(t, m, 13)
	action, _ := m.Next(at(500))
	require.Equal(t, residency.PollReport{}, action)
	m.HandleReport(at(501), call.Report{AcceptedOrders: 6, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	require.Equal(t, residency.Absent, state(m, "a"))
	requireIdle(t, m, 502)
}

// TestLoadOfNewestIsConfirmedAsSuch guards against an order that has a runner go back to an older version: the load of the
// newest one was ordered before this host learned of it.
func TestLoadOfNewestIsConfirmedAsSuch(t *testing.T) {
	m := newSynced(t, 2)
	m.RequestLoad(at(10), key("a"))
	require.Zero(t, nextOrder(t, m, 10).Version)
	m.HandleReply(at(11), call.Accepted)
	m.SetNewest(key("a"), 2)
	require.Zero(t, nextOrder(t, m, 262).Version)
}

// TestEvictsLeastUsed checks that the adapter with the least recent use is
// evicted among those that are not in use, and none that another host uses.
func TestEvictsLeastUsed(t *testing.T) {
	m := newSynced(t, 3, "busy", "warm", "cold")
	m.BeginUse(at(10), key("busy"))
	m.BeginUse(at(10), key("warm"))
	m.EndUse(key("warm"))
	m.RequestLoad(at(20), key("a"))
	o := nextOrder(t, m, 20)
	require.Equal(t, call.Unload, o.Kind)
	require.Equal(t, "cold", o.Adapter)
	m.HandleReply(at(21), call.Applied)
	require.Equal(t, "a", nextOrder(t, m, 22).Adapter)
	m.HandleReply(at(23), call.Accepted)

	m.RecordPeerUse(at(30), key("warm"), "host-1", 1, 1)
	m.RequestLoad(at(31), key("b"))
	spare, available := m.SpareSlots(at(31))
	require.True(t, available)
	require.Negative(t, spare)
	requireIdle(t, m, 31)
	m.RecordPeerUse(at(100), key("warm"), "host-1", 0, 0)
	require.Equal(t, "warm", nextOrder(t, m, 101).Adapter)
}

// TestUnansweredLoadKeepsItsSlot guards against giving away the slot of a load
// whose answer was lost. The load may take effect seconds later, until a later
// order was accepted.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	m := newSynced(t, 1)
	m.RequestLoad(at(10), key("a"))
	nextOrder(t, m, 10)
	m.HandleReply(at(700), call.Unanswered)
	requireIdle(t, m, 750)
	action, _ := m.Next(at(1100))
	require.Equal(t, residency.PollReport{}, action)
	m.HandleReport(at(1101), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	m.CancelLoadRequest(key("a"))
	m.RequestLoad(at(1200), key("b"))
	requireIdle(t, m, 1200)
	m.CancelLoadRequest(key("b"))
	m.RequestLoad(at(14000), key("b"))
	o := nextOrder(t, m, 14000)
	require.Equal(t, "b", o.Adapter)
}

// TestFirstOrderWaitsForPreviousOwner checks that the first order waits until the
// previous owner can no longer send any, except on a runner that never had an order.
func TestFirstOrderWaitsForPreviousOwner(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstOwner bool
		orders     uint64
		waits      bool
	}{
		{"later owner", false, 0, true},
		{"first owner of a runner without orders", true, 0, false},
		{"first owner of a runner that had orders", true, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &residency.Manager{Slots: 1, NotBefore: at(3000), FirstOwner: c.firstOwner}
			m.RequestLoad(at(0), key("a"))
			if c.firstOwner {
				action, _ := m.Next(at(0))
				require.Equal(t, residency.PollReport{}, action)
				m.HandleReport(at(1), call.Report{AcceptedOrders: c.orders, Models: []call.ResidentModel{{Model: model}}})
			}
			action, _ := m.Next(at(2))
			if c.waits {
				require.Nil(t, action)
				return
			}
			require.IsType(t, residency.SendOrder{}, action)
		})
	}
}

// TestEmptyRunnerGetsItsModel checks that a runner without a model, as after a
// crash, gets its model before any adapter.
func TestEmptyRunnerGetsItsModel(t *testing.T) {
	m := &residency.Manager{Slots: 1}
	m.Next(at(0))
	m.HandleReport(at(1), call.Report{})
	require.True(t, m.Empty())
	requireIdle(t, m, 2)
	m.Base, m.BaseLoadTime = model, 600*time.Millisecond
	o := nextOrder(t, m, 3)
	require.Equal(t, call.Order{Kind: call.Load, Model: model}, o)
	m.HandleReply(at(4), call.Accepted)
	require.False(t, m.Empty())
	require.NotEmpty(t, m.UnavailableReason(at(5), key("a")))
	nextOrder(t, m, 700)
	m.HandleReply(at(701), call.Applied)
	require.Empty(t, m.UnavailableReason(at(702), key("a")))
	m.RequestLoad(at(702), key("a"))
	require.Equal(t, "a", nextOrder(t, m, 703).Adapter)
}

// TestNoOrdersAfterFencing checks that nothing is sent once the runner has seen
// another holder.
func TestNoOrdersAfterFencing(t *testing.T) {
	m := newSynced(t, 2)
	done := m.RequestLoad(at(10), key("a"))
	nextOrder(t, m, 10)
	m.HandleReply(at(11), call.Fenced)
	require.True(t, m.Lost())
	require.True(t, closed(done))
	requireIdle(t, m, 60000)
}

// TestCancelledLoadIsNotOrdered checks that an adapter without waiters is not
// loaded.
func TestCancelledLoadIsNotOrdered(t *testing.T) {
	m := newSynced(t, 1, "old")
	m.BeginUse(at(5), key("old"))
	m.RequestLoad(at(10), key("a"))
	m.RequestLoad(at(11), key("a"))
	m.CancelLoadRequest(key("a"))
	require.Equal(t, residency.Requested, state(m, "a"))
	m.CancelLoadRequest(key("a"))
	require.Equal(t, residency.Absent, state(m, "a"))
	m.EndUse(key("old"))
	requireIdle(t, m, 20)
}

// TestStaleReportIsIgnored checks that a report which shows fewer orders than the
// runner has accepted is not applied; the manager stays unsynced and polls again.
func TestStaleReportIsIgnored(t *testing.T) {
	m := newSynced(t, 2)
	m.RequestLoad(at(10), key("a"))
	nextOrder(t, m, 10)
	m.HandleReply(at(11), call.Accepted)
	m.RequestLoad(at(12), key("b"))
	nextOrder(t, m, 12)
	m.HandleReply(at(13), call.Conflict)
	action, _ := m.Next(at(320))
	require.Equal(t, residency.PollReport{}, action)
	m.HandleReport(at(321), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model}}})
	require.False(t, m.Synced())
	require.Equal(t, residency.Loading, state(m, "a"))
}

// TestFewerConcurrentLoadsWhenSlow checks that fewer adapters are loaded at once
// where loads take long, as they do with many at once, and that the adapter with
// the most waiters is loaded first.
func TestFewerConcurrentLoadsWhenSlow(t *testing.T) {
	m := newSynced(t, 10)
	for _, name := range []string{"a", "b", "c", "d"} {
		m.RequestLoad(at(10), key(name))
		nextOrder(t, m, 10)
		m.HandleReply(at(11), call.Accepted)
	}
	for range 4 {
		nextOrder(t, m, 1100)
		m.HandleReply(at(1101), call.Applied)
	}
	now := 1102
	require.Greater(t, m.ExpectedLoadTime(at(now)), 700*time.Millisecond)
	m.RequestLoad(at(now), key("f"))
	m.RequestLoad(at(now), key("g"))
	m.RequestLoad(at(now), key("g"))
	require.Equal(t, "g", nextOrder(t, m, now).Adapter)
	m.HandleReply(at(now+1), call.Accepted)
	requireIdle(t, m, now+2)
	require.Less(t, m.ExpectedLoadTime(at(now+5000)), 400*time.Millisecond, "an old slowdown no longer delays loads")
}

// TestNoSpareSlotsWithoutModel guards against offering the slots of a runner that
// restarted without its model: all are free, but no adapter can be loaded yet. The
// same holds for a new owner's runner before its content is known.
func TestNoSpareSlotsWithoutModel(t *testing.T) {
	m := &residency.Manager{Target: "runner-0", Holder: "host-0", Fence: 7, Slots: 8, LoadTime: 250 * time.Millisecond}
	m.Next(at(0))
	_, available := m.SpareSlots(at(0))
	require.False(t, available)
	m.HandleReport(at(1), call.Report{AcceptedOrders: 0})
	_, available = m.SpareSlots(at(2))
	require.False(t, available)
	_, available = newSynced(t, 8).SpareSlots(at(2))
	require.True(t, available)
}

// TestReservesSlotsOfPreviousIncarnation guards against a delayed order to the
// previous incarnation of a runner. A runner that restarts under its name counts
// orders from zero, so the number in such an order may match again. The slot stays
// reserved, also where the previous incarnation accepted a later order.
func TestReservesSlotsOfPreviousIncarnation(t *testing.T) {
	previous := newSynced(t, 2)
	previous.RequestLoad(at(10), key("late"))
	nextOrder(t, previous, 10)
	previous.HandleReply(at(20), call.Unanswered)
	action, _ := previous.Next(at(400))
	require.Equal(t, residency.PollReport{}, action)
	previous.HandleReport(at(401), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	previous.RequestLoad(at(402), key("b"))
	nextOrder(t, previous, 402)
	previous.HandleReply(at(403), call.Accepted)

	restarted := newSynced(t, 2)
	restarted.ReserveSlots(previous.UncertainLoads())
	spare, _ := restarted.SpareSlots(at(500))
	require.Equal(t, 1, spare)
	restarted.RequestLoad(at(500), key("c"))
	require.Equal(t, "c", nextOrder(t, restarted, 500).Adapter)
	restarted.HandleReply(at(501), call.Accepted)
	restarted.RequestLoad(at(502), key("d"))
	requireIdle(t, restarted, 502)
	restarted.Next(at(14_000))
	require.Equal(t, 1, restarted.SlotUsage(at(14_000)).Loading)
	require.Empty(t, previous.UncertainLoads()[key("b")])
}
