package retry_test

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/retry"
	"jacinthstage/stage/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	busy := verdict.Refuse(verdict.Busy, "full")
	later := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.Busy, Again: start.Add(3 * time.Second)}
	good := retry.Attempt{Service: "s", Sent: 1, Deadline: start.Add(10 * time.Second)}
	with := func(change func(*retry.Attempt)) retry.Attempt {
		a := good
		change(&a)
		return a
	}
	idempotent := with(func(a *retry.Attempt) { a.Idempotent = true })
	cases := []struct {
		name    string
		attempt retry.Attempt
		err     error
		want    retry.Decision
	}{
		{"not run", good, busy, retry.Again{At: start.Add(25 * time.Millisecond)}},
		{"wrapped", good, errors.Wrap(busy, "queue"), retry.Again{At: start.Add(25 * time.Millisecond)}},
		{"the wait doubles", with(func(a *retry.Attempt) { a.Sent = 2 }), busy, retry.Again{At: start.Add(50 * time.Millisecond)}},
		{"not before it helps", good, later, retry.Again{At: start.Add(3 * time.Second)}},
		{"may have run", good, io.ErrUnexpectedEOF, retry.Give{Cause: retry.Unsafe}},
		{"may have run, broken", good, &verdict.Error{Code: verdict.Broken}, retry.Give{Cause: retry.Unsafe}},
		{"idempotent", idempotent, io.ErrUnexpectedEOF, retry.Again{At: start.Add(25 * time.Millisecond)}},
		{"idempotent behind the first byte", with(func(a *retry.Attempt) { a.Idempotent, a.Begun = true, true }), io.ErrUnexpectedEOF, retry.Give{Cause: retry.Unsafe}},
		{"ran", idempotent, &verdict.Error{Verdict: verdict.Ran, Code: verdict.Broken}, retry.Give{Cause: retry.Final}},
		{"forbidden", good, verdict.Refuse(verdict.Forbidden, "no rule"), retry.Give{Cause: retry.Final}},
		{"suspect", idempotent, verdict.Refuse(verdict.Suspect, "crashed targets"), retry.Give{Cause: retry.Final}},
		{"sent often", with(func(a *retry.Attempt) { a.Sent = retry.Attempts }), busy, retry.Give{Cause: retry.Often}},
		{"deadline first", with(func(a *retry.Attempt) { a.Deadline = start.Add(25 * time.Millisecond) }), busy, retry.Give{Cause: retry.Deadline}},
		{"deadline before it helps", with(func(a *retry.Attempt) { a.Deadline = start.Add(2 * time.Second) }), later, retry.Give{Cause: retry.Deadline}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b retry.Budgets
			require.Equal(t, c.want, b.Decide(start, c.attempt, c.err, 0))
		})
	}
}

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
				b.Succeeded(now, service)
				successes[service] = append(successes[service], now.Unix())
				continue
			}
			jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
			deadline := now.Add(time.Second)
			got := b.Decide(now, retry.Attempt{Service: service, Sent: 1, Deadline: deadline}, verdict.Refuse(verdict.Busy, "full"), jitter)
			again, granted := got.(retry.Again)
			require.Equal(t, float64(recent(retries[service])) < 10+0.1*float64(recent(successes[service])), granted)
			if granted {
				require.True(t, again.At.After(now) && again.At.Before(deadline))
				retries[service] = append(retries[service], now.Unix())
			}
		}
	})
}

// TestNoStorm has a service fail for a minute at 500 requests a second: what
// its targets see stays close to that.
func TestNoStorm(t *testing.T) {
	var b retry.Budgets
	const rate, seconds = 500, 60
	for range rate * 10 {
		b.Succeeded(start, "s")
	}
	sent := 0
	for i := range rate * seconds {
		now := start.Add(time.Duration(i) * time.Second / rate)
		for attempt := 1; ; attempt++ {
			sent++
			a := retry.Attempt{Service: "s", Sent: attempt, Deadline: now.Add(time.Minute)}
			if _, again := b.Decide(now, a, verdict.Refuse(verdict.Unavailable, "down"), 0.5).(retry.Again); !again {
				break
			}
		}
	}
	require.Less(t, sent, rate*seconds*11/10)
}
