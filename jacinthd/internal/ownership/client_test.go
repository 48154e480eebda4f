package ownership_test

import (
	"context"
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
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/residency"
)

// idCodec is a RunnerCodec whose replies have no header Id.
type idCodec struct{ silentCodec }

func (idCodec) IsReply(h http.Header) bool { return h.Get("Id") == "" }

func (idCodec) ParseReply(status int) call.Reply {
	if status == http.StatusOK {
		return call.Applied
	}
	return call.Conflict
}

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

// TestLateAnswerIsNoReply guards against an order that counts as carried out because of
// a late answer to a caller's request on the same connection.
func TestLateAnswerIsNoReply(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1\r\n\r\na"
	require.Equal(t, "conflict", replyTo(t, late+"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", false))
}
