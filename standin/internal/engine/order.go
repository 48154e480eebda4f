package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// An Order is an order to the engine; Kind is load, unload or fence.
type Order struct {
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter,omitempty"`
	Number   uint64    `json:"number"`
	Deadline time.Time `json:"deadline"` // zero is none; an order that arrives later has no effect
}

// A slot holds one adapter.
type slot struct {
	adapter  string
	resident bool
	requests map[string]bool
	settled  chan struct{} // closed when the load has ended
	err      error
	cancel   context.CancelFunc
}

// Order carries out an order and returns the highest number seen. It returns
// when the order is done; a load goes on where ctx ends earlier.
func (e *Engine) Order(ctx context.Context, order Order) (uint64, error) {
	highest, loading, err := e.begin(order)
	if err != nil || loading == nil {
		return highest, err
	}
	select {
	case <-loading.settled:
		return highest, loading.err
	case <-ctx.Done():
		return highest, ctx.Err()
	}
}

func (e *Engine) begin(order Order) (uint64, *slot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !order.Deadline.IsZero() && time.Now().After(order.Deadline) {
		return e.highest, nil, ErrExpired
	}
	if e.Fenced && order.Number <= e.highest {
		return e.highest, nil, ErrFenced
	}
	e.highest = max(e.highest, order.Number)
	defer e.record()
	switch order.Kind {
	case "load":
		loading, err := e.load(order)
		return e.highest, loading, err
	case "unload":
		return e.highest, nil, e.unload(order.Adapter)
	case "fence":
		return e.highest, nil, nil
	default:
		return e.highest, nil, errors.Wrapf(ErrInvalid, "kind %q", order.Kind)
	}
}

func (e *Engine) load(order Order) (*slot, error) {
	if order.Adapter == "" {
		return nil, errors.Wrap(ErrInvalid, "adapter is missing")
	}
	if present, ok := e.slots[order.Adapter]; ok {
		return present, nil
	}
	if len(e.slots) >= e.Slots {
		return nil, ErrFull
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !order.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), order.Deadline)
	}
	loading := &slot{adapter: order.Adapter, requests: map[string]bool{}, settled: make(chan struct{}), cancel: cancel}
	if e.slots == nil {
		e.slots = map[string]*slot{}
	}
	e.slots[order.Adapter] = loading
	fail := e.gate.FailLoad()
	go e.fetch(ctx, loading, fail)
	return loading, nil
}

func (e *Engine) fetch(ctx context.Context, loading *slot, fail bool) {
	defer loading.cancel()
	err := e.Fetch(ctx, loading.adapter)
	if fail {
		err = errors.New("fault set by admin call")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(loading.settled)
	switch {
	case e.slots[loading.adapter] != loading:
		loading.err = errors.Wrap(ErrFailed, "unloaded meanwhile")
	case err != nil:
		loading.err = errors.Wrap(ErrFailed, err.Error())
		delete(e.slots, loading.adapter)
	default:
		loading.resident = true
		e.counts.Loads++
	}
	e.record()
}

// unload frees the adapter's slot at once, also beneath requests, which it
// breaks, and beneath a load, which then fails.
func (e *Engine) unload(adapter string) error {
	present, ok := e.slots[adapter]
	if !ok {
		return ErrAbsent
	}
	delete(e.slots, adapter)
	if !present.resident {
		present.cancel()
		return nil
	}
	e.counts.Evictions++
	if len(present.requests) > 0 {
		e.counts.Evicted++
	}
	for id := range present.requests {
		e.finish(e.requests[id], broken)
	}
	return nil
}
