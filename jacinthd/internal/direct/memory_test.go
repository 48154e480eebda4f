package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/memory"
)

const (
	memoryLimit = 256 << 10
	largeText   = 200 << 10
)

// newShortSystem returns a system that holds at most memoryLimit bytes for callers, and whose
// target answers with the body of the request.
func newShortSystem(t *testing.T) *testSystem {
	s := newTestSystem(t, 1, func(w http.ResponseWriter, r *http.Request, _ int) {
		text, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			text = []byte(strings.Repeat("x", largeText))
		}
		succeed(w, string(text))
	})
	s.memory.SetLimit(memoryLimit)
	routes := []catalog.Route{{Name: "r", Host: "one.example", Prefix: "/", Kind: catalog.AtMostOnce{}, MaxAttempts: 1, Split: []catalog.TrafficShare{{Service: "s", Weight: 1}}}}
	config := catalog.NewConfig(9, routes, []catalog.Service{{Name: "s"}}, catalog.Limits{MaxBody: 1 << 20})
	s.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: config})
	return s
}

// TestNoMemory checks what callers get while others hold all memory.
func TestNoMemory(t *testing.T) {
	s := newShortSystem(t)
	held := s.memory.Open(time.Now(), memory.Passed, nil)
	require.True(t, held.Grow(time.Now(), memoryLimit))

	response, _, err := s.send(t, http.MethodPost, "/a", strings.Repeat("x", largeText))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	require.Zero(t, s.runs.Load(), "refused requests don't run")

	response, text, err := s.send(t, http.MethodPost, "/a", "small")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "small bodies find room")
	require.Equal(t, "small", text)

	response, text, err = s.send(t, http.MethodGet, "/a", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "an answer is passed on as it arrives")
	require.Len(t, text, largeText)
	require.NotZero(t, s.memory.Usage().Refused[memory.Answer])

	held.Close()
	response, text, err = s.send(t, http.MethodPost, "/a", strings.Repeat("x", largeText))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, text, largeText)
}

// TestStalledBodyLosesItsMemory checks that a body that makes no progress gives its memory to
// others, and what its caller is told.
func TestStalledBodyLosesItsMemory(t *testing.T) {
	s := newShortSystem(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: one.example\r\nId: x\r\nContent-Length: %d\r\n\r\n%s", largeText, strings.Repeat("x", largeText-1))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.memory.Usage().Held[memory.Body] == largeText }, time.Minute, time.Millisecond)

	other := s.memory.Open(time.Now(), memory.Body, nil)
	defer other.Close()
	require.True(t, other.Grow(time.Now().Add(memory.StallTime), memoryLimit/2))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 503 ")
	require.Contains(t, string(answer), "Connection: close\r\n")
	require.Zero(t, s.runs.Load())
}

// TestRefusedCallerThatStopsShort checks that a caller whose request is refused before its body is
// read doesn't keep its connection by stopping short.
func TestRefusedCallerThatStopsShort(t *testing.T) {
	s := newShortSystem(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: other.example\r\nId: x\r\nContent-Length: 9\r\n\r\nshort")
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 404 ")
}
