package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/origins"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/origin"
)

// startEmptyHosts starts hosts that know no target yet.
func startEmptyHosts(t *testing.T, n int) []*testHost {
	return startHostsWith(t, n, func(_ int, h *testHost) {
		h.dispatcher = &dispatch.Dispatcher{Holder: h.identity.Name, Zone: "z", Regions: map[string]string{"z": "r"}}
		h.peers.Dispatcher = h.dispatcher
	})
}

// keepBuilds lets all hosts keep the builds, and origins of streams, in a store until the test ends,
// or stop is called.
func keepBuilds(t *testing.T, s *memory.Store, hosts []*testHost) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, h := range hosts {
		o := &origins.Streams{Self: h.identity.Name, Store: s, Dispatcher: h.dispatcher, Peers: h.peers, Log: zap.NewNop()}
		r := &origins.Builds{Store: s, Dispatcher: h.dispatcher, Rank: h.peers.Rank, OnSeveral: o.Restore, Log: zap.NewNop()}
		go r.Run(ctx)
		go o.Run(ctx)
	}
	return cancel
}

func storedBuilds(t *testing.T, s *memory.Store) origin.Builds {
	o, err := s.Get(t.Context(), origin.BuildsKey)
	if err != nil {
		return nil
	}
	builds, err := origin.DecodeBuilds(o.Value)
	require.NoError(t, err)
	return builds
}

// TestStreamAfterTheEndOfAllHosts guards against streams that are joined from two builds since all
// hosts ended and came back, and none remembers where a stream began (ORDER): two builds serve, or
// the last target of one leaves meanwhile. A stream whose beginning the caller names goes on at once
// where its build still serves, and any where one build alone has served (LOST).
func TestStreamAfterTheEndOfAllHosts(t *testing.T) {
	targets := startBuilds(t, false, "one", "one", "two")
	cases := []struct {
		name          string
		before, after []catalog.Target
		one           bool // only one build has served
	}{
		{"two builds", targets, targets, false},
		{"the first build has left", targets, targets[2:], false},
		{"the first build leaves as all hosts are away", targets[:2], targets[2:], false},
		{"the second build has left", targets, targets[:2], false},
		{"one build", targets[:2], targets[:2], true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var s memory.Store
			ids := make(map[string]string)
			generation := func(listed []catalog.Target, serve func(hosts []*testHost, systems []*testSystem)) {
				hosts := startEmptyHosts(t, 3)
				var systems []*testSystem
				for _, h := range hosts {
					system := newTestSystemOn(t, h)
					system.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: listed})
					systems = append(systems, system)
				}
				stop := keepBuilds(t, &s, hosts)
				serve(hosts, systems)
				stop()
				for _, h := range hosts {
					h.stop()
				}
			}
			generation(c.before, func(hosts []*testHost, systems []*testSystem) {
				want := hosts[0].dispatcher.RecentBuilds(time.Now())
				require.Eventually(t, func() bool { return storedBuilds(t, &s).Equal(want) }, waitTimeout, 20*time.Millisecond)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				for i := range 12 {
					id, build := systems[i%3].begin(ctx, t, "/resumed/")
					ids[id] = build
				}
				if !want.Several() {
					return
				}
				require.Eventually(t, func() bool {
					page, err := s.List(t.Context(), origin.BatchPrefix, "")
					stored := make(map[origin.Stream]bool)
					for _, o := range page.Objects {
						b, err := origin.DecodeBatch(o.Value)
						require.NoError(t, err)
						for _, began := range b.Origins {
							stored[began.Stream] = true
						}
					}
					return err == nil && len(stored) == len(ids)
				}, waitTimeout, 20*time.Millisecond)
			})
			generation(c.after, func(_ []*testHost, systems []*testSystem) {
				serving := make(map[string]bool)
				for _, target := range c.after {
					serving[target.Build] = true
				}
				wantStatus := func(id, build string) int {
					if c.one || id != "" && len(c.before) == len(targets) && serving[build] {
						return http.StatusOK
					}
					return http.StatusServiceUnavailable
				}
				time.Sleep(500 * time.Millisecond) // reading the store
				i := 0
				for id, build := range ids {
					for _, resumes := range []string{"", id} {
						status, text := systems[i%3].takeUp(t, "/resumed/", resumes)
						i++
						require.Equal(t, wantStatus(resumes, build), status, "of %s, named %v", build, resumes != "")
						if status == http.StatusOK {
							require.Equal(t, "id: 2\ndata: "+build+"\n\n", text)
						}
					}
				}
			})
		})
	}
}

// TestBuildsAreWrittenOnce guards against hosts that all write a change of the builds: each call to
// the store is priced. Where the first of those that write is silent, the next one does.
func TestBuildsAreWrittenOnce(t *testing.T) {
	for _, silent := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(silent, " silent"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s memory.Store
				var all []*dispatch.Dispatcher
				list := func(revision uint64, builds ...string) {
					var targets []catalog.Target
					for i, b := range builds {
						targets = append(targets, catalog.Target{Name: fmt.Sprint("t", i), Service: "s", Zone: "z", Slots: 8, Build: b})
					}
					for _, d := range all {
						d.Apply(time.Now(), catalog.TargetsListed{Revision: revision, Targets: targets})
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for rank := range 40 {
					d := &dispatch.Dispatcher{Zone: "z", Regions: map[string]string{"z": "r"}}
					all = append(all, d)
					r := &origins.Builds{Store: &s, Dispatcher: d, Rank: func() (int, bool) { return rank, rank >= silent }, Log: zap.NewNop()}
					go r.Run(ctx)
				}
				for i, builds := range [][]string{{"one"}, {"one", "two"}} {
					list(uint64(i+1), builds...)
					time.Sleep(10 * time.Second)
					require.Equal(t, builds, storedBuilds(t, &s)["s"])
					require.Equal(t, i+1, s.Counts().Writes)
				}
			})
		})
	}
}

// TestBuildsOfOtherHostsAreKept guards against a host that overwrites builds that it hasn't seen
// itself.
func TestBuildsOfOtherHostsAreKept(t *testing.T) {
	var s memory.Store
	_, err := s.Create(t.Context(), origin.BuildsKey, origin.Builds{"s": {"gone"}, "other": {"x"}}.Encode())
	require.NoError(t, err)
	hosts := startEmptyHosts(t, 1)
	hosts[0].dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: []catalog.Target{{Name: "t", Service: "s", Zone: "z", Slots: 8, Build: "one"}}})
	keepBuilds(t, &s, hosts)
	want := origin.Builds{"s": {"gone", "one"}, "other": {"x"}}
	require.Eventually(t, func() bool { return storedBuilds(t, &s).Equal(want) }, waitTimeout, 50*time.Millisecond)
	_, _, only := hosts[0].dispatcher.OnlyBuild(time.Now(), "s")
	require.False(t, only)
}
