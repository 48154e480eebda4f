package direct_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
)

// newCutSystem returns a system of linked hosts, the first of which reaches no target and has
// found out.
func newCutSystem(t *testing.T, hosts, targets int, handle targetFunc) (*testSystem, []*testHost) {
	all := startHosts(t, hosts)
	return cutFirst(t, all, targets, handle), all
}

// cutFirst returns a system of hosts, the first of which reaches no target.
func cutFirst(t *testing.T, all []*testHost, targets int, handle targetFunc) *testSystem {
	c := &cut{dial: isRefused}
	c.apply(all[0])
	c.active.Store(true)
	return newLinkedSystem(t, all, targets, handle)
}

// TestProxiedStreamArrivesAsItIsMade checks that events come through another host one by one,
// and that a stream whose target breaks off goes on elsewhere.
func TestProxiedStreamArrivesAsItIsMade(t *testing.T) {
	proceed := make(chan bool, 1)
	s, _ := newCutSystem(t, 3, 3, func(w http.ResponseWriter, r *http.Request, count int) {
		w.Header().Set("Signed", "1")
		if r.Header.Get("After") == "1" {
			_, _ = w.Write([]byte("id: 2\ndata: b\n\n"))
			return
		}
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		_ = http.NewResponseController(w).Flush()
		<-proceed
		panic(http.ErrAbortHandler)
	})
	r, err := http.NewRequest(http.MethodPost, s.url+"/resumed/x", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "one.example"
	r.Header.Set("Id", "x1")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	require.True(t, lines.Scan())
	require.Equal(t, "id: 1", lines.Text())
	proceed <- true
	var rest []string
	for lines.Scan() {
		rest = append(rest, lines.Text())
	}
	require.NoError(t, lines.Err())
	require.Equal(t, []string{"data: a", "", "id: 2", "data: b", ""}, rest)
}

// TestProxiedRequestIsCancelled checks that a target's work ends soon after the caller has left.
func TestProxiedRequestIsCancelled(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan bool, 1)
	s, _ := newCutSystem(t, 2, 1, func(_ http.ResponseWriter, r *http.Request, _ int) {
		started <- true
		<-r.Context().Done()
		ended <- true
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/once/x", nil)
	require.NoError(t, err)
	r.Host = "one.example"
	r.Header.Set("Id", "x1")
	go func() { _, _ = http.DefaultClient.Do(r) }()
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the target still works on it")
	}
}

// TestProxyThatEndsMayHaveSent checks that a request isn't sent again, nor called not run, where
// the link to the host that sent it breaks.
func TestProxyThatEndsMayHaveSent(t *testing.T) {
	started := make(chan bool, 10)
	s, hosts := newCutSystem(t, 2, 2, func(_ http.ResponseWriter, r *http.Request, _ int) {
		started <- true
		<-r.Context().Done()
	})
	go func() {
		<-started
		hosts[1].stop()
	}()
	response, _, err := s.sendWithin(t, 1500*time.Millisecond, http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode)
	require.EqualValues(t, 1, s.runs.Load())
}

// TestNoProxyLeft checks that a request is refused at once, as one that did not run, where no
// host reaches its targets or takes it.
func TestNoProxyLeft(t *testing.T) {
	s, hosts := newCutSystem(t, 4, 2, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
	for i, h := range hosts[1:] {
		if i%2 == 0 {
			h.stopping.Store(true)
			continue
		}
		c := &cut{dial: isRefused}
		c.apply(h)
		c.active.Store(true)
	}
	for range 5 {
		began := time.Now()
		response, _, err := s.send(t, http.MethodPost, "/once/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 300*time.Millisecond)
	}
	require.Zero(t, s.runs.Load())
}

// TestProxySparesLeavingTarget checks that a host sends nothing for others to a target that has
// told it that it is leaving.
func TestProxySparesLeavingTarget(t *testing.T) {
	s, hosts := newCutSystem(t, 2, 2, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
	first := newRequestOn(t, s)
	hosts[1].dispatcher.Apply(time.Now(), listOf(first.Target))
	hosts[1].dispatcher.Heard(time.Now(), time.Now(), first.Target, notice.Notice{Leaving: true}, notice.Run)
	for range 10 {
		response, _, err := s.send(t, http.MethodPost, "/once/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NotEqual(t, first.Target.Name, s.lastTarget.Load())
	}
}

// newRequestOn returns an attempt that the system's host selects, and ends it.
func newRequestOn(t *testing.T, s *testSystem) *dispatch.Attempt {
	now := time.Now()
	decision := s.dispatcher.Pick(now, dispatch.Request{Service: "s", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)})
	require.IsType(t, dispatch.Send{}, decision)
	attempt := decision.(dispatch.Send).Attempt
	attempt.Report(now, dispatch.Canceled{})
	return attempt
}

// listOf returns the event of a list with the given targets.
func listOf(all ...catalog.Target) catalog.Event {
	return catalog.TargetsListed{Revision: 2, Targets: all}
}

// TestProxySendsToTargetsOnly guards against a host that sends what it is asked to any address.
func TestProxySendsToTargetsOnly(t *testing.T) {
	hosts := startHosts(t, 2)
	c := &cut{dial: isRefused}
	c.apply(hosts[0])
	c.active.Store(true)
	s := &testSystem{suspects: hosts[0].peers.Suspects, dispatcher: hosts[0].dispatcher, peers: hosts[0].peers}
	s.start(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
	response, _, err := s.send(t, http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, s.runs.Load())
}

// TestHostThatKnowsNoProxiesIsPassedOver guards against requests that fail while hosts are
// replaced, since a host of an earlier build, which doesn't know requests of others, was asked to
// send them.
func TestHostThatKnowsNoProxiesIsPassedOver(t *testing.T) {
	hosts := startHostsWith(t, 6, knowsNoProxies(1, 5))
	s := cutFirst(t, hosts, 2, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
	for range 20 {
		response, _, err := s.send(t, http.MethodPost, "/once/x", "body")
		require.NoError(t, err)
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, response.StatusCode)
	}
	response, _, err := s.send(t, http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestProxyEndsRequests guards against requests whose host waits for the time-out of its link, since the
// process of the host that sends them has ended without a word.
func TestProxyEndsRequests(t *testing.T) {
	started := make(chan bool, 1)
	ctx, end := context.WithCancel(context.Background())
	hosts := startHostsWith(t, 2, func(_ int, h *testHost) { h.peers.Proxy.(*proxy.Server).Requests = ctx })
	s := cutFirst(t, hosts, 1, func(_ http.ResponseWriter, r *http.Request, _ int) {
		started <- true
		<-r.Context().Done()
	})
	ended := make(chan time.Time, 1)
	go func() {
		<-started
		ended <- time.Now()
		end()
	}()
	answer, _, err := s.sendWithin(t, waitTimeout, http.MethodGet, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, answer.StatusCode, "it may have run")
	require.Less(t, time.Since(<-ended), time.Second)
}

// TestProxyStopsWhileRequestsCome guards against a stopping host that ends by a panic, since another
// host's request comes as the last one ends for which it waits.
func TestProxyStopsWhileRequestsCome(t *testing.T) {
	const callers = 16
	s, hosts := newCutSystem(t, 2, 1, func(w http.ResponseWriter, _ *http.Request, _ int) { succeed(w, "a") })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var loops sync.WaitGroup
	for range callers {
		loops.Go(func() {
			for ctx.Err() == nil {
				_, _, _ = s.send(t, http.MethodPost, "/once/x", "body")
			}
		})
	}
	waits := 0
	for ctx.Err() == nil {
		hosts[1].peers.Proxy.(*proxy.Server).Wait(ctx)
		waits++
	}
	loops.Wait()
	require.Positive(t, waits)
	require.Positive(t, s.runs.Load())
}
