package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/plain"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/answer/answertest"
	"jacinthstage/stage/target"
)

// longUpload is the size of a body that the buffers of a connection can't hold, in bytes.
const longUpload = 32 << 20

// A rawTarget answers each call with the same bytes.
type rawTarget struct {
	listener net.Listener
	calls    atomic.Int32
	// end ends the connection of a call, whose body isn't read if unread is set. If nil, it is closed.
	end    func(*net.TCPConn)
	unread bool
}

func startRawTarget(t *testing.T, r *rawTarget, text string) target.Target {
	var err error
	r.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.listener.Close() })
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn.(*net.TCPConn), text)
		}
	}()
	return target.Target{Name: "raw", Service: "registry", Address: netip.MustParseAddrPort(r.listener.Addr().String())}
}

func (r *rawTarget) serve(conn *net.TCPConn, text string) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !r.unread {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	r.calls.Add(1)
	_, _ = io.WriteString(conn, text)
	if r.end != nil {
		r.end(conn)
	}
}

// requireBroken calls a target once, and checks that its answer counts as lost, also when the caller
// asks for it again.
func requireBroken(t *testing.T, r *rawTarget, text, body string) {
	h := &plain.Handler{Store: &memory.Store{}, MaxBodyBytes: longUpload}
	url := serve(t, h, startRawTarget(t, r, text))
	first := call(t, "POST", url+"/charge", "k", body)
	require.NoError(t, first.err)
	require.Equal(t, 502, first.status, first.body)
	require.Equal(t, "mayhaverun", first.verdict)
	require.Equal(t, 409, call(t, "POST", url+"/charge", "k", body).status)
	require.EqualValues(t, 1, r.calls.Load())
}

// TestBrokenHeads guards against an answer with a head that no sound target sends. It reached the
// caller and was recorded as the outcome of its call, or each caller that asked for it got none.
func TestBrokenHeads(t *testing.T) {
	for _, broken := range answertest.Broken() {
		t.Run(fmt.Sprintf("%q", broken.Name), func(t *testing.T) {
			t.Parallel()
			text := broken.With("")
			requireBroken(t, &rawTarget{}, text, "fee")
			faulty, healthy := startRawTarget(t, &rawTarget{}, text), newBackend(t, nil)
			// The handler rotates its targets, and its first call begins with the second.
			got := call(t, "GET", serve(t, &plain.Handler{Store: &memory.Store{}}, healthy.target(), faulty)+"/status/d1", "", "")
			require.Equal(t, 201, got.status, "a call that may run twice goes on to the next target")
		})
	}
}

// TestHeadThatStops cuts answers after each byte of their heads.
func TestHeadThatStops(t *testing.T) {
	for name, head := range answertest.SoundHeads {
		for end, close := range map[string]func(*net.TCPConn){"closed": nil, "reset": func(c *net.TCPConn) { _ = c.SetLinger(0) }} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				for n := range len(head) {
					requireBroken(t, &rawTarget{end: close}, head[:n], "fee")
				}
			})
		}
	}
}

// TestResetBesideUpload guards against a part of an answer that counts as the whole one, since its
// target reset the connection while a long upload was written.
func TestResetBesideUpload(t *testing.T) {
	const tries = 10
	for range tries {
		requireBroken(t, &rawTarget{unread: true, end: func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond) // the answer arrives before the reset
			_ = c.SetLinger(0)
		}}, "HTTP/1.1 200 OK\r\n\r\npart", strings.Repeat("x", longUpload))
	}
}

// TestAnswerThatEndsWithItsTarget guards against a part of an answer without a length that counts as
// the whole one, since its target's process has ended, and checks that one of a target that runs is
// whole.
func TestAnswerThatEndsWithItsTarget(t *testing.T) {
	var ended rawTarget
	ended.end = func(*net.TCPConn) { _ = ended.listener.Close() }
	requireBroken(t, &ended, "HTTP/1.1 200 OK\r\n\r\npart", "fee")
	for _, version := range []string{"1.0", "1.1"} {
		url := serve(t, &plain.Handler{Store: &memory.Store{}}, startRawTarget(t, &rawTarget{}, "HTTP/"+version+" 200 OK\r\n\r\nwhole"))
		require.Equal(t, "whole", call(t, "POST", url+"/charge", "k", "fee").body)
		require.Equal(t, "whole", call(t, "POST", url+"/charge", "k", "fee").body, "recorded")
		require.Equal(t, "whole", call(t, "GET", url+"/status/d1", "", "").body)
	}
}
