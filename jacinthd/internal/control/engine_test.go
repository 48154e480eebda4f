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

// An fake is a model engine in memory: slots, fencing, and the requests that run.
type fake struct {
	mu          sync.Mutex
	fenced      bool
	slots       int
	down        bool
	incarnation int
	highest     uint64
	resident    map[adapter.Ref]map[string]chan struct{} // requests by ID; closed to end one
	loading     map[adapter.Ref]bool
	failLoads   int
	loads       int
	evicted     int            // unloads beneath a request
	ran         map[string]int // how often each request ran
	last        time.Time      // when a request last began
}

func newFake(fenced bool) *fake {
	return &fake{fenced: fenced, slots: 4, incarnation: 1, ran: map[string]int{},
		resident: map[adapter.Ref]map[string]chan struct{}{}, loading: map[adapter.Ref]bool{}}
}

// restart ends the process and begins another with empty slots.
func (f *fake) restart() {
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

func (f *fake) name() string { return string(rune('a' + f.incarnation)) }

// accept checks an order's number.
func (f *fake) accept(number uint64) error {
	if f.fenced && number <= f.highest {
		return &engine.Refusal{Reason: engine.Fenced, FencingNumber: f.highest}
	}
	f.highest = max(f.highest, number)
	return nil
}

func (f *fake) order(order engine.Order, number uint64) (engine.Receipt, error) {
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
	return engine.Receipt{FencingNumber: f.highest, Incarnation: f.name()}, err
}

// load holds the lock but while the weights arrive.
func (f *fake) load(ref adapter.Ref) error {
	if len(f.resident)+len(f.loading) >= f.slots {
		return &engine.Refusal{Reason: engine.Full}
	}
	f.loading[ref] = true
	f.loads++
	life := f.incarnation
	f.mu.Unlock()
	time.Sleep(loadTime)
	f.mu.Lock()
	if life != f.incarnation {
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

func (f *fake) unload(ref adapter.Ref) error {
	requests, ok := f.resident[ref]
	if !ok {
		return &engine.Refusal{Reason: engine.Absent}
	}
	if len(requests) > 0 {
		f.evicted++
	}
	delete(f.resident, ref)
	return nil
}

func (f *fake) report() (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.Report{}, verdict.Refuse(verdict.Unavailable, "down")
	}
	r := engine.Report{Incarnation: f.name(), FencingNumber: f.highest, MadeAt: time.Now()}
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

func (f *fake) cancel(id string) bool {
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

// begin starts a request; the channel is closed where it is ended early.
func (f *fake) begin(ref adapter.Ref, id string) (<-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	requests, ok := f.resident[ref]
	if f.down || !ok {
		return nil, false
	}
	end := make(chan struct{})
	requests[id] = end
	f.ran[id]++
	f.last = time.Now()
	return end, true
}

func (f *fake) finish(ref adapter.Ref, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.resident[ref], id)
}

// engines are all fakes behind control.Engines, as seen by one host.
type engines struct {
	all  map[netip.AddrPort]*fake
	host *machine
}

func (e engines) Order(ctx context.Context, addr netip.AddrPort, order engine.Order, number uint64, deadline time.Time) (engine.Receipt, error) {
	e.host.pass()
	time.Sleep(engineDelay)
	receipt, err := e.all[addr].order(order, number)
	e.host.pass()
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return engine.Receipt{}, &engine.CallError{Kind: engine.Stalled}
	}
	return receipt, err
}

func (e engines) Report(ctx context.Context, addr netip.AddrPort) (engine.Report, error) {
	e.host.pass()
	time.Sleep(engineDelay)
	if ctx.Err() != nil {
		return engine.Report{}, ctx.Err()
	}
	return e.all[addr].report()
}

func (e engines) Cancel(_ context.Context, addr netip.AddrPort, id string) (bool, error) {
	e.host.pass()
	return e.all[addr].cancel(id), nil
}
