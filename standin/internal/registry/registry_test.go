package registry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/registry"
)

func TestRunsAreCountedByKeyEvenIfAnswerIsLost(t *testing.T) {
	g := &registry.Registry{}
	server := httptest.NewServer(g.Handler())
	defer server.Close()
	// On a reused connection, net/http resends a request with an
	// Idempotency-Key header on its own when the answer is lost.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(method, path, key, body string) (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", key)
		answer, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		return answer.StatusCode, answer.Body.Close()
	}
	for _, c := range []struct {
		method, path, key, body string
		status                  int
	}{
		{"POST", "/charge", "", "", 400},
		{"POST", "/charge", "a", "x", 201},
		{"POST", "/permit", "a", "x", 201},
		{"GET", "/status/d1", "", "", 200},
		{"PUT", "/admin/fault", "", `{"lose":1}`, 204},
	} {
		status, err := send(c.method, c.path, c.key, c.body)
		require.NoError(t, err)
		require.Equal(t, c.status, status, c.path)
	}
	_, err := send("POST", "/certificate", "b", "x")
	require.Error(t, err)
	require.Equal(t, registry.Counts{RunsByKey: map[string]int{"a": 2, "b": 1}, Reads: 1}, g.Counts())
}
