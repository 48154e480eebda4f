package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/residency"
)

// published returns the event that says that a version of adapter a was published at the given time, in ms.
func published(v, ms int) catalog.VersionPublished {
	return catalog.VersionPublished{Model: model, Adapter: "a", Version: v, After: at(ms)}
}

// TestEachVersionCountsFromItsOwnPublication guards against requests that begin on a version whose
// successor was published long ago, since a further version was published just now.
func TestEachVersionCountsFromItsOwnPublication(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	d.Apply(at(0), published(2, 0))
	d.Apply(at(4000), published(3, 4000))
	switch decision := d.Pick(at(5100), request("a", 100, 5100)).(type) {
	case dispatch.Send:
		require.Equal(t, 3, decision.Attempt.Version, "version 2 was published 5.1 s ago")
	case dispatch.Refuse:
	}
}

// TestRefusalProvesNoVersion guards against a runner that is full, and refuses a request which names a version
// before it looks at that, being taken for a holder of it.
func TestRefusalProvesNoVersion(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil) // the runner holds version 3
	d.Apply(at(0), published(2, 0))
	d.Apply(at(10000), published(3, 10000))
	d.Apply(at(20000), published(4, 20000))
	a := newAttempt(t, d, request("a", 100, 22300), 22300)
	require.True(t, a.OwnerReplied(at(22310), dispatch.Loaded{}))
	require.True(t, a.Willing(at(22310)))
	require.Equal(t, 4, a.Version)
	a.Report(at(22320), dispatch.Head{})
	a.Report(at(22320), dispatch.Rejected{QueueFull: true})
	d.Apply(at(23000), published(5, 23000))
	for ms := 23100; ms <= 25800; ms += 100 {
		if send, ok := d.Pick(at(ms), request("a", 100, ms)).(dispatch.Send); ok {
			require.NotEqual(t, 4, send.Attempt.Held, "at %d ms", ms)
			send.Attempt.Report(at(ms), dispatch.Canceled{})
		}
	}
}

// TestOwnerSaysLoadedOfWhatIsNamed guards against requests that name the newest version at a runner whose owner has
// said that the adapter is loaded, in an older one.
func TestOwnerSaysLoadedOfWhatIsNamed(t *testing.T) {
	owner, host := newDispatcher("owner", "north-a", 1, nil), newDispatcher("host-0", "north-a", 1, nil)
	for _, d := range []*dispatch.Dispatcher{owner, host} {
		d.Apply(at(0), published(2, 0))
		d.Apply(at(10000), published(3, 10000))
		d.Apply(at(20000), published(4, 20000))
	}
	owner.Acquire("runner-0", 1, at(0), false)
	owner.Tasks(at(20100))
	holds3 := call.ResidentModel{Model: model, Version: 1, Adapters: []call.AdapterVersion{{Model: model, Name: "a", Version: 3}}}
	owner.HandleReport(at(20101), "runner-0", &call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{holds3}})
	a := newAttempt(t, host, request("a", 100, 20500), 20500)
	require.Equal(t, "owner", a.Owner.Host)
	require.False(t, owner.Resident(at(20511), "runner-0", residency.Key{Model: model, Adapter: "a"}))
	require.True(t, a.Willing(at(20520)))
	require.Equal(t, 4, a.Version)
}
