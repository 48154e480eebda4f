package dispatch_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// versionPlays is the number of plays of one draw, which differ in their seeds.
const versionPlays = 2

// TestDrawnVersions guards against requests that begin on a version of their adapter whose successor was acknowledged
// longer ago than the bound, whatever hosts and runners go through.
func TestDrawnVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, of ...int) int { return rapid.SampledFrom(of).Draw(t, name) }
		d := versionDraw{
			Hosts: rapid.IntRange(1, 3).Draw(t, "hosts"), Runners: rapid.IntRange(1, 4).Draw(t, "runners"), Adapters: rapid.IntRange(1, 4).Draw(t, "adapters"),
			End: 13000, PerSecond: ms("requests", 10, 30),
			Load: ms("load", 20, 250, 1000, 5500), Run: ms("run", 50, 400, 2500), Queue: ms("queue", 0, 300, 3500),
			Lost: ms("lost", 0, 10, 40), Seed: rapid.Uint64().Draw(t, "seed"),
		}
		d.Hot = rapid.IntRange(1, d.Adapters).Draw(t, "hot")
		d.Published = rapid.SliceOfN(rapid.SampledFrom([]int{200, 1000, 2500, 4000, 7000}), 1, 12).Draw(t, "published")
		d.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) versionFault {
			return versionFault{rapid.IntRange(0, versionFaults-1).Draw(t, "kind"), rapid.IntRange(0, 11).Draw(t, "which"), 10 * rapid.IntRange(50, 1200).Draw(t, "at"), 10 * rapid.IntRange(10, 800).Draw(t, "for")}
		}), 0, 6).Draw(t, "faults")
		for range versionPlays {
			p := newVersionPlay(d)
			p.play()
			require.Empty(t, p.broken)
			d.Seed++
		}
	})
}

// In calm, at least calmServed of the requests are served, and runners refuse at most calmRefused of those that reach them.
const calmServed, calmRefused = 0.9, 0.05

// TestVersionsInCalm guards against runners that refuse requests for an adapter again and again, of which a version is
// published every 4 s.
func TestVersionsInCalm(t *testing.T) {
	for _, run := range []int{400, 1500} {
		var asked, served, reached, refused int
		for seed := range uint64(2) {
			p := newVersionPlay(versionDraw{
				Hosts: 3, Runners: 5, Adapters: 2, Hot: 1, End: 29000, PerSecond: 40, Published: slices.Repeat([]int{4000}, 7),
				Load: 250, Run: run, Queue: 50, Seed: seed,
			})
			p.play()
			require.Empty(t, p.broken)
			asked, served, reached, refused = asked+p.asked, served+p.served, reached+p.reached, refused+p.refused
		}
		t.Logf("runs of %d ms: %d of %d requests served, %d of %d refused by runners", run, served, asked, refused, reached)
		require.GreaterOrEqual(t, float64(served), calmServed*float64(asked))
		require.LessOrEqual(t, float64(refused), calmRefused*float64(reached))
	}
}
