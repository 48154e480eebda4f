package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
)

// TestBehindTheNewestOfSeveral guards against requests that a host refuses for good by an older
// configuration, though another host has just said that it has a newer one (DENIED).
func TestBehindTheNewestOfSeveral(t *testing.T) {
	hear := func(d *dispatch.Dispatcher, ms int, from string, version uint64) {
		d.MergeDigest(at(ms), relay.Digest{From: from, ConfigVersion: version})
	}
	set := func(d *dispatch.Dispatcher, ms int, version uint64) {
		d.Apply(at(ms), catalog.ConfigUpdated{Config: catalog.NewConfig(version, nil, nil, catalog.Limits{})})
	}
	d := &dispatch.Dispatcher{Holder: "host-0"}
	set(d, 0, 5)
	require.False(t, d.IsBehind(at(0)))
	hear(d, 100, "host-1", 7)
	hear(d, 110, "host-2", 6)
	require.True(t, d.IsBehind(at(120)))
	set(d, 200, 6)
	require.True(t, d.IsBehind(at(210)), "host-1 has version 7")
	set(d, 300, 7)
	require.False(t, d.IsBehind(at(310)))

	set(d, 400, 8)
	hear(d, 500, "host-1", 10)
	hear(d, 2600, "host-2", 9)
	require.True(t, d.IsBehind(at(2610)), "version 9 was heard after what was heard of 10 counts no more")
}
