package platform_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/object"
	"jacinthstage/standin/internal/platform"
)

// A testServer serves a platform over HTTP.
type testServer struct {
	*testing.T
	platform *platform.Platform
	url      string
}

func start(t *testing.T, p *platform.Platform) testServer {
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return testServer{t, p, server.URL}
}

// send sends a request. The condition is "*" to create an object, a version to
// match, or empty for none.
func (s testServer) send(ctx context.Context, method, path, condition, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, s.url+path, strings.NewReader(body))
	require.NoError(s, err)
	switch condition {
	case "":
	case "*":
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", `"`+condition+`"`)
	}
	return http.DefaultClient.Do(r)
}

// call sends a request and returns the status, the ETag and the body of the response.
func (s testServer) call(method, path, condition, body string) (int, string, string) {
	ctx, cancel := context.WithTimeout(s.Context(), 10*time.Second)
	defer cancel()
	response, err := s.send(ctx, method, path, condition, body)
	require.NoError(s, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(s, err)
	return response.StatusCode, response.Header.Get("ETag"), string(text)
}

func TestWritesAreConditional(t *testing.T) {
	s := start(t, &platform.Platform{})
	for _, c := range []struct {
		name, method, condition, body string
		status                        int
		tag                           string
	}{
		{"get of a missing object", "GET", "", "", 404, ""},
		{"update of a missing object", "PUT", "1", "x", 412, ""},
		{"without condition", "PUT", "", "x", 428, ""},
		{"create", "PUT", "*", "one", 201, `"1"`},
		{"create again", "PUT", "*", "two", 412, ""},
		{"update of another version", "PUT", "7", "two", 412, ""},
		{"update", "PUT", "1", "two", 200, `"2"`},
		{"update of the old version", "PUT", "1", "three", 412, ""},
		{"too large", "PUT", "2", strings.Repeat("x", object.MaxValueBytes+1), 413, ""},
		{"get", "GET", "", "", 200, `"2"`},
		{"delete of the old version", "DELETE", "1", "", 412, ""},
		{"delete", "DELETE", "2", "", 204, ""},
		{"create after delete", "PUT", "*", "four", 201, `"4"`},
	} {
		status, tag, _ := s.call(c.method, "/v1/object/patch/1", c.condition, c.body)
		require.Equal(t, c.status, status, c.name)
		require.Equal(t, c.tag, tag, c.name)
	}
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	s := start(t, &platform.Platform{})
	s.call("PUT", "/admin/fault", "", `{"lose":1}`)
	_, err := s.send(t.Context(), "PUT", "/v1/object/a", "*", "kept")
	require.Error(t, err)
	status, _, body := s.call("GET", "/v1/object/a", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, "kept", body)
	status, _, _ = s.call("PUT", "/v1/object/b", "*", "answered")
	require.Equal(t, 201, status)
}

func TestListIsSortedAndPaged(t *testing.T) {
	s := start(t, &platform.Platform{})
	for _, key := range []string{"p/c", "p/a", "q/x", "p/b"} {
		s.call("PUT", "/v1/object/"+key, "*", key)
	}
	var page object.Page
	_, _, body := s.call("GET", "/v1/list?prefix=p/&after=p/a&limit=1", "", "")
	require.NoError(t, json.Unmarshal([]byte(body), &page))
	require.Equal(t, object.Page{Revision: 4, More: true, Objects: []object.Object{{Key: "p/b", Version: 4, Value: []byte("p/b")}}}, page)
}

func TestWatchDeliversChangesThenBookmarks(t *testing.T) {
	s := start(t, &platform.Platform{})
	s.call("PUT", "/v1/object/p/a", "*", "old")
	response, err := s.send(t.Context(), "GET", "/v1/watch?prefix=p/&revision=1", "", "")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := json.NewDecoder(bufio.NewReader(response.Body))
	next := func(skip string) (change object.Change) {
		for change.Kind == "" || change.Kind == skip {
			change = object.Change{}
			require.NoError(t, lines.Decode(&change))
		}
		return change
	}
	require.Equal(t, object.Change{Kind: "bookmark", Revision: 1}, next(""))
	s.call("PUT", "/v1/object/q/x", "*", "other")
	s.call("PUT", "/v1/object/p/a", "1", "new")
	s.call("DELETE", "/v1/object/p/a", "3", "")
	require.Equal(t, object.Change{Kind: "put", Key: "p/a", Version: 3, Revision: 3, Value: []byte("new")}, next("bookmark"))
	require.Equal(t, object.Change{Kind: "delete", Key: "p/a", Version: 3, Revision: 4}, next("bookmark"))
	require.Equal(t, object.Change{Kind: "bookmark", Revision: 4}, next("put"))
	s.call("PUT", "/admin/fault", "", `{"outage":true}`)
	for range 4 {
		err = lines.Decode(&object.Change{})
	}
	require.Error(t, err, "an outage ends the watch")
}

func TestWatchFromCompactedRevisionIsGone(t *testing.T) {
	s := start(t, &platform.Platform{})
	s.call("PUT", "/v1/object/a", "*", "x")
	s.call("POST", "/admin/compact", "", "")
	status, _, _ := s.call("GET", "/v1/watch?prefix=&revision=0", "", "")
	require.Equal(t, 410, status)
}

func TestCallsOverTheRateAreRefused(t *testing.T) {
	s := start(t, &platform.Platform{WritesPerSecond: 0.001, ReadsPerSecond: 0.001})
	for i, want := range []int{201, 429} {
		status, _, _ := s.call("PUT", "/v1/object/"+string(rune('a'+i)), "*", "")
		require.Equal(t, want, status)
	}
	for _, want := range []int{200, 429} {
		status, _, _ := s.call("GET", "/v1/hosts", "", "")
		require.Equal(t, want, status)
	}
	require.Equal(t, platform.Counts{Writes: 1, Reads: 1, Refused: 2}, s.platform.Counts())
}

func TestSilencedCallStaysSilentAfterFaultEnds(t *testing.T) {
	s := start(t, &platform.Platform{})
	s.call("PUT", "/admin/fault", "", `{"silent":true}`)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := s.send(ctx, "GET", "/v1/list", "", "")
		result <- err
	}()
	require.Eventually(t, func() bool { return s.platform.SilencedCalls() == 1 }, 10*time.Second, time.Millisecond)
	s.call("PUT", "/admin/fault", "", `{}`)
	status, _, _ := s.call("GET", "/v1/list", "", "")
	require.Equal(t, 200, status)
	require.ErrorIs(t, <-result, context.DeadlineExceeded)
}
