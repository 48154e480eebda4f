package direct_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/version"
)

// TestWaitingRequestEndsWithItsVersion guards against a request that is sent in time, waits at its target
// and begins there on a version that was replaced too long ago (VERSION).
func TestWaitingRequestEndsWithItsVersion(t *testing.T) {
	const (
		bound = version.DefaultBound
		ago   = 3400 * time.Millisecond // of the publication, when this host learns of it
	)
	ended := make(chan time.Time, 1)
	waiting := make(chan struct{}, 1)
	s := newTestSystem(t, 1, func(_ http.ResponseWriter, r *http.Request, _ int) {
		waiting <- struct{}{}
		<-r.Context().Done()
		ended <- time.Now()
	})
	s.dispatcher.SetVersionBound(bound)
	s.list(func(target *catalog.Target) {
		target.Models = map[string]catalog.ResidentModel{"m": {Version: 1, Adapters: map[string]int{"a": 1}}}
	})
	status := make(chan int, 1)
	go func() {
		response, _, err := s.sendWith(t, waitTimeout, http.MethodPost, "/once/", "", map[string]string{"Model": "m", "Adapter": "a"})
		if err == nil {
			status <- response.StatusCode
		}
	}()
	<-waiting
	published := time.Now().Add(-ago)
	s.dispatcher.Apply(time.Now(), catalog.VersionPublished{Model: "m", Adapter: "a", Version: 2, After: published})
	select {
	case at := <-ended:
		require.Less(t, at.Sub(published), bound)
		require.Greater(t, at.Sub(published), ago+bound/10, "until then it may begin")
	case <-time.After(waitTimeout):
		t.Fatal("the request waits still")
	}
	require.Equal(t, http.StatusBadGateway, <-status, "it may have run")
}
