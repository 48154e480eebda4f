package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/internal/peers"
	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
)

// A testHost is a host with a link to the others.
type testHost struct {
	identity   host.Identity
	peers      *peers.Group
	dispatcher *dispatch.Dispatcher
	copies     *mirror.Set
	copy       *mirror.Copy
	stop       context.CancelFunc
	stopping   atomic.Bool

	mu      sync.Mutex
	objects map[string]string // bodies of the copy's objects by name
}

// object returns the body of an object in the host's copy, empty if there is none.
func (h *testHost) object(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.objects[name]
}

const objectKind = "objects"

// startHosts starts n hosts of one region that know each other.
func startHosts(t testing.TB, n int) []*testHost {
	return startHostsWith(t, n, func(int, *testHost) {})
}

// startHostsWith is startHosts with a change of each host before it serves others.
func startHostsWith(t testing.TB, n int, adjust func(i int, h *testHost)) []*testHost {
	var all []*testHost
	var identities []host.Identity
	for i := range n {
		h := startHostWith(t, fmt.Sprint("host-", i), func(h *testHost) { adjust(i, h) })
		all = append(all, h)
		identities = append(identities, h.identity)
	}
	for _, h := range all {
		h.peers.SetMembers(identities)
	}
	return all
}

// startHost starts a host that knows one runner and no other host yet.
func startHost(t testing.TB, name string) *testHost {
	return startHostWith(t, name, func(*testHost) {})
}

// startHostWith is startHost with a change of the host before it serves others.
func startHostWith(t testing.TB, name string, adjust func(*testHost)) *testHost {
	identity, err := peer.Ephemeral(name)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	h := &testHost{objects: map[string]string{}, copies: new(mirror.Set)}
	h.dispatcher = &dispatch.Dispatcher{Holder: name, Zone: "z", Regions: map[string]string{"z": "r"}}
	engine := &catalog.Engine{Slots: 8, PrefixCacheTokens: 1000}
	h.dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: "s", Engine: engine}}, catalog.Limits{})})
	resident := catalog.ResidentModel{Version: 1, Adapters: map[string]int{"a": 1}}
	h.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 1, Targets: []catalog.Target{{
		Name: "runner", Service: "s", Zone: "z", Slots: 8, Models: map[string]catalog.ResidentModel{"base": resident},
	}}})
	h.copy = h.copies.Open(objectKind, func(p mirror.Page) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, o := range p.Objects {
			h.objects[o.Name] = string(o.Body)
		}
	})
	h.peers = &peers.Group{
		Self: name, Zone: "z", Regions: map[string]string{"z": "r"}, Dispatcher: h.dispatcher, Copies: h.copies, Log: zap.NewNop(),
		Suspects: newSuspects(), Wake: func() {}, OnNewerConfig: func() {}, Link: &peer.Link{Identity: identity, Conn: socket},
	}
	suspects := h.peers.Suspects
	reach := &contact.Reach{Pool: suspects.Pool, Dispatcher: h.dispatcher, Suspects: suspects, Metrics: suspects.Metrics, Log: zap.NewNop()}
	h.peers.Proxy = &proxy.Server{Headers: testHeaders{}, Reach: reach, Stopping: h.stopping.Load}
	h.identity = host.Identity{Name: name, Zone: "z", Peer: netip.MustParseAddrPort(socket.LocalAddr().String())}
	adjust(h)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	var loops sync.WaitGroup
	loops.Add(2)
	go func() {
		defer loops.Done()
		if err := h.peers.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	go func() {
		defer loops.Done()
		h.peers.SendDigests(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		loops.Wait()
		_ = socket.Close()
	})
	return h
}

// running returns the number of requests in progress on the runner, as the host
// sees it.
func (h *testHost) running(t *testing.T) int {
	attempt := h.reserve(t)
	defer attempt.Report(time.Now(), dispatch.Canceled{})
	return attempt.Running
}

// reserve assigns a request to the runner and returns its attempt.
func (h *testHost) reserve(t *testing.T) *dispatch.Attempt {
	now := time.Now()
	choice := h.dispatcher.Pick(now, dispatch.Request{
		Call: call.Call{ID: "x", Model: "base", Adapter: "a", InputTokens: 10}, Service: "s", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute),
	})
	require.IsType(t, dispatch.Send{}, choice)
	return choice.(dispatch.Send).Attempt
}

// TestRelays checks that each of many hosts receives through the relays the requests
// in progress on all others, and the objects that the two readers read, also after a
// relay has stopped.
func TestRelays(t *testing.T) {
	all := startHosts(t, 20)
	for _, h := range all {
		h.reserve(t)
	}
	sees := func(h *testHost, n int) func() bool {
		return func() bool { return h.running(t) == n }
	}
	for _, h := range all {
		require.Eventually(t, sees(h, 20), waitTimeout, 20*time.Millisecond)
	}
	// Every host applies a first list; after that only the readers see changes.
	for _, h := range all {
		h.copy.Update(mirror.Page{Revision: 1, Full: true}, 0, time.Now())
	}
	var readers []*testHost
	for _, h := range all {
		if info := h.peers.ReaderInfo(); !info.ServedByOther {
			readers = append(readers, h)
			require.True(t, info.ServesOthers)
			require.Equal(t, 2, info.Readers)
		}
	}
	require.Len(t, readers, 2)
	change := func(revision uint64, name string) {
		page := mirror.Page{Revision: revision, Objects: []mirror.Object{{Name: name, Body: []byte(name)}}}
		for _, h := range readers {
			require.True(t, h.copy.Update(page, 1, time.Now()))
		}
		for _, h := range all {
			if h.stop != nil {
				require.Eventually(t, func() bool { return h.object(name) == name }, waitTimeout, 20*time.Millisecond)
			}
		}
	}
	change(2, "one")
	readers[0].stop()
	readers[0].stop = nil
	readers = readers[1:]
	change(3, "two")
	for _, h := range all {
		if h.stop != nil {
			require.Eventually(t, sees(h, 19), waitTimeout, 20*time.Millisecond, "the requests of the stopped host are dropped")
		}
	}
}
