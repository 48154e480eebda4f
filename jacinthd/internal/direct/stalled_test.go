package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledCallersLeaveTheLinkToOthers guards against a link between two hosts that carries
// nothing any more since callers don't read answers without an end that came over it.
func TestStalledCallersLeaveTheLinkToOthers(t *testing.T) {
	const stalled = 8
	var sent atomic.Int64
	s, _ := newCutSystem(t, 2, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		succeed(w, "a")
		part := make([]byte, 64<<10)
		for strings.HasSuffix(r.URL.Path, "flood") {
			if _, err := w.Write(part); err != nil {
				return
			}
			sent.Add(int64(len(part)))
		}
	})
	for i := range stalled {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, fmt.Sprintf("POST /once/flood HTTP/1.1\r\nHost: one.example\r\nId: f%d\r\nContent-Length: 0\r\n\r\n", i))
		require.NoError(t, err)
	}
	began := time.Now()
	for last := int64(-1); last != sent.Load() && time.Since(began) < time.Second; time.Sleep(100 * time.Millisecond) {
		last = sent.Load()
	}
	t.Log("sent", sent.Load(), "after", time.Since(began))
	start := time.Now()
	response, text, err := s.sendWithin(t, 800*time.Millisecond, http.MethodPost, "/once/", "")
	t.Log("took", time.Since(start))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "a", text)
}
