package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/process"
	"jacinthstage/jacinthd/keys"
	"jacinthstage/jacinthd/settings"
	"jacinthstage/jacinthd/store/memory"
)

// waitTimeout limits the wait for a condition.
const waitTimeout = 20 * time.Second

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// writeSettings writes a settings file and keys for the host entry-1, and returns
// the path of the settings file.
func writeSettings(t *testing.T, platform, caller, admin string) string {
	folder := t.TempDir()
	authority, err := keys.Create(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, authority.IssueHost(folder, "entry-1", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now()))
	path := filepath.Join(folder, "entry-1.ini")
	text := fmt.Sprintf(`[host]
name = entry-1
region = north
zone = north-a
[listen]
caller = %s
peer = %s
admin = %s
[platform]
address = %s
[keys]
authority = authority.pem
certificate = entry-1.pem
key = entry-1.key
[lease]
time = 3s
renewal = 1s
[load]
rate = 4
flight = 8
[log]
level = error
`, caller, freeAddress(t), admin, platform)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newProcess(t *testing.T, path string) (*process.Process, error) {
	s, err := settings.Read(path)
	require.NoError(t, err)
	return process.New(s, zap.NewNop())
}

// getStatus returns the status code of a GET request, or 0 if it fails.
func getStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// TestStartReadyStop starts a host, checks that it becomes ready with its first
// configuration, and performs a planned stop.
func TestStartReadyStop(t *testing.T) {
	objects := &memory.Store{}
	platform := httptest.NewServer(objects.Handler())
	defer platform.Close()
	admin := freeAddress(t)
	p, err := newProcess(t, writeSettings(t, platform.URL, freeAddress(t), admin))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	require.Eventually(t, func() bool { return getStatus("http://"+admin+"/healthz") == http.StatusOK }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, getStatus("http://"+admin+"/readyz"))
	patch := `{"number":1,"base":0,"id":"1","author":"a","reason":"first","time":"2026-01-01T00:00:00Z","changes":[` +
		`{"put":{"service":{"name":"drafts","engine":{"model":"base","fenced":true}}}}]}`
	_, err = objects.Create(context.Background(), "patch/00000000000000000001", []byte(patch))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return getStatus("http://"+admin+"/readyz") == http.StatusOK }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, getStatus("http://"+admin+"/metrics"))
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the planned stop does not complete")
	}
	page, err := objects.List(context.Background(), "lease/", "")
	require.NoError(t, err)
	require.Empty(t, page.Objects, "the lease must be released")
}

func TestNewNamesTheKeyAtFault(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	_, err = newProcess(t, writeSettings(t, "http://127.0.0.1:1", taken.Addr().String(), freeAddress(t)))
	require.ErrorContains(t, err, "listen.caller")

	path := writeSettings(t, "http://127.0.0.1:1", freeAddress(t), freeAddress(t))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte("[host]\nname = entry-2\n"+string(text[len("[host]\nname = entry-1\n"):])), 0o600))
	_, err = newProcess(t, path)
	require.ErrorContains(t, err, "keys.certificate")
}

// TestSecondProcess starts a second process under the same host name. The first one
// must end with an error.
func TestSecondProcess(t *testing.T) {
	objects := &memory.Store{}
	platform := httptest.NewServer(objects.Handler())
	defer platform.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func() chan error {
		p, err := newProcess(t, writeSettings(t, platform.URL, freeAddress(t), freeAddress(t)))
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		return ended
	}
	leased := func() bool {
		page, err := objects.List(context.Background(), "lease/", "")
		return err == nil && len(page.Objects) == 1
	}
	first := start()
	require.Eventually(t, leased, waitTimeout, 10*time.Millisecond)
	second := start()
	select {
	case err := <-first:
		require.ErrorContains(t, err, "another process")
	case <-time.After(waitTimeout):
		require.Fail(t, "the first process did not end")
	}
	cancel()
	require.NoError(t, <-second)
}
