package outbound_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/outbound"
)

// An endingTarget is a target whose process can end: all its connections end, and it accepts no
// other.
type endingTarget struct {
	listener net.Listener
	address  netip.AddrPort
	mu       sync.Mutex
	conns    []net.Conn
}

// startEndingTarget starts a target that answers without a length or chunks after before has
// returned; "hold" keeps the connection of its request open.
func startEndingTarget(t *testing.T, body string, before func(*endingTarget)) *endingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &endingTarget{listener: listener, address: netip.MustParseAddrPort(listener.Addr().String())}
	t.Cleanup(target.end)
	go target.accept(func(conn net.Conn, id string, _ int) bool {
		if id == "hold" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: hold\r\nContent-Length: 1\r\n\r\n")
			return true
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
		before(target)
		return false
	})
	return target
}

func (e *endingTarget) accept(respond responder) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go serveConn(conn, respond)
	}
}

func (e *endingTarget) end() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// TestBodyThatEndsWithItsConnection checks which bodies without a length or chunks count as
// complete, short and long ones.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*endingTarget)
		held   bool // another request is in progress
		want   error
	}{
		{name: "the target runs", before: func(*endingTarget) {}},
		{name: "the target has ended", before: (*endingTarget).end, want: outbound.ErrCutOff},
		{name: "the target has ended with two requests", before: (*endingTarget).end, held: true, want: outbound.ErrCutOff},
		{name: "the target finishes its work", before: func(e *endingTarget) { _ = e.listener.Close() }, held: true},
		{name: "the target refuses connections, nothing else is known", before: func(e *endingTarget) { _ = e.listener.Close() }, want: outbound.ErrCutOff},
	} {
		for _, size := range []int{0, 100, 3 << 20} {
			t.Run(fmt.Sprint(c.name, ", ", size), func(t *testing.T) {
				t.Parallel()
				target := startEndingTarget(t, strings.Repeat("x", size), c.before)
				pool := newPool()
				if c.held {
					held, err := pool.Do(context.Background(), target.address, get("hold"), nil)
					require.NoError(t, err)
					defer held.Close()
				}
				x, err := pool.Do(context.Background(), target.address, get("a"), nil)
				require.NoError(t, err)
				defer x.Close()
				n, err := io.Copy(io.Discard, x)
				require.ErrorIs(t, err, c.want)
				require.EqualValues(t, size, n)
				_, err = x.Read(make([]byte, 1))
				require.Error(t, err, "the end stays as it was")
			})
		}
	}
}

func get(id string) outbound.Request {
	return outbound.Request{ID: id, Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{"Id": {id}}}
}

// TestNoWholeBodyIsRefused counts the whole bodies of a sound target that many requests meet, also
// where it resets part of the new connections.
func TestNoWholeBodyIsRefused(t *testing.T) {
	const workers, each = 16, 25
	var accepted, whole atomic.Int32
	target := startEndingTarget(t, "text", func(*endingTarget) {})
	pool := newPool()
	dial := pool.Dial
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil && accepted.Add(1)%5 == 0 {
			_ = conn.(*net.TCPConn).CloseRead()
		}
		return conn, err
	}
	var done sync.WaitGroup
	for w := range workers {
		done.Go(func() {
			for i := range each {
				for whole := false; !whole; {
					whole = readWhole(t, pool, target.address, fmt.Sprint(w, ".", i))
				}
				whole.Add(1)
			}
		})
	}
	done.Wait()
	require.EqualValues(t, workers*each, whole.Load())
}

// readWhole reports whether a request was answered, and fails the test if its body counts as cut.
func readWhole(t *testing.T, pool *outbound.Pool, address netip.AddrPort, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	x, err := pool.Do(ctx, address, get(id), nil)
	if err != nil {
		return false // its own connection was reset
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	if err != nil || string(text) != "text" {
		t.Errorf("%s: %q, %v", id, text, err)
	}
	return true
}
