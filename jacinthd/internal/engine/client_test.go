package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/verdict"
)

var fees = adapter.Ref{Name: "fees", Version: "v1"}

// silence is long against loopback and short against the tests' patience.
const silence = 150 * time.Millisecond

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func token(id, model string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"index\":%d,\"text\":\"t%d \"}\n\n", id, model, index, index)
}

func done(tokens int) string {
	return fmt.Sprintf("data: {\"id\":\"r1\",\"model\":\"fees@v1\",\"done\":true,\"tokens\":%d}\n\ndata: [DONE]\n\n", tokens)
}

// hang sends text and then nothing until the client gives up.
func hang(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if text != "" {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}
}

// say sends text and ends.
func say(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// reset sends text and closes the connection in the middle of the body.
func reset(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func complete(t *testing.T, addr netip.AddrPort, offset int) (tokens int, whole bool, err error) {
	t.Helper()
	client := &engine.Client{ProgressTimeout: silence}
	defer client.Close()
	stream, err := client.Complete(context.Background(), addr, engine.Request{ID: "r1", Ref: fees, Prompt: "p", MaxTokens: 3, Offset: offset})
	if err != nil {
		return 0, false, err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return tokens, false, err
		}
		switch event.(type) {
		case engine.Token:
			tokens++
		case engine.End:
			return tokens, true, nil
		default:
			require.Fail(t, "unknown event")
		}
	}
}

func TestComplete(t *testing.T) {
	two := token("r1", "fees@v1", 0) + token("r1", "fees@v1", 1)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		offset  int
		tokens  int
		whole   bool
		kind    engine.ErrorKind
		reason  engine.RefusalReason
		verdict verdict.Verdict
	}{
		{name: "whole", handler: say(200, two+done(2)), tokens: 2, whole: true},
		{name: "whole with comments between", handler: say(200, ": still here\n\n"+two+done(2)), tokens: 2, whole: true},
		{name: "resumed", handler: say(200, token("r1", "fees@v1", 1)+done(2)), offset: 1, tokens: 1, whole: true},
		{name: "silent before the answer", handler: hang(""), kind: engine.Stalled},
		{name: "silent in the answer", handler: hang(two), tokens: 2, kind: engine.Stalled},
		{name: "silent before the closing line", handler: hang(two + strings.TrimSuffix(done(2), "data: [DONE]\n\n")), tokens: 2, kind: engine.Stalled},
		{name: "reset in the answer", handler: reset(two), tokens: 2, kind: engine.Reset},
		{name: "ended without its end", handler: say(200, two), tokens: 2, kind: engine.Reset},
		{name: "another request's answer", handler: say(200, token("r2", "fees@v1", 0)), kind: engine.InvalidReply},
		{name: "another version's answer", handler: say(200, token("r1", "fees@v2", 0)), kind: engine.InvalidReply},
		{name: "out of order", handler: say(200, token("r1", "fees@v1", 1)), kind: engine.InvalidReply},
		{name: "doubled", handler: say(200, two+token("r1", "fees@v1", 1)), tokens: 2, kind: engine.InvalidReply},
		{name: "gap", handler: say(200, two+token("r1", "fees@v1", 3)), tokens: 2, kind: engine.InvalidReply},
		{name: "end short of tokens", handler: say(200, two+done(3)), tokens: 2, kind: engine.InvalidReply},
		{name: "no index", handler: say(200, "data: {\"id\":\"r1\",\"model\":\"fees@v1\"}\n\n"), kind: engine.InvalidReply},
		{name: "not JSON", handler: say(200, "data: {\n\n"), kind: engine.InvalidReply},
		{name: "event over its limit", handler: say(200, "data: "+strings.Repeat("x", 1<<20)), kind: engine.InvalidReply},
		{name: "absent", handler: say(404, `{"code":"absent"}`), reason: engine.Absent, verdict: verdict.NotRun},
		{name: "full", handler: say(503, `{"code":"full"}`), reason: engine.Full, verdict: verdict.NotRun},
		{name: "version", handler: say(409, `{"code":"version"}`), reason: engine.WrongVersion, verdict: verdict.NotRun},
		{name: "gone ran once", handler: say(404, `{"code":"gone"}`), offset: 1, reason: engine.RequestGone},
		{name: "503 of something between", handler: say(503, "try later"), kind: engine.InvalidReply},
		{name: "500", handler: say(500, `{}`), kind: engine.InvalidReply},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tokens, whole, err := complete(t, serve(t, c.handler), c.offset)
			require.Equal(t, c.tokens, tokens)
			require.Equal(t, c.whole, whole)
			require.Equal(t, c.reason, engine.ReasonOf(err))
			if !whole {
				require.Equal(t, c.verdict, verdict.Of(err))
			}
			if !whole && c.reason == "" {
				require.True(t, c.kind.Matches(err), "%v", err)
			}
		})
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, _, err = complete(t, addr, 0)
	require.True(t, engine.Unreachable.Matches(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestEndedContextMayHaveRun(t *testing.T) {
	started := make(chan struct{})
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	client := &engine.Client{ProgressTimeout: time.Minute}
	defer client.Close()
	_, err := client.Complete(ctx, addr, engine.Request{ID: "r1", Ref: fees})
	require.True(t, engine.Cancelled.Matches(err))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}

// Connections that went silent must not be used again while new ones work:
// one silent connection costs one request, however many are idle.
func TestSilentConnectionsAreDropped(t *testing.T) {
	var known, silent sync.Map // remote addresses
	both := make(chan struct{}, 1)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		known.Store(r.RemoteAddr, true)
		if _, ok := silent.Load(r.RemoteAddr); ok {
			<-r.Context().Done()
			return
		}
		if strings.Contains(string(body), "meet") {
			select { // the first waits until the second has come
			case both <- struct{}{}:
				both <- struct{}{}
			case <-both:
			}
		}
		say(200, done(0))(w, r)
	})
	client := &engine.Client{ProgressTimeout: silence}
	defer client.Close()
	run := func(prompt string) error {
		stream, err := client.Complete(context.Background(), addr, engine.Request{ID: "r1", Ref: fees, Prompt: prompt})
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = stream.Next()
		return err
	}
	var pair errgroup.Group
	pair.Go(func() error { return run("meet") })
	pair.Go(func() error { return run("meet") })
	require.NoError(t, pair.Wait())
	require.Eventually(t, func() bool {
		known.Range(func(conn, _ any) bool {
			silent.Store(conn, true)
			return true
		})
		return engine.Stalled.Matches(run(""))
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, run(""))
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name   string
		order  engine.Order
		body   string
		status int
		reply  string
		number uint64
		reason engine.RefusalReason
	}{
		{"load", engine.Load{Ref: fees}, `"kind":"load","adapter":"fees@v1","number":7`, 200, `{"number":7,"incarnation":"i"}`, 7, ""},
		{"unload", engine.Unload{Ref: fees}, `"kind":"unload","adapter":"fees@v1","number":7`, 200, `{"number":7}`, 7, ""},
		{"fence", engine.Fence{}, `"kind":"fence","number":7`, 200, `{"number":7}`, 7, ""},
		{"fenced", engine.Fence{}, `"number":7`, 409, `{"code":"fenced","number":9}`, 9, engine.Fenced},
		{"failed", engine.Load{Ref: fees}, `"number":7`, 502, `{"code":"failed"}`, 0, engine.LoadFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if !strings.Contains(string(body), c.body) {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				say(c.status, c.reply)(w, r)
			})
			client := &engine.Client{ProgressTimeout: silence}
			defer client.Close()
			receipt, err := client.Order(context.Background(), addr, c.order, 7, time.Now().Add(time.Minute))
			require.Equal(t, c.reason, engine.ReasonOf(err))
			if c.reason == "" {
				require.NoError(t, err)
				require.Equal(t, c.number, receipt.FencingNumber)
				return
			}
			var refusal *engine.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, c.number, refusal.FencingNumber)
		})
	}
}

func TestOrderEndsAtItsDeadline(t *testing.T) {
	client := &engine.Client{}
	defer client.Close()
	_, err := client.Order(context.Background(), serve(t, hang("")), engine.Load{Ref: fees}, 7, time.Now().Add(silence))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}

func TestReportAndCancel(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" {
			say(200, `{"cancelled":true}`)(w, r)
			return
		}
		say(200, `{"incarnation":"i","number":3,"slots":[{"adapter":"fees@v1","state":"resident","requests":["r1"]}],"places":16}`)(w, r)
	})
	client := &engine.Client{ProgressTimeout: silence}
	defer client.Close()
	report, err := client.Report(context.Background(), addr)
	require.NoError(t, err)
	require.Equal(t, []engine.Slot{{Adapter: fees, State: "resident", Requests: []string{"r1"}}}, report.Slots)
	cancelled, err := client.Cancel(context.Background(), addr, "r1")
	require.NoError(t, err)
	require.True(t, cancelled)
}
