package traffic_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/verdict"
)

// TestRetriedCodes refuses a request at its first runner. The request must be
// attempted on the second runner, at once, only if the code may differ there.
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
			entry.route(entry.localCandidate("r1", first), entry.localCandidate("r2", second))
			var attempts atomic.Int32
			setAdmit(entry, func(context.Context) error {
				if attempts.Add(1) > 1 {
					return nil
				}
				err := verdict.Refuse(c.code, "refused")
				err.RetryAt = time.Now().Add(time.Hour)
				return err
			})
			got := post(t, entry, jsonBody)
			ran, _ := first.counts()
			require.Zero(t, ran)
			ran, _ = second.counts()
			require.Equal(t, c.retried, ran == 1)
			_, complete := completionText(t, got)
			require.Equal(t, c.retried, complete)
			if !c.retried {
				code, verdict := got.errorCode(t)
				require.Equal(t, string(c.code)+" notrun", code+" "+verdict)
			}
		})
	}
}

// TestRunnerHandedOver hands over the only runner: its old owner refuses the request,
// and the route leads to the new owner 30 ms later. The request must be served without
// taking a retry from the budget, since many requests may wait for the runner at once.
func TestRunnerHandedOver(t *testing.T) {
	ids := identities(t, "entry-1", "entry-2")
	e := newEngine(t)
	entry := newHost(t, configuration(t), ids["entry-1"], func(h *host) { h.RetryBudget = spentBudget{} })
	next := newHost(t, configuration(t), ids["entry-2"])
	old := entry.localCandidate("r1", e)
	entry.route(old)
	setAdmit(entry, func(context.Context) error {
		time.AfterFunc(30*time.Millisecond, func() { entry.route(next.remoteCandidate("r1", e)) })
		return verdict.Refuse(verdict.Unavailable, "runner r1 takes no new requests")
	})
	_, complete := completionText(t, post(t, entry, jsonBody))
	require.True(t, complete)
}

// TestNoRetryPastDeadline checks that a refusal that arrives at the deadline is not
// followed by another attempt.
func TestNoRetryPastDeadline(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	first, second := newEngine(t), newEngine(t)
	entry.route(entry.localCandidate("r1", first), entry.localCandidate("r2", second))
	setAdmit(entry, func(ctx context.Context) error {
		<-ctx.Done()
		return verdict.Refuse(verdict.Busy, "full")
	})
	got := post(t, entry, jsonBody, "X-Deadline", time.Now().Add(200*time.Millisecond).Format(time.RFC3339Nano))
	code, verdict := got.errorCode(t)
	require.Equal(t, "expired notrun", code+" "+verdict)
	require.Len(t, entry.fake.admitted, 1, "attempts")
}

// setAdmit sets the function that decides on admissions and discards the record of
// earlier ones.
func setAdmit(h *host, admit func(context.Context) error) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.admit = admit
	for len(h.fake.admitted) > 0 {
		<-h.fake.admitted
	}
}
