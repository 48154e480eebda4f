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

func none(string) bool { return false }

func hosts(region string, n int) []relay.Host {
	var out []relay.Host
	for i := range n {
		out = append(out, relay.Host{Name: fmt.Sprint(region, "-", i), Region: region})
	}
	return out
}

// TestFewHostsRelayThemselves: with few hosts in a region each tells all others.
func TestFewHostsRelayThemselves(t *testing.T) {
	all := append(hosts("north", 6), hosts("south", 12)...)
	r := relay.NewRoster(all)
	require.Equal(t, 18, r.ReaderCount())
	for _, h := range all {
		require.Empty(t, r.RelayOf(h.Name, none))
	}
}

// TestManyHostsReportToFew: with many hosts a few are relays, and each of the
// others reports to one of its region that ranks before it.
func TestManyHostsReportToFew(t *testing.T) {
	all := append(hosts("north", 44), hosts("south", 185)...)
	r := relay.NewRoster(all)
	require.Equal(t, 4, r.ReaderCount())
	require.Len(t, r.Relays("north", none), 4)
	require.Len(t, r.Relays("south", none), 14)
	served := make(map[string]int)
	for _, h := range all {
		if of := r.RelayOf(h.Name, none); of != "" {
			require.Contains(t, r.Relays(h.Region, none), of)
			served[of]++
		}
	}
	require.Len(t, served, 18, "no relay is idle")
}

// TestLostRelays: hosts that don't reach some relays report to others, and none
// reports to a host that ranks behind it, whatever each believes.
func TestLostRelays(t *testing.T) {
	all := hosts("north", 44)
	r := relay.NewRoster(all)
	rank := make(map[string]int)
	for i, name := range r.Relays("north", none) {
		rank[name] = i
	}
	first := r.Relays("north", none)
	for lost := range 1 << len(first) {
		gone := func(name string) bool {
			i, ok := rank[name]
			return ok && lost>>i&1 == 1
		}
		relays := r.Relays("north", gone)
		require.Len(t, relays, len(first))
		for _, h := range all {
			of := r.RelayOf(h.Name, gone)
			if of == "" {
				require.Contains(t, append(relays, first...), h.Name)
				continue
			}
			require.False(t, gone(of))
			require.Contains(t, relays, of)
		}
	}
}

// A region of hosts that tell each other of their requests.
type region struct {
	roster    *relay.Roster
	exchanges map[string]*relay.Aggregator
	own       map[string][]relay.TargetLoad
	got       map[string][]relay.AdapterUse
}

func newRegion(n int) *region {
	g := &region{roster: relay.NewRoster(hosts("north", n)), exchanges: map[string]*relay.Aggregator{}, own: map[string][]relay.TargetLoad{}, got: map[string][]relay.AdapterUse{}}
	for i, h := range hosts("north", n) {
		g.exchanges[h.Name] = new(relay.Aggregator)
		g.own[h.Name] = []relay.TargetLoad{{Target: relay.HashTarget("target"), InProgress: i + 1, PrefillTokens: 10}}
	}
	return g
}

func (g *region) tell(now time.Time, from, to string, path relay.Direction, below bool, uses ...relay.AdapterUse) {
	x := g.exchanges[from]
	d := relay.Digest{From: from, ReportsToReceiver: below, Loads: x.Loads(to, path, g.own[from])}
	d.Uses = append(x.Uses(now, to, func(owner string) string { return g.next(from, owner) }), uses...)
	g.got[to] = append(g.got[to], g.exchanges[to].Merge(now, to, d)...)
}

// next returns the host to which one host sends what is meant for an owner.
func (g *region) next(self, owner string) string {
	if g.exchanges[self].ReportsHere(owner) {
		return owner
	}
	if of := g.roster.RelayOf(self, none); of != "" {
		return of
	}
	if of := g.roster.RelayOf(owner, none); of != "" {
		return of
	}
	return owner
}

func (g *region) round(now time.Time) {
	relays := g.roster.Relays("north", none)
	for name := range g.exchanges {
		if of := g.roster.RelayOf(name, none); of != "" {
			g.tell(now, name, of, relay.ToRelay, true)
			g.tell(now, of, name, relay.ToReporter, false)
		}
	}
	for _, x := range relays {
		for _, y := range relays {
			if x != y {
				g.tell(now, x, y, relay.ToRelay, false)
			}
		}
	}
}

// TestEachCountsOnce: after two rounds every host knows the requests of all
// others, each counted once, its own left out.
func TestEachCountsOnce(t *testing.T) {
	for _, n := range []int{2, 12, 13, 44, 100} {
		g := newRegion(n)
		g.round(at(0))
		g.round(at(100))
		g.round(at(200))
		all := n * (n + 1) / 2
		for name, x := range g.exchanges {
			got := x.OthersLoad(relay.HashTarget("target"))
			require.Equal(t, all-g.own[name][0].InProgress, got.InProgress, "%d hosts, %s", n, name)
			require.Equal(t, 10*(n-1), got.PrefillTokens)
		}
	}
}

// TestUseReachesItsOwner: the use of an adapter reaches the owner of its runner
// over the relays, the beginnings once, and nobody else.
func TestUseReachesItsOwner(t *testing.T) {
	g := newRegion(44)
	from, owner := "", ""
	for name := range maps.Keys(g.exchanges) {
		of := g.roster.RelayOf(name, none)
		switch {
		case of == "":
		case from == "":
			from = name
		case owner == "" && of != g.roster.RelayOf(from, none):
			owner = name
		}
	}
	g.round(at(0))
	use := relay.AdapterUse{Owner: owner, Runner: "runner", Model: "m", Adapter: "a", InProgress: 2, Started: 3}
	g.tell(at(50), from, g.roster.RelayOf(from, none), relay.ToRelay, true, use)
	for i := range 4 {
		g.round(at(100 + 100*i))
	}
	begun := 0
	for name, uses := range g.got {
		for _, u := range uses {
			require.Equal(t, owner, name)
			require.Equal(t, 2, u.InProgress)
			begun += u.Started
		}
	}
	require.Equal(t, 3, begun)
}

// TestSilentHostIsForgotten: what a host told counts for a while after it went
// silent; that it owned a runner is known for longer.
func TestSilentHostIsForgotten(t *testing.T) {
	var x relay.Aggregator
	x.Merge(at(0), "self", relay.Digest{From: "other", Loads: []relay.TargetLoad{{Target: 7, InProgress: 2}}, SlotReports: []relay.SlotReport{{Runner: 7, Spare: 1}}})
	x.Expire(at(1000))
	require.Equal(t, 2, x.OthersLoad(7).InProgress)
	x.Expire(at(2000))
	require.Zero(t, x.OthersLoad(7).InProgress)
	_, told := x.SlotReport(7)
	require.Equal(t, at(0), told)
	x.Expire(at(61_000))
	_, told = x.SlotReport(7)
	require.True(t, told.IsZero())
}
