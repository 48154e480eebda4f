package process_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMetrics reads the metrics of a host that hasn't run: those of all parts.
func TestMetrics(t *testing.T) {
	p, err := newProcess(t, file(t, "http://127.0.0.1:1", free(t), free(t)))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	p.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, name := range []string{"jacinth_retries_total", "jacinth_completion_stall_seconds", "jacinth_config_version"} {
		require.Contains(t, w.Body.String(), "# TYPE "+name+" ")
	}
}
