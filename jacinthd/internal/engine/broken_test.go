package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/answer/answertest"
	"jacinthstage/stage/verdict"
)

// sendRaw sends text in place of an answer and closes or resets the connection.
func sendRaw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString(text)
		_ = buffered.Flush()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// requireLost checks that an engine's answer to any call counts as lost.
func requireLost(t *testing.T, addr netip.AddrPort) {
	client := &engine.Client{ProgressTimeout: time.Second}
	defer client.Close()
	_, err := client.Order(context.Background(), addr, engine.Load{Ref: fees}, 7, time.Now().Add(time.Minute))
	require.Error(t, err, "order")
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "order")
	_, err = client.Cancel(context.Background(), addr, "r1")
	require.Error(t, err, "cancel")
	_, err = client.Report(context.Background(), addr)
	require.Error(t, err, "report")
	tokens, isComplete, err := complete(t, addr, 0)
	require.Error(t, err, "completion")
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "completion")
	require.False(t, isComplete)
	require.Zero(t, tokens)
}

// TestBrokenHeads guards against answers with heads that no sound engine sends, whose body would
// tell that an order was carried out or a request cancelled, or holds a whole stream.
func TestBrokenHeads(t *testing.T) {
	for _, body := range []string{`{"number":7,"cancelled":true}`, token("r1", "fees@v1", 0) + done(1)} {
		chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		for _, broken := range answertest.Broken() {
			t.Run(fmt.Sprintf("%q, %.4q", broken.Name, body), func(t *testing.T) {
				t.Parallel()
				text := strings.NewReplacer("6\r\nbroken\r\n0\r\n\r\n", chunks, "Content-Length: 6\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body)), "broken", body).Replace(broken.With(""))
				requireLost(t, serve(t, sendRaw(text, false)))
			})
		}
	}
}

// TestHeadThatStops cuts an engine's answer after each byte of its head.
func TestHeadThatStops(t *testing.T) {
	for _, head := range answertest.SoundHeads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, reset %v", head, reset), func(t *testing.T) {
				t.Parallel()
				for n := range len(head) {
					requireLost(t, serve(t, sendRaw(head[:n], reset)))
				}
			})
		}
	}
}
