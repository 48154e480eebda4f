package process_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMetrics checks that a host that has not run yet already serves the metrics of
// all components.
func TestMetrics(t *testing.T) {
	p, err := newProcess(t, writeSettings(t, "http://127.0.0.1:1", freeAddress(t), freeAddress(t)))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	p.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, name := range []string{"jacinth_retries_total", "jacinth_completion_stall_seconds", "jacinth_config_version"} {
		require.Contains(t, w.Body.String(), "# TYPE "+name+" ")
	}
}
