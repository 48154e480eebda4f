package direct_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
)

// spokenSystem returns a testSystem with two targets, the first of which answers with
// speak, and a function that sends n requests and returns how many reached that target.
func spokenSystem(t *testing.T, speak func(w http.ResponseWriter)) (*testSystem, func(n int) int) {
	var reached atomic.Int32
	s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Only") == "t0" {
			reached.Add(1)
			speak(w)
			return
		}
		succeed(w, "id: 1\n\n")
	})
	send := func(n int) int {
		before := reached.Load()
		for range n {
			response, _, err := s.send(t, http.MethodPost, "/once/", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		return int(reached.Load() - before)
	}
	return s, send
}

// list applies an entry of the first target, as it may stand in the store.
func (s *testSystem) list(changed func(*catalog.Target)) {
	for _, target := range s.dispatcher.Sweep(time.Now()) {
		if target.Name == "t0" {
			changed(&target)
			s.dispatcher.Apply(time.Now(), catalog.TargetsChanged{Revision: 9, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: target}}})
		}
	}
}

// TestLeavingTargetGetsNoRequests guards against requests to a target that has said in
// an answer that it is leaving, whatever the store shows (DRAIN). Another process under
// its name is used again.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	s, send := spokenSystem(t, func(w http.ResponseWriter) {
		w.Header().Set("Leaving", "1")
		succeed(w, "id: 1\n\n")
	})
	require.LessOrEqual(t, send(20), 1)
	s.list(func(target *catalog.Target) { target.AcceptedOrders++ })
	require.Zero(t, send(20))
	s.list(func(target *catalog.Target) { target.Started = target.Started.Add(time.Second) })
	require.Equal(t, 1, send(20))
}

// TestQuietTargetGetsNoRequests guards against requests to a target that has refused
// one and said for how long it wants no more (BUDGET). Meanwhile requests without another
// target are refused at once, as not run, with the time from which the target takes
// requests again.
func TestQuietTargetGetsNoRequests(t *testing.T) {
	const quiet = 2 * time.Second
	s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, count int) {
		if count > 1 {
			succeed(w, "a")
			return
		}
		w.Header().Set("Quiet", quiet.String())
		refuse(w)
	})
	start := time.Now()
	for time.Since(start) < quiet-200*time.Millisecond {
		sent := time.Now()
		response, text, err := s.send(t, http.MethodPost, "/once/", "")
		require.NoError(t, err)
		require.Less(t, time.Since(sent), 500*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, text)
		after, err := time.ParseDuration(response.Header.Get("Retry-After"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, (quiet-time.Since(start))/2, text)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 1, s.runs.Load(), "requests that reached the target")
	time.Sleep(time.Until(start.Add(quiet + 100*time.Millisecond)))
	response, _, err := s.send(t, http.MethodPost, "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "it is used again")
}
