package direct_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
)

// TestPressingAccountIsRefused checks that an account which has taken the slots of the targets is
// refused with 503 and a time to return, and that the other account is served meanwhile.
func TestPressingAccountIsRefused(t *testing.T) {
	release := make(chan struct{})
	s := newTestSystem(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Account") == "pressing" {
			<-release
		}
		succeed(w, "")
	})
	s.configure(3, map[account.Key]account.Account{"k1": {Name: "pressing"}, "k2": {Name: "calm"}})
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			_, _, _ = s.sendWith(t, time.Minute, http.MethodGet, "/read/", "", map[string]string{"Key": "k1"})
		})
	}
	require.Eventually(t, func() bool { return s.runs.Load() >= 8 }, time.Minute, time.Millisecond)
	var refused *http.Response
	require.Eventually(t, func() bool {
		response, text, err := s.sendWith(t, 100*time.Millisecond, http.MethodGet, "/read/", "", map[string]string{"Key": "k1"})
		if err == nil && text == "others have the slots\n" {
			refused = response
		}
		return refused != nil
	}, time.Minute, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	after, err := time.ParseDuration(refused.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Positive(t, after)
	response, _, err := s.sendWith(t, time.Minute, http.MethodGet, "/read/", "", map[string]string{"Key": "k2"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	close(release)
	all.Wait()
}

// TestAdmissionsReachAllHosts checks that what one host finds short reaches all others through the
// relays, each once, and that they stop telling it some time after.
func TestAdmissionsReachAllHosts(t *testing.T) {
	all := startHosts(t, 12)
	for _, h := range all {
		config := catalog.NewConfig(2, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 8, PrefixCacheTokens: 1000}}}, catalog.Limits{})
		config.Accounts, _ = account.New(nil)
		h.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: config})
	}
	offered := func(h *testHost) (sum uint64) {
		for _, r := range h.dispatcher.Admissions(time.Now(), "", relay.ToReporter) {
			sum += r.Offered
		}
		return sum
	}
	press := func() {
		for range 3 {
			now := time.Now()
			choice := all[0].dispatcher.Pick(now, dispatch.Request{Call: call.Call{ID: "x", Model: "base", Adapter: "a", InputTokens: 10}, Service: "s", Objective: now.Add(time.Millisecond), Deadline: now.Add(time.Minute)})
			if send, ok := choice.(dispatch.Send); ok {
				t.Cleanup(func() { send.Attempt.Report(time.Now(), dispatch.Canceled{}) })
			}
		}
	}
	for _, h := range all {
		require.Zero(t, offered(h))
	}
	for _, h := range all[1:] {
		require.Eventually(t, func() bool {
			press()
			told, known := offered(all[0]), offered(h)
			return known > told/2 && known <= 2*told
		}, waitTimeout, 50*time.Millisecond)
	}
	for _, h := range all {
		require.Eventually(t, func() bool { return offered(h) == 0 }, waitTimeout, 20*time.Millisecond)
	}
}
