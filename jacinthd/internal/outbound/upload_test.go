package outbound_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/outbound"
)

const (
	// readOfUpload is what a target reads of a request's body before it answers, in bytes.
	readOfUpload = 4 << 10
	// longUpload is the size of a body that the buffers of a connection can't hold, in bytes.
	longUpload = 32 << 20
)

// An uploadEnd is how a target ends the connection of an upload that it hasn't read.
type uploadEnd func(conn *net.TCPConn)

func resetUpload(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func closeUpload(conn *net.TCPConn) { _ = conn.Close() }

// halfCloseUpload ends the answer and keeps the connection open, but reads nothing more of the request.
func halfCloseUpload(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(10 * time.Second)
}

// startUploadTarget starts a target that reads a part of a request, sends answer and ends the
// connection.
func startUploadTarget(t *testing.T, answer string, end uploadEnd) netip.AddrPort {
	return listen(t, func(conn net.Conn) {
		go func() {
			defer conn.Close()
			if _, err := io.CopyN(io.Discard, conn, readOfUpload); err != nil {
				return // not the connection of a request
			}
			write(conn, answer)
			end(conn.(*net.TCPConn))
		}()
	})
}

// A failingWriteConn is a connection whose reader sees the end only after a write has failed: the
// system reports a reset once, here always to the writer.
type failingWriteConn struct {
	*net.TCPConn
	failed func() // closes wait
	wait   <-chan struct{}
	read   bool
}

func newFailingWriteConn(conn net.Conn) *failingWriteConn {
	wait := make(chan struct{})
	return &failingWriteConn{TCPConn: conn.(*net.TCPConn), failed: sync.OnceFunc(func() { close(wait) }), wait: wait}
}

// Read implements net.Conn.
func (c *failingWriteConn) Read(p []byte) (int, error) {
	if c.read {
		select {
		case <-c.wait:
		case <-time.After(10 * time.Second):
		}
	}
	c.read = true
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *failingWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failed()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, with which a long body is written.
func (c *failingWriteConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	if err != nil {
		c.failed()
	}
	return n, err
}

// upload sends a body of a size and reads the complete response.
func upload(t *testing.T, p *outbound.Pool, address netip.AddrPort, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x, err := p.Do(ctx, address, outbound.Request{
		ID: "u", Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size),
	}, nil)
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	_, again := x.Read(make([]byte, 1))
	require.Error(t, again, "the end stays as it was")
	return string(text), err
}

// TestResetBesideUploadIsNoEnd guards against a body without a length or chunks whose connection
// was reset while the request was written: where the writer learns of the reset, the reader finds an
// ordinary end, and a part of the body counted as the whole one (MIXED).
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	for name, end := range map[string]uploadEnd{"reset": resetUpload, "closed": closeUpload} {
		t.Run(name, func(t *testing.T) {
			address := startUploadTarget(t, "HTTP/1.1 200 OK\r\n\r\npart", end)
			pool := newPool()
			dial := pool.Dial
			pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return newFailingWriteConn(conn), nil
			}
			text, err := upload(t, pool, address, longUpload)
			require.Error(t, err, "%q counts as whole", text)
		})
	}
}

// TestEndBeforeUploadIsNoEnd checks the same on plain connections, where chance decides who learns
// of a reset, and with bodies that the system's buffers hold although the target hasn't read them.
func TestEndBeforeUploadIsNoEnd(t *testing.T) {
	const tries = 10
	for name, end := range map[string]uploadEnd{"reset": resetUpload, "closed": closeUpload, "half closed": halfCloseUpload} {
		for _, size := range []int{1 << 20, 8 << 20, longUpload} {
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				t.Parallel()
				address := startUploadTarget(t, "HTTP/1.1 200 OK\r\n\r\npart", end)
				pool := newPool()
				for range tries {
					text, err := upload(t, pool, address, size)
					require.Error(t, err, "%q counts as whole", text)
				}
			})
		}
	}
}

// TestWholeBodyBesideUpload checks that a body with a length or chunks counts as whole although its
// request couldn't be written.
func TestWholeBodyBesideUpload(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for _, size := range []int{readOfUpload, 1 << 20, longUpload} {
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				t.Parallel()
				address := startUploadTarget(t, answer, halfCloseUpload)
				text, err := upload(t, newPool(), address, size)
				require.NoError(t, err)
				require.Equal(t, "whole", text)
			})
		}
	}
}

// TestReadUploadMayEnd checks that a body without a length or chunks still ends with its connection
// after a long request that the target has read.
func TestReadUploadMayEnd(t *testing.T) {
	for _, size := range []int{0, 100, 64 << 10, longUpload} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			address, _ := startTarget(t, func(conn net.Conn, _ string, _ int) bool {
				write(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				return false
			})
			text, err := upload(t, newPool(), address, size)
			require.NoError(t, err)
			require.Equal(t, "whole", text)
		})
	}
}
