package direct_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/suspect"
)

// crashBody is the body of the requests that crash a crashingTarget.
const crashBody = "crash"

// crashPart is the part of prompts that crashes a crashingTarget.
const crashPart = "bad"

// soundTime is how long a crashingTarget takes until it begins to answer.
const soundTime = 20 * time.Millisecond

// A crashingTarget is a target whose process ends when it begins to run a request with
// crashBody or crashPart: its connections break and its address refuses new ones.
type crashingTarget struct {
	listener net.Listener
	server   *http.Server
	runs     *atomic.Int32 // of requests that crash a target, on all targets
}

// startCrashingTarget starts a target. It calls before, if that isn't nil, before it ends.
func startCrashingTarget(t *testing.T, runs *atomic.Int32, before func()) *crashingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &crashingTarget{listener: listener, runs: runs}
	c.server = &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(soundTime)
		if string(body) == crashBody || strings.Contains(r.Header.Get("Parts"), crashPart) {
			runs.Add(1)
			if before != nil {
				before()
			}
			// Close closes the listener first, as the end of a process does, and then
			// the connections. It doesn't wait for this handler.
			_ = c.server.Close()
			abortAnswer()
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		succeed(w, "id: 1\ndata: served\n\n")
	})}
	var serving sync.WaitGroup
	serving.Go(func() { _ = c.server.Serve(listener) })
	t.Cleanup(func() {
		_ = c.server.Close()
		serving.Wait()
	})
	return c
}

func (c *crashingTarget) address() netip.AddrPort {
	return netip.MustParseAddrPort(c.listener.Addr().String())
}

// crashingTargets starts targets of service "s" and returns them with the counter of
// the requests that crashed one.
func crashingTargets(t *testing.T, n int) ([]catalog.Target, *atomic.Int32) {
	runs := new(atomic.Int32)
	var all []catalog.Target
	for i := range n {
		c := startCrashingTarget(t, runs, nil)
		all = append(all, catalog.Target{Name: "c" + strconv.Itoa(i), Service: "s", Zone: "z", Address: c.address(), Slots: 8, Started: time.UnixMilli(1)})
	}
	return all, runs
}

// startWithStore starts a host whose store others share.
func startWithStore(t *testing.T, suspects *contact.Suspects, shared *memory.Store, targets []catalog.Target) *testSystem {
	suspects.Store = shared
	s := newTestSystemWith(t, suspects, 0, nil)
	s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: targets})
	return s
}

// TestRequestThatCrashesTargetsIsRefused guards against a request that crashes each
// target that runs it and that is sent to one target after another (BUDGET).
// It sends such a request over and over, under new ids, through one host.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	for _, path := range []string{"/once/", "/read/", "/resumed/"} {
		t.Run(path, func(t *testing.T) {
			s := newTestSystem(t, 0, nil)
			all, runs := crashingTargets(t, 8)
			s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: all})
			refused := 0
			for range 8 {
				response, _, err := s.send(t, http.MethodPost, path, crashBody)
				require.NoError(t, err)
				if response.StatusCode == http.StatusServiceUnavailable {
					refused++
					require.NotEmpty(t, response.Header.Get("Retry-After"))
				}
			}
			require.LessOrEqual(t, runs.Load(), int32(2), "targets that crashed")
			require.GreaterOrEqual(t, refused, 6)
			response, text, err := s.send(t, http.MethodPost, path, "id: 1\n\n")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, "other requests are served: %s", text)
		})
	}
}

// TestRefusedRequestIsKnownElsewhere guards against a request that crashed two targets
// and is then sent by another host, or by a host that starts after all others ended
// (BUDGET).
func TestRefusedRequestIsKnownElsewhere(t *testing.T) {
	hosts := startHosts(t, 3)
	all, runs := crashingTargets(t, 8)
	shared := new(memory.Store)
	start := func(suspects *contact.Suspects) *testSystem { return startWithStore(t, suspects, shared, all) }
	systems := []*testSystem{start(hosts[0].peers.Suspects), start(hosts[1].peers.Suspects), start(hosts[2].peers.Suspects)}
	crash := func(s *testSystem) int {
		response, _, err := s.send(t, http.MethodPost, "/once/", crashBody)
		require.NoError(t, err)
		return response.StatusCode
	}
	require.Equal(t, http.StatusBadGateway, crash(systems[0]))
	require.Eventually(t, func() bool { return !systems[1].suspects.List.Empty() }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusBadGateway, crash(systems[1]))
	require.Eventually(t, func() bool {
		return systems[2].suspects.List.IsRefused(suspect.ContentTrait("one.example /once/", []byte(crashBody)))
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, crash(systems[2]))
	require.EqualValues(t, 2, runs.Load(), "targets that crashed")

	require.Eventually(t, func() bool {
		page, err := shared.List(context.Background(), suspect.KeyPrefix, "")
		return err == nil && len(page.Objects) == 2 // the content and what repeats share
	}, waitTimeout, 10*time.Millisecond)
	restarted := start(newSuspects())
	restarted.suspects.Restore(context.Background())
	require.Equal(t, http.StatusServiceUnavailable, crash(restarted))
	require.EqualValues(t, 2, runs.Load(), "targets that crashed")
}

// TestSilentCrashesAreCounted guards against a request under which targets fall silent
// instead of refusing connections, so that their end shows only in the list of targets
// (BUDGET).
func TestSilentCrashesAreCounted(t *testing.T) {
	s := newTestSystem(t, 8, func(w http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	send := func() int {
		response, _, err := s.sendWithin(t, 200*time.Millisecond, http.MethodPost, "/once/", crashBody)
		require.NoError(t, err)
		return response.StatusCode
	}
	for range 2 {
		require.Equal(t, http.StatusGatewayTimeout, send())
		for _, target := range s.dispatcher.Sweep(time.Now()) {
			if target.Name == s.lastTarget.Load() {
				s.suspects.TargetEnded(target)
				target.Started = target.Started.Add(time.Second)
				s.dispatcher.Apply(time.Now(), catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: target}}})
			}
		}
	}
	require.Equal(t, http.StatusServiceUnavailable, send())
	require.EqualValues(t, 2, s.runs.Load())
}

// TestPlannedEndIsNoCrash guards against the refusal of requests that were in progress
// when a target ended that had announced its end.
func TestPlannedEndIsNoCrash(t *testing.T) {
	s := newTestSystem(t, 0, nil)
	for i := range 3 {
		target := catalog.Target{Name: "p" + strconv.Itoa(i), Service: "s", Zone: "z", Slots: 8}
		var runs atomic.Int32
		c := startCrashingTarget(t, &runs, func() {
			target.State = catalog.Draining
			s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: []catalog.Target{target}})
		})
		target.Address = c.address()
		s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: []catalog.Target{target}})
		response, _, err := s.send(t, http.MethodPost, "/once/", crashBody)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.EqualValues(t, 1, runs.Load())
	}
	require.True(t, s.suspects.List.Empty())
}

// TestPartThatCrashesTargetsIsRefused guards against different requests that share a part
// of their prompts and crash one target after another, through any host (BUDGET), and
// against a refusal of the sound requests that share their other parts (LOST).
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	hosts := startHosts(t, 3)
	all, runs := crashingTargets(t, 16)
	shared := new(memory.Store)
	start := func(suspects *contact.Suspects) *testSystem { return startWithStore(t, suspects, shared, all) }
	var systems []*testSystem
	for _, h := range hosts {
		systems = append(systems, start(h.peers.Suspects))
	}
	send := func(s *testSystem, path, body, parts string) int {
		response, _, err := s.sendWith(t, 1500*time.Millisecond, http.MethodPost, path, body, map[string]string{"Parts": parts})
		if err != nil {
			return 0 // cut off
		}
		return response.StatusCode
	}
	soundParts := func(i int) string { return fmt.Sprintf("1 %x %x", 0x100+i%40, 0x1000+i) }

	stop := make(chan struct{})
	var sound sync.WaitGroup
	end := sync.OnceFunc(func() {
		close(stop)
		sound.Wait()
	})
	defer end()
	for _, s := range systems {
		for caller := range 4 {
			sound.Go(func() {
				for i := caller; ; i += 4 {
					select {
					case <-stop:
						return
					default:
						send(s, "/resumed/", fmt.Sprint("sound ", i), soundParts(i))
					}
				}
			})
		}
	}
	for i := range 24 {
		path := []string{"/resumed/", "/once/"}[i%2]
		send(systems[i%3], path, fmt.Sprint("crash ", i), fmt.Sprintf("1 %s %x", crashPart, 0x100000+i))
		time.Sleep(100 * time.Millisecond)
	}
	require.LessOrEqual(t, runs.Load(), int32(5), "targets that crashed")
	served := 0
	for i := range 40 {
		if send(systems[i%3], "/resumed/", fmt.Sprint("later ", i), soundParts(i)) == http.StatusOK {
			served++
		}
	}
	end()
	require.GreaterOrEqual(t, served, 36, "sound requests that were served")

	crashed := runs.Load()
	restarted := start(newSuspects())
	restarted.suspects.Restore(context.Background())
	for i := range 4 {
		require.Equal(t, http.StatusServiceUnavailable, send(restarted, "/once/", fmt.Sprint("again ", i), "1 "+crashPart+" 7"))
	}
	require.Equal(t, crashed, runs.Load(), "targets that crashed after all hosts started again")
}
