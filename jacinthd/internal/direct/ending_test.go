package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
)

// sendUndelimited answers a request without a length or chunks: its end is the end of the
// connection, which it closes in an orderly way.
func sendUndelimited(t *testing.T, w http.ResponseWriter, r *http.Request, body string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n%s", r.Header.Get("Id"), body)
	_ = buffered.Flush()
	_ = conn.Close()
}

// TestAnswersThatEndWithTheirConnection checks answers that have neither a length nor
// chunks: a whole one is passed on, and a stream that ends inside an event goes on at
// another target.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, c := range []struct{ name, path, first, want string }{
		{"body", "/read/", "text", "text"},
		{"stream", "/resumed/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"stream, broken off", "/resumed/", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n"},
		{"stream, broken off in its first event", "/resumed/", "id: 1\nda", "id: 2\ndata: after \n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, count int) {
				if count == 1 {
					sendUndelimited(t, w, r, c.first)
					return
				}
				succeed(w, "id: 2\ndata: after "+r.Header.Get("After")+"\n\n")
			})
			response, text, err := s.send(t, http.MethodPost, c.path, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, c.want, text)
		})
	}
}

// TestCrashIsNoEndOfAnswer guards against an answer that ends, with the connection, after
// its head or in its body because its target has ended: it looks like a whole answer, would
// be passed on as one (MIXED), and would clear the request that crashed the target (BUDGET).
func TestCrashIsNoEndOfAnswer(t *testing.T) {
	for _, c := range []struct{ path, cut string }{
		{"/once/", ""}, {"/read/", ""}, {"/resumed/", ""}, {"/once/", "part"}, {"/read/", "part"},
	} {
		t.Run(c.path+c.cut, func(t *testing.T) {
			s := newTestSystem(t, 0, nil)
			var crashes atomic.Int32
			var all []catalog.Target
			for i := range 8 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				server := &httptest.Server{Listener: listener, Config: &http.Server{
					ReadHeaderTimeout: waitTimeout,
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						crashes.Add(1)
						_ = listener.Close()
						sendUndelimited(t, w, r, c.cut)
					}),
				}}
				server.Start()
				t.Cleanup(server.Close)
				all = append(all, catalog.Target{
					Name: fmt.Sprint("t", i), Service: "s", Zone: "z", Slots: 8, Started: time.UnixMilli(1),
					Address: netip.MustParseAddrPort(listener.Addr().String()),
				})
			}
			s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: all})
			for range 6 {
				response, _, err := s.send(t, http.MethodPost, c.path, crashBody)
				require.NoError(t, err)
				require.NotEqual(t, http.StatusOK, response.StatusCode)
			}
			require.EqualValues(t, 2, crashes.Load(), "targets that crashed")
		})
	}
}

// TestLeavingTargetsAnswers checks the answers without a length or chunks of targets that have
// said that they leave, also through another host: one that is removed with its answer in progress
// leaves a part of it, which must not look complete (ORDER, MIXED), and one that still serves
// leaves a whole one (LOST).
func TestLeavingTargetsAnswers(t *testing.T) {
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, body := range map[string]string{"/once/": "text", "/once/long": strings.Repeat("x", 5<<18), "/stream/": events} {
		for _, removed := range []bool{true, false} {
			for _, indirect := range []bool{true, false} {
				t.Run(fmt.Sprint(name, ", removed ", removed, ", through another host ", indirect), func(t *testing.T) {
					s := newLeavingSystem(t, body, removed, indirect)
					response, text, err := s.sendWithin(t, waitTimeout, http.MethodPost, name, "body")
					if !removed {
						require.NoError(t, err)
						require.Equal(t, http.StatusOK, response.StatusCode)
						require.True(t, text == body, "%d of %d bytes", len(text), len(body))
						return
					}
					require.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "%d bytes look complete", len(text))
				})
			}
		}
	}
}

// newLeavingSystem returns a system with one target. It says in its answer, which has neither a
// length nor chunks, that it leaves, and ends after it if it is removed.
func newLeavingSystem(t *testing.T, body string, removed, indirect bool) *testSystem {
	hosts := startHosts(t, 2)
	c := &cut{dial: isRefused}
	c.apply(hosts[0])
	c.active.Store(indirect)
	s := newLinkedSystem(t, hosts, 0, nil)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nLeaving: 1\r\n\r\n%s", r.Header.Get("Id"), body)
		if removed {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	target := catalog.Target{Name: "t0", Service: "s", Zone: "z", Slots: 8, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	for _, h := range hosts {
		h.dispatcher.Apply(time.Now(), listOf(target))
	}
	return s
}
