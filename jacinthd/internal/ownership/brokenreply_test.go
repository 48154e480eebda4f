package ownership_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/ownership"
	"jacinthstage/stage/answer/answertest"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/residency"
)

// replyTo returns what counts as the reply to an order whose runner sends text and closes or resets
// the connection.
func replyTo(t *testing.T, text string, reset bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString(text)
		_ = buffered.Flush()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	defer server.Close()
	replies := make(chan string, 1)
	client := ownership.RunnerClient{
		Dispatcher: new(dispatch.Dispatcher), Codec: idCodec{}, Pool: &outbound.Pool{Dial: outbound.Dialer(netip.Addr{}).DialContext}, Log: zap.NewNop(),
		OnReply: func(reply string) { replies <- reply }, Valid: func() bool { return true },
	}
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client.Execute(ctx, dispatch.Task{Target: catalog.Target{Name: "r", Address: address}, Action: residency.SendOrder{Order: call.Order{Kind: call.Load}}})
	return <-replies
}

// TestBrokenReplyIsNone checks that an order with a broken answer counts as unanswered, not as
// carried out or refused.
func TestBrokenReplyIsNone(t *testing.T) {
	unanswered := replyTo(t, "", false)
	for _, broken := range answertest.Broken() {
		t.Run(fmt.Sprintf("%q", broken.Name), func(t *testing.T) {
			require.Equal(t, unanswered, replyTo(t, broken.With(""), false))
		})
	}
	require.NotEqual(t, unanswered, replyTo(t, "HTTP/1.1 200 OK\r\n\r\n", false))
}

// TestReplyThatStops cuts the answer to an order after each byte of its head.
func TestReplyThatStops(t *testing.T) {
	unanswered := replyTo(t, "", false)
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"} {
		for _, reset := range []bool{false, true} {
			for n := range len(head) {
				require.Equal(t, unanswered, replyTo(t, head[:n], reset), "%q, reset %v", head[:n], reset)
			}
		}
	}
}
