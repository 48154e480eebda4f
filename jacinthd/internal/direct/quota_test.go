package direct_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/stage/account"
	"jacinthstage/stage/quota"
)

// limit gives the account a quota that has earned for a number of seconds, on a host alone.
func (s *testSystem) limit(requestsPerSecond float64, earned time.Duration) {
	limit := quota.Limit{Rate: requestsPerSecond, Burst: 50 * requestsPerSecond}
	s.configure(3, map[account.Key]account.Account{"k": {Name: "a", Limit: limit}})
	s.quotas.Self = "alone"
	then := boottime.Now().Add(-earned)
	s.quotas.SetHosts(then, []string{"alone"})
	s.quotas.Confirm(then)
	s.quotas.SetLimits(then, map[string]quota.Limit{"a": limit})
}

func (s *testSystem) statusOf(t *testing.T, key string) (int, string) {
	response, _, err := s.sendWith(t, time.Second, http.MethodGet, "/read/", "", map[string]string{"Key": key})
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// TestOverQuota checks that requests beyond the quota are refused at once, with a time to return.
func TestOverQuota(t *testing.T) {
	s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "") })
	s.limit(0.1, 25*time.Second)
	for range 2 {
		status, _ := s.statusOf(t, "k")
		require.Equal(t, http.StatusOK, status)
	}
	status, after := s.statusOf(t, "k")
	require.Equal(t, http.StatusTooManyRequests, status)
	delay, err := time.ParseDuration(after)
	require.NoError(t, err)
	require.Greater(t, delay, time.Second)
	require.EqualValues(t, 2, s.runs.Load())
}

// TestNotRunIsGivenBack checks that requests which targets refuse don't count.
func TestNotRunIsGivenBack(t *testing.T) {
	refused := true
	s := newTestSystem(t, 2, func(w http.ResponseWriter, _ *http.Request, _ int) {
		if refused {
			refuse(w)
			return
		}
		succeed(w, "")
	})
	s.limit(0.1, 15*time.Second)
	for range 3 {
		status, _ := s.statusOf(t, "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
	refused = false
	status, _ := s.statusOf(t, "k")
	require.Equal(t, http.StatusOK, status)
	status, _ = s.statusOf(t, "k")
	require.Equal(t, http.StatusTooManyRequests, status)
}

// TestRepeatCountsOnce checks that a request which is sent once more isn't counted again.
func TestRepeatCountsOnce(t *testing.T) {
	s := newTestSystem(t, 2, func(w http.ResponseWriter, _ *http.Request, count int) {
		if count == 1 {
			panic(http.ErrAbortHandler)
		}
		succeed(w, "")
	})
	s.limit(0.1, 15*time.Second)
	status, _ := s.statusOf(t, "k")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 2, s.runs.Load())
	status, _ = s.statusOf(t, "k")
	require.Equal(t, http.StatusTooManyRequests, status)
}

// TestCreditOfOtherHosts checks that credit which others don't need reaches a host through relays:
// its own part never suffices for the request.
func TestCreditOfOtherHosts(t *testing.T) {
	limit := quota.Limit{Unit: quota.Tokens, Rate: 20, Burst: 20}
	all := startHostsWith(t, 20, func(_ int, h *testHost) {
		h.peers.Quotas = &quota.Keeper{Self: h.peers.Self}
		h.peers.Quotas.SetLimits(boottime.Now(), map[string]quota.Limit{"a": limit})
		h.peers.Quotas.Confirm(boottime.Now())
	})
	keeper := all[7].peers.Quotas
	again := false
	require.Eventually(t, func() bool {
		decision := keeper.Reserve(boottime.Now(), "a", 10, again, false)
		if _, wait := decision.(quota.Unknown); wait && !again {
			keeper.Await("a", 10)
			again = true
		}
		_, accepted := decision.(quota.Accepted)
		return accepted
	}, waitTimeout, 20*time.Millisecond)
	require.True(t, again)
}
