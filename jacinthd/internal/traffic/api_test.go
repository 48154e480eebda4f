package traffic_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/caller"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

func TestRefusals(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	e := newEngine(t)
	entry.route(entry.localCandidate("r1", e))
	long := strings.Repeat("x", 5<<10)
	cases := []struct {
		name    string
		body    string
		headers []string
		status  int
		code    string
	}{
		{"no token", jsonBody, []string{"Authorization", ""}, 401, "unauthenticated"},
		{"unknown token", jsonBody, []string{"Authorization", "Bearer wrong"}, 401, "unauthenticated"},
		{"not JSON", `{`, nil, 400, "malformed"},
		{"two values", jsonBody + jsonBody, nil, 400, "malformed"},
		{"array", `[]`, nil, 400, "malformed"},
		{"no model", `{"prompt":"p"}`, nil, 400, "malformed"},
		{"no prompt", `{"model":"fees@v1"}`, nil, 400, "malformed"},
		{"no version", `{"model":"fees","prompt":"p"}`, nil, 400, "malformed"},
		{"empty prompt", `{"model":"fees@v1","prompt":""}`, nil, 422, "invalid"},
		{"no tokens", `{"model":"fees@v1","prompt":"p","max_tokens":0}`, nil, 422, "invalid"},
		{"too many tokens", `{"model":"fees@v1","prompt":"p","max_tokens":100000}`, nil, 422, "invalid"},
		{"unknown adapter", `{"model":"none@v1","prompt":"p"}`, nil, 404, "unknown"},
		{"unknown version", `{"model":"fees@v9","prompt":"p"}`, nil, 404, "unknown"},
		{"version without a rule", `{"model":"fees@v2","prompt":"p"}`, nil, 403, "forbidden"},
		{"body over its limit", `{"model":"fees@v1","prompt":"` + long + `"}`, nil, 413, "oversize"},
		{"malformed deadline", jsonBody, []string{"X-Deadline", "soon"}, 400, "malformed"},
		{"deadline passed", jsonBody, []string{"X-Deadline", time.Now().Add(-time.Second).Format(time.RFC3339)}, 504, "expired"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := post(t, entry, c.body, c.headers...)
			code, verdict := got.errorCode(t)
			require.Equal(t, c.code+" notrun", code+" "+verdict)
			require.Equal(t, c.status, got.status)
			require.NotEmpty(t, got.header.Get("X-Request-Id"))
		})
	}
	t.Run("header over its limit", func(t *testing.T) {
		r, err := http.NewRequest(http.MethodPost, entry.url+"/v1/completions", strings.NewReader(jsonBody))
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send(t, r, "X-Long", strings.Repeat("x", 64<<10)).status)
	})
	ran, _ := e.counts()
	require.Zero(t, ran, "requests refused with notrun did not run")
}

func TestRequestID(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	entry.route(entry.localCandidate("r1", newEngine(t)))
	require.Equal(t, "job-7", post(t, entry, jsonBody, "X-Request-Id", "job-7").header.Get("X-Request-Id"))
	require.NotEqual(t, "a b", post(t, entry, jsonBody, "X-Request-Id", "a b").header.Get("X-Request-Id"))
}

func TestStallAndReadiness(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	entry.route(entry.localCandidate("r1", newEngine(t)))
	entry.fake.stall = 40 * time.Millisecond
	got := post(t, entry, jsonBody)
	require.Equal(t, "40", got.header.Get("X-Stall"))
	require.Contains(t, got.text, `"stall":40`)
	require.Contains(t, post(t, entry, streamBody).text, `"stall":40`)
	entry.fake.unready = true
	got = post(t, entry, jsonBody)
	require.Equal(t, http.StatusOK, got.status, "the load balancer may not know yet")
	entry.fake.config = nil
	got = post(t, entry, jsonBody)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

func TestModels(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"])
	r, err := http.NewRequest(http.MethodGet, entry.url+"/v1/models", nil)
	require.NoError(t, err)
	require.JSONEq(t, `{"object":"list","data":[{"id":"fees@v1","object":"model"}]}`, send(t, r).text)
}

// A pathEcho is a PlainHandler that answers with the caller, service and path.
type pathEcho struct{}

func (pathEcho) Serve(w http.ResponseWriter, _ *http.Request, from caller.Caller, svc service.Service, path string, _ []target.Target) {
	_, _ = io.WriteString(w, from.Name+" "+svc.Name+" "+path)
}

func TestServicePaths(t *testing.T) {
	entry := newHost(t, configuration(t), identities(t, "entry-1")["entry-1"], func(h *host) { h.Plain = pathEcho{} })
	cases := []struct {
		path   string
		status int
		text   string
	}{
		{"/service/registry/status/7", 200, "carrier registry /status/7"},
		{"/service/registry", 200, "carrier registry /"},
		{"/service/registry/", 200, "carrier registry /"},
		{"/service/registry/a/", 200, "carrier registry /a/"},
		{"/service/registry/status/../charge", 400, ""},
		{"/service/registry/status/%2e%2e/charge", 400, ""},
		{"/service/registry/status/..%2fcharge", 400, ""},
		{"/service/registry//charge", 400, ""},
		{"/service/hidden/x", 403, ""},
		{"/service/none/x", 404, ""},
		{"/service/draft/x", 404, ""},
		{"/else", 404, ""},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, c.path, nil)
			r.Header.Set("Authorization", "Bearer secret")
			w := httptest.NewRecorder()
			entry.Handler().ServeHTTP(w, r)
			require.Equal(t, c.status, w.Code)
			if c.text != "" {
				require.Equal(t, c.text, w.Body.String())
			}
		})
	}
}

func FuzzCompletions(f *testing.F) {
	entry := newHost(f, configuration(f), identities(f, "entry-1")["entry-1"])
	handler := entry.Handler()
	for _, seed := range []string{jsonBody, streamBody, `{`, `[]`, `{"model":1}`, `{"model":"fees@v1","prompt":"p","max_tokens":1e99}`, "\xff", strings.Repeat("[", 5000)} {
		f.Add(seed, "")
	}
	f.Add(jsonBody, "2026-01-02T15:04:05Z")
	f.Fuzz(func(t *testing.T, body, deadline string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("X-Deadline", deadline)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		_, verdict := reply{w.Code, w.Header(), w.Body.String()}.errorCode(t)
		require.Equal(t, "notrun", verdict, "no target is routed to")
		require.GreaterOrEqual(t, w.Code, 400)
	})
}
