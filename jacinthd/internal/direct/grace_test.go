package direct_test

import (
	"bufio"
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

	"jacinthstage/stage/catalog"
)

// A slowTarget answers each request after the time that its header Work names. To a stream it sends
// one event at once.
type slowTarget struct {
	catalog.Target
	reached sync.Map // IDs of the requests
}

func startSlowTarget(t *testing.T) *slowTarget {
	s := &slowTarget{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	s.Target = catalog.Target{Name: "t", Service: "s", Zone: "z", Slots: 40, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	return s
}

// ServeHTTP implements http.Handler.
func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.reached.Store(r.Header.Get("Id"), true)
	_, _ = io.Copy(io.Discard, r.Body) // the server sees that the host closes its connection only then
	w.Header().Set("Id", r.Header.Get("Id"))
	answer := "whole"
	if strings.HasPrefix(r.RequestURI, "/stream/") {
		answer = "id: 2\n\n"
		succeed(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	work, _ := time.ParseDuration(r.Header.Get("Work"))
	select {
	case <-time.After(work):
		succeed(w, answer)
	case <-r.Context().Done():
	}
}

// A callerConnection is a connection of a caller to a host.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

func openConnection(t *testing.T, host *hostProcess) *callerConnection {
	conn, err := net.Dial("tcp", host.caller.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	return &callerConnection{Conn: conn, reader: bufio.NewReader(conn)}
}

// head returns the head of a request, whose body has 2 bytes.
func head(path, id string, work time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: one.example\r\nId: %s\r\nWork: %s\r\nContent-Length: 2\r\n\r\n", path, id, work)
}

// write sends text; it doesn't fail if the host has closed the connection.
func (c *callerConnection) write(text string) { _, _ = io.WriteString(c, text) }

// A callerAnswer is what a caller has got on its connection.
type callerAnswer struct {
	*http.Response        // nil if there is none
	text           string // of its body
	err            error  // if it is none or incomplete
}

func (c *callerConnection) readAnswer() callerAnswer {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerAnswer{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return callerAnswer{Response: response, text: string(text), err: err}
}

// requireRefused checks that a request was refused as not run, and that its connection is closed.
func (s *slowTarget) requireRefused(t *testing.T, c *callerConnection, id string) {
	require.NotContains(t, s.reachedIDs(), id)
	answer := c.readAnswer()
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, answer.text)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.True(t, answer.Close)
}

func (s *slowTarget) reachedIDs() []string {
	var ids []string
	s.reached.Range(func(id, _ any) bool {
		ids = append(ids, id.(string))
		return true
	})
	return ids
}

// TestSlowBodyInGrace guards against requests that are passed on when their bodies have come whole late
// in the grace, and are cut without an answer when the process ends (a report of another system).
func TestSlowBodyInGrace(t *testing.T) {
	const grace = 6 * time.Second
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	stopped := time.Now()
	host.stop()
	time.Sleep(time.Second)
	var slow []*callerConnection
	for i := range 2 {
		slow = append(slow, openConnection(t, host))
		slow[i].write(head("/once/", fmt.Sprint("slow", i), grace) + "x")
	}
	for i, at := range []time.Duration{4 * time.Second, 5 * time.Second} {
		time.Sleep(time.Until(stopped.Add(at)))
		slow[i].write("x")
	}
	require.NoError(t, <-host.ended)
	for i, c := range slow {
		target.requireRefused(t, c, fmt.Sprint("slow", i))
	}
}

// TestLateInGrace guards against late requests, on connections of each kind, that a stopping host closes
// without an answer or passes on.
func TestLateInGrace(t *testing.T) {
	const grace = 6 * time.Second
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	kept, idle, fresh := openConnection(t, host), openConnection(t, host), openConnection(t, host)
	for i, c := range []*callerConnection{kept, idle} {
		c.write(head("/once/", fmt.Sprint("first", i), 0) + "xx")
		require.Equal(t, "whole", c.readAnswer().text)
	}
	stopped := time.Now()
	host.stop()
	time.Sleep(500 * time.Millisecond)
	kept.write(head("/once/", "kept", 0) + "xx")
	answer := kept.readAnswer()
	require.Equal(t, "whole", answer.text, "the platform still sends requests")
	require.True(t, answer.Close)

	time.Sleep(time.Until(stopped.Add(2900 * time.Millisecond)))
	for i, c := range []*callerConnection{idle, fresh, openConnection(t, host)} {
		id := fmt.Sprint("late", i)
		c.write(head("/once/", id, grace) + "xx")
		target.requireRefused(t, c, id)
	}
	require.NoError(t, <-host.ended)
}

// TestUnfinishedAtEndOfGrace guards against requests that have no answer when the process ends.
func TestUnfinishedAtEndOfGrace(t *testing.T) {
	const grace = 2 * time.Second
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	once, stream := openConnection(t, host), openConnection(t, host)
	once.write(head("/once/", "once", time.Minute) + "xx")
	stream.write(head("/stream/", "stream", time.Minute) + "xx")
	require.Eventually(t, func() bool { return len(target.reachedIDs()) == 2 }, waitTimeout, 10*time.Millisecond)

	host.stop()
	answers := make(chan callerAnswer, 2)
	go func() { answers <- once.readAnswer() }()
	go func() { answers <- stream.readAnswer() }()
	require.NoError(t, <-host.ended)
	for range cap(answers) {
		select {
		case a := <-answers:
			require.NotNil(t, a.Response, "%v", a.err)
			if a.StatusCode == http.StatusOK {
				require.ErrorIs(t, a.err, io.ErrUnexpectedEOF, "a stream that is cut is incomplete")
				continue
			}
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.StatusCode, "it may have run")
		case <-time.After(100 * time.Millisecond):
			require.Fail(t, "no answer when the process ends")
		}
	}
}

// TestUnreadAtEndOfGrace guards against requests that have no answer when the process ends since their
// bodies haven't come whole.
func TestUnreadAtEndOfGrace(t *testing.T) {
	const grace = 2 * time.Second
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	slow := openConnection(t, host)
	slow.write(head("/once/", "slow", 0) + "x")
	time.Sleep(100 * time.Millisecond) // the host has read the head
	host.stop()
	require.NoError(t, <-host.ended)
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	target.requireRefused(t, slow, "slow")
}

// TestShortGrace guards against requests that a process with a short grace cuts long before its end.
func TestShortGrace(t *testing.T) {
	const grace = time.Second
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	c := openConnection(t, host)
	c.write(head("/once/", "x", 700*time.Millisecond) + "xx")
	require.Eventually(t, func() bool { return len(target.reachedIDs()) == 1 }, waitTimeout, time.Millisecond)
	host.stop()
	answer := make(chan callerAnswer, 1)
	go func() { answer <- c.readAnswer() }()
	require.NoError(t, <-host.ended)
	select {
	case a := <-answer:
		require.Equal(t, "whole", a.text, "%v", a.err)
	case <-time.After(50 * time.Millisecond):
		require.Fail(t, "no answer when the process ends")
	}
}

// TestTooLongForGrace guards against requests that are passed on although their target is expected to
// answer only after the process has ended.
func TestTooLongForGrace(t *testing.T) {
	s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "late") })
	last := time.Now().Add(20 * time.Millisecond) // a target is expected to take longer
	s.lastAnswer.Store(&last)
	sent := time.Now()
	answer, text, err := s.send(t, http.MethodPost, "/once/", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, text)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.Zero(t, s.runs.Load())
	require.Less(t, time.Since(sent), waitTimeout/10)
}

// TestRouteTooLongForGrace guards against requests that are passed on although those of their route take
// longer than the process still lives.
func TestRouteTooLongForGrace(t *testing.T) {
	const (
		grace = 3 * time.Second
		work  = 2500 * time.Millisecond
	)
	paths := []string{"/once/", "/stream/"}
	target := startSlowTarget(t)
	host := startProcess(t, target.Target, grace)
	var calls sync.WaitGroup
	for _, path := range paths {
		c := openConnection(t, host)
		c.write(head(path, "first"+path, work) + "xx")
		calls.Go(func() { c.readAnswer() })
	}
	calls.Wait()
	host.stop()
	time.Sleep(time.Second)
	for _, path := range paths {
		c := openConnection(t, host)
		c.write(head(path, "late"+path, work) + "xx")
		sent := time.Now()
		target.requireRefused(t, c, "late"+path)
		require.Less(t, time.Since(sent), 500*time.Millisecond)
	}
	require.NoError(t, <-host.ended)
}
