package outbound_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/answer/answertest"
)

// A drawnAnswer is what a target sends for a request, and how it ends the connection.
type drawnAnswer struct {
	text  string
	whole bool // what the caller must get is text's body
	body  string
	reset bool
}

// drawAnswer draws an answer with a sound or a broken head, cut anywhere or whole. A connection that is
// reset may lose what was sent before, so that a whole answer needn't arrive then.
func drawAnswer(t *rapid.T) drawnAnswer {
	a := drawnAnswer{body: strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 100, 5000, 70000}).Draw(t, "body")), reset: rapid.Bool().Draw(t, "reset")}
	if rapid.Bool().Draw(t, "broken") {
		broken := answertest.Broken()
		a.text = broken[rapid.IntRange(0, len(broken)-1).Draw(t, "which")].With("")
		return a
	}
	interim := rapid.SampledFrom([]string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n"}).Draw(t, "interim")
	head := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 599\r\n", "HTTP/1.1 201 \nX:\n"}).Draw(t, "head")
	framing := rapid.SampledFrom([]string{"length", "chunks", "end"}).Draw(t, "framing")
	switch framing {
	case "length":
		a.text = fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", interim, head, len(a.body), a.body)
	case "chunks":
		a.text = interim + head + "Transfer-Encoding: chunked\r\n\r\n"
		if a.body != "" {
			a.text += fmt.Sprintf("%x\r\n%s\r\n", len(a.body), a.body)
		}
		a.text += "0\r\n\r\n"
	case "end":
		a.text = interim + head + "\r\n" + a.body
	}
	a.whole = framing != "end" || !a.reset
	if rapid.Bool().Draw(t, "cut") {
		// A cut body that ends with its connection can't be told from a shorter one.
		limit := len(a.text)
		if framing == "end" {
			limit -= len(a.body)
		}
		a.text, a.whole = a.text[:rapid.IntRange(0, limit-1).Draw(t, "at")], false
	}
	return a
}

// TestAnyAnswer sends drawn answers, on new connections and on those that carried an answer before. A
// broken or cut one is an error, and a whole one arrives.
func TestAnyAnswer(t *testing.T) {
	var next atomic.Pointer[drawnAnswer]
	address, _ := startTarget(t, func(conn net.Conn, id string, _ int) bool {
		a := next.Load()
		if id == "before" {
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		}
		write(conn, a.text)
		if a.reset {
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	rapid.Check(t, func(t *rapid.T) {
		a := drawAnswer(t)
		next.Store(&a)
		pool := newPool()
		defer pool.CloseAllIdle()
		if rapid.Bool().Draw(t, "kept") {
			got, err := fetchAny(pool, address, "before")
			require.NoError(t, err)
			require.Equal(t, "ok", got)
		}
		got, err := fetchAny(pool, address, "drawn")
		if err == nil {
			require.True(t, a.whole, "%q counts as whole", got)
			require.Equal(t, a.body, got)
			return
		}
		require.True(t, a.reset || !a.whole, "%v", err)
	})
}

// fetchAny sends a request whose answer needn't have an id, and reads the complete body.
func fetchAny(pool *outbound.Pool, address netip.AddrPort, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x, err := pool.Do(ctx, address, get(id), nil)
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x)
	return string(text), err
}

// TestHeadThatStops cuts answers after each byte of their heads, on a new connection and on one that
// carried an answer before, which is closed or reset.
func TestHeadThatStops(t *testing.T) {
	heads := maps.Clone(answertest.SoundHeads)
	heads["interim"] = "HTTP/1.1 102 Processing\r\n\r\n" + heads["length"]
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", reset ", reset, ", kept ", kept), func(t *testing.T) {
					t.Parallel()
					var length atomic.Int32
					address, _ := startTarget(t, func(conn net.Conn, id string, _ int) bool {
						if id == "before" {
							write(conn, fullResponse(id, "ok"))
							return true
						}
						write(conn, head[:length.Load()])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					for n := range len(head) {
						length.Store(int32(n))
						pool := newPool()
						if kept {
							_, err := fetchAny(pool, address, "before")
							require.NoError(t, err)
						}
						text, err := fetchAny(pool, address, "cut")
						require.Error(t, err, "%q counts as a whole answer: %q", head[:n], text)
						pool.CloseAllIdle()
					}
				})
			}
		}
	}
}
