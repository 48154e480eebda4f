package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetLikeNaive compares the window with plain lists of times.
func TestBudgetLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budgets
		successes, retries := map[string][]int64{}, map[string][]int64{}
		now := start
		recent := func(times []int64) (n int) {
			for _, unix := range times {
				if unix > now.Unix()-10 {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 10, 300, 2500, 30000}).Draw(t, "pass")) * time.Millisecond)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			if rapid.Bool().Draw(t, "success") {
				b.CountRequest(now, service)
				successes[service] = append(successes[service], now.Unix())
				continue
			}
			granted := b.Take(now, service)
			require.Equal(t, float64(recent(retries[service])) < 10+0.1*float64(recent(successes[service])), granted)
			if granted {
				retries[service] = append(retries[service], now.Unix())
			}
		}
	})
}

// TestNoStorm has a service fail for a minute at 500 requests a second: what
// its targets see stays close to that.
func TestNoStorm(t *testing.T) {
	var b retry.Budgets
	const rate, seconds, most = 500, 60, 3
	for range rate * 10 {
		b.CountRequest(start, "s")
	}
	sent := 0
	for i := range rate * seconds {
		now := start.Add(time.Duration(i) * time.Second / rate)
		for attempt := 1; ; attempt++ {
			sent++
			if attempt == most || !b.Take(now, "s") {
				break
			}
		}
	}
	require.Less(t, sent, rate*seconds*11/10)
}
