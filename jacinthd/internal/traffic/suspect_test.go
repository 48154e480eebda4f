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
	crashing = `{"model":"fees@v1","prompt":"crash","max_tokens":4}`
	innocent = `{"model":"fees@v1","prompt":"innocent","max_tokens":4}`
)

// A fleet is hosts with the quarantine of a process, that share an object API.
type fleet struct {
	store  memory.Store
	names  []string
	hosts  []*host
	guards []*suspect.Guard
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{names: names}
	keys := identities(t, names...)
	config := configuration(t)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, name := range names {
		g := &suspect.Guard{Host: name + "/1", Store: &f.store}
		g.NotifyPeers = func(key, crash string) {
			for _, other := range f.guards {
				if other != g {
					other.RecordPeerCrash(key, crash)
				}
			}
		}
		h := newHost(t, config, keys[name], func(h *host) { h.Quarantine = g })
		g.Cancel = func(id, _ string) { h.CancelRun(id) }
		f.guards, f.hosts = append(f.guards, g), append(f.hosts, h)
	}
	for _, g := range f.guards {
		running.Go(func() { _ = g.Run(ctx) })
	}
	return f
}

// route gives host i the runners of all, each owned by the host at its place modulo owners.
func (f *fleet) route(owners int, engines []*fakeEngine) {
	for i, h := range f.hosts {
		var all []control.Candidate
		for j, e := range engines {
			owner, runner := f.hosts[j%owners], fmt.Sprint("r", j)
			if j%owners == i {
				all = append(all, owner.here(runner, e))
			} else {
				all = append(all, owner.there(runner, e))
			}
		}
		h.route(all...)
	}
}

// down counts the engines that crashed.
func down(engines []*fakeEngine) (n int) {
	for _, e := range engines {
		e.mu.Lock()
		if e.down {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// end crashes the engine with all that it runs.
func end(e *fakeEngine, _ http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	_ = e.server.Listener.Close()
	go e.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// The same crashing request is sent through three entry hosts to the runners
// of two owners. An innocent request that was in progress at the first crash
// is served, and its name is cleared.
func TestCrashingRequestThroughAllHosts(t *testing.T) {
	f := newFleet(t, "entry-1", "entry-2", "entry-3")
	reached := make(chan struct{})
	var engines []*fakeEngine
	for i := range 6 {
		e := newEngine(t)
		e.prompts = map[string]step{"crash": at(0, end)}
		if i == 0 {
			e.prompts["innocent"] = at(0, gate(reached, nil))
		}
		engines = append(engines, e)
	}
	f.route(2, engines)
	bystander := later(t, f.hosts[2], innocent)
	<-reached
	for i := range 9 {
		code, _ := post(t, f.hosts[i%3], crashing).problem(t)
		if code == "suspect" && i > 2 {
			require.Equal(t, 2, down(engines))
		}
	}
	code, said := post(t, f.hosts[1], crashing).problem(t)
	require.Equal(t, "suspect notrun", code+" "+said)
	require.Equal(t, 2, down(engines), "engines crashed")
	served := bystander()
	for range 40 {
		if served.status == http.StatusOK {
			break
		}
		code, said := served.problem(t)
		require.Contains(t, []string{"busy", "unavailable", "broken"}, code, said)
		time.Sleep(100 * time.Millisecond)
		served = post(t, f.hosts[2], innocent)
	}
	text, whole := words(t, served)
	require.Equal(t, "t0 t1 t2 t3 ", text)
	require.True(t, whole)
	// Only the crashing request's object is left.
	require.Eventually(t, func() bool {
		page, err := f.store.List(t.Context(), quarantine.KeyPrefix, "")
		return err == nil && len(page.Objects) == 1
	}, 10*time.Second, 10*time.Millisecond)
}

// A run of a request that crashed a target elsewhere is cancelled, and the
// request runs once at a time from then on.
func TestOtherRunsOfSuspectEnd(t *testing.T) {
	f := newFleet(t, "entry-1", "entry-2")
	reached, opened := make(chan struct{}, 1), make(chan struct{})
	first, second := newEngine(t), newEngine(t)
	first.prompts = map[string]step{"innocent": gate(reached, opened)}
	f.hosts[0].route(f.hosts[0].here("r0", first))
	f.hosts[1].route(f.hosts[1].here("r1", second))
	got := later(t, f.hosts[0], innocent)
	<-reached
	f.guards[1].Crashed(string(quarantine.NewFingerprint("carrier", []byte(innocent))), "r1/one")
	code, said := got().problem(t)
	require.Equal(t, "busy mayhaverun", code+" "+said)
	require.Eventually(t, func() bool { _, cancelled := first.total(); return cancelled == 1 }, 10*time.Second, 10*time.Millisecond)
	close(opened)
	require.Equal(t, http.StatusOK, post(t, f.hosts[1], innocent).status)
}
