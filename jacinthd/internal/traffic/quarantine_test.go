package traffic_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/suspect"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/quarantine"
)

const (
	crashingBody = `{"model":"fees@v1","prompt":"crash","max_tokens":4}`
	innocentBody = `{"model":"fees@v1","prompt":"innocent","max_tokens":4}`
)

// A cluster is a number of hosts with real quarantine guards that share an object
// store.
type cluster struct {
	store  memory.Store
	names  []string
	hosts  []*host
	guards []*suspect.Guard
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{names: names}
	keys := identities(t, names...)
	config := configuration(t)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, name := range names {
		g := &suspect.Guard{Host: name + "/1", Store: &c.store}
		g.NotifyPeers = func(key, crash string) {
			for _, other := range c.guards {
				if other != g {
					other.RecordPeerCrash(key, crash)
				}
			}
		}
		h := newHost(t, config, keys[name], func(h *host) { h.Quarantine = g })
		g.Cancel = func(id, _ string) { h.CancelRun(id) }
		c.guards, c.hosts = append(c.guards, g), append(c.hosts, h)
	}
	for _, g := range c.guards {
		running.Go(func() { _ = g.Run(ctx) })
	}
	return c
}

// route makes all hosts candidates for all engines. The engine with index j is the
// runner rj, which the host with index j modulo owners owns.
func (c *cluster) route(owners int, engines []*fakeEngine) {
	for i, h := range c.hosts {
		var candidates []control.Candidate
		for j, e := range engines {
			owner, runner := c.hosts[j%owners], fmt.Sprint("r", j)
			if j%owners == i {
				candidates = append(candidates, owner.localCandidate(runner, e))
			} else {
				candidates = append(candidates, owner.remoteCandidate(runner, e))
			}
		}
		h.route(candidates...)
	}
}

// countCrashed counts the engines that crashed.
func countCrashed(engines []*fakeEngine) (n int) {
	for _, e := range engines {
		e.mu.Lock()
		if e.crashed {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// crashAll crashes the engine together with all requests that it runs.
func crashAll(e *fakeEngine, _ http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	_ = e.server.Listener.Close()
	go e.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// TestCrashingRequestThroughAllHosts sends a crashing request through three entry hosts
// to the runners of two owners. It must be refused after two crashes. Another request
// that was in progress at the first crash must be served in the end and must no longer
// be suspect then.
func TestCrashingRequestThroughAllHosts(t *testing.T) {
	c := newCluster(t, "entry-1", "entry-2", "entry-3")
	reached := make(chan struct{})
	var engines []*fakeEngine
	for i := range 6 {
		e := newEngine(t)
		e.promptSteps = map[string]step{"crash": atIndex(0, crashAll)}
		if i == 0 {
			e.promptSteps["innocent"] = atIndex(0, gate(reached, nil))
		}
		engines = append(engines, e)
	}
	c.route(2, engines)
	bystander := postAsync(t, c.hosts[2], innocentBody)
	<-reached
	for i := range 9 {
		code, _ := post(t, c.hosts[i%3], crashingBody).errorCode(t)
		if code == "suspect" && i > 2 {
			require.Equal(t, 2, countCrashed(engines))
		}
	}
	code, verdict := post(t, c.hosts[1], crashingBody).errorCode(t)
	require.Equal(t, "suspect notrun", code+" "+verdict)
	require.Equal(t, 2, countCrashed(engines), "engines crashed")
	served := bystander()
	for range 40 {
		if served.status == http.StatusOK {
			break
		}
		code, verdict := served.errorCode(t)
		require.Contains(t, []string{"busy", "unavailable", "broken"}, code, verdict)
		time.Sleep(100 * time.Millisecond)
		served = post(t, c.hosts[2], innocentBody)
	}
	text, complete := completionText(t, served)
	require.Equal(t, "t0 t1 t2 t3 ", text)
	require.True(t, complete)
	// Only the object of the crashing request must be left.
	require.Eventually(t, func() bool {
		page, err := c.store.List(t.Context(), quarantine.KeyPrefix, "")
		return err == nil && len(page.Objects) == 1
	}, 10*time.Second, 10*time.Millisecond)
}

// TestOtherRunsOfSuspectAreCancelled has a request crash a target while it also runs
// elsewhere. The other run must be cancelled. From then on, the request runs only once
// at a time.
func TestOtherRunsOfSuspectAreCancelled(t *testing.T) {
	c := newCluster(t, "entry-1", "entry-2")
	reached, opened := make(chan struct{}, 1), make(chan struct{})
	first, second := newEngine(t), newEngine(t)
	first.promptSteps = map[string]step{"innocent": gate(reached, opened)}
	c.hosts[0].route(c.hosts[0].localCandidate("r0", first))
	c.hosts[1].route(c.hosts[1].localCandidate("r1", second))
	got := postAsync(t, c.hosts[0], innocentBody)
	<-reached
	c.guards[1].Crashed(string(quarantine.NewFingerprint("carrier", []byte(innocentBody))), "r1/one")
	code, verdict := got().errorCode(t)
	require.Equal(t, "busy mayhaverun", code+" "+verdict)
	require.Eventually(t, func() bool { _, cancelled := first.counts(); return cancelled == 1 }, 10*time.Second, 10*time.Millisecond)
	close(opened)
	require.Equal(t, http.StatusOK, post(t, c.hosts[1], innocentBody).status)
}
