package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/engine"
	"jacinthstage/standin/internal/load"
	"jacinthstage/standin/internal/plan"
	"jacinthstage/standin/internal/registry"
	"jacinthstage/standin/internal/text"
)

// An ask is what a host is asked for.
type ask struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
	try    int    // of all calls that the host has seen, from 1
}

// A host answers completions by a behaviour.
type host struct {
	mu    sync.Mutex
	tries int
	serve func(w http.ResponseWriter, a ask)
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a ask
	_ = json.NewDecoder(r.Body).Decode(&a)
	h.mu.Lock()
	h.tries++
	a.try = h.tries
	h.mu.Unlock()
	h.serve(w, a)
}

func event(model, token, rest string) string {
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"text\":%q}]%s}\n\n", model, token, rest)
}

// tokens returns the events of the first n tokens of an answer.
func tokens(a ask, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(event(a.Model, text.Token(a.Model, a.Prompt, i), ""))
	}
	return b.String()
}

func end(a ask) string {
	return event(a.Model, "", fmt.Sprintf(`,"usage":{"completion_tokens":%d},"stall":40`, a.Tokens)) + "data: [DONE]\n\n"
}

func whole(a ask) string {
	if a.Stream {
		return tokens(a, a.Tokens) + end(a)
	}
	return fmt.Sprintf(`{"model":%q,"choices":[{"text":%q}],"usage":{"completion_tokens":%d},"stall":40}`, a.Model, text.Answer(a.Model, a.Prompt, a.Tokens), a.Tokens)
}

func say(body string) func(http.ResponseWriter, ask) {
	return func(w http.ResponseWriter, _ ask) { _, _ = w.Write([]byte(body)) }
}

func deny(status int, verdict, again string) func(http.ResponseWriter, ask) {
	return func(w http.ResponseWriter, _ ask) {
		w.Header().Set("Retry-After", again)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":"c","message":"m","verdict":%q}}`, verdict)
	}
}

// cut sends a part of an answer and ends the connection.
func cut(part func(ask) string) func(http.ResponseWriter, ask) {
	return func(w http.ResponseWriter, a ask) {
		_, _ = w.Write([]byte(part(a)))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// once behaves as first at the first call and then answers.
func once(first func(http.ResponseWriter, ask)) func(http.ResponseWriter, ask) {
	return func(w http.ResponseWriter, a ask) {
		if a.try == 1 {
			first(w, a)
			return
		}
		say(whole(a))(w, a)
	}
}

func address(t *testing.T, handler http.Handler) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func tool(hosts ...netip.AddrPort) *load.Generator {
	return &load.Generator{
		Hosts: hosts, MaxAttempts: 3, Deadline: 10 * time.Second, IssuanceService: "registry",
		Plan: plan.Plan{Models: []string{"a@1"}, Rate: 1000, MaxRequests: 1, Duration: time.Hour, MeanTokens: 4, Seed: 2},
	}
}

// misnamed answers rightly in the name of another model.
func misnamed(w http.ResponseWriter, a ask) {
	say(strings.Replace(whole(a), `"a@1"`, `"b@1"`, 1))(w, a)
}

func TestClassesOfAnswers(t *testing.T) {
	answer := func(w http.ResponseWriter, a ask) { say(whole(a))(w, a) }
	for _, c := range []struct {
		name   string
		serve  func(http.ResponseWriter, ask)
		stream float64
		want   load.Report
	}{
		{"whole", answer, 0, load.Report{Answered: 1}},
		{"stream", answer, 1, load.Report{Answered: 1}},
		{"other model", func(w http.ResponseWriter, a ask) { a.Model = "b@1"; answer(w, a) }, 0, load.Report{Mismatched: 1}},
		{"other model, stream", func(w http.ResponseWriter, a ask) { a.Model = "b@1"; answer(w, a) }, 1, load.Report{Mismatched: 1}},
		{"other prompt", func(w http.ResponseWriter, a ask) { a.Prompt = "q"; answer(w, a) }, 0, load.Report{Mismatched: 1}},
		{"other prompt, stream", func(w http.ResponseWriter, a ask) { a.Prompt = "q"; answer(w, a) }, 1, load.Report{Mismatched: 1}},
		{"named another model", misnamed, 0, load.Report{Mismatched: 1}},
		{"named another model, stream", misnamed, 1, load.Report{Mismatched: 1}},
		{"no end", func(w http.ResponseWriter, a ask) { say(tokens(a, a.Tokens))(w, a) }, 1, load.Report{Lost: 1, Resent: 3}},
		{"a token missing", func(w http.ResponseWriter, a ask) { say(tokens(a, a.Tokens-1)+end(a))(w, a) }, 1, load.Report{Mismatched: 1}},
		{"twice", func(w http.ResponseWriter, a ask) { say(whole(a)+whole(a))(w, a) }, 0, load.Report{Duplicated: 1}},
		{"end twice", func(w http.ResponseWriter, a ask) { say(whole(a)+end(a))(w, a) }, 1, load.Report{Duplicated: 1}},
		{"error event", say("event: error\ndata: {\"error\":{}}\n\n"), 1, load.Report{Failed: 1}},
		{"may have run", deny(502, "mayhaverun", ""), 0, load.Report{Failed: 1, Codes: map[string]int{"c": 1}}},
		{"not run, for good", deny(404, "notrun", ""), 0, load.Report{Refused: 1, Codes: map[string]int{"c": 1}}},
		{"not run, come back", once(deny(503, "notrun", "0")), 0, load.Report{Answered: 1, Codes: map[string]int{"c": 1}}},
		{"not run, always", deny(503, "notrun", "0"), 0, load.Report{Refused: 1, Codes: map[string]int{"c": 3}}},
		{"cut once", once(cut(func(a ask) string { return tokens(a, 1) })), 1, load.Report{Answered: 1, Resent: 1}},
		{"cut before the end", cut(func(a ask) string { return tokens(a, a.Tokens) }), 1, load.Report{Lost: 1, Resent: 3}},
		{"cut always", cut(func(ask) string { return "{" }), 0, load.Report{Lost: 1, Resent: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tool := tool(address(t, &host{serve: c.serve}))
			tool.Plan.StreamShare = c.stream
			got, err := tool.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.want.Answered == 1, got.StallP50 > 39 && got.StallP50 < 41, "stall of an answer only")
			got.StallP50, got.StallP95, got.StallP99, got.FirstToken, got.TokenGap = 0, 0, 0, load.Percentiles{}, load.Percentiles{}
			c.want.Sent = 1
			require.Equal(t, c.want, got)
			require.Equal(t, c.want.Mismatched+c.want.Lost+c.want.Duplicated == 0, got.Passed())
		})
	}
}

// dead returns an address that refuses connections.
func dead(t *testing.T) netip.AddrPort {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, socket.Close())
	return netip.MustParseAddrPort(socket.Addr().String())
}

func TestHostsThatRefuseConnectionsAreAvoided(t *testing.T) {
	tool := tool(dead(t), dead(t), address(t, &host{serve: func(w http.ResponseWriter, a ask) { say(whole(a))(w, a) }}))
	tool.Plan.MaxRequests = 20
	got, err := tool.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, 20, got.Answered)
	require.Zero(t, got.Resent)
}

func TestIssuancesThatRunTwiceAreDoubled(t *testing.T) {
	for _, c := range []struct {
		name  string
		guard bool // the host sends each key on once
	}{{"passed on each time", false}, {"passed on once", true}} {
		t.Run(c.name, func(t *testing.T) {
			issues := &registry.Registry{}
			plain := address(t, issues.Handler())
			kept := map[string]*httptest.ResponseRecorder{}
			var mu sync.Mutex
			entry := address(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				key := r.Header.Get("Idempotency-Key")
				if kept[key] == nil || !c.guard {
					kept[key] = httptest.NewRecorder()
					r.URL.Path = strings.TrimPrefix(r.URL.Path, "/service/registry")
					issues.Handler().ServeHTTP(kept[key], r)
				}
				w.WriteHeader(kept[key].Code)
				_, _ = w.Write(kept[key].Body.Bytes())
			}))
			tool := tool(entry)
			tool.Registries = []netip.AddrPort{plain}
			tool.Plan.MaxRequests, tool.Plan.IssuanceShare, tool.Plan.ResendShare = 5, 1, 1
			got, err := tool.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, 10, got.Sent)
			require.Equal(t, 5, got.Issued)
			require.Equal(t, c.guard, got.Passed())
			if !c.guard {
				require.Equal(t, 5, got.Duplicated)
				require.Equal(t, 5, got.Mismatched, "the second answer differs")
			}
		})
	}
}

func TestCountsOfRunners(t *testing.T) {
	e := &engine.Engine{Slots: 1, Batch: 2, StepTime: time.Millisecond}
	e.FetchWeights = func(context.Context, string) error { return nil }
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "old@1"})
	require.NoError(t, err)
	runner := address(t, e.Handler())
	serve := func(w http.ResponseWriter, a ask) {
		for _, order := range []engine.Order{{Kind: "unload", Adapter: "old@1"}, {Kind: "load", Adapter: a.Model}} {
			_, err := e.Order(t.Context(), order)
			require.NoError(t, err)
		}
		body := fmt.Sprintf(`{"id":"r","model":%q,"prompt":"p","max_tokens":1000000}`, a.Model)
		answer, err := http.Post("http://"+runner.String()+"/v1/completions", "", strings.NewReader(body))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return e.Counts().Steps > 2 }, 10*time.Second, time.Millisecond)
		_, err = e.Order(t.Context(), engine.Order{Kind: "unload", Adapter: a.Model})
		require.NoError(t, err)
		_ = answer.Body.Close()
		say(whole(a))(w, a)
	}
	tool := tool(address(t, &host{serve: serve}))
	tool.Runners = []netip.AddrPort{runner}
	got, err := tool.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, got.Loads, "not the load before the run")
	require.Equal(t, 1, got.EvictedInUse)
	require.InDelta(t, 0.5, got.BatchFill, 0.001)
	require.False(t, got.Passed())
}

func TestVerdictsAgainstWhatRan(t *testing.T) {
	run := func(w http.ResponseWriter, r *http.Request, to http.Handler) {
		to.ServeHTTP(httptest.NewRecorder(), r)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"code":"busy","verdict":"notrun"}}`))
	}
	e := &engine.Engine{Slots: 1, Batch: 2, StepTime: time.Millisecond}
	e.FetchWeights = func(context.Context, string) error { return nil }
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "a@1"})
	require.NoError(t, err)
	issues := &registry.Registry{}
	for _, c := range []struct {
		name       string
		serve      http.HandlerFunc
		issue      float64
		ranRefused int
		unran      int
	}{
		{"completion refused", func(w http.ResponseWriter, r *http.Request) { run(w, r, http.NotFoundHandler()) }, 0, 0, 0},
		{"completion refused that ran", func(w http.ResponseWriter, r *http.Request) {
			var a ask
			_ = json.NewDecoder(r.Body).Decode(&a)
			body, _ := json.Marshal(engine.Completion{ID: a.Prompt, Model: a.Model, Prompt: a.Prompt, Tokens: a.Tokens})
			run(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(string(body))), e.Handler())
		}, 0, 1, 0},
		{"completion answered that did not run", (&host{serve: func(w http.ResponseWriter, a ask) { say(whole(a))(w, a) }}).ServeHTTP, 0, 0, 1},
		{"issuance refused", func(w http.ResponseWriter, r *http.Request) { run(w, r, http.NotFoundHandler()) }, 1, 0, 0},
		{"issuance refused that ran", func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = strings.TrimPrefix(r.URL.Path, "/service/registry")
			run(w, r, issues.Handler())
		}, 1, 1, 0},
		{"issuance answered that did not run", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tool := tool(address(t, c.serve))
			tool.Runners = []netip.AddrPort{address(t, e.Handler())}
			tool.Registries = []netip.AddrPort{address(t, issues.Handler())}
			tool.Plan.IssuanceShare, tool.MaxAttempts = c.issue, 1
			tool.Plan.Seed = uint64(len(c.name))
			got, err := tool.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.ranRefused, got.RefusedButRan)
			require.Equal(t, c.unran, got.AnsweredNotRun)
			require.Equal(t, c.ranRefused+c.unran == 0, got.Passed())
		})
	}
}
