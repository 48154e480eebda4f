package relay_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/relay"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func noneLost(string) bool { return false }

func hosts(region string, n int) []relay.Host {
	var out []relay.Host
	for i := range n {
		out = append(out, relay.Host{Name: fmt.Sprint(region, "-", i), Region: region})
	}
	return out
}

// TestAllHostsOfSmallRegionsRelay checks that in regions with few hosts each is a
// relay and reports to all others itself.
func TestAllHostsOfSmallRegionsRelay(t *testing.T) {
	all := append(hosts("north", 6), hosts("south", 12)...)
	r := relay.NewRoster(all)
	require.Equal(t, 18, r.ReaderCount())
	for _, h := range all {
		require.Empty(t, r.RelayOf(h.Name, noneLost))
	}
}

// TestHostsOfLargeRegionsReportToRelays checks that in regions with many hosts a
// few are relays, and each of the others reports to a relay of its region.
func TestHostsOfLargeRegionsReportToRelays(t *testing.T) {
	all := append(hosts("north", 44), hosts("south", 185)...)
	r := relay.NewRoster(all)
	require.Equal(t, 4, r.ReaderCount())
	require.Len(t, r.Relays("north", noneLost), 4)
	require.Len(t, r.Relays("south", noneLost), 14)
	served := make(map[string]int)
	for _, h := range all {
		if upstream := r.RelayOf(h.Name, noneLost); upstream != "" {
			require.Contains(t, r.Relays(h.Region, noneLost), upstream)
			served[upstream]++
		}
	}
	require.Len(t, served, 18, "each relay has hosts that report to it")
}

// TestLostRelays checks that hosts which cannot reach some relays report to others,
// whichever relays they believe to be lost. A host reports only to one that ranks
// before it, so that no report returns to its origin.
func TestLostRelays(t *testing.T) {
	all := hosts("north", 44)
	r := relay.NewRoster(all)
	rank := make(map[string]int)
	for i, name := range r.Relays("north", noneLost) {
		rank[name] = i
	}
	first := r.Relays("north", noneLost)
	for lost := range 1 << len(first) {
		isLost := func(name string) bool {
			i, ok := rank[name]
			return ok && lost>>i&1 == 1
		}
		relays := r.Relays("north", isLost)
		require.Len(t, relays, len(first))
		for _, h := range all {
			upstream := r.RelayOf(h.Name, isLost)
			if upstream == "" {
				require.Contains(t, append(relays, first...), h.Name)
				continue
			}
			require.False(t, isLost(upstream))
			require.Contains(t, relays, upstream)
		}
	}
}

// A region is a set of hosts that exchange digests.
type region struct {
	roster      *relay.Roster
	aggregators map[string]*relay.Aggregator
	own         map[string][]relay.TargetLoad
	received    map[string][]relay.AdapterUse
}

func newRegion(n int) *region {
	g := &region{roster: relay.NewRoster(hosts("north", n)), aggregators: map[string]*relay.Aggregator{}, own: map[string][]relay.TargetLoad{}, received: map[string][]relay.AdapterUse{}}
	for i, h := range hosts("north", n) {
		g.aggregators[h.Name] = new(relay.Aggregator)
		g.own[h.Name] = []relay.TargetLoad{{Target: relay.HashTarget("target"), InProgress: i + 1, PrefillTokens: 10}}
	}
	return g
}

// send sends a digest from one host to another.
func (g *region) send(now time.Time, from, to string, direction relay.Direction, reports bool, uses ...relay.AdapterUse) {
	a := g.aggregators[from]
	d := relay.Digest{From: from, ReportsToReceiver: reports, Loads: a.Loads(to, direction, g.own[from])}
	d.Uses = append(a.Uses(now, to, func(owner string) string { return g.next(from, owner) }), uses...)
	g.received[to] = append(g.received[to], g.aggregators[to].Merge(now, to, d)...)
}

// next returns the host to which self sends what is meant for an owner.
func (g *region) next(self, owner string) string {
	if g.aggregators[self].ReportsHere(owner) {
		return owner
	}
	if upstream := g.roster.RelayOf(self, noneLost); upstream != "" {
		return upstream
	}
	if upstream := g.roster.RelayOf(owner, noneLost); upstream != "" {
		return upstream
	}
	return owner
}

// round lets each host report to its relay and get an answer, and each relay
// report to all others.
func (g *region) round(now time.Time) {
	relays := g.roster.Relays("north", noneLost)
	for name := range g.aggregators {
		if upstream := g.roster.RelayOf(name, noneLost); upstream != "" {
			g.send(now, name, upstream, relay.ToRelay, true)
			g.send(now, upstream, name, relay.ToReporter, false)
		}
	}
	for _, x := range relays {
		for _, y := range relays {
			if x != y {
				g.send(now, x, y, relay.ToRelay, false)
			}
		}
	}
}

// TestLoadsAreCountedOnce checks that after three rounds every host knows the
// load of all others, each counted once and its own left out.
func TestLoadsAreCountedOnce(t *testing.T) {
	for _, n := range []int{2, 12, 13, 44, 100} {
		g := newRegion(n)
		g.round(at(0))
		g.round(at(100))
		g.round(at(200))
		all := n * (n + 1) / 2
		for name, a := range g.aggregators {
			received := a.OthersLoad(relay.HashTarget("target"))
			require.Equal(t, all-g.own[name][0].InProgress, received.InProgress, "%d hosts, %s", n, name)
			require.Equal(t, 10*(n-1), received.PrefillTokens)
		}
	}
}

// TestUseReachesOwner checks that the use of an adapter reaches the owner of its
// runner over the relays and nobody else, and that started requests are counted
// once.
func TestUseReachesOwner(t *testing.T) {
	g := newRegion(44)
	from, owner := "", ""
	for name := range maps.Keys(g.aggregators) {
		upstream := g.roster.RelayOf(name, noneLost)
		switch {
		case upstream == "":
		case from == "":
			from = name
		case owner == "" && upstream != g.roster.RelayOf(from, noneLost):
			owner = name
		}
	}
	g.round(at(0))
	use := relay.AdapterUse{Owner: owner, Runner: "runner", Model: "m", Adapter: "a", InProgress: 2, Started: 3}
	g.send(at(50), from, g.roster.RelayOf(from, noneLost), relay.ToRelay, true, use)
	for i := range 4 {
		g.round(at(100 + 100*i))
	}
	started := 0
	for name, uses := range g.received {
		for _, u := range uses {
			require.Equal(t, owner, name)
			require.Equal(t, 2, u.InProgress)
			started += u.Started
		}
	}
	require.Equal(t, 3, started)
}

// TestReportsExpire checks that the load of a host that went silent counts only
// for a while, and that the time of a runner's last slot report is known for longer.
func TestReportsExpire(t *testing.T) {
	var a relay.Aggregator
	a.Merge(at(0), "self", relay.Digest{From: "other", Loads: []relay.TargetLoad{{Target: 7, InProgress: 2}}, SlotReports: []relay.SlotReport{{Runner: 7, Spare: 1}}})
	a.Expire(at(1000))
	require.Equal(t, 2, a.OthersLoad(7).InProgress)
	a.Expire(at(2000))
	require.Zero(t, a.OthersLoad(7).InProgress)
	_, reportedAt := a.SlotReport(7)
	require.Equal(t, at(0), reportedAt)
	a.Expire(at(61_000))
	_, reportedAt = a.SlotReport(7)
	require.True(t, reportedAt.IsZero())
}
