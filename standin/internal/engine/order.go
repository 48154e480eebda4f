package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// An Order tells the engine to load or unload an adapter, or only to raise the
// highest fencing number. Kind is load, unload or fence.
type Order struct {
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter,omitempty"`
	Number   uint64    `json:"number"`
	Deadline time.Time `json:"deadline"` // zero means none; an order that arrives later is refused
}

// A slot holds one adapter that is loading or resident.
type slot struct {
	adapter   string
	resident  bool            // false while loading
	requests  map[string]bool // IDs of the requests that use the adapter
	loadEnded chan struct{}   // closed when the load ends
	err       error
	cancel    context.CancelFunc
}

// Order executes an order and returns the highest fencing number seen. It
// blocks until the order is done; if ctx ends first, a load continues in the
// background.
func (e *Engine) Order(ctx context.Context, order Order) (uint64, error) {
	highest, loading, err := e.startOrder(order)
	if err != nil || loading == nil {
		return highest, err
	}
	select {
	case <-loading.loadEnded:
		return highest, loading.err
	case <-ctx.Done():
		return highest, ctx.Err()
	}
}

func (e *Engine) startOrder(order Order) (uint64, *slot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !order.Deadline.IsZero() && time.Now().After(order.Deadline) {
		return e.highestNumber, nil, ErrExpired
	}
	if e.Fenced && order.Number <= e.highestNumber {
		return e.highestNumber, nil, ErrFenced
	}
	e.highestNumber = max(e.highestNumber, order.Number)
	defer e.recordReport()
	switch order.Kind {
	case "load":
		loading, err := e.startLoad(order)
		return e.highestNumber, loading, err
	case "unload":
		return e.highestNumber, nil, e.unload(order.Adapter)
	case "fence":
		return e.highestNumber, nil, nil
	default:
		return e.highestNumber, nil, errors.Wrapf(ErrInvalid, "kind %q", order.Kind)
	}
}

func (e *Engine) startLoad(order Order) (*slot, error) {
	if order.Adapter == "" {
		return nil, errors.Wrap(ErrInvalid, "adapter is missing")
	}
	if s, ok := e.slots[order.Adapter]; ok {
		return s, nil
	}
	if len(e.slots) >= e.Slots {
		return nil, ErrFull
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !order.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), order.Deadline)
	}
	loading := &slot{adapter: order.Adapter, requests: map[string]bool{}, loadEnded: make(chan struct{}), cancel: cancel}
	if e.slots == nil {
		e.slots = map[string]*slot{}
	}
	e.slots[order.Adapter] = loading
	fail := e.gate.TakeFailedLoad()
	go e.runLoad(ctx, loading, fail)
	return loading, nil
}

func (e *Engine) runLoad(ctx context.Context, loading *slot, fail bool) {
	defer loading.cancel()
	err := e.FetchWeights(ctx, loading.adapter)
	if fail {
		err = errors.New("injected by an admin call")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(loading.loadEnded)
	switch {
	case e.slots[loading.adapter] != loading:
		loading.err = errors.Wrap(ErrFailed, "adapter unloaded during the load")
	case err != nil:
		loading.err = errors.Wrap(ErrFailed, err.Error())
		delete(e.slots, loading.adapter)
	default:
		loading.resident = true
		e.counts.Loads++
	}
	e.recordReport()
}

// unload frees the adapter's slot at once. It aborts the requests that use the
// adapter; a load in progress fails.
func (e *Engine) unload(adapter string) error {
	s, ok := e.slots[adapter]
	if !ok {
		return ErrAbsent
	}
	delete(e.slots, adapter)
	if !s.resident {
		s.cancel()
		return nil
	}
	e.counts.Evictions++
	if len(s.requests) > 0 {
		e.counts.EvictedInUse++
	}
	for id := range s.requests {
		e.finish(e.requests[id], aborted)
	}
	return nil
}
