package speed_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/speed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A pair is a target of which nothing special is known and one that is observed, of one service.
type pair struct {
	pool          speed.Pool
	usual, target *speed.Target
}

func newPair() *pair {
	p := &pair{}
	p.usual, p.target = p.pool.Target("draft", "usual", start), p.pool.Target("draft", "target", start)
	return p
}

// stream has a target produce a stream with 40 ms between events at slowness 1.
func stream(m *speed.Target, ms int, slowness float64) {
	var g speed.Gaps
	for range 8 {
		g.Add(time.Duration(40 * slowness * float64(time.Millisecond)))
	}
	m.Streamed(at(ms), g)
}

// others has the usual target produce some streams.
func (p *pair) others(ms int) {
	for range 4 {
		stream(p.usual, ms, 1)
	}
}

// TestSlownessOfTarget checks that a slow target, one that slows down and one that recovers are learned from streams.
func TestSlownessOfTarget(t *testing.T) {
	p := newPair()
	p.target.Tell(at(0), 1)
	ratio := func(ms int) float64 { return p.target.Slowness(at(ms)) / p.usual.Slowness(at(ms)) }
	for ms := 0; ms < 4000; ms += 100 {
		p.others(ms)
		stream(p.target, ms, 2)
	}
	require.InDelta(t, 2, ratio(4000), 0.4)
	for ms := 4000; ms < 6000; ms += 100 {
		p.others(ms)
		stream(p.target, ms, 8)
	}
	require.Greater(t, ratio(6000), 4.5, "slower by 4 times")
	for ms := 6000; ms < 10000; ms += 100 {
		p.others(ms)
		stream(p.target, ms, 2)
	}
	require.InDelta(t, 2, ratio(10000), 0.7, "recovered")
	again := p.pool.Target("draft", "target", at(10000))
	require.InDelta(t, 1, again.Slowness(at(10000))/p.usual.Slowness(at(10000)), 0.2, "started again")
}

// TestUntold checks that nothing is learned where targets don't tell their moments, or tell what is no slowness.
func TestUntold(t *testing.T) {
	for _, told := range []float64{0, -1, math.NaN()} {
		p := newPair()
		p.target.Tell(at(0), told)
		p.target.First(at(100), time.Second, 100*time.Millisecond, 9000, told)
		stream(p.target, 200, 4)
		require.False(t, p.target.Told(), "%v", told)
		require.InDelta(t, 1, p.target.Slowness(at(300)), 1e-9)
		require.Empty(t, p.pool.Reports(at(300), "other", false))
	}
}

// TestMoment checks that what a target tells of the moment counts, loses its meaning, and counts against what the target
// usually tells.
func TestMoment(t *testing.T) {
	p := newPair()
	ratio := func(ms int) float64 { return p.target.Slowness(at(ms)) / p.usual.Slowness(at(ms)) }
	for ms := range 50 {
		p.target.Tell(at(100*ms), 1)
	}
	p.target.Tell(at(5000), 2.5)
	require.Greater(t, ratio(5001), 2.0)
	require.InDelta(t, 1, ratio(9000), 0.1)
	for ms := 100; ms < 400; ms++ {
		p.target.Tell(at(100*ms), 50)
	}
	require.Less(t, ratio(40000), 1.3, "50 is usual there")
	p.target.Tell(at(40001), 1e300)
	require.LessOrEqual(t, ratio(40002), 8.0, "a huge figure")
	p.target.Tell(at(40003), math.Inf(1))
	require.False(t, math.IsNaN(ratio(40004)))
}

// TestLyingMoment checks that a figure doesn't count that makes expectations worse.
func TestLyingMoment(t *testing.T) {
	p := newPair()
	for i := range 60 {
		told := 1.0
		if i%2 == 0 {
			told = 6
		}
		now := at(100 * i)
		p.target.Tell(now, told)
		p.target.First(now, 240*time.Millisecond, 240*time.Millisecond, 9000, told)
	}
	p.target.Tell(at(6000), 1)
	quiet := p.target.Slowness(at(6001))
	p.target.Tell(at(6002), 6)
	require.InDelta(t, quiet, p.target.Slowness(at(6003)), 0.05)
}

// TestReports checks that a host learns what others observed through a relay, once, and forgets it.
func TestReports(t *testing.T) {
	one, relay, other := newPair(), newPair(), newPair()
	one.target.Tell(at(0), 1)
	for ms := 0; ms < 2000; ms += 100 {
		stream(one.usual, ms, 1)
		stream(one.target, ms, 2)
	}
	one.target.Tell(at(1990), 1)
	want := one.target.Slowness(at(2000)) / one.usual.Slowness(at(2000))
	for ms := 2000; ms < 3000; ms += 200 {
		relay.pool.Merge(at(ms), "one", true, one.pool.Reports(at(ms), "relay", false))
		other.pool.Merge(at(ms), "relay", false, relay.pool.Reports(at(ms), "other", true))
		one.pool.Merge(at(ms), "relay", false, relay.pool.Reports(at(ms), "one", true))
	}
	ratio := func(p *pair, ms int) float64 { return p.target.Slowness(at(ms)) / p.usual.Slowness(at(ms)) }
	require.InDelta(t, want, ratio(other, 3000), 0.3)
	require.InDelta(t, want, ratio(one, 3000), 0.3, "its own observations don't come back")
	other.pool.Reports(at(9000), "relay", false)
	require.InDelta(t, 1, ratio(other, 9000), 0.01, "reports expire")
}

// TestHostileReports checks that no report makes a slowness that isn't in range.
func TestHostileReports(t *testing.T) {
	p := newPair()
	key := speed.Key("target", start)
	for _, r := range []speed.Report{
		{Target: key, Count: -5, Sum: 7}, {Target: key, Count: 1 << 60, Sum: math.MinInt, RecentCount: math.MaxInt, RecentSum: math.MaxInt},
		{Target: key, Pace: math.MaxUint, Age: 0}, {Target: key, Pace: 1, Age: math.MaxUint}, {Target: speed.Key("service draft", time.Time{}), Count: 1, Sum: math.MaxInt},
	} {
		p.pool.Merge(at(0), "host", true, []speed.Report{r, r})
		slow := p.target.Slowness(at(1))
		require.True(t, slow >= 1.0/64 && slow <= 64, "%v", slow)
		require.False(t, math.IsNaN(p.target.PauseCost(at(1), speed.Load{Own: 9000, Backlog: 1 << 30, Running: 5}, time.Second)))
	}
}

// TestPauseCost checks what makes the pauses of streams costly.
func TestPauseCost(t *testing.T) {
	p := newPair()
	p.target.Tell(at(0), 1)
	for ms := 0; ms < 3000; ms += 100 {
		stream(p.usual, ms, 1)
		stream(p.target, ms, 2)
	}
	p.pool.NotePause(at(3000), "draft", 500*time.Millisecond)
	cost := func(m *speed.Target, own, backlog, running int, objective time.Duration) float64 {
		return m.PauseCost(at(3000), speed.Load{Own: own, Backlog: backlog, Running: running}, objective)
	}
	const objective = 500 * time.Millisecond
	require.Greater(t, cost(p.target, 800, 0, 0, objective), cost(p.usual, 800, 0, 0, objective), "a stream on a slow target")
	require.Greater(t, cost(p.usual, 800, 18000, 0, objective), cost(p.usual, 800, 0, 0, objective), "prompts ahead")
	require.Greater(t, cost(p.usual, 9000, 0, 5, 0), cost(p.usual, 9000, 0, 0, 0), "a prompt among streams")
	require.Greater(t, cost(p.target, 9000, 0, 5, 0), cost(p.usual, 9000, 0, 5, 0), "a prompt among streams of a slow target")
	require.Zero(t, cost(p.usual, 9000, 0, 0, 0), "no streams")
	require.Zero(t, cost(p.usual, 0, 18000, 5, 0), "no prompt and no objective")
}
