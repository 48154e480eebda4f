package main_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/platform"
)

// serveSettings are the settings of `jacinthd serve`; the verbs stand for the addresses for callers,
// readiness, other hosts and the store, and for the level of log lines.
const serveSettings = `[host]
name = host
zone = z
[listen]
caller = %s
ready = %s
peer = %s
[platform]
address = %s
[stop]
grace = 3s
[log]
level = %s
`

// build builds the program and returns its path.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "jacinthd")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// A daemon is a process of `jacinthd serve` that answers on its readiness endpoint. Its store is
// away, so it is never ready.
type daemon struct {
	*exec.Cmd
	settings string // path of its settings
	ready    netip.AddrPort
	output   bytes.Buffer // may be read once the process has ended
	ended    chan error
}

// startDaemon starts a process that writes its log to stdout, or to output if that is nil.
func startDaemon(t *testing.T, stdout *os.File) *daemon {
	program := build(t) // before the addresses are chosen: others may take them meanwhile
	d := &daemon{settings: filepath.Join(t.TempDir(), "settings.ini"), ready: freeAddress(t), ended: make(chan error, 1)}
	text := fmt.Sprintf(serveSettings, freeAddress(t), d.ready, freeAddress(t), freeAddress(t), "info")
	require.NoError(t, os.WriteFile(d.settings, []byte(text), 0o600))
	d.Cmd = exec.Command(program, "serve", "-settings", d.settings)
	d.Stderr = &d.output
	if d.Stdout = &d.output; stdout != nil {
		d.Stdout = stdout
	}
	require.NoError(t, d.Start())
	t.Cleanup(func() { _ = d.Process.Kill() })
	go func() { d.ended <- d.Wait() }()
	require.Eventually(t, d.answers, 20*time.Second, 20*time.Millisecond)
	return d
}

// answers reports whether the process answers on its readiness endpoint.
func (d *daemon) answers() bool {
	answer, err := http.Get(fmt.Sprintf("http://%s%s", d.ready, platform.ReadyPath))
	return err == nil && answer.Body.Close() == nil
}

// TestHangupDuringStop guards against a host that a SIGHUP ends in the middle of its planned stop,
// with all requests in progress (LOST).
func TestHangupDuringStop(t *testing.T) {
	d := startDaemon(t, nil)
	require.NoError(t, d.Process.Signal(syscall.SIGTERM))
	for {
		select {
		case err := <-d.ended:
			require.NoError(t, err, "%s", &d.output)
			require.Contains(t, d.output.String(), "host: process ends")
			require.Contains(t, d.output.String(), "host: settings reloaded")
			return
		case <-time.After(50 * time.Millisecond):
			_ = d.Process.Signal(syscall.SIGHUP) // fails once the process has ended
		}
	}
}

// TestLogReaderEnds guards against a host that ends with all requests in progress since whatever
// reads its standard output has ended.
func TestLogReaderEnds(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	d := startDaemon(t, writer)
	require.NoError(t, writer.Close())
	require.NoError(t, reader.Close())
	for range 20 {
		require.NoError(t, d.Process.Signal(syscall.SIGHUP)) // each is a line of the log
		time.Sleep(20 * time.Millisecond)
	}
	require.True(t, d.answers())
	require.NoError(t, d.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-d.ended, "%s", &d.output)
}
