package configsync_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/configsync"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/keys"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

func TestRing(t *testing.T) {
	cases := []struct {
		self         string
		others, ring []string
	}{
		{"a", nil, nil},
		{"a", []string{"b"}, []string{"b"}},
		{"b", []string{"d", "a", "c"}, []string{"c", "d"}},
		{"c", []string{"d", "a", "b"}, []string{"d", "a"}},
		{"d", []string{"a", "b", "c"}, []string{"a", "b"}},
	}
	for _, c := range cases {
		require.ElementsMatch(t, c.ring, configsync.SuccessorsOf(c.self, c.others), c.self)
	}
}

// A silent store answers calls, but its watches get no event.
type silent struct{ store.Store }

func (s silent) Watch(ctx context.Context, _ string, _ uint64, _ func(store.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentWatch has hosts whose watches went silent, no two of them behind
// each other in the ring.
func TestSilentWatch(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		f.tell = true
		for i := range 9 {
			var own store.Store = s
			if i%3 == 1 {
				own = silent{s}
			}
			defer f.start(fmt.Sprintf("entry-%d", i), own)()
		}
		version := propose(t, s, 1)
		time.Sleep(time.Minute)
		f.at(version)
		for range 20 {
			version = propose(t, s, 1)
			time.Sleep(everywhere)
			f.at(version)
		}
	})
}

// A node is a follower behind a link of its own on loopback.
type node struct {
	follower *configsync.Follower
	addr     netip.AddrPort
}

func newNode(t *testing.T, folder, name string, s store.Store, seeds ...*node) *node {
	identity, err := peer.Credentials{
		Authority:   filepath.Join(folder, "authority.pem"),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
	}.Load()
	require.NoError(t, err)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	link := &peer.Link{Identity: identity, Conn: conn}
	known := map[string]netip.AddrPort{}
	n := &node{addr: netip.MustParseAddrPort(conn.LocalAddr().String())}
	n.follower = &configsync.Follower{Host: name, Store: s, Publish: func(*patch.Config) {},
		Peers: configsync.PeerLink{Link: link, Resolve: func(name string) (netip.AddrPort, bool) { addr, ok := known[name]; return addr, ok }},
	}
	for _, seed := range seeds {
		known[seed.follower.Host] = seed.addr
		n.follower.Seeds = append(n.follower.Seeds, seed.follower.Host)
	}
	n.follower.Successors = func() []string { return n.follower.Seeds }
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = n.follower.Run(ctx) })
	running.Go(func() {
		_ = link.Serve(ctx, func(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
			_ = stream.Send(n.follower.HandleMessage(ctx, name, first))
		})
	})
	t.Cleanup(func() { cancel(); _ = link.Close(); running.Wait() })
	return n
}

// TestNewHostFromSeed starts a host with the object API down, over the link:
// from a snapshot in parts and the patches behind it, or from patches alone.
func TestNewHostFromSeed(t *testing.T) {
	folder := t.TempDir()
	authority, err := keys.Create(folder, time.Now())
	require.NoError(t, err)
	for _, name := range []string{"entry-1", "entry-2"} {
		require.NoError(t, authority.IssueHost(folder, name, nil, time.Now()))
	}
	for _, patches := range []int{3, 3*patch.SnapshotInterval + 7} {
		t.Run(fmt.Sprint(patches), func(t *testing.T) {
			var up, down memory.Store
			version := propose(t, &up, patches)
			down.SetFaults(memory.Faults{Outage: true})
			seed := newNode(t, folder, "entry-1", &up)
			require.Eventually(t, func() bool { return seed.follower.Version() == version }, 20*time.Second, 10*time.Millisecond)
			fresh := newNode(t, folder, "entry-2", &down, seed)
			require.Eventually(t, func() bool { return fresh.follower.Version() == version }, 20*time.Second, 10*time.Millisecond)
		})
	}
}
