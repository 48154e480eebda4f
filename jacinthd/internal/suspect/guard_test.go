package suspect_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/suspect"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/quarantine"
	"jacinthstage/stage/verdict"
)

// hosts returns guards that tell each other, and runs them until the test ends.
func hosts(t *testing.T, s *memory.Store, n int) []*suspect.Guard {
	var all []*suspect.Guard
	for i := range n {
		g := &suspect.Guard{Host: fmt.Sprintf("entry-%d/1", i), Store: s}
		g.NotifyPeers = func(request, crash string) {
			for _, other := range all {
				if other != g {
					other.RecordPeerCrash(request, crash)
				}
			}
		}
		all = append(all, g)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, g := range all {
		group.Go(func() { _ = g.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return all
}

var request = string(quarantine.NewFingerprint("carrier", []byte("body")))

func code(t *testing.T, err error) verdict.Code {
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, verdict.NotRun, e.Verdict)
	return e.Code
}

// TestSentAgainThroughOtherHosts sends a request that crashes its target
// through one host after the other, with each fault of the object API.
func TestSentAgainThroughOtherHosts(t *testing.T) {
	cases := []struct {
		name    string
		faults  memory.Faults
		crashes int
		last    verdict.Code
	}{
		{"sound", memory.Faults{}, 2, verdict.Quarantined},
		{"answers lost", memory.Faults{LoseAnswers: 3}, 2, verdict.Quarantined},
		{"writes dropped", memory.Faults{DropWrites: 2}, 2, verdict.Quarantined},
		{"slow", memory.Faults{Delay: time.Second}, 2, verdict.Quarantined},
		{"outage", memory.Faults{Outage: true}, 1, verdict.Unavailable},
		{"silent", memory.Faults{Silent: true}, 1, verdict.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s memory.Store
				all := hosts(t, &s, 4)
				time.Sleep(time.Second)
				s.SetFaults(c.faults)
				crashes := 0
				var err error
				for i := range 40 {
					g, id := all[i%len(all)], fmt.Sprint(i)
					if err = g.Enter(t.Context(), request, id, "runner"); err == nil {
						crashes++
						g.CrashedRun(request, id, "runner/"+id)
					}
					time.Sleep(3 * time.Second)
				}
				require.Equal(t, c.crashes, crashes)
				require.Equal(t, c.last, code(t, err))
			})
		})
	}
}

func TestNewHostLearnsFromObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		old := hosts(t, &s, 1)[0]
		old.Crashed(request, "a")
		old.Crashed(request, "a")
		require.False(t, old.Refused(request), "one crash counts once")
		old.Crashed(request, "b")
		time.Sleep(time.Minute)
		fresh := hosts(t, &s, 1)[0]
		time.Sleep(time.Second)
		require.True(t, fresh.Refused(request))
		// An operator deletes the object: all hosts forget the request.
		o, err := s.Get(t.Context(), quarantine.Fingerprint(request).Key())
		require.NoError(t, err)
		require.NoError(t, s.Delete(t.Context(), o.Key, o.Version))
		time.Sleep(5 * time.Minute)
		require.False(t, fresh.Refused(request))
		require.False(t, old.Refused(request))
	})
}

func TestServedIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		all := hosts(t, &s, 2)
		all[0].Crashed(request, "a")
		time.Sleep(time.Second)
		require.NoError(t, all[1].Enter(t.Context(), request, "1", "runner"))
		require.Equal(t, verdict.Busy, code(t, all[0].Enter(t.Context(), request, "2", "runner")))
		all[1].Leave(request, "1", true)
		time.Sleep(time.Second)
		require.NoError(t, all[0].Enter(t.Context(), request, "3", "runner"))
		require.NoError(t, all[0].Enter(t.Context(), request, "4", "runner"), "clean")
		page, err := s.List(t.Context(), quarantine.KeyPrefix, "")
		require.NoError(t, err)
		require.Empty(t, page.Objects)
	})
}

func TestEnterEndsByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		g := hosts(t, &s, 1)[0]
		g.Crashed(request, "a")
		time.Sleep(time.Second)
		s.SetFaults(memory.Faults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Equal(t, verdict.DeadlineExceeded, code(t, g.Enter(ctx, request, "1", "runner")))
		time.Sleep(3 * time.Second)
		require.NoError(t, g.Enter(t.Context(), request, "2", "runner"), "the claim was given back")
	})
}

func TestSuspectsShareNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		g := hosts(t, &s, 1)[0]
		other := string(quarantine.NewFingerprint("carrier", []byte("other")))
		g.Crashed(request, "a")
		g.Crashed(other, "a")
		time.Sleep(time.Second)
		require.NoError(t, g.Enter(t.Context(), request, "1", "runner"))
		require.Equal(t, verdict.Busy, code(t, g.Enter(t.Context(), other, "2", "runner")))
		require.NoError(t, g.Enter(t.Context(), other, "3", "another"))
		g.Leave(other, "3", false)
		g.Leave(request, "1", true)
		time.Sleep(time.Second)
		require.NoError(t, g.Enter(t.Context(), other, "4", "runner"))
	})
}
