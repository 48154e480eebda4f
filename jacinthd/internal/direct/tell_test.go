package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/direct"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
)

// A member is a host that others can reach.
type member struct {
	identity host.Identity
	peers    *direct.Peers
	board    *dispatch.Dispatcher
	copies   *mirror.Set
	copy     *mirror.Copy
	stop     context.CancelFunc

	mu   sync.Mutex
	seen map[string]string // objects of the copy
}

func (m *member) has(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen[name]
}

const kind = "things"

// members starts n hosts of one region that know each other.
func members(t *testing.T, n int) []*member {
	var all []*member
	var identities []host.Identity
	for i := range n {
		m := newMember(t, fmt.Sprint("host-", i))
		all = append(all, m)
		identities = append(identities, m.identity)
	}
	for _, m := range all {
		m.peers.SetMembers(identities)
	}
	return all
}

func newMember(t *testing.T, name string) *member {
	identity, err := peer.Ephemeral(name)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	m := &member{seen: map[string]string{}, copies: new(mirror.Set)}
	m.board = &dispatch.Dispatcher{Holder: name, Zone: "z", Regions: map[string]string{"z": "r"}}
	engine := &catalog.Engine{Slots: 8, PrefixCacheTokens: 1000}
	m.board.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: "s", Engine: engine}}, catalog.Limits{})})
	held := catalog.ResidentModel{Version: 1, Adapters: map[string]int{"a": 1}}
	m.board.Apply(time.Now(), catalog.TargetsListed{Revision: 1, Targets: []catalog.Target{{
		Name: "runner", Service: "s", Zone: "z", Slots: 8, Models: map[string]catalog.ResidentModel{"base": held},
	}}})
	m.copy = m.copies.Open(kind, func(p mirror.Page) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, o := range p.Objects {
			m.seen[o.Name] = string(o.Body)
		}
	})
	m.peers = &direct.Peers{
		Self: name, Zone: "z", Regions: map[string]string{"z": "r"}, Board: m.board, Copies: m.copies, Log: zap.NewNop(),
		Wake: func() {}, OnNewerConfig: func() {}, Link: &peer.Link{Identity: identity, Conn: socket},
	}
	m.identity = host.Identity{Name: name, Zone: "z", Peer: netip.MustParseAddrPort(socket.LocalAddr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	var tasks sync.WaitGroup
	tasks.Add(2)
	go func() {
		defer tasks.Done()
		if err := m.peers.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	go func() {
		defer tasks.Done()
		m.peers.SendDigests(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		_ = socket.Close()
	})
	return m
}

// running returns the requests that a host thinks to be on the runner.
func (m *member) running(t *testing.T) int {
	k := m.ticket(t)
	defer k.Report(time.Now(), dispatch.Canceled{})
	return k.Running
}

func (m *member) ticket(t *testing.T) *dispatch.Attempt {
	now := time.Now()
	choice := m.board.Pick(now, dispatch.Request{
		Call: call.Call{ID: "x", Model: "base", Adapter: "a", InputTokens: 10}, Service: "s", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute),
	})
	require.IsType(t, dispatch.Send{}, choice)
	return choice.(dispatch.Send).Attempt
}

// TestRelays: among many hosts each learns of the requests of all others, and
// what two of them read, over the relays; also where a relay ends.
func TestRelays(t *testing.T) {
	all := members(t, 20)
	for _, m := range all {
		m.ticket(t)
	}
	know := func(m *member, n int) func() bool {
		return func() bool { return m.running(t) == n }
	}
	for _, m := range all {
		require.Eventually(t, know(m, 20), patience, 20*time.Millisecond)
	}
	// Each host lists what it can; only the readers go on to see changes.
	for _, m := range all {
		m.copy.Update(mirror.Page{Revision: 1, Full: true}, 0, time.Now())
	}
	var readers []*member
	for _, m := range all {
		if pace := m.peers.Pace(); !pace.ServedByOther {
			readers = append(readers, m)
			require.True(t, pace.ServesOthers)
			require.Equal(t, 2, pace.Readers)
		}
	}
	require.Len(t, readers, 2)
	change := func(revision uint64, name string) {
		page := mirror.Page{Revision: revision, Objects: []mirror.Object{{Name: name, Body: []byte(name)}}}
		for _, m := range readers {
			require.True(t, m.copy.Update(page, 1, time.Now()))
		}
		for _, m := range all {
			if m.stop != nil {
				require.Eventually(t, func() bool { return m.has(name) == name }, patience, 20*time.Millisecond)
			}
		}
	}
	change(2, "one")
	readers[0].stop()
	readers[0].stop = nil
	readers = readers[1:]
	change(3, "two")
	for _, m := range all {
		if m.stop != nil {
			require.Eventually(t, know(m, 19), patience, 20*time.Millisecond, "the one that ended is forgotten")
		}
	}
}
