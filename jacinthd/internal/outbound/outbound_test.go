package outbound_test

import (
	"bufio"
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

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/verdict"
)

// A script handles one connection to a target: it gets each request's id and
// answers with raw bytes. It returns false to end the connection.
type script func(conn net.Conn, id string, count int) bool

// connections counts those that a target accepted, and those that have ended.
type connections struct {
	atomic.Int32
	ended atomic.Int32
}

// target starts a target and returns its address and the number of its connections.
func target(t *testing.T, s script) (netip.AddrPort, *connections) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var opened connections
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer opened.ended.Add(1)
				converse(conn, s)
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &opened
}

func converse(conn net.Conn, s script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for count := 0; ; count++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Early") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if !s(conn, r.Header.Get("Id"), count) {
			return
		}
	}
}

// whole returns a whole answer.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func pool() *outbound.Pool { return &outbound.Pool{Dial: outbound.Dialer().DialContext} }

// ask sends a request and reads the whole answer.
func ask(p *outbound.Pool, address netip.AddrPort, id string, body []byte) (string, error) {
	header := http.Header{"Id": {id}}
	if len(body) > 1<<20 {
		header.Set("Early", "1")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, address, outbound.Request{Method: http.MethodPost, RequestURI: "/a?b=c", Host: "one.example", Header: header, Body: body},
		func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	return string(text), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func TestKeepsConnections(t *testing.T) {
	address, opened := target(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, whole(id, "answer to "+id))
		return true
	})
	p := pool()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		got, err := ask(p, address, id, []byte("body"))
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, got)
	}
	require.EqualValues(t, 1, opened.Load())
	p.CloseIdle(address)
	_, err := ask(p, address, "r", nil)
	require.NoError(t, err)
	require.EqualValues(t, 2, opened.Load())
}

// TestKeep: no more idle connections are kept for a target than this host's part.
func TestKeep(t *testing.T) {
	started := make(chan struct{}, 4)
	release := make(chan struct{})
	address, opened := target(t, func(conn net.Conn, id string, _ int) bool {
		started <- struct{}{}
		<-release
		write(conn, whole(id, "a"))
		return true
	})
	p := pool()
	p.SetMaxIdle(2)
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() { _, _ = ask(p, address, "r", nil) })
	}
	for range 4 {
		<-started
	}
	close(release)
	done.Wait()
	require.EqualValues(t, 4, opened.Load())
	require.Eventually(t, func() bool { return opened.ended.Load() == 2 }, 10*time.Second, time.Millisecond)
}

// TestConnectionsNotKept: whatever leaves it open where the next answer begins,
// the connection carries no other request.
func TestConnectionsNotKept(t *testing.T) {
	for name, answer := range map[string]func(id string) string{
		"bytes behind the answer": func(id string) string { return whole(id, "a") + "HTTP/1.1 200 OK\r\n" },
		"a second answer":         func(id string) string { return whole(id, "a") + whole(id, "b") },
		"the target closes":       func(id string) string { return strings.Replace(whole(id, "a"), "\r\n", "\r\nConnection: close\r\n", 1) },
		"the target keeps it no time": func(id string) string {
			return strings.Replace(whole(id, "a"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)
		},
		"informational, then an extra": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + whole(id, "a") + "x" },
	} {
		t.Run(name, func(t *testing.T) {
			address, opened := target(t, func(conn net.Conn, id string, _ int) bool {
				write(conn, answer(id))
				return true
			})
			p := pool()
			for range 3 {
				got, err := ask(p, address, "r", nil)
				require.NoError(t, err)
				require.Equal(t, "a", got)
				time.Sleep(5 * time.Millisecond)
			}
			require.EqualValues(t, 3, opened.Load())
		})
	}
}

// TestLateAnswerOfAnother: an answer to an earlier request, where the next one
// is expected, is dropped, and the request gets its own.
func TestLateAnswerOfAnother(t *testing.T) {
	address, _ := target(t, func(conn net.Conn, id string, count int) bool {
		if count > 0 {
			write(conn, whole("r0", "late"))
		}
		write(conn, whole(id, "own "+id))
		return true
	})
	p := pool()
	for _, id := range []string{"r0", "r1", "r2"} {
		got, err := ask(p, address, id, nil)
		require.NoError(t, err)
		require.Equal(t, "own "+id, got)
	}
}

// TestBrokenAnswers: an answer that isn't whole is never taken for one.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":             "",
		"not an answer":       "hello\r\n\r\n",
		"cut in the head":     "HTTP/1.1 200 OK\r\nId: r",
		"cut in the body":     "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nhalf",
		"cut between chunks":  "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"only others' answer": whole("x", "1") + whole("y", "2") + whole("z", "3"),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := target(t, func(conn net.Conn, _ string, _ int) bool {
				write(conn, answer)
				return false
			})
			_, err := ask(pool(), address, "r", nil)
			require.Error(t, err)
			var fault *outbound.Error
			if errors.As(err, &fault) {
				require.Equal(t, verdict.MayHaveRun, fault.Verdict)
			}
		})
	}
}

// TestAnswerWithoutLength: it ends with its connection, but not with a reset.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := target(t, func(conn net.Conn, id string, _ int) bool {
			write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nall of it")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		got, err := ask(pool(), address, "r", nil)
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "all of it", got)
	}
}

// TestAnswerBeforeTheBody: where the target answers before it has read the body,
// the rest of the body is followed by no other request.
func TestAnswerBeforeTheBody(t *testing.T) {
	address, opened := target(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, whole(id, "early"))
		time.Sleep(50 * time.Millisecond)
		return true
	})
	p := pool()
	for range 2 {
		got, err := ask(p, address, "r", make([]byte, 32<<20))
		require.NoError(t, err)
		require.Equal(t, "early", got)
	}
	require.EqualValues(t, 2, opened.Load())
}

// TestNoTarget: a request for which no connection was had surely did not run.
func TestNoTarget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, err = ask(pool(), address, "r", nil)
	var fault *outbound.Error
	require.ErrorAs(t, err, &fault)
	require.True(t, fault.DialFailed)
	require.Equal(t, verdict.NotRun, fault.Verdict)
}

// TestClosedWhileIdle: a connection that the target closed isn't used, and the
// request isn't sent twice.
func TestClosedWhileIdle(t *testing.T) {
	var served atomic.Int32
	address, opened := target(t, func(conn net.Conn, id string, _ int) bool {
		served.Add(1)
		write(conn, whole(id, "a"))
		return false
	})
	p := pool()
	for range 3 {
		_, err := ask(p, address, "r", nil)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	require.EqualValues(t, 3, served.Load())
	require.EqualValues(t, 3, opened.Load())
}

// TestEndOfContext: the connection ends with the context, also while the body is read.
func TestEndOfContext(t *testing.T) {
	gone := make(chan struct{})
	address, _ := target(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nhalf")
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	x, err := pool().Do(ctx, address, outbound.Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, nil)
	require.NoError(t, err)
	defer x.Close()
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = io.ReadAll(x)
	require.Error(t, err)
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the target did not see the end")
	}
}

// TestRequestLine: method, path, query and body go out as they came.
func TestRequestLine(t *testing.T) {
	lines := make(chan string, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			line, _ := reader.ReadString('\n')
			lines <- strings.TrimSpace(line)
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
		}
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	for _, path := range []string{"/a/b?x=1&y=%2F", "/%41/b//c", "/a;b=c", "/a?", "//x/y", "/ü"} {
		x, err := pool().Do(context.Background(), address, outbound.Request{Method: http.MethodGet, RequestURI: path, Host: "h", Header: http.Header{}}, nil)
		require.NoError(t, err, path)
		x.Close()
		require.Equal(t, "GET "+path+" HTTP/1.1", <-lines)
	}
}
