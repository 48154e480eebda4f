package outbound_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"jacinthstage/jacinthd/internal/outbound"
)

// A muteConn is a target's connection that can stop to receive: the kernel drops all segments
// that arrive for it and acknowledges none, as if the target's machine were silent.
type muteConn struct{ *net.TCPConn }

func (c muteConn) control(t *testing.T, set func(fd int) error) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	var setErr error
	require.NoError(t, raw.Control(func(fd uintptr) { setErr = set(int(fd)) }))
	require.NoError(t, setErr)
}

func (c muteConn) mute(t *testing.T) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	c.control(t, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
}

func (c muteConn) unmute(t *testing.T) {
	c.control(t, func(fd int) error { return syscall.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// serveOnce accepts one connection, reads a request from it and passes it on.
func serveOnce(t *testing.T, serve func(c muteConn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(muteConn{c.(*net.TCPConn)})
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestSilentTargetKeepsItsConnections guards against connections, with the requests on them,
// that are lost since a sound target was silent for a second or so while they were idle.
func TestSilentTargetKeepsItsConnections(t *testing.T) {
	for _, begin := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond} {
		t.Run(begin.String(), func(t *testing.T) {
			t.Parallel()
			address := serveOnce(t, func(c muteConn) {
				time.Sleep(begin)
				c.mute(t)
				time.Sleep(1500 * time.Millisecond)
				c.unmute(t)
				time.Sleep(1500 * time.Millisecond)
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			})
			pool := &outbound.Pool{Dial: outbound.Dialer(netip.Addr{}).DialContext}
			x, err := pool.Do(context.Background(), address, outbound.Request{Method: http.MethodGet, RequestURI: "/", Header: http.Header{}}, nil)
			require.NoError(t, err)
			x.Close()
		})
	}
}

// TestLostTargetIsNoticed checks that an answer whose target doesn't respond any more breaks off
// while its caller still waits, and one whose target is slow doesn't.
func TestLostTargetIsNoticed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
	read := func(t *testing.T, address netip.AddrPort) (time.Duration, error) {
		pool := &outbound.Pool{Dial: outbound.Dialer(netip.Addr{}).DialContext}
		x, err := pool.Do(context.Background(), address, outbound.Request{Method: http.MethodGet, RequestURI: "/", Header: http.Header{}}, nil)
		require.NoError(t, err)
		defer x.Close()
		began := time.Now()
		_, err = io.ReadAll(x)
		return time.Since(began), err
	}
	t.Run("lost", func(t *testing.T) {
		t.Parallel()
		took, err := read(t, serveOnce(t, func(c muteConn) {
			_, _ = c.Write([]byte(head))
			time.Sleep(50 * time.Millisecond)
			c.mute(t)
			time.Sleep(5 * time.Second)
		}))
		require.Error(t, err)
		require.Less(t, took, 3*time.Second)
	})
	t.Run("slow", func(t *testing.T) {
		t.Parallel()
		_, err := read(t, serveOnce(t, func(c muteConn) {
			_, _ = c.Write([]byte(head))
			time.Sleep(6 * time.Second)
			_, _ = c.Write([]byte("cd"))
		}))
		require.NoError(t, err)
	})
	t.Run("silent", func(t *testing.T) {
		t.Parallel()
		_, err := read(t, serveOnce(t, func(c muteConn) {
			_, _ = c.Write([]byte(head))
			time.Sleep(50 * time.Millisecond)
			c.mute(t)
			time.Sleep(2 * time.Second)
			c.unmute(t)
			_, _ = c.Write([]byte("cd"))
		}))
		require.NoError(t, err)
	})
}
