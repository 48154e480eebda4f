package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/store"
)

// TestRestoredListOfTargets guards against targets that are taken for gone, or for ready
// again, because the store has come back from a copy some seconds old: those that live write
// their entries again within two seconds.
func TestRestoredListOfTargets(t *testing.T) {
	var d dispatch.Dispatcher
	target := func(name string, state catalog.State) catalog.Target {
		return catalog.Target{Name: name, Service: "s", State: state, Started: time.UnixMilli(5), Slots: 4}
	}
	list := func(at time.Time, revision uint64, all ...catalog.Target) []catalog.Target {
		return d.Apply(at, catalog.TargetsListed{Revision: revision, Targets: all})
	}
	names := func(at time.Time) map[string]catalog.State {
		out := make(map[string]catalog.State)
		for _, t := range d.Sweep(at) {
			out[t.Name] = t.State
		}
		return out
	}
	list(start, store.Revision(1, 100), target("new", catalog.Ready), target("old", catalog.Ready), target("leaves", catalog.Draining))

	restored := start.Add(time.Minute)
	ended := list(restored, store.Revision(2, 90), target("old", catalog.Ready), target("leaves", catalog.Ready))
	require.Empty(t, ended, "a missing entry doesn't show that a target has ended")
	require.Equal(t, map[string]catalog.State{"new": catalog.Ready, "old": catalog.Ready, "leaves": catalog.Draining}, names(restored.Add(2*time.Second)))

	d.Apply(restored.Add(2*time.Second), catalog.TargetsChanged{Revision: store.Revision(2, 91), Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: target("new", catalog.Ready)}}})
	require.Contains(t, names(restored.Add(time.Minute)), "new", "it is back")

	again := restored.Add(2 * time.Minute)
	list(again, store.Revision(3, 90), target("old", catalog.Ready))
	require.Contains(t, names(again.Add(2*time.Second)), "new")
	require.NotContains(t, names(again.Add(3*time.Second)), "new", "what is missing then is gone")
}

// TestRestoredListIsReadTwice guards against a target that lives and isn't used although it has written its
// entry again, because the list without it was read twice after the store had come back from an older copy.
func TestRestoredListIsReadTwice(t *testing.T) {
	var d dispatch.Dispatcher
	entry := processOf(catalog.Ready, 1, start)
	list(&d, 0, store.Revision(1, 100), entry)
	list(&d, 5000, store.Revision(2, 90))
	list(&d, 5100, store.Revision(2, 90))
	list(&d, 6000, store.Revision(2, 91), entry)
	newAttempt(t, &d, plainRequest(6010), 6010)

	list(&d, 60_000, store.Revision(3, 80))
	list(&d, 60_100, store.Revision(3, 80))
	require.Empty(t, d.Sweep(at(63_000)))
	list(&d, 64_000, store.Revision(4, 70), entry)
	requireRefused(t, &d, plainRequest(64_010), 64_010) // it was gone when the time to write had passed
}

// TestRemovalIsAcknowledgedSoonAfterRestore guards against requests to a target whose removal was acknowledged
// right after the store had come back from an older copy, before it came back from another one (DRAIN).
func TestRemovalIsAcknowledgedSoonAfterRestore(t *testing.T) {
	var d dispatch.Dispatcher
	entry := processOf(catalog.Ready, 1, start)
	list(&d, 0, store.Revision(1, 100), entry)
	list(&d, 5000, store.Revision(2, 90), entry)
	list(&d, 5100, store.Revision(2, 91))
	list(&d, 5500, store.Revision(3, 80), entry)
	requireRefused(t, &d, plainRequest(5510), 5510)
}
