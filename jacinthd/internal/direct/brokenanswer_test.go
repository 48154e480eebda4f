package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
