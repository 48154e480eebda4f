package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/answer/answertest"
	"jacinthstage/stage/catalog"
)

// longUpload is the size of a body that the buffers of a connection can't hold, in bytes.
const longUpload = 16 << 20

// newSystem returns a system whose host sends to its targets itself or through another host.
func newSystem(t *testing.T, indirect bool, targets int, handle targetFunc) *testSystem {
	if !indirect {
		return newTestSystem(t, targets, handle)
	}
	s, _ := newCutSystem(t, 2, targets, handle)
	return s
}

// acceptUploads raises the limit of a body to longUpload.
func (s *testSystem) acceptUploads() {
	config := s.dispatcher.Config()
	var routes []catalog.Route
	for name := range routeKinds {
		route, _ := config.Route("one.example", "/"+name+"/")
		routes = append(routes, route)
	}
	limits := catalog.Limits{MaxBody: longUpload}
	s.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(config.Version+1, routes, []catalog.Service{{Name: "s"}}, limits)})
}

// sendRawAndReset sends bytes in place of an answer, before it has read the request, and resets the
// connection.
func sendRawAndReset(t *testing.T, w http.ResponseWriter, text string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = buffered.WriteString(text)
	_ = buffered.Flush()
	time.Sleep(20 * time.Millisecond) // the answer arrives before the reset
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// TestResetBesideUpload guards against a part of an answer that looks complete to the caller, since
// its target reset the connection while a long upload was written (MIXED).
func TestResetBesideUpload(t *testing.T) {
	const tries = 8
	for _, indirect := range []bool{false, true} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(fmt.Sprint(path, ", through another host ", indirect), func(t *testing.T) {
				s := newSystem(t, indirect, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
					sendRawAndReset(t, w, "HTTP/1.1 200 OK\r\n"+signedHead(r.Header.Get("Id"))+"\r\n")
				})
				s.acceptUploads()
				upload := strings.Repeat("x", longUpload)
				for range tries {
					response, text, err := s.sendWithin(t, waitTimeout, http.MethodPost, path, upload)
					require.NoError(t, err)
					require.NotEqual(t, http.StatusOK, response.StatusCode, "%q counts as whole", text)
				}
				require.NotZero(t, s.runs.Load())
			})
		}
	}
}

// signedHead returns the lines that make an answer one to the request with an id.
func signedHead(id string) string { return "Signed: s\r\nId: " + id + "\r\n" }

// TestBrokenHeads guards against an answer with a head that no sound target sends. It reached the
// caller, or ended its connection without any answer. The request may have run: it is sent again
// only where it may run twice.
func TestBrokenHeads(t *testing.T) {
	for _, broken := range answertest.Broken() {
		for _, indirect := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, through another host %v", broken.Name, indirect), func(t *testing.T) {
				t.Parallel()
				testBrokenHead(t, broken, indirect)
			})
		}
	}
}

func testBrokenHead(t *testing.T, broken answertest.Answer, indirect bool) {
	s := newSystem(t, indirect, 2, func(w http.ResponseWriter, r *http.Request, count int) {
		if count == 2 || count > 4 {
			succeed(w, "whole")
			return
		}
		sendRaw(t, w, broken.With(signedHead(r.Header.Get("Id"))))
	})
	for _, c := range []struct {
		path   string
		status int
	}{
		{"/read/", http.StatusOK}, {"/once/", http.StatusBadGateway}, {"/stream/", http.StatusBadGateway}, {"/once/", http.StatusOK},
	} {
		response, got, err := s.sendWithin(t, waitTimeout, http.MethodPost, c.path, "body")
		require.NoError(t, err, c.path)
		require.Equal(t, c.status, response.StatusCode, "%s: %s", c.path, got)
		if c.status == http.StatusOK {
			require.Equal(t, "whole", got, c.path)
		}
	}
}

// An earlierProxy is that of a host whose build passes on any status from 200.
type earlierProxy struct{ status int }

// Serve implements peers.Proxy.
func (p earlierProxy) Serve(_ context.Context, _ string, m peer.ProxyRequest, stream *peer.Stream) {
	_ = stream.Send(peer.ProxyHead{Status: p.status, Header: []byte(signedHead(m.ID)), First: true}, peer.ProxyData{Data: []byte("broken")}, peer.ProxyEnd{})
}

// TestBrokenStatusFromEarlierBuild guards against a status that no answer has, from a host of a build
// that passes it on.
func TestBrokenStatusFromEarlierBuild(t *testing.T) {
	for status, want := range map[int]int{200: 200, 599: 599, 600: http.StatusBadGateway, 999: http.StatusBadGateway} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			hosts := startHostsWith(t, 2, func(_ int, h *testHost) { h.peers.Proxy = earlierProxy{status} })
			s := cutFirst(t, hosts, 1, func(http.ResponseWriter, *http.Request, int) {})
			response, _, err := s.sendWithin(t, waitTimeout, http.MethodPost, "/once/", "body")
			require.NoError(t, err)
			require.Equal(t, want, response.StatusCode)
		})
	}
}

// TestHeadThatStops cuts answers in their heads (a report of other operators): none looks whole to the
// caller.
func TestHeadThatStops(t *testing.T) {
	const step = 3 // bytes
	for _, indirect := range []bool{false, true} {
		for _, framing := range []string{"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "X: y\r\n", eventType} {
			t.Run(fmt.Sprintf("%q, through another host %v", framing, indirect), func(t *testing.T) {
				t.Parallel()
				var longest atomic.Int32 // part of a head that was sent
				s := newSystem(t, indirect, 1, func(w http.ResponseWriter, r *http.Request, count int) {
					head := "HTTP/1.1 200 OK\r\n" + signedHead(r.Header.Get("Id")) + framing + "\r\n"
					cut := min(step*(count-1), len(head)-1)
					longest.Store(int32(cut))
					sendRaw(t, w, head[:cut])
				})
				for range len("HTTP/1.1 200 OK\r\n"+signedHead("x10")+framing) / step {
					for _, path := range []string{"/once/", "/stream/"} {
						response, text, err := s.sendWithin(t, waitTimeout, http.MethodPost, path, "body")
						require.NoError(t, err)
						require.NotEqual(t, http.StatusOK, response.StatusCode, text)
					}
				}
				require.GreaterOrEqual(t, int(longest.Load()), len("HTTP/1.1 200 OK\r\n"+signedHead("x1")+framing), "all of the head was cut")
			})
		}
	}
}
