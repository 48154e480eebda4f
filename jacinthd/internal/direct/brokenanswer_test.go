package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/peer"
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
					sendRawAndReset(t, w, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: "+r.Header.Get("Id")+"\r\n\r\n")
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

// A rawAnswer is an answer as its target sends it. %s stands for the request's id.
type rawAnswer struct{ name, text string }

// signedHead is the part of an answer's head that makes it an answer to its request.
const signedHead = "Signed: s\r\nId: %s\r\n"

// statusAnswers are answers whose status line is none of HTTP/1.1, or names a status that no final
// answer has.
func statusAnswers() []rawAnswer {
	var all []rawAnswer
	for _, line := range []string{
		"HTTP/1.1 000 Unknown", "HTTP/1.1 020 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 099 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200 \x01", "HTTP/1.1",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1\t200 OK",
	} {
		all = append(all, rawAnswer{line, line + "\r\n" + signedHead + "Content-Length: 6\r\n\r\nbroken"})
	}
	return all
}

// nameAnswers are answers with a line in their head that doesn't name a field.
func nameAnswers() []rawAnswer {
	chunked := "6\r\nbroken\r\n0\r\n\r\n"
	all := []rawAnswer{
		{"Content-Length : 6", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length : 6\r\n\r\nbrokenmore"},
		{"Transfer-Encoding : chunked", "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding : chunked\r\n\r\n" + chunked},
	}
	for _, line := range []string{
		"X Y: 4", "X-Field : 4", "X\x01Y: 4", "X\tY: 4", "X\x7fY: 4", "X\x00Y: 4", "X\rY: 4", "X\xe9Y: 4", "X(Y): 4", "X@Y: 4", "X\x1bY: 4",
		": 4", "X-Field", " X-Field: 4", "\tX-Field: 4", "X: \x01", "X: \x00", "X: a\rb", "X: \x7f",
	} {
		all = append(all, rawAnswer{line, "HTTP/1.1 200 OK\r\n" + signedHead + line + "\r\nContent-Length: 6\r\n\r\nbroken"})
		all = append(all, rawAnswer{line + ", in the first line", "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signedHead + "Content-Length: 6\r\n\r\nbroken"})
	}
	return all
}

// framingAnswers are answers whose head says more than one thing of the end of the body, or nothing
// that is known.
func framingAnswers() []rawAnswer {
	chunked := "6\r\nbroken\r\n0\r\n\r\n"
	all := []rawAnswer{{"HTTP/1.0 and chunks", "HTTP/1.0 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked}}
	for _, fields := range []string{
		"Content-Length: 6\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 16", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
	} {
		all = append(all, rawAnswer{fields, "HTTP/1.1 200 OK\r\n" + signedHead + fields + "\r\n\r\n" + chunked})
	}
	for _, fields := range []string{
		"Content-Length: 6\r\nContent-Length: 4", "Content-Length: 6, 4", "Content-Length: 6, 6", "Content-Length: +6", "Content-Length: -6", "Content-Length: 0x6", "Content-Length: 6 6",
		"Content-Length:", "Content-Length: 18446744073709551622", "X: y\r\n Content-Length: 6",
	} {
		all = append(all, rawAnswer{fields, "HTTP/1.1 200 OK\r\n" + signedHead + fields + "\r\n\r\nbroken"})
	}
	return all
}

// TestBrokenHeads guards against an answer with a head that no sound target sends. It reached the
// caller, or ended its connection without any answer. The request may have run: it is sent again
// only where it may run twice.
func TestBrokenHeads(t *testing.T) {
	for _, broken := range slices.Concat(statusAnswers(), nameAnswers(), framingAnswers()) {
		for _, indirect := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, through another host %v", broken.name, indirect), func(t *testing.T) {
				t.Parallel()
				testBrokenHead(t, broken.text, indirect)
			})
		}
	}
}

func testBrokenHead(t *testing.T, text string, indirect bool) {
	s := newSystem(t, indirect, 2, func(w http.ResponseWriter, r *http.Request, count int) {
		if count == 2 || count > 4 {
			succeed(w, "whole")
			return
		}
		sendRaw(t, w, fmt.Sprintf(text, r.Header.Get("Id")))
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
	_ = stream.Send(peer.ProxyHead{Status: p.status, Header: fmt.Appendf(nil, signedHead, m.ID), First: true}, peer.ProxyData{Data: []byte("broken")}, peer.ProxyEnd{})
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
