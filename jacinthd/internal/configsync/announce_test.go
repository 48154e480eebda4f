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

func TestSuccessorsOf(t *testing.T) {
	cases := []struct {
		self               string
		others, successors []string
	}{
		{"a", nil, nil},
		{"a", []string{"b"}, []string{"b"}},
		{"b", []string{"d", "a", "c"}, []string{"c", "d"}},
		{"c", []string{"d", "a", "b"}, []string{"d", "a"}},
		{"d", []string{"a", "b", "c"}, []string{"a", "b"}},
	}
	for _, c := range cases {
		require.ElementsMatch(t, c.successors, configsync.SuccessorsOf(c.self, c.others), c.self)
	}
}

// A silentWatchStore is a store whose watches never deliver an event.
type silentWatchStore struct{ store.Store }

func (s silentWatchStore) Watch(ctx context.Context, _ string, _ uint64, _ func(store.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentWatch checks that announcements by peers keep hosts up to date whose
// watches have gone silent. No two such hosts are neighbors in the ring.
func TestSilentWatch(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		c.announce = true
		for i := range 9 {
			var hostStore store.Store = s
			if i%3 == 1 {
				hostStore = silentWatchStore{s}
			}
			defer c.start(fmt.Sprintf("entry-%d", i), hostStore)()
		}
		version := addPatches(t, s, 1)
		time.Sleep(time.Minute)
		c.requireVersion(version)
		for range 20 {
			version = addPatches(t, s, 1)
			time.Sleep(propagationLimit)
			c.requireVersion(version)
		}
	})
}

// A node is a follower with its own link on the loopback interface.
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
	addresses := map[string]netip.AddrPort{}
	n := &node{addr: netip.MustParseAddrPort(conn.LocalAddr().String())}
	n.follower = &configsync.Follower{Host: name, Store: s, Publish: func(*patch.Config) {},
		Peers: configsync.PeerLink{Link: link, Resolve: func(name string) (netip.AddrPort, bool) { addr, ok := addresses[name]; return addr, ok }},
	}
	for _, seed := range seeds {
		addresses[seed.follower.Host] = seed.addr
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

// TestStartFromSeed starts a host while the object API is down. It gets its
// configuration from a seed over the link: from patches alone, or from a snapshot
// in parts and the patches after it.
func TestStartFromSeed(t *testing.T) {
	folder := t.TempDir()
	authority, err := keys.Create(folder, time.Now())
	require.NoError(t, err)
	for _, name := range []string{"entry-1", "entry-2"} {
		require.NoError(t, authority.IssueHost(folder, name, nil, time.Now()))
	}
	for _, patches := range []int{3, 3*patch.SnapshotInterval + 7} {
		t.Run(fmt.Sprint(patches), func(t *testing.T) {
			var up, down memory.Store
			version := addPatches(t, &up, patches)
			down.SetFaults(memory.Faults{Outage: true})
			seed := newNode(t, folder, "entry-1", &up)
			require.Eventually(t, func() bool { return seed.follower.Version() == version }, 20*time.Second, 10*time.Millisecond)
			started := newNode(t, folder, "entry-2", &down, seed)
			require.Eventually(t, func() bool { return started.follower.Version() == version }, 20*time.Second, 10*time.Millisecond)
		})
	}
}
