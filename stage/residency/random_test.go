package residency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/call"
	"jacinthstage/stage/residency"
)

// A runner is a simple model of a runner. It carries out every order, also a
// delayed one, and does not check that the adapters that it holds fit its slots.
type runner struct {
	slots    int
	orders   uint64
	resident map[string]bool
	loading  map[string]time.Time
	delayed  []delayedOrder
}

// A delayedOrder is an order that is carried out after its sender gave up.
type delayedOrder struct {
	order call.Order
	due   time.Time
}

// advance completes the loads and carries out the delayed orders that are due.
func (r *runner) advance(now time.Time) {
	for name, due := range r.loading {
		if !now.Before(due) {
			r.resident[name] = true
			delete(r.loading, name)
		}
	}
	rest := r.delayed[:0]
	for _, d := range r.delayed {
		if now.Before(d.due) {
			rest = append(rest, d)
			continue
		}
		r.execute(now, d.order, time.Second)
	}
	r.delayed = rest
}

// execute carries out an order. A load takes the given time.
func (r *runner) execute(now time.Time, o call.Order, loadTime time.Duration) call.Reply {
	resident := r.resident[o.Adapter]
	_, loading := r.loading[o.Adapter]
	switch {
	case o.Kind == call.Load && resident:
		return call.Applied
	case o.Kind == call.Load && loading:
		return call.Accepted
	case o.AcceptedOrders != r.orders:
		return call.Conflict
	}
	r.orders++
	if o.Kind == call.Unload {
		delete(r.resident, o.Adapter)
		return call.Applied
	}
	r.loading[o.Adapter] = now.Add(loadTime)
	return call.Accepted
}

func (r *runner) report() call.Report {
	resident := call.ResidentModel{Model: model, Version: 1}
	for name := range r.resident {
		resident.Adapters = append(resident.Adapters, call.AdapterVersion{Model: model, Name: name, Version: 1})
	}
	out := call.Report{AcceptedOrders: r.orders, Models: []call.ResidentModel{resident}}
	for name := range r.loading {
		out.Loading = append(out.Loading, call.AdapterVersion{Model: model, Name: name, Version: 1})
	}
	return out
}

// TestNeverExceedsSlots drives a manager and a runner whose replies get lost and
// whose orders are delayed. The runner must never be made to hold more adapters
// than it has slots, which would crash it, and a load request made after the
// faults have ended must be fulfilled.
func TestNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		r := &runner{slots: slots, resident: map[string]bool{}, loading: map[string]time.Time{}}
		m := &residency.Manager{Slots: slots, LoadTime: 250 * time.Millisecond}
		now := start
		names := []string{"a", "b", "c", "d", "e"}
		step := func(faults bool) {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 800}).Draw(t, "elapsed")) * time.Millisecond)
			r.advance(now)
			action, _ := m.Next(now)
			switch a := action.(type) {
			case residency.PollReport:
				m.HandleReport(now, r.report())
			case residency.SendOrder:
				lost := faults && rapid.IntRange(0, 3).Draw(t, "lost") == 0
				switch {
				case lost && rapid.Bool().Draw(t, "late"):
					r.delayed = append(r.delayed, delayedOrder{a.Order, now.Add(time.Duration(rapid.IntRange(2, 12).Draw(t, "delay")) * time.Second)})
					m.HandleReply(now, call.Unanswered)
				case lost:
					r.execute(now, a.Order, 250*time.Millisecond)
					m.HandleReply(now, call.Unanswered)
				default:
					m.HandleReply(now, r.execute(now, a.Order, 250*time.Millisecond))
				}
			}
			require.LessOrEqual(t, len(r.resident)+len(r.loading), slots)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.RequestLoad(now, key(name))
			case 1:
				m.CancelLoadRequest(key(name))
			}
			step(true)
		}
		for range 60 {
			step(false)
		}
		now = now.Add(15 * time.Second)
		for range 40 {
			if state(m, "last") == residency.Absent {
				m.RequestLoad(now, key("last"))
			}
			now = now.Add(100 * time.Millisecond)
			step(false)
		}
		require.Equal(t, residency.Resident, state(m, "last"))
	})
}
