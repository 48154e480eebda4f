package process_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/process"
	"jacinthstage/jacinthd/keys"
	"jacinthstage/jacinthd/settings"
)

// configured returns the settings of a host on loopback whose platform can't be
// reached.
func configured(t *testing.T) settings.Settings {
	folder := t.TempDir()
	authority, err := keys.Create(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, authority.IssueHost(folder, "entry-1", nil, time.Now()))
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return settings.Settings{
		Host:     settings.Host{Name: "entry-1", Region: "south", Zone: "south-a"},
		Listen:   settings.Listen{Caller: loopback, Peer: loopback, Admin: loopback},
		Platform: settings.Platform{Address: "http://127.0.0.1:1"},
		Keys: settings.Keys{
			Authority:   filepath.Join(folder, "authority.pem"),
			Certificate: filepath.Join(folder, "entry-1.pem"),
			Key:         filepath.Join(folder, "entry-1.key"),
		},
		Limits: settings.Limits{Body: 1 << 20, Queue: 256, Requests: 8, DefaultDeadline: time.Second, MaxDeadline: time.Second},
		Lease:  settings.Lease{Duration: 10 * time.Second, RenewalInterval: 3 * time.Second},
		Load:   settings.Load{Rate: 1, InFlight: 1},
	}
}

// A host starts, shows the metrics of all its parts, and stops as planned
// while the platform can't be reached.
func TestStopWithoutPlatform(t *testing.T) {
	p, err := process.New(configured(t), zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx) }()
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		p.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w
	}
	text := get("/metrics").Body.String()
	for _, name := range []string{"jacinth_retries_total", "jacinth_completion_stall_seconds", "jacinth_runners_owned", "jacinth_config_version"} {
		require.Contains(t, text, "# TYPE "+name+" ")
	}
	require.Equal(t, http.StatusOK, get("/healthz").Code)
	require.Equal(t, http.StatusServiceUnavailable, get("/readyz").Code)
	cancel()
	require.NoError(t, <-ended)
}
