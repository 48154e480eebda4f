package control_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/verdict"
)

const (
	loadTime    = 250 * time.Millisecond
	engineDelay = time.Millisecond
)

// A fakeEngine is a model engine in memory, with adapter slots, fencing and running
// requests.
type fakeEngine struct {
	mu           sync.Mutex
	fenced       bool
	slots        int
	down         bool
	incarnation  int
	highest      uint64
	resident     map[adapter.Ref]map[string]chan struct{} // requests by ID; a channel is closed to end its request
	loading      map[adapter.Ref]bool
	failLoads    int
	loads        int
	evictedInUse int            // unloads of an adapter with running requests
	runs         map[string]int // how often each request was started
	lastStart    time.Time      // when a request was last started
}

func newFakeEngine(fenced bool) *fakeEngine {
	return &fakeEngine{fenced: fenced, slots: 4, incarnation: 1, runs: map[string]int{},
		resident: map[adapter.Ref]map[string]chan struct{}{}, loading: map[adapter.Ref]bool{}}
}

// restart ends all requests and starts a new incarnation with empty slots.
func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, requests := range f.resident {
		for _, end := range requests {
			close(end)
		}
	}
	f.resident, f.loading = map[adapter.Ref]map[string]chan struct{}{}, map[adapter.Ref]bool{}
	f.incarnation++
	f.highest = 0
}

func (f *fakeEngine) incarnationName() string { return string(rune('a' + f.incarnation)) }

// accept checks an order's fencing number.
func (f *fakeEngine) accept(number uint64) error {
	if f.fenced && number <= f.highest {
		return &engine.Refusal{Reason: engine.Fenced, FencingNumber: f.highest}
	}
	f.highest = max(f.highest, number)
	return nil
}

func (f *fakeEngine) order(order engine.Order, number uint64) (engine.Receipt, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.Receipt{}, verdict.Refuse(verdict.Unavailable, "down")
	}
	if err := f.accept(number); err != nil {
		return engine.Receipt{}, err
	}
	var err error
	switch o := order.(type) {
	case engine.Load:
		err = f.load(o.Ref)
	case engine.Unload:
		err = f.unload(o.Ref)
	case engine.Fence:
	}
	return engine.Receipt{FencingNumber: f.highest, Incarnation: f.incarnationName()}, err
}

// load is called with the lock held, and releases it while the weights load.
func (f *fakeEngine) load(ref adapter.Ref) error {
	if len(f.resident)+len(f.loading) >= f.slots {
		return &engine.Refusal{Reason: engine.Full}
	}
	f.loading[ref] = true
	f.loads++
	incarnation := f.incarnation
	f.mu.Unlock()
	time.Sleep(loadTime)
	f.mu.Lock()
	if incarnation != f.incarnation {
		return verdict.Refuse(verdict.Interrupted, "restarted")
	}
	delete(f.loading, ref)
	if f.failLoads > 0 {
		f.failLoads--
		return &engine.Refusal{Reason: engine.LoadFailed}
	}
	f.resident[ref] = map[string]chan struct{}{}
	return nil
}

func (f *fakeEngine) unload(ref adapter.Ref) error {
	requests, ok := f.resident[ref]
	if !ok {
		return &engine.Refusal{Reason: engine.Absent}
	}
	if len(requests) > 0 {
		f.evictedInUse++
	}
	delete(f.resident, ref)
	return nil
}

func (f *fakeEngine) report() (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.Report{}, verdict.Refuse(verdict.Unavailable, "down")
	}
	r := engine.Report{Incarnation: f.incarnationName(), FencingNumber: f.highest, MadeAt: time.Now()}
	for ref, requests := range f.resident {
		slot := engine.Slot{Adapter: ref, State: "resident"}
		for id := range requests {
			slot.Requests = append(slot.Requests, id)
		}
		slices.Sort(slot.Requests)
		r.Slots = append(r.Slots, slot)
	}
	for ref := range f.loading {
		r.Slots = append(r.Slots, engine.Slot{Adapter: ref, State: "loading"})
	}
	return r, nil
}

func (f *fakeEngine) cancel(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, requests := range f.resident {
		if end, ok := requests[id]; ok {
			close(end)
			delete(requests, id)
			return true
		}
	}
	return false
}

// begin starts a request. The channel is closed if the request is ended early.
func (f *fakeEngine) begin(ref adapter.Ref, id string) (<-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	requests, ok := f.resident[ref]
	if f.down || !ok {
		return nil, false
	}
	end := make(chan struct{})
	requests[id] = end
	f.runs[id]++
	f.lastStart = time.Now()
	return end, true
}

func (f *fakeEngine) finish(ref adapter.Ref, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.resident[ref], id)
}

// engines implements control.Engines with the fake engines, as one host sees them.
type engines struct {
	all  map[netip.AddrPort]*fakeEngine
	host *testHost
}

func (e engines) Order(ctx context.Context, addr netip.AddrPort, order engine.Order, number uint64, deadline time.Time) (engine.Receipt, error) {
	e.host.waitWhilePaused()
	time.Sleep(engineDelay)
	receipt, err := e.all[addr].order(order, number)
	e.host.waitWhilePaused()
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return engine.Receipt{}, &engine.CallError{Kind: engine.Stalled}
	}
	return receipt, err
}

func (e engines) Report(ctx context.Context, addr netip.AddrPort) (engine.Report, error) {
	e.host.waitWhilePaused()
	time.Sleep(engineDelay)
	if ctx.Err() != nil {
		return engine.Report{}, ctx.Err()
	}
	return e.all[addr].report()
}

func (e engines) Cancel(_ context.Context, addr netip.AddrPort, id string) (bool, error) {
	e.host.waitWhilePaused()
	return e.all[addr].cancel(id), nil
}
