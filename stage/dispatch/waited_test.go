package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
)

// TestWaitedRequestOfLeavingTarget guards against a request that waited for its adapter, or for credit,
// and is sent to a target that left meanwhile according to its entry (DRAIN).
func TestWaitedRequestOfLeavingTarget(t *testing.T) {
	ready, other := processOf(catalog.Ready, 1, start), processOf(catalog.Ready, 2, at(1000))
	for name, x := range map[string]struct {
		change  func(d *dispatch.Dispatcher)
		willing bool
	}{
		"stays":    {func(d *dispatch.Dispatcher) { list(d, 1000, 2, ready) }, true},
		"draining": {func(d *dispatch.Dispatcher) { list(d, 1000, 2, processOf(catalog.Draining, 1, start)) }, false},
		"drained and gone": {func(d *dispatch.Dispatcher) {
			list(d, 1000, 2, processOf(catalog.Draining, 1, start))
			list(d, 2000, 3)
		}, false},
		"gone":            {func(d *dispatch.Dispatcher) { list(d, 1000, 2); d.Sweep(at(3000)) }, false},
		"another process": {func(d *dispatch.Dispatcher) { list(d, 1000, 2, other) }, false},
		"another service": {func(d *dispatch.Dispatcher) {
			moved := ready
			moved.Service = service
			list(d, 1000, 2, moved)
		}, false},
		"lapsed and back": {func(d *dispatch.Dispatcher) {
			list(d, 1000, 2)
			d.Sweep(at(3000))
			list(d, 4000, 3, ready)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var d dispatch.Dispatcher
			list(&d, 0, 1, ready)
			a := newAttempt(t, &d, plainRequest(0), 0)
			x.change(&d)
			require.Equal(t, x.willing, a.Willing(at(5000)))
		})
	}
}

// TestOwnersAnswerAfterRemoval guards against a request that was picked for a runner within the grace
// period after its removal, and is sent there once an owner has answered, past that period (DRAIN).
func TestOwnersAnswerAfterRemoval(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	d.Apply(at(0), catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "runner-0"}}})
	a := newAttempt(t, d, request("a7", 100, 1450), 1450)
	require.NotEmpty(t, a.Owner.Host)
	d.Sweep(at(2000))
	require.True(t, a.OwnerReplied(at(2200), dispatch.Loaded{}))
	require.False(t, a.Willing(at(2200)))
}

// TestAcceptsNoneForRemovedTarget guards against a host that sends requests of another one to a target
// whose removal it has seen long ago itself (DRAIN).
func TestAcceptsNoneForRemovedTarget(t *testing.T) {
	var d dispatch.Dispatcher
	entry := processOf(catalog.Ready, 1, start)
	list(&d, 0, 1, entry)
	require.True(t, d.Accepts(at(10), entry))
	list(&d, 1000, 2)
	require.True(t, d.Accepts(at(1100), entry), "the entry may be back soon")
	d.Sweep(at(5000))
	require.False(t, d.Accepts(at(5000), entry))
	list(&d, 6000, 3, entry)
	require.True(t, d.Accepts(at(6010), entry))
	d.Heard(at(6020), at(6015), entry, notice.Notice{Leaving: true}, notice.Run)
	require.False(t, d.Accepts(at(6030), entry))
}

// TestNoWaitForLoadOnLeavingRunner guards against requests that are held until their deadline for a load on
// a runner which leaves before it is ordered.
func TestNoWaitForLoadOnLeavingRunner(t *testing.T) {
	for name, leaves := range map[string]func(d *dispatch.Dispatcher){
		"entry": func(d *dispatch.Dispatcher) {
			gone := runner(0, "north-a")
			gone.State = catalog.Draining
			d.Apply(at(11), catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: gone}}})
		},
		"answer": func(d *dispatch.Dispatcher) {
			require.True(t, d.Heard(at(11), at(10), runner(0, "north-a"), notice.Notice{Leaving: true}, notice.Other))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher("host-0", "north-a", 1, nil)
			d.Acquire("runner-0", 3, start, false)
			d.Tasks(at(0))
			d.HandleReport(at(1), "runner-0", &call.Report{Models: []call.ResidentModel{{Model: model, Version: 1}}})
			a := newAttempt(t, d, request("a", 100, 10), 10)
			require.NotNil(t, a.Loaded)
			leaves(d)
			for ms := 20; ms <= 5000; ms += 100 {
				tasks, _ := d.Tasks(at(ms))
				require.Empty(t, tasks, "nothing is ordered")
			}
			select {
			case <-a.Loaded:
			default:
				t.Fatal("it waits still after 5 s")
			}
			require.False(t, a.Ready(at(5000)))
		})
	}
}
