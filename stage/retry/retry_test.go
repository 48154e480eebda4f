package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetAgainstNaive compares the window with plain lists of times.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budgets
		requests, retries := map[string][]int64{}, map[string][]int64{}
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
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 10, 300, 2500, 30000}).Draw(t, "advance")) * time.Millisecond)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, service)
				requests[service] = append(requests[service], now.Unix())
				continue
			}
			granted := b.Take(now, service)
			require.Equal(t, float64(recent(retries[service])) < 10+0.1*float64(recent(requests[service])), granted)
			if granted {
				retries[service] = append(retries[service], now.Unix())
			}
		}
	})
}

// TestNoRetryStorm has all requests of a service fail for a minute at 500 requests
// per second, and checks that retries add less than a tenth to the load of its
// targets.
func TestNoRetryStorm(t *testing.T) {
	var b retry.Budgets
	const rate, seconds, attemptLimit = 500, 60, 3
	for range rate * 10 {
		b.CountRequest(start, "s")
	}
	sent := 0
	for i := range rate * seconds {
		now := start.Add(time.Duration(i) * time.Second / rate)
		for attempt := 1; ; attempt++ {
			sent++
			if attempt == attemptLimit || !b.Take(now, "s") {
				break
			}
		}
	}
	require.Less(t, sent, rate*seconds*11/10)
}
