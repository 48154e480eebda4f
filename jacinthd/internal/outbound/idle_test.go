package outbound_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBytesOnIdleConnections guards against idle connections on which a faulty target sends after
// its answer: what has arrived and isn't read counts as memory of the process, and the target's
// Keep-Alive header says for how long.
func TestBytesOnIdleConnections(t *testing.T) {
	address, conns := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		write(conn, strings.Replace(fullResponse(id, "a"), "\r\n", "\r\nKeep-Alive: timeout=1000\r\n", 1))
		if id != "faulty" {
			return true
		}
		time.Sleep(50 * time.Millisecond)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	})
	p := newPool()
	_, err := fetch(p, address, "faulty", nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		p.Prune(func(netip.AddrPort) bool { return true })
		return conns.ended.Load() == 1
	}, 10*time.Second, 10*time.Millisecond)

	for i := range 3 {
		_, err := fetch(p, address, fmt.Sprint("sound", i), nil)
		require.NoError(t, err)
		p.Prune(func(netip.AddrPort) bool { return true })
	}
	require.EqualValues(t, 2, conns.Load(), "an idle connection without bytes stays")
}
