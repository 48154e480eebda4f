package traffic_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/verdict"
)

// TestRetriedCodes refuses a request at its first runner: only where another
// runner may say something else, it is tried there, and that at once.
func TestRetriedCodes(t *testing.T) {
	cases := []struct {
		code    verdict.Code
		retried bool
	}{
		{verdict.Malformed, false},
		{verdict.Unauthenticated, false},
		{verdict.Forbidden, false},
		{verdict.NotFound, false},
		{verdict.Conflict, false},
		{verdict.TooLarge, false},
		{verdict.Invalid, false},
		{verdict.RateLimited, true},
		{verdict.Busy, true},
		{verdict.Unavailable, true},
		{verdict.DeadlineExceeded, false},
		{verdict.Quarantined, false},
		{verdict.Interrupted, true},
	}
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	for _, c := range cases {
		t.Run(string(c.code), func(t *testing.T) {
			first, second := newEngine(t), newEngine(t)
			entry.route(entry.here("r1", first), entry.here("r2", second))
			var tries atomic.Int32
			refuse(entry, func(context.Context) error {
				if tries.Add(1) > 1 {
					return nil
				}
				err := verdict.Refuse(c.code, "refused")
				err.RetryAt = time.Now().Add(time.Hour)
				return err
			})
			got := post(t, entry, asWhole)
			ran, _ := first.total()
			require.Zero(t, ran)
			ran, _ = second.total()
			require.Equal(t, c.retried, ran == 1)
			_, whole := words(t, got)
			require.Equal(t, c.retried, whole)
			if !c.retried {
				code, said := got.problem(t)
				require.Equal(t, string(c.code)+" notrun", code+" "+said)
			}
		})
	}
}

// The only runner is handed over: its old owner refuses, and the route leads to
// the new one a moment later. Many wait there at once, so it needs no budget.
func TestRunnerHandedOver(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	e := newEngine(t)
	entry := newHost(t, configuration(t), ids["entry-1"], func(h *host) { h.RetryBudget = spent{} })
	next := newHost(t, configuration(t), ids["entry-2"])
	old := entry.here("r1", e)
	entry.route(old)
	refuse(entry, func(context.Context) error {
		time.AfterFunc(30*time.Millisecond, func() { entry.route(next.there("r1", e)) })
		return verdict.Refuse(verdict.Unavailable, "runner r1 takes no new requests")
	})
	_, whole := words(t, post(t, entry, asWhole))
	require.True(t, whole)
}

// A refusal that comes with the deadline is the last.
func TestNoRetryPastDeadline(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	first, second := newEngine(t), newEngine(t)
	entry.route(entry.here("r1", first), entry.here("r2", second))
	refuse(entry, func(ctx context.Context) error {
		<-ctx.Done()
		return verdict.Refuse(verdict.Busy, "full")
	})
	got := post(t, entry, asWhole, "X-Deadline", time.Now().Add(200*time.Millisecond).Format(time.RFC3339Nano))
	code, said := got.problem(t)
	require.Equal(t, "expired notrun", code+" "+said)
	require.Len(t, entry.fake.admitted, 1, "tries")
}

// refuse sets what decides on admissions, and forgets those so far.
func refuse(h *host, admit func(context.Context) error) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.admit = admit
	for len(h.fake.admitted) > 0 {
		<-h.fake.admitted
	}
}
