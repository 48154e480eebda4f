package outbound_test

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsAreShort guards against errors that repeat what a faulty target sent, which is logged
// and told to the caller: up to four bytes for each one of a head of 64 KiB.
func TestErrorsAreShort(t *testing.T) {
	const maxError = 400 // bytes
	long := strings.Repeat("\x00", 60<<10)
	for name, response := range map[string]string{
		"status line":          long + "\r\n\r\n",
		"status code":          "HTTP/1.1 " + long + "\r\n\r\n",
		"version":              long + " 200 OK\r\n\r\n",
		"header without colon": "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"header name":          "HTTP/1.1 200 OK\r\n" + long + ": a\r\n\r\n",
		"transfer encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", 60<<10) + "\r\n\r\n",
		"content length":       "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", 60<<10) + "\r\n\r\n",
		"trailer":              "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + long[:3<<10] + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, func(conn net.Conn, _ string, _ int) bool {
				write(conn, response)
				return true
			})
			_, err := fetch(newPool(), address, "x", nil)
			require.Error(t, err)
			require.Less(t, len(err.Error()), maxError)
		})
	}
}
