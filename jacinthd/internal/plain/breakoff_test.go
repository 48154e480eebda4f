package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/plain"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/ledger"
)

// TestBrokenAnswerLooksBroken guards against an answer that breaks off and looks complete to a caller
// of HTTP/1.0, which has no chunks: its end is the end of the connection.
func TestBrokenAnswerLooksBroken(t *testing.T) {
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", ledger.MaxStoredBody+1000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, request := range []string{"GET /status/d1", "POST /charge"} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(request+" "+version, func(t *testing.T) {
				url := serve(t, &plain.Handler{Store: &memory.Store{}}, newBackend(t, breakOff).target())
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				require.NoError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "%s HTTP/%s\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", request, version)
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				defer response.Body.Close()
				require.Equal(t, http.StatusOK, response.StatusCode)
				n, err := io.Copy(io.Discard, response.Body)
				require.Error(t, err, "%d bytes look complete", n)
			})
		}
	}
}
