package version_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/residency"
	"jacinthstage/stage/version"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var key = residency.Key{Model: "base", Adapter: "a"}

// TestAccepts checks until when versions serve that were replaced one after the other, and what is
// required of a target whose version is unknown.
func TestAccepts(t *testing.T) {
	var table version.Table
	require.True(t, table.Accepts(at(0), at(0), key, 0), "no version was published")
	table.Publish(key, version.Publication{Version: 2, After: at(0), Seen: at(50)})
	table.Publish(key, version.Publication{Version: 5, After: at(2000), Seen: at(2050)})
	cases := []struct {
		name             string
		version          int
		now, begin       int
		accepted, expire bool
	}{
		{"the first at once", 1, 100, 300, true, false},
		{"the first, begins late", 1, 100, 4500, false, false},
		{"the first, sent late", 1, 3000, 3000, false, false},
		{"the first, waits still", 1, 4500, 4500, false, true},
		{"one between that was never seen", 3, 3000, 3200, true, false},
		{"the second is replaced later", 2, 4900, 5000, true, false},
		{"the second, sent late", 2, 5000, 5000, false, false},
		{"the newest", 5, 60000, 60000, true, false},
		{"a newer one than known", 6, 60000, 60000, true, false},
		{"unknown, all would do", 0, 100, 300, true, false},
		{"unknown, the first would not do", 0, 3000, 3000, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.accepted, table.Accepts(at(c.now), at(c.begin), key, c.version))
			last, replaced := table.LastStart(key, c.version)
			require.Equal(t, c.expire, replaced && !at(c.now).Before(last))
		})
	}
	require.Equal(t, 5, table.Newest(key).Version)
	require.False(t, table.Publish(key, version.Publication{Version: 4}), "a late copy")
}

// TestUnknownPublicationGivesNoTime checks that a host which has just started, and doesn't know when a
// version was published, accepts no older one.
func TestUnknownPublicationGivesNoTime(t *testing.T) {
	var table version.Table
	table.Publish(key, version.Publication{Version: 2, Seen: at(0)})
	require.False(t, table.Accepts(at(1), at(1), key, 1))
	require.False(t, table.Accepts(at(1), at(1), key, 0))
	_, ok := table.LastStart(key, 0)
	require.False(t, ok, "a request that was sent before may wait on the newest")
}

// TestVersionsInQuickSuccession draws publications, of which the host learns late or which it misses,
// and checks that no version is accepted whose successor was published longer ago than the bound.
func TestVersionsInQuickSuccession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := version.Table{Bound: time.Duration(rapid.IntRange(1, 8000).Draw(t, "bound")) * time.Millisecond}
		bound := int(table.Bound.Milliseconds())
		published := map[int]int{} // by version, ms
		now, known := 0, 0
		for v := 2; v < 2+rapid.IntRange(1, 80).Draw(t, "versions"); v++ {
			now += rapid.IntRange(0, 1500).Draw(t, "pause")
			published[v] = now
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			after := now
			for w := known + 1; w <= v; w++ {
				if p, ok := published[w]; ok {
					after = min(after, p)
				}
			}
			table.Publish(key, version.Publication{Version: v, After: at(after - rapid.IntRange(0, 2000).Draw(t, "unseen")), Seen: at(now)})
			known = v
		}
		now += rapid.IntRange(0, 9000).Draw(t, "later")
		for v := 1; v <= known; v++ {
			successor, replaced := published[v+1]
			if !replaced || v >= known {
				continue
			}
			if table.Accepts(at(now), at(now), key, v) {
				require.Less(t, now-successor, bound)
			}
			last, ok := table.LastStart(key, v)
			require.True(t, ok)
			require.True(t, last.Before(at(successor+bound)))
		}
	})
}
