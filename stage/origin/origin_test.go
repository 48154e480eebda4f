package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/origin"
	"jacinthstage/stage/relay"
)

// TestKeepersAreAsked checks that a host that asks for a stream finds one that was told of
// it, or the one where it began, without knowing where that was: also after one host has
// left and another has come.
func TestKeepersAreAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []relay.Host
		for i := range rapid.IntRange(2, 40).Draw(t, "hosts") {
			hosts = append(hosts, relay.Host{Name: fmt.Sprint("host-", i), Region: fmt.Sprint("region-", rapid.IntRange(0, 2).Draw(t, "region"))})
		}
		stream := origin.NewStream(rapid.String().Draw(t, "id"))
		self := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "self")]
		keepers := origin.Keepers(stream, self, hosts)
		require.Len(t, keepers, min(2, len(hosts)-1))
		require.NotContains(t, keepers, self.Name)

		left := rapid.IntRange(0, len(hosts)-1).Draw(t, "left")
		gone := hosts[left].Name
		hosts[left] = relay.Host{Name: "new", Region: hosts[left].Region}
		var asked []string
		for _, region := range []string{"region-0", "region-1", "region-2"} {
			asked = append(asked, origin.Asked(stream, region, hosts)...)
		}
		know := slices.DeleteFunc(append(keepers, self.Name), func(name string) bool { return name == gone })
		require.True(t, slices.ContainsFunc(know, func(name string) bool { return slices.Contains(asked, name) }), "asked %v of %v", asked, know)
	})
}

// TestMemoryKeepsTheFirstOrigin checks that a stream has one origin, that the latest streams
// are kept, and that their number is bounded.
func TestMemoryKeepsTheFirstOrigin(t *testing.T) {
	var m origin.Memory
	now := time.Unix(1000, 0)
	_, known := m.Find(1)
	require.False(t, known)
	m.Add(now, origin.Origin{Stream: 1, Build: "one"})
	m.Add(now, origin.Origin{Stream: 1, Build: "two"})
	o, known := m.Find(1)
	require.True(t, known)
	require.Equal(t, "one", o.Build)
	const many = 40_000
	for i := range many {
		m.Add(now, origin.Origin{Stream: origin.Stream(i + 2)})
	}
	_, known = m.Find(1)
	require.False(t, known)
	_, known = m.Find(many - 10_000)
	require.True(t, known)
}

// TestSinceLeavesOutWhatIsKeptElsewhere guards against hosts that each write the origins that they
// have read from the others' objects.
func TestSinceLeavesOutWhatIsKeptElsewhere(t *testing.T) {
	var m origin.Memory
	now := time.Unix(1000, 0)
	m.Add(now, origin.Origin{Stream: 3})
	m.Restore(now, origin.Origin{Stream: 1})
	m.Add(now.Add(time.Second), origin.Origin{Stream: 2})
	require.Equal(t, []origin.Origin{{Stream: 2}, {Stream: 3}}, m.Since(now))
	require.Equal(t, []origin.Origin{{Stream: 2}}, m.Since(now.Add(time.Second)))
	_, known := m.Find(1)
	require.True(t, known)
}
