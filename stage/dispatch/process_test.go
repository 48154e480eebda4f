package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/store"
)

// processOf returns the entry of a process of the only target of a service.
func processOf(state catalog.State, port uint16, started time.Time) catalog.Target {
	return catalog.Target{
		Name: "only", Service: plain, Zone: "north-a", Slots: 4, State: state, Started: started,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

// list applies a list of targets to a dispatcher and lets the time for removals pass.
func list(d *dispatch.Dispatcher, ms int, revision uint64, all ...catalog.Target) {
	d.Apply(at(ms), catalog.TargetsListed{Revision: revision, Targets: all})
}

// plainRequest returns a request of a plain service that arrives at the given time.
func plainRequest(ms int) dispatch.Request {
	return dispatch.Request{Call: call.Call{ID: "x"}, Service: plain, Objective: at(ms + 1000), Deadline: at(ms + 6000)}
}

// TestLapsedEntryEndsNoNotice guards against requests to a target that had said that it is
// leaving, wants quiet or limits its requests, and whose entry lapsed for some seconds: its
// process lived on and still means what it said.
func TestLapsedEntryEndsNoNotice(t *testing.T) {
	for name, said := range map[string]notice.Notice{
		"leaving": {Leaving: true}, "quiet": {Quiet: time.Minute}, "limit": {Limit: 0.001},
	} {
		t.Run(name, func(t *testing.T) {
			var d dispatch.Dispatcher
			entry := processOf(catalog.Ready, 1, start)
			list(&d, 0, 1, entry)
			for i := range 2 { // under a limit the second request has to wait
				a := newAttempt(t, &d, plainRequest(i), i)
				if i == 0 {
					a.Heard(at(1), said, notice.Run)
					a.Report(at(1), dispatch.Completed{})
				}
				if said.Limit == 0 {
					break
				}
			}
			requireRefused(t, &d, plainRequest(100), 100)
			list(&d, 1000, 2)
			require.Empty(t, d.Sweep(at(9000)))
			list(&d, 10000, 3, entry)
			requireRefused(t, &d, plainRequest(10001), 10001)
		})
	}
}

// TestAnswerAfterLapsedEntryCounts guards against a notice that is lost since the answer
// with it belongs to an attempt of before the entry of its target lapsed.
func TestAnswerAfterLapsedEntryCounts(t *testing.T) {
	var d dispatch.Dispatcher
	entry := processOf(catalog.Ready, 1, start)
	list(&d, 0, 1, entry)
	a := newAttempt(t, &d, plainRequest(0), 0)
	list(&d, 1000, 2)
	d.Sweep(at(9000))
	list(&d, 10000, 3, entry)
	a.Heard(at(10001), notice.Notice{Leaving: true}, notice.Run)
	requireRefused(t, &d, plainRequest(10002), 10002)
}

// TestRestoredEntryOfRemovedTarget guards against requests to a target that an older copy of
// the store lists as ready, though its removal, or that it is draining, had been acknowledged.
func TestRestoredEntryOfRemovedTarget(t *testing.T) {
	for name, last := range map[string]catalog.State{"ready": catalog.Ready, "draining": catalog.Draining} {
		t.Run(name, func(t *testing.T) {
			var d dispatch.Dispatcher
			list(&d, 0, store.Revision(1, 100), processOf(last, 1, start))
			list(&d, 1000, store.Revision(1, 101))
			d.Sweep(at(4000))
			list(&d, 5000, store.Revision(2, 90), processOf(catalog.Ready, 1, start))
			requireRefused(t, &d, plainRequest(5001), 5001)
			requireRefused(t, &d, plainRequest(6900), 6900)
		})
	}
}

// TestRestoredEntryOfLivingTarget checks that a target whose entry had lapsed while the store
// was away is used again once it has had the time to write, or has written, its entry.
func TestRestoredEntryOfLivingTarget(t *testing.T) {
	entry := processOf(catalog.Ready, 1, start)
	restored := func() *dispatch.Dispatcher {
		var d dispatch.Dispatcher
		list(&d, 0, store.Revision(1, 100), entry)
		list(&d, 1000, store.Revision(1, 101))
		d.Sweep(at(4000))
		list(&d, 5000, store.Revision(2, 90), entry)
		return &d
	}
	newAttempt(t, restored(), plainRequest(7600), 7600)
	d := restored()
	d.Apply(at(5500), catalog.TargetsChanged{Revision: store.Revision(2, 92), Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: entry}}})
	newAttempt(t, d, plainRequest(5501), 5501)
}

// TestRestoredEntryOfFormerProcess guards against an older copy of the store that lists the
// process before the one that has a target's name now: what the present one said still holds,
// and nothing is sent to the former one.
func TestRestoredEntryOfFormerProcess(t *testing.T) {
	var d dispatch.Dispatcher
	former, present := processOf(catalog.Ready, 1, start), processOf(catalog.Ready, 2, at(500))
	list(&d, 0, store.Revision(1, 100), former)
	list(&d, 1000, store.Revision(1, 101), present)
	require.Equal(t, present.Address, newAttempt(t, &d, plainRequest(1001), 1001).Target.Address)

	list(&d, 2000, store.Revision(2, 90), former)
	a := newAttempt(t, &d, plainRequest(2001), 2001)
	require.Equal(t, present.Address, a.Target.Address)
	a.Heard(at(2002), notice.Notice{Leaving: true}, notice.Run)
	requireRefused(t, &d, plainRequest(2003), 2003)

	list(&d, 3000, store.Revision(3, 90), former)
	requireRefused(t, &d, plainRequest(3001), 3001)
	list(&d, 4000, store.Revision(3, 91), present)
	requireRefused(t, &d, plainRequest(4001), 4001)
	require.Empty(t, d.Sweep(at(9000))[1:])
}
