package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetAgainstNaive compares the window with plain lists of times: retries count
// for 10 whole seconds before the present one, requests for 9. Seconds begin with the
// first call.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budgets
		requests, retries := map[string][]int64{}, map[string][]int64{}
		now, epoch := start, time.Time{}
		recent := func(seconds []int64, present, back int64) (n int) {
			for _, second := range seconds {
				if second >= present-back {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 10, 300, 2500, 30000}).Draw(t, "advance")) * time.Millisecond)
			if epoch.IsZero() {
				epoch = now
			}
			second := int64(now.Sub(epoch) / time.Second)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, service)
				requests[service] = append(requests[service], second)
				continue
			}
			granted := b.Take(now, service)
			require.Equal(t, float64(recent(retries[service], second, 10)+1) <= 10+0.1*float64(recent(requests[service], second, 9)), granted)
			if granted {
				retries[service] = append(retries[service], second)
			}
		}
	})
}

// TestAnyWindowIsWithinBudget guards against repeats that pile up in a window that
// begins within a second (BUDGET). It draws requests and retries and checks all windows
// of 10 s that end with a retry.
func TestAnyWindowIsWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Budgets{Ratio: 0.2, MinRetries: 5}
		var requests, retries []time.Time
		recent := func(times []time.Time, now time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < 10*time.Second {
					n++
				}
			}
			return n
		}
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 10, 300, 900, 7000}).Draw(t, "advance")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "request") == 0 {
				b.CountRequest(now, "s")
				requests = append(requests, now)
				continue
			}
			if b.Take(now, "s") {
				retries = append(retries, now)
				require.LessOrEqual(t, float64(recent(retries, now)), 5+0.2*float64(recent(requests, now)))
			}
		}
	})
}

// TestShareOfHosts guards against hosts that each take a large part of the retries that
// all may make together, because they don't know how many they are (BUDGET): at a start
// without the store, or while some of them are missing from the list of hosts.
func TestShareOfHosts(t *testing.T) {
	const total = 58
	taken := func(b *retry.Budgets, now time.Time) (n int) {
		for b.Take(now, "s") {
			n++
		}
		return n
	}
	var unknown retry.Budgets
	unknown.Ratio = 0.2
	unknown.SetHosts(start, total, 0)
	require.Zero(t, taken(&unknown, start), "the number of hosts is unknown")

	sum := 0
	for i := range 9 {
		b := retry.Budgets{Ratio: 0.2}
		b.SetHosts(start, total, 9)
		if i < 5 {
			// Four hosts have lost the store and are no longer in this one's list.
			b.SetHosts(start.Add(30*time.Second), total, 5)
		}
		sum += taken(&b, start.Add(30*time.Second))
	}
	require.LessOrEqual(t, sum, total)
	require.GreaterOrEqual(t, sum, total/2)

	var shrunk retry.Budgets
	shrunk.Ratio = 0.2
	shrunk.SetHosts(start, total, 9)
	shrunk.SetHosts(start.Add(2*time.Minute), total, 5)
	require.GreaterOrEqual(t, taken(&shrunk, start.Add(2*time.Minute)), total/9, "hosts that are gone for long don't count")
}

// TestHostsTogetherKeepTheBudget guards against hosts that each round their part of the budget
// up, so that all together exceed it where every request fails (BUDGET): hosts that lose a
// fifth of the targets at once spend all that they have.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
	const (
		ratio   = 0.2
		slack   = 214
		step    = 50 * time.Millisecond
		window  = int(10 * time.Second / step)
		length  = 4 * window
		perStep = 25 // requests of all hosts
	)
	for _, hosts := range []int{1, 9, 87, 195, 370} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(hosts), 1))
			all := make([]*retry.Budgets, hosts)
			for i := range all {
				all[i] = &retry.Budgets{Ratio: ratio}
				all[i].SetHosts(start, slack, hosts)
				all[i].CountRequest(start.Add(-time.Duration(r.Int64N(int64(time.Second)))), "other")
			}
			var requests, retries [length + 1]int // before each step
			for i := range length {
				now := start.Add(time.Duration(i) * step)
				requests[i+1], retries[i+1] = requests[i]+perStep, retries[i]
				for range perStep {
					host := all[int(r.Float64()*r.Float64()*float64(hosts))]
					host.CountRequest(now, "s")
					for range 2 {
						if host.Take(now, "s") {
							retries[i+1]++
						}
					}
				}
				from := max(0, i+1-window)
				allowed := ratio*float64(requests[i+1]-requests[from]) + slack
				require.LessOrEqual(t, float64(retries[i+1]-retries[from]), allowed, "step %d", i)
			}
			require.Greater(t, float64(retries[length]-retries[length-window]), ratio*float64(perStep*window)/2, "the budget is used")
		})
	}
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
