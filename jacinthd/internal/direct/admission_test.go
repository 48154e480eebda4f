package direct_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
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
