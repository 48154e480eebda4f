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

// synced returns a shelf that knows its runner to hold adapters in version 1.
func synced(t *testing.T, slots int, adapters ...string) *residency.Manager {
	s := &residency.Manager{Target: "runner-0", Holder: "host-0", Fence: 7, Slots: slots, LoadTime: 250 * time.Millisecond}
	action, _ := s.Next(at(0))
	require.Equal(t, residency.PollReport{}, action)
	resident := call.ResidentModel{Model: model, Version: 1}
	for _, a := range adapters {
		resident.Adapters = append(resident.Adapters, call.AdapterVersion{Model: model, Name: a, Version: 1})
	}
	s.HandleReport(at(1), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{resident}})
	return s
}

// order returns the order that the shelf sends now.
func order(t *testing.T, s *residency.Manager, ms int) call.Order {
	action, _ := s.Next(at(ms))
	require.IsType(t, residency.SendOrder{}, action)
	return action.(residency.SendOrder).Order
}

func none(t *testing.T, s *residency.Manager, ms int) {
	action, _ := s.Next(at(ms))
	require.Nil(t, action)
}

func state(s *residency.Manager, adapter string) residency.State {
	got, _, _ := s.Lookup(key(adapter))
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

// TestLoadIsConfirmed: an adapter counts as there once the runner says so, and
// an order that is sent again while it is on its way isn't counted.
func TestLoadIsConfirmed(t *testing.T) {
	s := synced(t, 2)
	arrived := s.RequestLoad(at(10), key("a"))
	o := order(t, s, 10)
	require.Equal(t, call.Order{Kind: call.Load, Model: model, Adapter: "a", Holder: "host-0", Fence: 7, AcceptedOrders: 5, Target: "runner-0"}, o)
	s.HandleReply(at(12), call.Accepted)
	require.Equal(t, residency.Loading, state(s, "a"))
	none(t, s, 100)

	require.EqualValues(t, 6, order(t, s, 263).AcceptedOrders)
	s.HandleReply(at(264), call.Accepted)
	require.False(t, closed(arrived))
	require.EqualValues(t, 6, order(t, s, 310).AcceptedOrders, "the runner does not count an order for what is on its way")
	s.HandleReply(at(311), call.Applied)
	require.True(t, closed(arrived))
	require.Equal(t, residency.Resident, state(s, "a"))

	s.RequestLoad(at(400), key("b"))
	require.EqualValues(t, 6, order(t, s, 400).AcceptedOrders, "nor one for what is there")
}

// TestReplacementLeavesTheRunnerOpen: a new version of an adapter in use waits
// at the runner for its runs; other orders go out meanwhile.
func TestReplacementLeavesTheRunnerOpen(t *testing.T) {
	s := synced(t, 3, "hot")
	s.SetNewest(key("hot"), 2)
	o := order(t, s, 10)
	require.Equal(t, 2, o.Version)
	s.HandleReply(at(11), call.Accepted)
	require.Equal(t, residency.Resident, state(s, "hot"))

	s.RequestLoad(at(20), key("a"))
	o = order(t, s, 20)
	require.Equal(t, "a", o.Adapter)
	require.EqualValues(t, 5, o.AcceptedOrders, "a replacement that waits isn't counted")
	s.HandleReply(at(21), call.Accepted)
	o = order(t, s, 330)
	require.Contains(t, []string{"hot", "a"}, o.Adapter)
}

// TestLeastUsedMakesWay: of the adapters that nobody uses the one of least
// recent use makes way, and none that another host uses.
func TestLeastUsedMakesWay(t *testing.T) {
	s := synced(t, 3, "busy", "warm", "cold")
	s.BeginUse(at(10), key("busy"))
	s.BeginUse(at(10), key("warm"))
	s.EndUse(key("warm"))
	s.RequestLoad(at(20), key("a"))
	o := order(t, s, 20)
	require.Equal(t, call.Unload, o.Kind)
	require.Equal(t, "cold", o.Adapter)
	s.HandleReply(at(21), call.Applied)
	require.Equal(t, "a", order(t, s, 22).Adapter)
	s.HandleReply(at(23), call.Accepted)

	s.RecordPeerUse(at(30), key("warm"), "host-1", 1, 1)
	s.RequestLoad(at(31), key("b"))
	spare, open := s.SpareSlots(at(31))
	require.True(t, open)
	require.Negative(t, spare)
	none(t, s, 31)
	s.RecordPeerUse(at(100), key("warm"), "host-1", 0, 0)
	require.Equal(t, "warm", order(t, s, 101).Adapter)
}

// TestUnansweredOrderKeepsItsPlace: a load whose answer was lost may take effect
// seconds later, so its place isn't given away before a later order is accepted.
func TestUnansweredOrderKeepsItsPlace(t *testing.T) {
	s := synced(t, 1)
	s.RequestLoad(at(10), key("a"))
	order(t, s, 10)
	s.HandleReply(at(700), call.Unanswered)
	none(t, s, 750)
	action, _ := s.Next(at(1100))
	require.Equal(t, residency.PollReport{}, action)
	s.HandleReport(at(1101), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	s.CancelLoadRequest(key("a"))
	s.RequestLoad(at(1200), key("b"))
	none(t, s, 1200)
	s.CancelLoadRequest(key("b"))
	s.RequestLoad(at(14000), key("b"))
	o := order(t, s, 14000)
	require.Equal(t, "b", o.Adapter)
}

// TestTurnOfHolders: the first order waits until the former owner's turn is
// over, but not on a runner that never had an order.
func TestTurnOfHolders(t *testing.T) {
	for _, c := range []struct {
		name   string
		fresh  bool
		orders uint64
		waits  bool
	}{
		{"taken over", false, 0, true},
		{"first owner, no order yet", true, 0, false},
		{"first owner of a runner that had orders", true, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &residency.Manager{Slots: 1, NotBefore: at(3000), FirstOwner: c.fresh}
			s.RequestLoad(at(0), key("a"))
			if c.fresh {
				action, _ := s.Next(at(0))
				require.Equal(t, residency.PollReport{}, action)
				s.HandleReport(at(1), call.Report{AcceptedOrders: c.orders, Models: []call.ResidentModel{{Model: model}}})
			}
			action, _ := s.Next(at(2))
			if c.waits {
				require.Nil(t, action)
				return
			}
			require.IsType(t, residency.SendOrder{}, action)
		})
	}
}

// TestEmptyRunnerGetsItsModel: a runner that came back from a crash holds no
// model, and gets one before any adapter.
func TestEmptyRunnerGetsItsModel(t *testing.T) {
	s := &residency.Manager{Slots: 1}
	s.Next(at(0))
	s.HandleReport(at(1), call.Report{})
	require.True(t, s.Empty())
	none(t, s, 2)
	s.Base, s.BaseLoadTime = model, 600*time.Millisecond
	o := order(t, s, 3)
	require.Equal(t, call.Order{Kind: call.Load, Model: model}, o)
	s.HandleReply(at(4), call.Accepted)
	require.False(t, s.Empty())
	require.NotEmpty(t, s.UnavailableReason(at(5), key("a")))
	order(t, s, 700)
	s.HandleReply(at(701), call.Applied)
	require.Empty(t, s.UnavailableReason(at(702), key("a")))
	s.RequestLoad(at(702), key("a"))
	require.Equal(t, "a", order(t, s, 703).Adapter)
}

// TestFencedEndsAllOrders: after another holder was seen nothing goes out.
func TestFencedEndsAllOrders(t *testing.T) {
	s := synced(t, 2)
	arrived := s.RequestLoad(at(10), key("a"))
	order(t, s, 10)
	s.HandleReply(at(11), call.Fenced)
	require.True(t, s.Lost())
	require.True(t, closed(arrived))
	none(t, s, 60000)
}

// TestWishWithoutWaiter: an adapter that nobody waits for any more isn't loaded.
func TestWishWithoutWaiter(t *testing.T) {
	s := synced(t, 1, "old")
	s.BeginUse(at(5), key("old"))
	s.RequestLoad(at(10), key("a"))
	s.RequestLoad(at(11), key("a"))
	s.CancelLoadRequest(key("a"))
	require.Equal(t, residency.Requested, state(s, "a"))
	s.CancelLoadRequest(key("a"))
	require.Equal(t, residency.Absent, state(s, "a"))
	s.EndUse(key("old"))
	none(t, s, 20)
}

// TestOldReport: a report that lags behind the orders is asked for again.
func TestOldReport(t *testing.T) {
	s := synced(t, 2)
	s.RequestLoad(at(10), key("a"))
	order(t, s, 10)
	s.HandleReply(at(11), call.Accepted)
	s.RequestLoad(at(12), key("b"))
	order(t, s, 12)
	s.HandleReply(at(13), call.Conflict)
	action, _ := s.Next(at(320))
	require.Equal(t, residency.PollReport{}, action)
	s.HandleReport(at(321), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model}}})
	require.False(t, s.Synced())
	require.Equal(t, residency.Loading, state(s, "a"))
}

// TestSlowLoads: where loads take long, as with many at once, fewer are on their
// way, and the adapter that most requests wait for comes first.
func TestSlowLoads(t *testing.T) {
	s := synced(t, 10)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.RequestLoad(at(10), key(name))
		order(t, s, 10)
		s.HandleReply(at(11), call.Accepted)
	}
	for range 4 {
		order(t, s, 1100)
		s.HandleReply(at(1101), call.Applied)
	}
	now := 1102
	require.Greater(t, s.ExpectedLoadTime(at(now)), 700*time.Millisecond)
	s.RequestLoad(at(now), key("f"))
	s.RequestLoad(at(now), key("g"))
	s.RequestLoad(at(now), key("g"))
	require.Equal(t, "g", order(t, s, now).Adapter)
	s.HandleReply(at(now+1), call.Accepted)
	none(t, s, now+2)
	require.Less(t, s.ExpectedLoadTime(at(now+5000)), 400*time.Millisecond, "slow loads of long ago hold up none")
}

// TestRestartedRunnerIsClosed: a runner that came back without its model has all
// places free, but no adapter can be had there yet. So it is in a new owner's
// hands before its content is known.
func TestRestartedRunnerIsClosed(t *testing.T) {
	s := &residency.Manager{Target: "runner-0", Holder: "host-0", Fence: 7, Slots: 8, LoadTime: 250 * time.Millisecond}
	s.Next(at(0))
	_, open := s.SpareSlots(at(0))
	require.False(t, open)
	s.HandleReport(at(1), call.Report{AcceptedOrders: 0})
	_, open = s.SpareSlots(at(2))
	require.False(t, open)
	_, open = synced(t, 8).SpareSlots(at(2))
	require.True(t, open)
}

// TestLateOrderOfAFormerLife: a runner that starts again under its name counts
// orders from zero, so a late order of its former life may fit. Its place stays
// reserved, also where a later order of that life was accepted.
func TestLateOrderOfAFormerLife(t *testing.T) {
	old := synced(t, 2)
	old.RequestLoad(at(10), key("late"))
	order(t, old, 10)
	old.HandleReply(at(20), call.Unanswered)
	action, _ := old.Next(at(400))
	require.Equal(t, residency.PollReport{}, action)
	old.HandleReport(at(401), call.Report{AcceptedOrders: 5, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	old.RequestLoad(at(402), key("b"))
	order(t, old, 402)
	old.HandleReply(at(403), call.Accepted)

	reborn := synced(t, 2)
	reborn.ReserveSlots(old.UncertainLoads())
	spare, _ := reborn.SpareSlots(at(500))
	require.Equal(t, 1, spare)
	reborn.RequestLoad(at(500), key("c"))
	require.Equal(t, "c", order(t, reborn, 500).Adapter)
	reborn.HandleReply(at(501), call.Accepted)
	reborn.RequestLoad(at(502), key("d"))
	none(t, reborn, 502)
	reborn.Next(at(14_000))
	require.Equal(t, 1, reborn.SlotUsage(at(14_000)).Loading)
	require.Empty(t, old.UncertainLoads()[key("b")])
}
