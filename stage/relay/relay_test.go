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
	r := relay.List(all)
	require.Equal(t, 18, r.Reading())
	for _, h := range all {
		require.Empty(t, r.Of(h.Name, none))
	}
}

// TestManyHostsReportToFew: with many hosts a few are relays, and each of the
// others reports to one of its region that ranks before it.
func TestManyHostsReportToFew(t *testing.T) {
	all := append(hosts("north", 44), hosts("south", 185)...)
	r := relay.List(all)
	require.Equal(t, 4, r.Reading())
	require.Len(t, r.Relays("north", none), 4)
	require.Len(t, r.Relays("south", none), 14)
	served := make(map[string]int)
	for _, h := range all {
		if of := r.Of(h.Name, none); of != "" {
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
	r := relay.List(all)
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
			of := r.Of(h.Name, gone)
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
	exchanges map[string]*relay.Exchange
	own       map[string][]relay.Load
	got       map[string][]relay.Use
}

func newRegion(n int) *region {
	g := &region{roster: relay.List(hosts("north", n)), exchanges: map[string]*relay.Exchange{}, own: map[string][]relay.Load{}, got: map[string][]relay.Use{}}
	for i, h := range hosts("north", n) {
		g.exchanges[h.Name] = new(relay.Exchange)
		g.own[h.Name] = []relay.Load{{Target: relay.Of("target"), Open: i + 1, Unread: 10}}
	}
	return g
}

func (g *region) tell(now time.Time, from, to string, path relay.Path, below bool, uses ...relay.Use) {
	x := g.exchanges[from]
	d := relay.Digest{From: from, Below: below, Loads: x.Loads(to, path, g.own[from])}
	d.Uses = append(x.Uses(now, to, func(owner string) string { return g.next(from, owner) }), uses...)
	g.got[to] = append(g.got[to], g.exchanges[to].Take(now, to, d)...)
}

// next returns the host to which one host sends what is meant for an owner.
func (g *region) next(self, owner string) string {
	if g.exchanges[self].Below(owner) {
		return owner
	}
	if of := g.roster.Of(self, none); of != "" {
		return of
	}
	if of := g.roster.Of(owner, none); of != "" {
		return of
	}
	return owner
}

func (g *region) round(now time.Time) {
	relays := g.roster.Relays("north", none)
	for name := range g.exchanges {
		if of := g.roster.Of(name, none); of != "" {
			g.tell(now, name, of, relay.Over, true)
			g.tell(now, of, name, relay.Down, false)
		}
	}
	for _, x := range relays {
		for _, y := range relays {
			if x != y {
				g.tell(now, x, y, relay.Over, false)
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
			got := x.Others(relay.Of("target"))
			require.Equal(t, all-g.own[name][0].Open, got.Open, "%d hosts, %s", n, name)
			require.Equal(t, 10*(n-1), got.Unread)
		}
	}
}

// TestUseReachesItsOwner: the use of an adapter reaches the owner of its runner
// over the relays, the beginnings once, and nobody else.
func TestUseReachesItsOwner(t *testing.T) {
	g := newRegion(44)
	from, owner := "", ""
	for name := range maps.Keys(g.exchanges) {
		of := g.roster.Of(name, none)
		switch {
		case of == "":
		case from == "":
			from = name
		case owner == "" && of != g.roster.Of(from, none):
			owner = name
		}
	}
	g.round(at(0))
	use := relay.Use{Owner: owner, Runner: "runner", Model: "m", Adapter: "a", Open: 2, Begun: 3}
	g.tell(at(50), from, g.roster.Of(from, none), relay.Over, true, use)
	for i := range 4 {
		g.round(at(100 + 100*i))
	}
	begun := 0
	for name, uses := range g.got {
		for _, u := range uses {
			require.Equal(t, owner, name)
			require.Equal(t, 2, u.Open)
			begun += u.Begun
		}
	}
	require.Equal(t, 3, begun)
}

// TestSilentHostIsForgotten: what a host told counts for a while after it went
// silent; that it owned a runner is known for longer.
func TestSilentHostIsForgotten(t *testing.T) {
	var x relay.Exchange
	x.Take(at(0), "self", relay.Digest{From: "other", Loads: []relay.Load{{Target: 7, Open: 2}}, Spaces: []relay.Space{{Runner: 7, Spare: 1}}})
	x.Expire(at(1000))
	require.Equal(t, 2, x.Others(7).Open)
	x.Expire(at(2000))
	require.Zero(t, x.Others(7).Open)
	_, told := x.Space(7)
	require.Equal(t, at(0), told)
	x.Expire(at(61_000))
	_, told = x.Space(7)
	require.True(t, told.IsZero())
}
