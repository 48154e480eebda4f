package outbound_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// headerLines returns a number of header lines that are as short as they can be and all differ.
func headerLines(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%x:\n", 0x1000+i)
	}
	return b.String()
}

// TestHeadOfManyLines guards against a head of thousands of short lines, which takes some 30 times
// its size in memory for as long as its body lasts.
func TestHeadOfManyLines(t *testing.T) {
	for _, c := range []struct {
		lines, bodyLines int
		accepted         bool
	}{
		{250, 4000, true}, {300, 0, false}, {8000, 0, false},
	} {
		t.Run(fmt.Sprint(c.lines), func(t *testing.T) {
			body := strings.Repeat("\n", c.bodyLines)
			address, conns := startTarget(t, func(conn net.Conn, id string, _ int) bool {
				write(conn, strings.Replace(fullResponse(id, body), "\r\n", "\r\n"+headerLines(c.lines), 1))
				return true
			})
			got, err := fetch(newPool(), address, "x", nil)
			if c.accepted {
				require.NoError(t, err)
				require.Equal(t, body, got)
				return
			}
			require.Error(t, err)
			require.Eventually(t, func() bool { return conns.ended.Load() == 1 }, 10*time.Second, time.Millisecond)
		})
	}
}

// TestSlowHeadOfManyLines guards against such a head that comes line by line and doesn't end, which
// takes that memory until the request's deadline.
func TestSlowHeadOfManyLines(t *testing.T) {
	const maxLines = 1000 // far more than the host accepts, and fewer than the size of a head allows
	sent := make(chan int, 1)
	address, _ := startTarget(t, func(conn net.Conn, _ string, _ int) bool {
		write(conn, "HTTP/1.1 200 OK\r\n")
		n := 0
		for ; n < 2*maxLines; n++ {
			if _, err := fmt.Fprintf(conn, "%x:\n", 0x1000+n); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		sent <- n
		return false
	})
	_, err := fetch(newPool(), address, "x", nil)
	require.Error(t, err)
	require.Less(t, <-sent, maxLines)
}
