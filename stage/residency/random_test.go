package residency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/call"
	"jacinthstage/stage/residency"
)

// A runner is a naive runner: it takes orders, also late ones, and would crash
// if it were made to hold more adapters than it has places.
type runner struct {
	slots  int
	orders uint64
	held   map[string]bool
	coming map[string]time.Time
	late   []late
}

// A late is an order that is carried out after its sender gave up.
type late struct {
	order call.Order
	due   time.Time
}

func (r *runner) settle(now time.Time) {
	for name, due := range r.coming {
		if !now.Before(due) {
			r.held[name] = true
			delete(r.coming, name)
		}
	}
	rest := r.late[:0]
	for _, l := range r.late {
		if now.Before(l.due) {
			rest = append(rest, l)
			continue
		}
		r.take(now, l.order, time.Second)
	}
	r.late = rest
}

func (r *runner) take(now time.Time, o call.Order, span time.Duration) call.Reply {
	there := r.held[o.Adapter]
	_, moving := r.coming[o.Adapter]
	switch {
	case o.Kind == call.Load && there:
		return call.Applied
	case o.Kind == call.Load && moving:
		return call.Accepted
	case o.AcceptedOrders != r.orders:
		return call.Conflict
	}
	r.orders++
	if o.Kind == call.Unload {
		delete(r.held, o.Adapter)
		return call.Applied
	}
	r.coming[o.Adapter] = now.Add(span)
	return call.Accepted
}

func (r *runner) report() call.Report {
	resident := call.ResidentModel{Model: model, Version: 1}
	for name := range r.held {
		resident.Adapters = append(resident.Adapters, call.AdapterVersion{Model: model, Name: name, Version: 1})
	}
	out := call.Report{AcceptedOrders: r.orders, Models: []call.ResidentModel{resident}}
	for name := range r.coming {
		out.Loading = append(out.Loading, call.AdapterVersion{Model: model, Name: name, Version: 1})
	}
	return out
}

// TestNeverOverItsPlaces drives a shelf and a runner whose answers are lost and
// whose orders come late: the runner is never made to hold more adapters than it
// has places, and once the trouble ends a wish is met.
func TestNeverOverItsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		r := &runner{slots: slots, held: map[string]bool{}, coming: map[string]time.Time{}}
		s := &residency.Manager{Slots: slots, LoadTime: 250 * time.Millisecond}
		now := start
		names := []string{"a", "b", "c", "d", "e"}
		drive := func(faults bool) {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 800}).Draw(t, "pass")) * time.Millisecond)
			r.settle(now)
			action, _ := s.Next(now)
			switch a := action.(type) {
			case residency.PollReport:
				s.HandleReport(now, r.report())
			case residency.SendOrder:
				lost := faults && rapid.IntRange(0, 3).Draw(t, "lost") == 0
				switch {
				case lost && rapid.Bool().Draw(t, "late"):
					r.late = append(r.late, late{a.Order, now.Add(time.Duration(rapid.IntRange(2, 12).Draw(t, "delay")) * time.Second)})
					s.HandleReply(now, call.Unanswered)
				case lost:
					r.take(now, a.Order, 250*time.Millisecond)
					s.HandleReply(now, call.Unanswered)
				default:
					s.HandleReply(now, r.take(now, a.Order, 250*time.Millisecond))
				}
			}
			require.LessOrEqual(t, len(r.held)+len(r.coming), slots)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.RequestLoad(now, key(name))
			case 1:
				s.CancelLoadRequest(key(name))
			}
			drive(true)
		}
		for range 60 {
			drive(false)
		}
		now = now.Add(15 * time.Second)
		for range 40 {
			if state(s, "last") == residency.Absent {
				s.RequestLoad(now, key("last"))
			}
			now = now.Add(100 * time.Millisecond)
			drive(false)
		}
		require.Equal(t, residency.Resident, state(s, "last"))
	})
}
