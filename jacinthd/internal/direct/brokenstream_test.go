package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// begunEvents are the events of a stream that breaks off after them.
const begunEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// callRaw sends a request as a caller of a version of HTTP. complete reports whether the answer
// looks complete; text is what the caller reads of it.
func (s *testSystem) callRaw(t *testing.T, version, path string) (status int, text string, complete bool) {
	response := s.openRaw(t, version, path)
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err == nil
}

// openRaw sends a request as a caller of a version of HTTP, and reads the head of the answer. The
// body of the answer it returns closes the caller's side of the connection.
func (s *testSystem) openRaw(t *testing.T, version, path string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: one.example\r\nId: x1\r\nLeft: 1500\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body = halfClosingBody{response.Body, conn.(*net.TCPConn)}
	return response
}

// A halfClosingBody is the body of an answer whose Close closes the caller's side of the connection
// only.
type halfClosingBody struct {
	io.Reader
	conn *net.TCPConn
}

func (b halfClosingBody) Close() error { return b.conn.CloseWrite() }

// TestCutAnswerOfHTTP10 guards against an answer that breaks off and looks complete to a caller of
// HTTP/1.0, since it has neither a length nor chunks and its connection ends in an orderly way
// (ORDER, MIXED).
func TestCutAnswerOfHTTP10(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	for path, text := range map[string]string{"/stream/": begunEvents, "/resumed/": begunEvents, "/once/": long} {
		for _, broken := range []bool{true, false} {
			t.Run(fmt.Sprint(path, ", broken ", broken), func(t *testing.T) {
				s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
					succeed(w, text)
					if broken {
						_ = http.NewResponseController(w).Flush()
						abortAnswer()
					}
				})
				status, got, complete := s.callRaw(t, "1.0", path)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, !broken, complete, "%d of %d bytes look complete", len(got), len(text))
				require.True(t, strings.HasPrefix(text, got) && (broken || got == text), "%d of %d bytes", len(got), len(text))
			})
		}
	}
}

// TestHalfClosedCallerSeesCutStream guards against a stream that ends as if it were complete for a
// caller that has closed its own side of the connection and still reads (ORDER).
func TestHalfClosedCallerSeesCutStream(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		t.Run(version, func(t *testing.T) {
			s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
				succeed(w, begunEvents)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			response := s.openRaw(t, version, "/resumed/")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NoError(t, response.Body.Close())
			text, err := io.ReadAll(response.Body)
			require.Error(t, err, "the stream looks complete")
			require.Equal(t, begunEvents, string(text))
		})
	}
}
