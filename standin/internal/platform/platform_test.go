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

type bench struct {
	*testing.T
	platform *platform.Platform
	url      string
}

func start(t *testing.T, p *platform.Platform) bench {
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return bench{t, p, server.URL}
}

// send makes a call; condition is "*" for a create, else the version of If-Match.
func (b bench) send(ctx context.Context, method, path, condition, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	require.NoError(b, err)
	switch condition {
	case "":
	case "*":
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", `"`+condition+`"`)
	}
	return http.DefaultClient.Do(r)
}

func (b bench) call(method, path, condition, body string) (int, string, string) {
	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()
	answer, err := b.send(ctx, method, path, condition, body)
	require.NoError(b, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	require.NoError(b, err)
	return answer.StatusCode, answer.Header.Get("ETag"), string(text)
}

func TestWritesAreConditional(t *testing.T) {
	b := start(t, &platform.Platform{})
	for _, c := range []struct {
		name, method, condition, body string
		status                        int
		tag                           string
	}{
		{"get of none", "GET", "", "", 404, ""},
		{"update of none", "PUT", "1", "x", 412, ""},
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
		status, tag, _ := b.call(c.method, "/v1/object/patch/1", c.condition, c.body)
		require.Equal(t, c.status, status, c.name)
		require.Equal(t, c.tag, tag, c.name)
	}
}

func TestLostAnswerOfAWriteThatTookEffect(t *testing.T) {
	b := start(t, &platform.Platform{})
	b.call("PUT", "/admin/fault", "", `{"lose":1}`)
	_, err := b.send(t.Context(), "PUT", "/v1/object/a", "*", "kept")
	require.Error(t, err)
	status, _, body := b.call("GET", "/v1/object/a", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, "kept", body)
	status, _, _ = b.call("PUT", "/v1/object/b", "*", "answered")
	require.Equal(t, 201, status)
}

func TestListIsSortedAndPaged(t *testing.T) {
	b := start(t, &platform.Platform{})
	for _, key := range []string{"p/c", "p/a", "q/x", "p/b"} {
		b.call("PUT", "/v1/object/"+key, "*", key)
	}
	var page object.Page
	_, _, body := b.call("GET", "/v1/list?prefix=p/&after=p/a&limit=1", "", "")
	require.NoError(t, json.Unmarshal([]byte(body), &page))
	require.Equal(t, object.Page{Revision: 4, More: true, Objects: []object.Object{{Key: "p/b", Version: 4, Value: []byte("p/b")}}}, page)
}

func TestWatchDeliversChangesThenBookmarks(t *testing.T) {
	b := start(t, &platform.Platform{})
	b.call("PUT", "/v1/object/p/a", "*", "old")
	answer, err := b.send(t.Context(), "GET", "/v1/watch?prefix=p/&revision=1", "", "")
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	lines := json.NewDecoder(bufio.NewReader(answer.Body))
	next := func(skip string) (change object.Change) {
		for change.Kind == "" || change.Kind == skip {
			change = object.Change{}
			require.NoError(t, lines.Decode(&change))
		}
		return change
	}
	require.Equal(t, object.Change{Kind: "bookmark", Revision: 1}, next(""))
	b.call("PUT", "/v1/object/q/x", "*", "other")
	b.call("PUT", "/v1/object/p/a", "1", "new")
	b.call("DELETE", "/v1/object/p/a", "3", "")
	require.Equal(t, object.Change{Kind: "put", Key: "p/a", Version: 3, Revision: 3, Value: []byte("new")}, next("bookmark"))
	require.Equal(t, object.Change{Kind: "delete", Key: "p/a", Version: 3, Revision: 4}, next("bookmark"))
	require.Equal(t, object.Change{Kind: "bookmark", Revision: 4}, next("put"))
	b.call("PUT", "/admin/fault", "", `{"outage":true}`)
	for range 4 {
		err = lines.Decode(&object.Change{})
	}
	require.Error(t, err, "an outage ends the watch")
}

func TestWatchFromACompactedRevisionIsGone(t *testing.T) {
	b := start(t, &platform.Platform{})
	b.call("PUT", "/v1/object/a", "*", "x")
	b.call("POST", "/admin/compact", "", "")
	status, _, _ := b.call("GET", "/v1/watch?prefix=&revision=0", "", "")
	require.Equal(t, 410, status)
}

func TestCallsOverTheRateAreRefused(t *testing.T) {
	b := start(t, &platform.Platform{WritesPerSecond: 0.001, ReadsPerSecond: 0.001})
	for i, want := range []int{201, 429} {
		status, _, _ := b.call("PUT", "/v1/object/"+string(rune('a'+i)), "*", "")
		require.Equal(t, want, status)
	}
	for _, want := range []int{200, 429} {
		status, _, _ := b.call("GET", "/v1/hosts", "", "")
		require.Equal(t, want, status)
	}
	require.Equal(t, platform.Counts{Writes: 1, Reads: 1, Refused: 2}, b.platform.Counts())
}

func TestSilentConnectionStaysSilent(t *testing.T) {
	b := start(t, &platform.Platform{})
	b.call("PUT", "/admin/fault", "", `{"silent":true}`)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	caught := make(chan error, 1)
	go func() {
		_, err := b.send(ctx, "GET", "/v1/list", "", "")
		caught <- err
	}()
	require.Eventually(t, func() bool { return b.platform.SilencedCalls() == 1 }, 10*time.Second, time.Millisecond)
	b.call("PUT", "/admin/fault", "", `{}`)
	status, _, _ := b.call("GET", "/v1/list", "", "")
	require.Equal(t, 200, status)
	require.ErrorIs(t, <-caught, context.DeadlineExceeded)
}
