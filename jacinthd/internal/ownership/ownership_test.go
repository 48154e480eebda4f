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
	"jacinthstage/stage/store"
)

// objects is a store in memory; a stale read is an ordinary one.
type objects struct{ *memory.Store }

func (o objects) GetStale(ctx context.Context, key string) (store.Object, error) {
	return o.Get(ctx, key)
}

func (o objects) ListAndWatch(ctx context.Context, prefix string, change func(store.Event)) {
	for ctx.Err() == nil {
		page, err := o.List(ctx, prefix, "")
		if err != nil {
			continue
		}
		for _, object := range page.Objects {
			change(store.Put{Object: object, Revision: page.Revision})
		}
		// It ends with an error where it breaks, and all is listed again.
		_ = o.Watch(ctx, prefix, page.Revision, change)
	}
}

// quiet translates calls that nobody answers.
type quiet struct{}

func (quiet) OrderRequest(call.Order) (string, string, http.Header, []byte, error) {
	return http.MethodPost, "/", http.Header{}, nil, nil
}
func (quiet) ParseReply(int) call.Reply { return call.Unanswered }
func (quiet) ReportRequest(string) (string, string, http.Header) {
	return http.MethodGet, "/", http.Header{}
}
func (quiet) ParseReport([]byte) (call.Report, error) { return call.Report{}, nil }

// A fleet is hosts that share a store.
type fleet struct {
	t     *testing.T
	store objects
	mu    sync.Mutex
	owned map[string]int // runners by host
}

const service = "draft"

// start starts a host that knows the runners and returns what ends it abruptly.
func (f *fleet) start(name string, runners int) (*ownership.Controller, *dispatch.Dispatcher, func()) {
	board := &dispatch.Dispatcher{Holder: name, Zone: "z", Regions: map[string]string{"z": "r"}}
	engine := &catalog.Engine{Slots: 2, LoadRate: 1}
	board.Apply(time.Now(), catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: service, Engine: engine}}, catalog.Limits{})})
	var all []catalog.Target
	for i := range runners {
		all = append(all, catalog.Target{Name: fmt.Sprint("runner-", i), Service: service, Zone: "z"})
	}
	board.Apply(time.Now(), catalog.TargetsListed{Revision: 7, Targets: all})
	pool := &outbound.Pool{Dial: outbound.Dialer().DialContext}
	k := &ownership.Controller{
		Self:   host.Identity{Name: name, Incarnation: name + time.Now().String(), Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:1")},
		Store:  f.store,
		Board:  board,
		Client: &ownership.RunnerClient{Board: board, Codec: quiet{}, Pool: pool, Log: zap.NewNop(), OnReply: func(string) {}, Valid: func() bool { return false }},
		Log:    zap.NewNop(), Fenced: true, OrderGap: time.Second,
		OnMembers: func([]host.Identity) {},
		OnOwned: func(n int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.owned[name] = n
		},
		Terms: lease.Timing{Duration: 2 * time.Second, RenewInterval: 500 * time.Millisecond, ClockMargin: 100 * time.Millisecond},
	}
	k.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return k, board, cancel
}

func (f *fleet) until(want map[string]int) {
	require.Eventually(f.t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return maps.Equal(want, f.owned)
	}, 20*time.Second, 10*time.Millisecond, "wanted %v", want)
}

// TestOwners: hosts share the runners; those of a host that stopped as planned,
// and of one that ended abruptly, go to the others.
func TestOwners(t *testing.T) {
	f := &fleet{t: t, store: objects{&memory.Store{}}, owned: map[string]int{}}
	first, _, _ := f.start("host-0", 6)
	f.until(map[string]int{"host-0": 6})
	_, _, _ = f.start("host-1", 6)
	_, _, kill := f.start("host-2", 6)
	f.until(map[string]int{"host-0": 2, "host-1": 2, "host-2": 2})

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first.Leave(ctx)
	require.NoError(t, ctx.Err())
	f.until(map[string]int{"host-0": 0, "host-1": 3, "host-2": 3})

	kill()
	f.until(map[string]int{"host-0": 0, "host-1": 6, "host-2": 3})
}

// TestNoOrderWithoutLease: a host that can't renew its lease sends no order.
func TestNoOrderWithoutLease(t *testing.T) {
	f := &fleet{t: t, store: objects{&memory.Store{}}, owned: map[string]int{}}
	k, board, _ := f.start("host-0", 1)
	f.until(map[string]int{"host-0": 1})
	require.True(t, k.Valid())
	f.store.SetFaults(memory.Faults{Outage: true})
	require.Eventually(t, func() bool { return !k.Valid() }, 10*time.Second, 10*time.Millisecond)
	require.NotEmpty(t, board.SlotUsage(time.Now()), "it keeps what it knows of its runners")
	f.store.SetFaults(memory.Faults{})
	require.Eventually(t, k.Valid, 10*time.Second, 10*time.Millisecond)
}
