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

// A responder answers one request on a connection to a target with raw bytes. It
// gets the request's ID and its index on the connection, and returns false to
// close the connection.
type responder func(conn net.Conn, id string, count int) bool

// connCounts counts the connections that a target has accepted (the embedded
// counter) and those that have ended.
type connCounts struct {
	atomic.Int32
	ended atomic.Int32
}

// startTarget starts a target and returns its address and connection counts.
func startTarget(t *testing.T, respond responder) (netip.AddrPort, *connCounts) {
	var counts connCounts
	address := listen(t, func(conn net.Conn) {
		counts.Add(1)
		go func() {
			defer counts.ended.Add(1)
			serveConn(conn, respond)
		}()
	})
	return address, &counts
}

// listen accepts connections until the test ends, and calls accepted for one after the other.
func listen(t *testing.T, accepted func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func serveConn(conn net.Conn, respond responder) {
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
		if !respond(conn, r.Header.Get("Id"), count) {
			return
		}
	}
}

// fullResponse returns a complete HTTP response.
func fullResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool() *outbound.Pool { return &outbound.Pool{Dial: outbound.Dialer(netip.Addr{}).DialContext} }

// fetch sends a request and reads the complete response body.
func fetch(p *outbound.Pool, address netip.AddrPort, id string, body []byte) (string, error) {
	header := http.Header{"Id": {id}}
	if len(body) > 1<<20 {
		header.Set("Early", "1")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, address, outbound.Request{ID: id, Method: http.MethodPost, RequestURI: "/a?b=c", Host: "one.example", Header: header, Body: body},
		func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	return string(text), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func TestReusesConnections(t *testing.T) {
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, fullResponse(id, "answer to "+id))
		return true
	})
	p := newPool()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		got, err := fetch(p, address, id, []byte("body"))
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, got)
	}
	require.EqualValues(t, 1, opened.Load())
	p.CloseIdle(address)
	_, err := fetch(p, address, "r", nil)
	require.NoError(t, err)
	require.EqualValues(t, 2, opened.Load())
}

// TestSetMaxIdle checks that a pool keeps no more idle connections for a target
// than its limit.
func TestSetMaxIdle(t *testing.T) {
	started := make(chan struct{}, 4)
	release := make(chan struct{})
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		started <- struct{}{}
		<-release
		write(conn, fullResponse(id, "a"))
		return true
	})
	p := newPool()
	p.SetMaxIdle(2)
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() { _, _ = fetch(p, address, "r", nil) })
	}
	for range 4 {
		<-started
	}
	close(release)
	done.Wait()
	require.EqualValues(t, 4, opened.Load())
	require.Eventually(t, func() bool { return opened.ended.Load() == 2 }, 10*time.Second, time.Millisecond)
}

// TestConnectionsNotReused checks that a connection carries no further request
// if it is unclear where the next response would begin, or if the target doesn't
// keep the connection open.
func TestConnectionsNotReused(t *testing.T) {
	for name, response := range map[string]func(id string) string{
		"bytes after the response": func(id string) string { return fullResponse(id, "a") + "HTTP/1.1 200 OK\r\n" },
		"a second response":        func(id string) string { return fullResponse(id, "a") + fullResponse(id, "b") },
		"the target closes": func(id string) string {
			return strings.Replace(fullResponse(id, "a"), "\r\n", "\r\nConnection: close\r\n", 1)
		},
		"keep-alive timeout of zero": func(id string) string {
			return strings.Replace(fullResponse(id, "a"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)
		},
		"informational response, then an extra byte": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + fullResponse(id, "a") + "x" },
	} {
		t.Run(name, func(t *testing.T) {
			address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
				write(conn, response(id))
				return true
			})
			p := newPool()
			for range 3 {
				got, err := fetch(p, address, "r", nil)
				require.NoError(t, err)
				require.Equal(t, "a", got)
				time.Sleep(5 * time.Millisecond)
			}
			require.EqualValues(t, 3, opened.Load())
		})
	}
}

// TestStrayResponse checks that a late response to an earlier request is
// discarded and that the current request gets its own response.
func TestStrayResponse(t *testing.T) {
	address, _ := startTarget(t, func(conn net.Conn, id string, count int) bool {
		if count > 0 {
			write(conn, fullResponse("r0", "late"))
		}
		write(conn, fullResponse(id, "own "+id))
		return true
	})
	p := newPool()
	for _, id := range []string{"r0", "r1", "r2"} {
		got, err := fetch(p, address, id, nil)
		require.NoError(t, err)
		require.Equal(t, "own "+id, got)
	}
}

// TestIncompleteResponses checks that an incomplete response is never returned as
// a complete one.
func TestIncompleteResponses(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":              "",
		"not a response":       "hello\r\n\r\n",
		"cut in the header":    "HTTP/1.1 200 OK\r\nId: r",
		"cut in the body":      "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nhalf",
		"cut between chunks":   "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"only stray responses": fullResponse("x", "1") + fullResponse("y", "2") + fullResponse("z", "3"),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, func(conn net.Conn, _ string, _ int) bool {
				write(conn, response)
				return false
			})
			_, err := fetch(newPool(), address, "r", nil)
			require.Error(t, err)
			var outboundErr *outbound.Error
			if errors.As(err, &outboundErr) {
				require.Equal(t, verdict.MayHaveRun, outboundErr.Verdict)
			}
		})
	}
}

// TestResponseWithoutLength checks that a response without a length is complete
// when the target closes the connection, but not when it resets it.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := startTarget(t, func(conn net.Conn, id string, _ int) bool {
			write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nall of it")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		got, err := fetch(newPool(), address, "r", nil)
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "all of it", got)
	}
}

// TestResponseBeforeBodyRead checks that a connection isn't reused if the target
// responds before it has read the whole request body: the next request would
// follow the rest of that body.
func TestResponseBeforeBodyRead(t *testing.T) {
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, fullResponse(id, "early"))
		time.Sleep(50 * time.Millisecond)
		return true
	})
	p := newPool()
	for range 2 {
		got, err := fetch(p, address, "r", make([]byte, 32<<20))
		require.NoError(t, err)
		require.Equal(t, "early", got)
	}
	require.EqualValues(t, 2, opened.Load())
}

// TestDialFailure checks that a request without a connection is reported as not
// run.
func TestDialFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, err = fetch(newPool(), address, "r", nil)
	var outboundErr *outbound.Error
	require.ErrorAs(t, err, &outboundErr)
	require.True(t, outboundErr.DialFailed)
	require.Equal(t, verdict.NotRun, outboundErr.Verdict)
}

// TestClosedWhileIdle checks that a connection closed by the target isn't reused
// and that no request is sent twice.
func TestClosedWhileIdle(t *testing.T) {
	var served atomic.Int32
	address, opened := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		served.Add(1)
		write(conn, fullResponse(id, "a"))
		return false
	})
	p := newPool()
	for range 3 {
		_, err := fetch(p, address, "r", nil)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	require.EqualValues(t, 3, served.Load())
	require.EqualValues(t, 3, opened.Load())
}

// TestContextEnd checks that the connection is closed when the context ends, even
// while the body is being read.
func TestContextEnd(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nhalf")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	x, err := newPool().Do(ctx, address, outbound.Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{"Id": {"r"}}}, nil)
	require.NoError(t, err)
	defer x.Close()
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = io.ReadAll(x)
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the target did not see the connection end")
	}
}

// TestRequestLine checks that method, path and query are sent unchanged.
func TestRequestLine(t *testing.T) {
	lines := make(chan string, 8)
	address := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		line, _ := reader.ReadString('\n')
		lines <- strings.TrimSpace(line)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_ = conn.Close()
	})
	for _, path := range []string{"/a/b?x=1&y=%2F", "/%41/b//c", "/a;b=c", "/a?", "//x/y", "/ü"} {
		x, err := newPool().Do(context.Background(), address, outbound.Request{Method: http.MethodGet, RequestURI: path, Host: "h", Header: http.Header{}}, nil)
		require.NoError(t, err, path)
		x.Close()
		require.Equal(t, "GET "+path+" HTTP/1.1", <-lines)
	}
}

// TestSecondCopyOfRefusal guards against a refusal that is taken for the answer to a
// later send of the same request, which runs (REFUSED, TWICE). The target sends its
// refusal once more when the same request arrives again on the connection.
func TestSecondCopyOfRefusal(t *testing.T) {
	refusal := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 7\r\n\r\nrefused", id)
	}
	address, opened := startTarget(t, func(conn net.Conn, id string, count int) bool {
		if count == 0 {
			write(conn, refusal(id))
			return true
		}
		write(conn, refusal(id)+fullResponse(id, "ran"))
		return true
	})
	p := newPool()
	for range 2 {
		got, err := fetch(p, address, "x", nil)
		require.NoError(t, err)
		require.Equal(t, "refused", got)
	}
	require.EqualValues(t, 2, opened.Load(), "the second send has a connection of its own")
	got, err := fetch(p, address, "y", nil)
	require.NoError(t, err)
	require.NotEmpty(t, got)
	require.EqualValues(t, 2, opened.Load(), "other requests reuse connections")
}

// TestLateCopyOfRefusal guards against a refusal that is taken for the answer to a later send of the
// same request, which runs (REFUSED, TWICE), where the connection has carried many other requests,
// orders or reports since: the target sends the refusal once more only when the request is back.
func TestLateCopyOfRefusal(t *testing.T) {
	for name, other := range map[string]func(i int) string{
		"requests": func(i int) string { return fmt.Sprint("y", i) },
		"orders":   func(int) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nId: x\r\nContent-Length: 7\r\n\r\nrefused"
			address, opened := startTarget(t, func(conn net.Conn, id string, count int) bool {
				switch {
				case id != "x":
					write(conn, fullResponse(id, "ran"))
				case count == 0:
					write(conn, refusal)
				default:
					write(conn, refusal+fullResponse(id, "ran"))
				}
				return true
			})
			p := newPool()
			for i := range 101 {
				id := "x"
				if i > 0 {
					id = other(i)
				}
				_, err := fetch(p, address, id, nil)
				require.NoError(t, err)
			}
			require.EqualValues(t, 1, opened.Load())
			_, err := fetch(p, address, "x", nil)
			require.NoError(t, err)
			require.EqualValues(t, 2, opened.Load(), "the second send has a connection of its own")
		})
	}
}

// TestBytesWithoutEnd guards against a target that sends bytes until its caller closes
// the connection, in a head or in the body of an answer to another request: the host
// must neither keep them in memory nor read on until the request's deadline.
func TestBytesWithoutEnd(t *testing.T) {
	const maxSent = 16 << 20 // far more than the buffers of a connection hold
	fill := strings.Repeat("x", 1<<16)
	for _, c := range []struct{ name, start, repeated string }{
		{"no line end", "", fill},
		{"status line", "HTTP/1.1 200 ", fill},
		{"header line", "HTTP/1.1 200 OK\r\nFiller: ", fill},
		{"header lines", "HTTP/1.1 200 OK\r\n", "Filler: " + fill[:1000] + "\r\n"},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body of another answer", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + fill[:0x1000] + "\r\n"},
		{"body without length of another answer", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", fill},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := startTarget(t, func(conn net.Conn, _ string, _ int) bool {
				write(conn, c.start)
				n := 0
				for n < 10*maxSent {
					if _, err := io.WriteString(conn, c.repeated); err != nil {
						break
					}
					n += len(c.repeated)
				}
				sent <- n
				return false
			})
			_, err := fetch(newPool(), address, "x", nil)
			require.Error(t, err)
			require.Less(t, <-sent, maxSent)
		})
	}
}
