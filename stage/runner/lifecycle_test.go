package runner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// A harness drives one runner step by step, with an engine that executes every
// order immediately.
type harness struct {
	r              runner.Runner
	now            time.Time
	highest        uint64
	resident       []adapter.Ref
	running        []string // on the first resident adapter
	admitted       []string
	refused        []string
	ordersFinished int
	drained        int
	events         []runner.Event
}

func newHarness(slots int) *harness {
	h := &harness{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	h.r = runner.Runner{Name: "r", Slots: slots, Batch: 16, Fenced: true}
	h.step(runner.Owned{Epoch: 1, LeaseEnd: h.now.Add(time.Hour)})
	return h
}

// step passes an event to the runner, and then the engine's answers to the
// resulting actions.
func (h *harness) step(e runner.Event) {
	h.events = append(h.events, e)
	for len(h.events) > 0 {
		next := h.events[0]
		h.events = h.events[1:]
		for _, action := range h.r.Step(h.now, next) {
			h.act(action)
		}
	}
}

func (h *harness) act(action runner.Action) {
	switch a := action.(type) {
	case runner.Admit:
		h.admitted = append(h.admitted, a.ID)
	case runner.Refuse:
		h.refused = append(h.refused, a.ID)
	case runner.Order:
		h.order(a)
	case runner.RequestPermit:
		h.events = append(h.events, runner.PermitGranted{Ref: a.Ref, Expires: h.now.Add(time.Second)})
	case runner.OrdersFinished:
		h.ordersFinished++
	case runner.Drained:
		h.drained++
	case runner.RequestReport:
		h.events = append(h.events, h.report())
	}
}

func (h *harness) order(o runner.Order) {
	switch o.Kind {
	case runner.Load:
		h.resident = append(h.resident, o.Ref)
	case runner.Unload:
		h.resident = slices.DeleteFunc(h.resident, func(ref adapter.Ref) bool { return ref == o.Ref })
	case runner.Fence:
	}
	h.highest = o.Number
	h.events = append(h.events, runner.Answered{Number: o.Number, Answer: runner.Done, HighestNumber: o.Number, Incarnation: "i"})
}

func (h *harness) report() runner.ReportReceived {
	rep := runner.Report{Number: h.highest, CreatedAt: h.now, Incarnation: "i"}
	for i, ref := range h.resident {
		occupied := runner.OccupiedSlot{Ref: ref}
		if i == 0 {
			occupied.Requests = h.running
		}
		rep.Slots = append(rep.Slots, occupied)
	}
	return runner.ReportReceived{Report: rep}
}

// advance moves the time forward in steps of 10 ms.
func (h *harness) advance(duration time.Duration) {
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.step(runner.Tick{})
	}
}

func (h *harness) arrive(id, name string) {
	h.step(runner.RequestArrived{ID: id, Ref: adapter.Ref{Name: name, Version: "1"}, Caller: "c", Deadline: h.now.Add(time.Minute), MaxTokens: 1})
}

// TestClosedSlotReopens checks that a slot that was closed for a load admits
// requests again once no request waits for the load.
func TestClosedSlotReopens(t *testing.T) {
	h := newHarness(1)
	h.advance(100 * time.Millisecond)
	h.arrive("a1", "a")
	h.advance(time.Second)
	require.Equal(t, []string{"a1"}, h.admitted)
	h.arrive("b1", "b")
	h.advance(5 * time.Second)
	h.arrive("a2", "a")
	h.advance(time.Second)
	require.Equal(t, []string{"a1"}, h.admitted, "the slot drains for b")
	h.step(runner.CallerLeft{ID: "b1"})
	h.advance(time.Second)
	require.Equal(t, []string{"a1", "a2"}, h.admitted)
}

// TestResumeIsAdmittedAtOnce checks that a request that a report showed, or whose
// connection broke, can be resumed by its ID: it already has its pin.
func TestResumeIsAdmittedAtOnce(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		h := newHarness(1)
		h.advance(100 * time.Millisecond)
		h.arrive("a1", "a")
		h.advance(time.Second)
		h.running = []string{"a1"}
		h.step(runner.RequestEnded{ID: "a1", Outcome: runner.Lost})
		h.arrive("a1", "a")
		require.Equal(t, []string{"a1", "a1"}, h.admitted)
		h.running = nil
		h.step(runner.RequestEnded{ID: "a1", Outcome: runner.Served})
		require.Zero(t, h.r.Usage().Running)
	})
	t.Run("of a previous owner", func(t *testing.T) {
		h := &harness{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), resident: []adapter.Ref{{Name: "a", Version: "1"}}}
		h.r = runner.Runner{Name: "r", Slots: 1, Batch: 16, Fenced: true}
		h.running = []string{"a1"}
		h.step(runner.Owned{Epoch: 2, Inherited: true, LatestDeadline: h.now.Add(time.Minute), LeaseEnd: h.now.Add(time.Hour)})
		h.advance(100 * time.Millisecond)
		h.arrive("a1", "a")
		require.Equal(t, []string{"a1"}, h.admitted)
	})
	t.Run("in progress", func(t *testing.T) {
		h := newHarness(1)
		h.advance(100 * time.Millisecond)
		h.arrive("a1", "a")
		h.advance(time.Second)
		h.arrive("a1", "a")
		require.Equal(t, []string{"a1"}, h.admitted)
		require.Equal(t, []string{"a1"}, h.refused)
	})
}

// TestNotDrainedWhileInherited checks that a runner is not reported as drained
// while requests of its previous owner may still run.
func TestNotDrainedWhileInherited(t *testing.T) {
	h := newHarness(1)
	h.step(runner.Owned{Epoch: 2, Inherited: true, LatestDeadline: h.now.Add(time.Minute), LeaseEnd: h.now.Add(time.Hour)})
	require.True(t, h.r.Usage().Inherited)
	h.step(runner.HandoverStarted{})
	require.Equal(t, 1, h.ordersFinished)
	require.Zero(t, h.drained)
	h.advance(5 * time.Second)
	require.False(t, h.r.Usage().Inherited)
	require.Equal(t, 1, h.drained)
}

// TestEstimateRecoversFromPause checks the estimated time per token after a pause of
// the host, in which the requests in progress appear to have run for a long time. A
// few requests at full speed must be enough for a long request to be admitted again.
func TestEstimateRecoversFromPause(t *testing.T) {
	h := newHarness(1)
	h.advance(100 * time.Millisecond)
	request := func(id string, tokens int) {
		h.step(runner.RequestArrived{ID: id, Ref: adapter.Ref{Name: "a", Version: "1"}, Caller: "c", Deadline: h.now.Add(15 * time.Second), MaxTokens: tokens})
	}
	serve := func(id string, duration time.Duration) {
		h.advance(duration)
		h.step(runner.RequestEnded{ID: id, Outcome: runner.Served})
	}
	request("warm", 32)
	serve("warm", 640*time.Millisecond)
	for i := range 16 {
		request(fmt.Sprint("paused", i), 32)
	}
	h.advance(9 * time.Second)
	for i := range 16 {
		serve(fmt.Sprint("paused", i), 0)
	}
	for i := range 5 {
		request(fmt.Sprint("short", i), 8)
		serve(fmt.Sprint("short", i), 160*time.Millisecond)
	}
	request("long", 256)
	require.Empty(t, h.refused)
	require.Contains(t, h.admitted, "long")
}

// TestNewEpochOfSameProcess checks that a new epoch of the same process, as after a
// pause in which its lease was broken, inherits no requests: the process knows its
// own requests.
func TestNewEpochOfSameProcess(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			h := &harness{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			h.r = runner.Runner{Name: "r", Slots: 1, Batch: 16, Fenced: fenced}
			h.step(runner.Owned{Epoch: 1, LeaseEnd: h.now.Add(time.Hour)})
			h.advance(100 * time.Millisecond)
			h.arrive("a1", "a")
			h.advance(time.Second)
			require.Equal(t, []string{"a1"}, h.admitted)
			h.running = []string{"a1"}
			h.step(runner.LeaseExpired{})
			h.step(runner.Owned{Epoch: 2, Continuous: true, LatestDeadline: h.now.Add(2 * time.Minute), LeaseEnd: h.now.Add(time.Hour)})
			h.arrive("b1", "b")
			h.advance(time.Second)
			require.Equal(t, []string{"a1"}, h.admitted, "a is in use")
			h.running = nil
			h.step(runner.RequestEnded{ID: "a1", Outcome: runner.Served})
			h.advance(time.Second)
			require.Equal(t, []string{"a1", "b1"}, h.admitted)
		})
	}
}
