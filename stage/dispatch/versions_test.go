package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
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
