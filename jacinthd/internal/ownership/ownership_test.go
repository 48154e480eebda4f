package ownership_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/ownership"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/store"
)

// memoryStore implements ownership.Store in memory. Its stale reads are ordinary reads.
type memoryStore struct{ *memory.Store }

func (s memoryStore) Era() uint64 { return 0 }

func (s memoryStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.Get(ctx, key)
}

func (s memoryStore) ListAndWatch(ctx context.Context, prefix string, change func(store.Event)) {
	for ctx.Err() == nil {
		page, err := s.List(ctx, prefix, "")
		if err != nil {
			continue
		}
		for _, object := range page.Objects {
			change(store.Put{Object: object, Revision: page.Revision})
		}
		// Watch returns an error if it is interrupted; then all objects are listed again.
		_ = s.Watch(ctx, prefix, page.Revision, change)
	}
}

// silentCodec is a RunnerCodec for runners that never answer.
type silentCodec struct{}

func (silentCodec) OrderRequest(call.Order) (string, string, http.Header, []byte, error) {
	return http.MethodPost, "/", http.Header{}, nil, nil
}
func (silentCodec) ParseReply(int) call.Reply { return call.Unanswered }
func (silentCodec) IsReply(http.Header) bool  { return true }
func (silentCodec) ParseNotice(int, http.Header) notice.Notice {
	return notice.Notice{}
}
func (silentCodec) ReportRequest(string) (string, string, http.Header) {
	return http.MethodGet, "/", http.Header{}
}
func (silentCodec) ParseReport([]byte) (call.Report, error) { return call.Report{}, nil }

// testHosts are hosts that share a store.
type testHosts struct {
	t     *testing.T
	store memoryStore
	mu    sync.Mutex
	owned map[string]int // number of owned runners by host
}

const serviceName = "draft"

// start starts a host that knows a number of runners. The returned function stops it
// abruptly.
func (hosts *testHosts) start(name string, runners int) (*ownership.Controller, *dispatch.Dispatcher, func()) {
	dispatcher := &dispatch.Dispatcher{Holder: name, Zone: "z", Regions: map[string]string{"z": "r"}}
	engine := &catalog.Engine{Slots: 2, LoadRate: 1}
	dispatcher.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: serviceName, Engine: engine}}, catalog.Limits{})})
	var all []catalog.Target
	for i := range runners {
		all = append(all, catalog.Target{Name: fmt.Sprint("runner-", i), Service: serviceName, Zone: "z"})
	}
	dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 7, Targets: all})
	pool := &outbound.Pool{Dial: outbound.Dialer(netip.Addr{}).DialContext}
	c := &ownership.Controller{
		Self:       host.Identity{Name: name, Incarnation: name + time.Now().String(), Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:1")},
		Store:      hosts.store,
		Dispatcher: dispatcher,
		Client:     &ownership.RunnerClient{Dispatcher: dispatcher, Codec: silentCodec{}, Pool: pool, Log: zap.NewNop(), OnReply: func(string) {}, Valid: func() bool { return false }},
		Log:        zap.NewNop(), Fenced: true, OrderGap: time.Second,
		OnMembers: func([]host.Identity) {},
		OnOwned: func(n int) {
			hosts.mu.Lock()
			defer hosts.mu.Unlock()
			hosts.owned[name] = n
		},
		LeaseTiming: lease.Timing{Duration: 2 * time.Second, RenewInterval: 500 * time.Millisecond, ClockMargin: 100 * time.Millisecond},
	}
	c.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	hosts.t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, dispatcher, cancel
}

// waitForOwned waits until the hosts own the given numbers of runners.
func (hosts *testHosts) waitForOwned(want map[string]int) {
	require.Eventually(hosts.t, func() bool {
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		return maps.Equal(want, hosts.owned)
	}, 20*time.Second, 10*time.Millisecond, "wanted %v", want)
}

// TestOwners checks that the hosts share the runners, and that the runners of a host
// that stopped as planned and of one that stopped abruptly go to the other hosts.
func TestOwners(t *testing.T) {
	hosts := &testHosts{t: t, store: memoryStore{&memory.Store{}}, owned: map[string]int{}}
	first, _, _ := hosts.start("host-0", 6)
	hosts.waitForOwned(map[string]int{"host-0": 6})
	_, _, _ = hosts.start("host-1", 6)
	_, _, kill := hosts.start("host-2", 6)
	hosts.waitForOwned(map[string]int{"host-0": 2, "host-1": 2, "host-2": 2})

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first.Leave(ctx)
	require.NoError(t, ctx.Err())
	hosts.waitForOwned(map[string]int{"host-0": 0, "host-1": 3, "host-2": 3})

	kill()
	hosts.waitForOwned(map[string]int{"host-0": 0, "host-1": 6, "host-2": 3})
}

// TestNoOrderWithoutLease checks that a host that can't renew its lease may not send
// orders, and that it may again after the next renewal.
func TestNoOrderWithoutLease(t *testing.T) {
	hosts := &testHosts{t: t, store: memoryStore{&memory.Store{}}, owned: map[string]int{}}
	c, dispatcher, _ := hosts.start("host-0", 1)
	hosts.waitForOwned(map[string]int{"host-0": 1})
	require.True(t, c.Valid())
	hosts.store.SetFaults(memory.Faults{Outage: true})
	require.Eventually(t, func() bool { return !c.Valid() }, 10*time.Second, 10*time.Millisecond)
	require.NotEmpty(t, dispatcher.SlotUsage(time.Now()), "the state of the runners is kept")
	hosts.store.SetFaults(memory.Faults{})
	require.Eventually(t, c.Valid, 10*time.Second, 10*time.Millisecond)
}
