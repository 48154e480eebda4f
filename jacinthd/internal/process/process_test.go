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

const patience = 20 * time.Second

// free returns an address on which nothing listens.
func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// file writes settings with keys for entry-1 and returns their path.
func file(t *testing.T, platform, caller, admin string) string {
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
`, caller, free(t), admin, platform)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newProcess(t *testing.T, path string) (*process.Process, error) {
	s, err := settings.Read(path)
	require.NoError(t, err)
	return process.New(s, zap.NewNop())
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// TestLife starts a host, sees it become ready with its first configuration,
// and stops it as planned.
func TestLife(t *testing.T) {
	objects := &memory.Store{}
	platform := httptest.NewServer(objects.Handler())
	defer platform.Close()
	admin := free(t)
	p, err := newProcess(t, file(t, platform.URL, free(t), admin))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	require.Eventually(t, func() bool { return status("http://"+admin+"/healthz") == http.StatusOK }, patience, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, status("http://"+admin+"/readyz"))
	patch := `{"number":1,"base":0,"id":"1","author":"a","reason":"first","time":"2026-01-01T00:00:00Z","changes":[` +
		`{"put":{"service":{"name":"drafts","engine":{"model":"base","fenced":true}}}}]}`
	_, err = objects.Create(context.Background(), "patch/00000000000000000001", []byte(patch))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return status("http://"+admin+"/readyz") == http.StatusOK }, patience, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, status("http://"+admin+"/metrics"))
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(patience):
		require.Fail(t, "the planned stop doesn't end")
	}
	page, err := objects.List(context.Background(), "lease/", "")
	require.NoError(t, err)
	require.Empty(t, page.Objects, "the lease is given up")
}

func TestNewNamesTheKeyAtFault(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	_, err = newProcess(t, file(t, "http://127.0.0.1:1", taken.Addr().String(), free(t)))
	require.ErrorContains(t, err, "listen.caller")

	path := file(t, "http://127.0.0.1:1", free(t), free(t))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte("[host]\nname = entry-2\n"+string(text[len("[host]\nname = entry-1\n"):])), 0o600))
	_, err = newProcess(t, path)
	require.ErrorContains(t, err, "keys.certificate")
}

// TestSecondProcess starts a second process under the first one's name: the
// first ends with an error.
func TestSecondProcess(t *testing.T) {
	objects := &memory.Store{}
	platform := httptest.NewServer(objects.Handler())
	defer platform.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func() chan error {
		p, err := newProcess(t, file(t, platform.URL, free(t), free(t)))
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
	require.Eventually(t, leased, patience, 10*time.Millisecond)
	second := start()
	select {
	case err := <-first:
		require.ErrorContains(t, err, "another process")
	case <-time.After(patience):
		require.Fail(t, "the first process goes on")
	}
	cancel()
	require.NoError(t, <-second)
}
