package direct_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/suspect"
)

// A cut is what happens to a host's connections to targets while it is partitioned from them.
type cut struct {
	active atomic.Bool
	dial   func(ctx context.Context) error // result of a new connection
}

// apply makes a host's new connections to targets fail while the cut is active.
func (c *cut) apply(h *testHost) {
	pool := h.peers.Suspects.Pool
	dial := pool.Dial
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.active.Load() {
			return nil, c.dial(ctx)
		}
		return dial(ctx, network, address)
	}
}

func hangs(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(600 * time.Millisecond):
	}
	return context.DeadlineExceeded
}

// event is the answer of the targets.
const event = "id: 1\ndata: done\n\n"

func isRefused(context.Context) error { return syscall.ECONNREFUSED }

// TestPartitionedHostServesThroughOthers guards against a host that serves nothing while it
// can't reach any target, though other hosts reach them.
func TestPartitionedHostServesThroughOthers(t *testing.T) {
	for name, dial := range map[string]func(context.Context) error{"hangs": hangs, "refused": isRefused} {
		t.Run(name, func(t *testing.T) {
			hosts := startHosts(t, 3)
			c := &cut{dial: dial}
			c.apply(hosts[0])
			s := newLinkedSystem(t, hosts, 3, func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Signed", "1")
				_, _ = w.Write([]byte(event))
			})
			c.active.Store(true)
			for range 3 { // the first ones may fail while the host finds out
				_, _, _ = s.send(t, http.MethodGet, "/read/x", "")
			}
			for range 10 {
				for _, path := range []string{"/read/x", "/once/x", "/stream/x"} {
					response, body, err := s.send(t, http.MethodGet, path, "")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Equal(t, event, body)
				}
			}
			require.LessOrEqual(t, s.runs.Load(), s.sent.Load(), "each runs once")
		})
	}
}

// TestPartitionIsNoCrash guards against requests that are taken for ones that crash targets,
// and refused on all hosts, since a host lost its connections to targets with them in progress
// and can't open new ones.
func TestPartitionIsNoCrash(t *testing.T) {
	hosts := startHosts(t, 2)
	c := &cut{dial: isRefused}
	c.apply(hosts[0])
	var reached atomic.Int32
	s := newLinkedSystem(t, hosts, 4, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Last") == "" && reached.Add(1) <= 4 {
			c.active.Store(true)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Signed", "1")
		_, _ = w.Write([]byte(event))
	})
	s.suspects.Ready = s.dispatcher.ReadyAddresses
	for range 3 {
		_, _, _ = s.send(t, http.MethodPost, "/once/x", "same")
		c.active.Store(false)
	}
	require.Empty(t, s.suspects.List.News(time.Now()))
}

// TestCutHostRemembersWhoCrashedTargets guards against a request that crashes all targets of a
// service at once, and is forgotten since the host takes itself for partitioned from them (BUDGET).
func TestCutHostRemembersWhoCrashedTargets(t *testing.T) {
	s := newTestSystem(t, 0, nil)
	all, _ := crashingTargets(t, 3)
	s.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: all})
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ended.Close())
	s.suspects.Ready = func(time.Time) []netip.AddrPort {
		return []netip.AddrPort{netip.MustParseAddrPort(ended.Addr().String())}
	}
	for range 3 {
		_, _, err := s.send(t, http.MethodPost, "/once/", crashBody)
		require.NoError(t, err)
	}
	time.Sleep(200 * time.Millisecond)
	for _, target := range all {
		s.reach.NotConnected(target.Address, syscall.ECONNREFUSED)
	}
	require.True(t, s.reach.Links.Cut())
	for _, target := range all {
		s.suspects.TargetEnded(target)
	}
	require.True(t, s.suspects.List.IsRefused(suspect.ContentTrait("one.example /once/", []byte(crashBody))))
}
