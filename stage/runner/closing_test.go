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

// A desk drives one runner by hand, with an engine that does at once what it is told.
type desk struct {
	r        runner.Runner
	now      time.Time
	highest  uint64
	resident []adapter.Ref
	running  []string // on the first resident adapter
	admitted []string
	refused  []string
	quiet    int
	empty    int
	events   []runner.Event
}

func newDesk(slots int) *desk {
	d := &desk{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	d.r = runner.Runner{Name: "r", Slots: slots, Batch: 16, Fenced: true}
	d.step(runner.Owned{Epoch: 1, LeaseEnd: d.now.Add(time.Hour)})
	return d
}

// step gives the runner an event and then the engine's answers to what it does.
func (d *desk) step(e runner.Event) {
	d.events = append(d.events, e)
	for len(d.events) > 0 {
		next := d.events[0]
		d.events = d.events[1:]
		for _, action := range d.r.Step(d.now, next) {
			d.act(action)
		}
	}
}

func (d *desk) act(action runner.Action) {
	switch a := action.(type) {
	case runner.Admit:
		d.admitted = append(d.admitted, a.ID)
	case runner.Refuse:
		d.refused = append(d.refused, a.ID)
	case runner.Order:
		d.order(a)
	case runner.RequestPermit:
		d.events = append(d.events, runner.PermitGranted{Ref: a.Ref, Expires: d.now.Add(time.Second)})
	case runner.OrdersFinished:
		d.quiet++
	case runner.Drained:
		d.empty++
	case runner.RequestReport:
		d.events = append(d.events, d.report())
	}
}

func (d *desk) order(o runner.Order) {
	switch o.Kind {
	case runner.Load:
		d.resident = append(d.resident, o.Ref)
	case runner.Unload:
		d.resident = slices.DeleteFunc(d.resident, func(ref adapter.Ref) bool { return ref == o.Ref })
	case runner.Fence:
	}
	d.highest = o.Number
	d.events = append(d.events, runner.Answered{Number: o.Number, Answer: runner.Done, HighestNumber: o.Number, Incarnation: "i"})
}

func (d *desk) report() runner.ReportReceived {
	rep := runner.Report{Number: d.highest, CreatedAt: d.now, Incarnation: "i"}
	for i, ref := range d.resident {
		occupied := runner.OccupiedSlot{Ref: ref}
		if i == 0 {
			occupied.Requests = d.running
		}
		rep.Slots = append(rep.Slots, occupied)
	}
	return runner.ReportReceived{Report: rep}
}

// pass lets time pass in small steps.
func (d *desk) pass(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		d.step(runner.Tick{})
	}
}

func (d *desk) arrive(id, name string) {
	d.step(runner.RequestArrived{ID: id, Ref: adapter.Ref{Name: name, Version: "1"}, Caller: "c", Deadline: d.now.Add(time.Minute), MaxTokens: 1})
}

// A slot that was closed for a load admits again once nobody waits for the load.
func TestClosedSlotOpensAgain(t *testing.T) {
	d := newDesk(1)
	d.pass(100 * time.Millisecond)
	d.arrive("a1", "a")
	d.pass(time.Second)
	require.Equal(t, []string{"a1"}, d.admitted)
	d.arrive("b1", "b")
	d.pass(5 * time.Second)
	d.arrive("a2", "a")
	d.pass(time.Second)
	require.Equal(t, []string{"a1"}, d.admitted, "the slot drains for b")
	d.step(runner.CallerLeft{ID: "b1"})
	d.pass(time.Second)
	require.Equal(t, []string{"a1", "a2"}, d.admitted)
}

// A request that a report showed, or whose connection broke, can be taken up
// again by its ID: it has its pin already.
func TestResumeIsAdmittedAtOnce(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		d := newDesk(1)
		d.pass(100 * time.Millisecond)
		d.arrive("a1", "a")
		d.pass(time.Second)
		d.running = []string{"a1"}
		d.step(runner.RequestEnded{ID: "a1", Outcome: runner.Lost})
		d.arrive("a1", "a")
		require.Equal(t, []string{"a1", "a1"}, d.admitted)
		d.running = nil
		d.step(runner.RequestEnded{ID: "a1", Outcome: runner.Served})
		require.Zero(t, d.r.Usage().Running)
	})
	t.Run("of an earlier owner", func(t *testing.T) {
		d := &desk{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), resident: []adapter.Ref{{Name: "a", Version: "1"}}}
		d.r = runner.Runner{Name: "r", Slots: 1, Batch: 16, Fenced: true}
		d.running = []string{"a1"}
		d.step(runner.Owned{Epoch: 2, Inherited: true, LatestDeadline: d.now.Add(time.Minute), LeaseEnd: d.now.Add(time.Hour)})
		d.pass(100 * time.Millisecond)
		d.arrive("a1", "a")
		require.Equal(t, []string{"a1"}, d.admitted)
	})
	t.Run("in progress", func(t *testing.T) {
		d := newDesk(1)
		d.pass(100 * time.Millisecond)
		d.arrive("a1", "a")
		d.pass(time.Second)
		d.arrive("a1", "a")
		require.Equal(t, []string{"a1"}, d.admitted)
		require.Equal(t, []string{"a1"}, d.refused)
	})
}

// A runner whose earlier owner may still have requests on it is not drained,
// whoever asks for it next.
func TestNotEmptyWhileInherited(t *testing.T) {
	d := newDesk(1)
	d.step(runner.Owned{Epoch: 2, Inherited: true, LatestDeadline: d.now.Add(time.Minute), LeaseEnd: d.now.Add(time.Hour)})
	require.True(t, d.r.Usage().Inherited)
	d.step(runner.HandoverStarted{})
	require.Equal(t, 1, d.quiet)
	require.Zero(t, d.empty)
	d.pass(5 * time.Second)
	require.False(t, d.r.Usage().Inherited)
	require.Equal(t, 1, d.empty)
}

// After a pause of the host its requests in progress seem to have run for long.
// A few at full speed must be enough for a long request to be admitted again.
func TestPaceRecoversFromAPause(t *testing.T) {
	d := newDesk(1)
	d.pass(100 * time.Millisecond)
	ask := func(id string, tokens int) {
		d.step(runner.RequestArrived{ID: id, Ref: adapter.Ref{Name: "a", Version: "1"}, Caller: "c", Deadline: d.now.Add(15 * time.Second), MaxTokens: tokens})
	}
	serve := func(id string, took time.Duration) {
		d.pass(took)
		d.step(runner.RequestEnded{ID: id, Outcome: runner.Served})
	}
	ask("warm", 32)
	serve("warm", 640*time.Millisecond)
	for i := range 16 {
		ask(fmt.Sprint("paused", i), 32)
	}
	d.pass(9 * time.Second)
	for i := range 16 {
		serve(fmt.Sprint("paused", i), 0)
	}
	for i := range 5 {
		ask(fmt.Sprint("short", i), 8)
		serve(fmt.Sprint("short", i), 160*time.Millisecond)
	}
	ask("long", 256)
	require.Empty(t, d.refused)
	require.Contains(t, d.admitted, "long")
}

// A new epoch of the same process, as after a pause in which its lease was
// broken, inherits nothing: the process knows its own requests.
func TestNewEpochOfTheSameProcess(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			d := &desk{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			d.r = runner.Runner{Name: "r", Slots: 1, Batch: 16, Fenced: fenced}
			d.step(runner.Owned{Epoch: 1, LeaseEnd: d.now.Add(time.Hour)})
			d.pass(100 * time.Millisecond)
			d.arrive("a1", "a")
			d.pass(time.Second)
			require.Equal(t, []string{"a1"}, d.admitted)
			d.running = []string{"a1"}
			d.step(runner.LeaseLapsed{})
			d.step(runner.Owned{Epoch: 2, Continuous: true, LatestDeadline: d.now.Add(2 * time.Minute), LeaseEnd: d.now.Add(time.Hour)})
			d.arrive("b1", "b")
			d.pass(time.Second)
			require.Equal(t, []string{"a1"}, d.admitted, "a is in use")
			d.running = nil
			d.step(runner.RequestEnded{ID: "a1", Outcome: runner.Served})
			d.pass(time.Second)
			require.Equal(t, []string{"a1", "b1"}, d.admitted)
		})
	}
}
