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

// A completionRequest is the body of a request that a test host received.
type completionRequest struct {
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"max_tokens"`
	Stream  bool   `json:"stream"`
	attempt int    // number of this call among all calls to the host, from 1
}

// A testHost answers completions through its serve function.
type testHost struct {
	mu    sync.Mutex
	calls int
	serve func(w http.ResponseWriter, a completionRequest)
}

func (h *testHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a completionRequest
	_ = json.NewDecoder(r.Body).Decode(&a)
	h.mu.Lock()
	h.calls++
	a.attempt = h.calls
	h.mu.Unlock()
	h.serve(w, a)
}

// event returns a stream event with one token and further JSON members.
func event(model, token, rest string) string {
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"text\":%q}]%s}\n\n", model, token, rest)
}

// tokens returns the events of the first n tokens of an answer.
func tokens(a completionRequest, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(event(a.Model, text.Token(a.Model, a.Prompt, i), ""))
	}
	return b.String()
}

// end returns the end event and the end marker of a stream.
func end(a completionRequest) string {
	return event(a.Model, "", fmt.Sprintf(`,"usage":{"completion_tokens":%d},"stall":40`, a.Tokens)) + "data: [DONE]\n\n"
}

// completeAnswer returns the complete, correct answer.
func completeAnswer(a completionRequest) string {
	if a.Stream {
		return tokens(a, a.Tokens) + end(a)
	}
	return fmt.Sprintf(`{"model":%q,"choices":[{"text":%q}],"usage":{"completion_tokens":%d},"stall":40}`, a.Model, text.Answer(a.Model, a.Prompt, a.Tokens), a.Tokens)
}

// respond returns a serve function that writes body.
func respond(body string) func(http.ResponseWriter, completionRequest) {
	return func(w http.ResponseWriter, _ completionRequest) { _, _ = w.Write([]byte(body)) }
}

// refuse returns a serve function that answers with an error.
func refuse(status int, verdict, retryAfter string) func(http.ResponseWriter, completionRequest) {
	return func(w http.ResponseWriter, _ completionRequest) {
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":"c","message":"m","verdict":%q}}`, verdict)
	}
}

// interrupt returns a serve function that sends part of an answer and then closes
// the connection.
func interrupt(part func(completionRequest) string) func(http.ResponseWriter, completionRequest) {
	return func(w http.ResponseWriter, a completionRequest) {
		_, _ = w.Write([]byte(part(a)))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// firstThenAnswer returns a serve function that uses first for the first call and
// answers the later ones correctly.
func firstThenAnswer(first func(http.ResponseWriter, completionRequest)) func(http.ResponseWriter, completionRequest) {
	return func(w http.ResponseWriter, a completionRequest) {
		if a.attempt == 1 {
			first(w, a)
			return
		}
		respond(completeAnswer(a))(w, a)
	}
}

// startServer serves handler and returns its address.
func startServer(t *testing.T, handler http.Handler) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// newGenerator returns a generator that sends one request.
func newGenerator(hosts ...netip.AddrPort) *load.Generator {
	return &load.Generator{
		Hosts: hosts, MaxAttempts: 3, Deadline: 10 * time.Second, IssuanceService: "registry",
		Plan: plan.Plan{Models: []string{"a@1"}, Rate: 1000, MaxRequests: 1, Duration: time.Hour, MeanTokens: 4, Seed: 2},
	}
}

// wrongModelName sends the correct tokens under the name of another model.
func wrongModelName(w http.ResponseWriter, a completionRequest) {
	respond(strings.Replace(completeAnswer(a), `"a@1"`, `"b@1"`, 1))(w, a)
}

func TestAnswersAreClassified(t *testing.T) {
	answer := func(w http.ResponseWriter, a completionRequest) { respond(completeAnswer(a))(w, a) }
	for _, c := range []struct {
		name   string
		serve  func(http.ResponseWriter, completionRequest)
		stream float64
		want   load.Report
	}{
		{"complete", answer, 0, load.Report{Answered: 1}},
		{"stream", answer, 1, load.Report{Answered: 1}},
		{"other model", func(w http.ResponseWriter, a completionRequest) { a.Model = "b@1"; answer(w, a) }, 0, load.Report{Mismatched: 1}},
		{"other model, stream", func(w http.ResponseWriter, a completionRequest) { a.Model = "b@1"; answer(w, a) }, 1, load.Report{Mismatched: 1}},
		{"other prompt", func(w http.ResponseWriter, a completionRequest) { a.Prompt = "q"; answer(w, a) }, 0, load.Report{Mismatched: 1}},
		{"other prompt, stream", func(w http.ResponseWriter, a completionRequest) { a.Prompt = "q"; answer(w, a) }, 1, load.Report{Mismatched: 1}},
		{"named another model", wrongModelName, 0, load.Report{Mismatched: 1}},
		{"named another model, stream", wrongModelName, 1, load.Report{Mismatched: 1}},
		{"no end event", func(w http.ResponseWriter, a completionRequest) { respond(tokens(a, a.Tokens))(w, a) }, 1, load.Report{Lost: 1, Resent: 3}},
		{"missing token", func(w http.ResponseWriter, a completionRequest) { respond(tokens(a, a.Tokens-1)+end(a))(w, a) }, 1, load.Report{Mismatched: 1}},
		{"answer twice", func(w http.ResponseWriter, a completionRequest) { respond(completeAnswer(a)+completeAnswer(a))(w, a) }, 0, load.Report{Duplicated: 1}},
		{"end event twice", func(w http.ResponseWriter, a completionRequest) { respond(completeAnswer(a)+end(a))(w, a) }, 1, load.Report{Duplicated: 1}},
		{"error event", respond("event: error\ndata: {\"error\":{}}\n\n"), 1, load.Report{Failed: 1}},
		{"may have run", refuse(502, "mayhaverun", ""), 0, load.Report{Failed: 1, Codes: map[string]int{"c": 1}}},
		{"not run, no retry", refuse(404, "notrun", ""), 0, load.Report{Refused: 1, Codes: map[string]int{"c": 1}}},
		{"not run, retry succeeds", firstThenAnswer(refuse(503, "notrun", "0")), 0, load.Report{Answered: 1, Codes: map[string]int{"c": 1}}},
		{"not run, every attempt", refuse(503, "notrun", "0"), 0, load.Report{Refused: 1, Codes: map[string]int{"c": 3}}},
		{"interrupted once", firstThenAnswer(interrupt(func(a completionRequest) string { return tokens(a, 1) })), 1, load.Report{Answered: 1, Resent: 1}},
		{"interrupted before the end event", interrupt(func(a completionRequest) string { return tokens(a, a.Tokens) }), 1, load.Report{Lost: 1, Resent: 3}},
		{"interrupted every attempt", interrupt(func(completionRequest) string { return "{" }), 0, load.Report{Lost: 1, Resent: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gen := newGenerator(startServer(t, &testHost{serve: c.serve}))
			gen.Plan.StreamShare = c.stream
			got, err := gen.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.want.Answered == 1, got.StallP50 > 39 && got.StallP50 < 41, "only an answer reports a stall")
			got.StallP50, got.StallP95, got.StallP99, got.FirstToken, got.TokenGap = 0, 0, 0, load.Percentiles{}, load.Percentiles{}
			c.want.Sent = 1
			require.Equal(t, c.want, got)
			require.Equal(t, c.want.Mismatched+c.want.Lost+c.want.Duplicated == 0, got.Passed())
		})
	}
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) netip.AddrPort {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, socket.Close())
	return netip.MustParseAddrPort(socket.Addr().String())
}

func TestHostsThatRefuseConnectionsAreAvoided(t *testing.T) {
	gen := newGenerator(closedPort(t), closedPort(t), startServer(t, &testHost{serve: func(w http.ResponseWriter, a completionRequest) { respond(completeAnswer(a))(w, a) }}))
	gen.Plan.MaxRequests = 20
	got, err := gen.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, 20, got.Answered)
	require.Zero(t, got.Resent)
}

func TestIssuancesThatRunTwiceAreDuplicates(t *testing.T) {
	for _, c := range []struct {
		name  string
		dedup bool // the host forwards each key only once
	}{{"forwarded each time", false}, {"forwarded once", true}} {
		t.Run(c.name, func(t *testing.T) {
			reg := &registry.Registry{}
			regAddress := startServer(t, reg.Handler())
			responses := map[string]*httptest.ResponseRecorder{}
			var mu sync.Mutex
			entry := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				key := r.Header.Get("Idempotency-Key")
				if responses[key] == nil || !c.dedup {
					responses[key] = httptest.NewRecorder()
					r.URL.Path = strings.TrimPrefix(r.URL.Path, "/service/registry")
					reg.Handler().ServeHTTP(responses[key], r)
				}
				w.WriteHeader(responses[key].Code)
				_, _ = w.Write(responses[key].Body.Bytes())
			}))
			gen := newGenerator(entry)
			gen.Registries = []netip.AddrPort{regAddress}
			gen.Plan.MaxRequests, gen.Plan.IssuanceShare, gen.Plan.ResendShare = 5, 1, 1
			got, err := gen.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, 10, got.Sent)
			require.Equal(t, 5, got.Issued)
			require.Equal(t, c.dedup, got.Passed())
			if !c.dedup {
				require.Equal(t, 5, got.Duplicated)
				require.Equal(t, 5, got.Mismatched, "the second answer differs")
			}
		})
	}
}

func TestRunnerCountsAreReported(t *testing.T) {
	e := &engine.Engine{Slots: 1, Batch: 2, StepTime: time.Millisecond}
	e.FetchWeights = func(context.Context, string) error { return nil }
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "old@1"})
	require.NoError(t, err)
	runner := startServer(t, e.Handler())
	serve := func(w http.ResponseWriter, a completionRequest) {
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
		respond(completeAnswer(a))(w, a)
	}
	gen := newGenerator(startServer(t, &testHost{serve: serve}))
	gen.Runners = []netip.AddrPort{runner}
	got, err := gen.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, got.Loads, "loads before the run are not counted")
	require.Equal(t, 1, got.EvictedInUse)
	require.InDelta(t, 0.5, got.BatchFill, 0.001)
	require.False(t, got.Passed())
}

func TestVerdictsAreCheckedAgainstRuns(t *testing.T) {
	runAndRefuse := func(w http.ResponseWriter, r *http.Request, target http.Handler) {
		target.ServeHTTP(httptest.NewRecorder(), r)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"code":"busy","verdict":"notrun"}}`))
	}
	e := &engine.Engine{Slots: 1, Batch: 2, StepTime: time.Millisecond}
	e.FetchWeights = func(context.Context, string) error { return nil }
	_, err := e.Order(t.Context(), engine.Order{Kind: "load", Adapter: "a@1"})
	require.NoError(t, err)
	reg := &registry.Registry{}
	for _, c := range []struct {
		name           string
		serve          http.HandlerFunc
		issue          float64
		refusedButRan  int
		answeredNotRun int
	}{
		{"completion refused", func(w http.ResponseWriter, r *http.Request) { runAndRefuse(w, r, http.NotFoundHandler()) }, 0, 0, 0},
		{"completion refused that ran", func(w http.ResponseWriter, r *http.Request) {
			var a completionRequest
			_ = json.NewDecoder(r.Body).Decode(&a)
			body, _ := json.Marshal(engine.Completion{ID: a.Prompt, Model: a.Model, Prompt: a.Prompt, Tokens: a.Tokens})
			runAndRefuse(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(string(body))), e.Handler())
		}, 0, 1, 0},
		{"completion answered that did not run", (&testHost{serve: func(w http.ResponseWriter, a completionRequest) { respond(completeAnswer(a))(w, a) }}).ServeHTTP, 0, 0, 1},
		{"issuance refused", func(w http.ResponseWriter, r *http.Request) { runAndRefuse(w, r, http.NotFoundHandler()) }, 1, 0, 0},
		{"issuance refused that ran", func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = strings.TrimPrefix(r.URL.Path, "/service/registry")
			runAndRefuse(w, r, reg.Handler())
		}, 1, 1, 0},
		{"issuance answered that did not run", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			gen := newGenerator(startServer(t, c.serve))
			gen.Runners = []netip.AddrPort{startServer(t, e.Handler())}
			gen.Registries = []netip.AddrPort{startServer(t, reg.Handler())}
			gen.Plan.IssuanceShare, gen.MaxAttempts = c.issue, 1
			gen.Plan.Seed = uint64(len(c.name))
			got, err := gen.Run(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.refusedButRan, got.RefusedButRan)
			require.Equal(t, c.answeredNotRun, got.AnsweredNotRun)
			require.Equal(t, c.refusedButRan+c.answeredNotRun == 0, got.Passed())
		})
	}
}
