// Package slot keeps the adapter slots of one runner.
//
// A slot is empty, loading, resident, evicting or in doubt. A request pins its
// adapter before it is sent, and an adapter with a pin is never evicted: the
// state machine of each slot refuses that transition. A slot whose last order
// has an unknown result is in doubt: nothing is pinned there until Settle.
package slot

import (
	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
)

// ErrFull says that no slot is empty.
var ErrFull = errors.New("slot: no slot is empty")

// ErrAbsent says that no slot holds the adapter.
var ErrAbsent = errors.New("slot: adapter not in any slot")

// ErrPresent says that the adapter or the request already has its place.
var ErrPresent = errors.New("slot: already present")

// A Table is the slots of one runner. The zero value has none; see Grow.
type Table struct {
	slots []*slot
	refs  map[adapter.Ref]*slot
	pins  map[string]*slot
}

// Grow adds empty slots up to n. A table never shrinks.
func (t *Table) Grow(n int) {
	for len(t.slots) < n {
		t.slots = append(t.slots, build())
	}
}

// Len returns the number of slots.
func (t *Table) Len() int { return len(t.slots) }

// Free returns the number of empty slots.
func (t *Table) Free() int { return len(t.slots) - len(t.refs) }

// State returns the state of ref's slot, Empty where it has none.
func (t *Table) State(ref adapter.Ref) State {
	if s := t.refs[ref]; s != nil {
		return s.state
	}
	return Empty
}

// PinCount returns the number of requests that pin ref.
func (t *Table) PinCount(ref adapter.Ref) int {
	if s := t.refs[ref]; s != nil {
		return len(s.pins)
	}
	return 0
}

// PinnedAdapter returns the adapter that the request pins.
func (t *Table) PinnedAdapter(id string) (adapter.Ref, bool) {
	s := t.pins[id]
	if s == nil {
		return adapter.Ref{}, false
	}
	return s.ref, true
}

// TotalPins returns the number of pins.
func (t *Table) TotalPins() int { return len(t.pins) }

// InState returns the adapters whose slots are in state, in the order of the slots.
func (t *Table) InState(state State) []adapter.Ref {
	var refs []adapter.Ref
	for _, s := range t.slots {
		if s.state == state && state != Empty {
			refs = append(refs, s.ref)
		}
	}
	return refs
}

// BeginLoad takes an empty slot for ref. It fails with ErrFull or ErrPresent.
func (t *Table) BeginLoad(ref adapter.Ref) error {
	if t.refs[ref] != nil {
		return ErrPresent
	}
	for _, s := range t.slots {
		if s.state == Empty {
			return t.take(s, ref, load)
		}
	}
	return ErrFull
}

// AddResident enters ref as resident, as a report shows it. A table without an empty
// slot grows: the engine has more than was configured.
func (t *Table) AddResident(ref adapter.Ref) error {
	if t.Free() == 0 {
		t.Grow(len(t.slots) + 1)
	}
	if err := t.BeginLoad(ref); err != nil {
		return err
	}
	return t.FinishLoad(ref)
}

func (t *Table) take(s *slot, ref adapter.Ref, trigger string) error {
	if err := s.fire(trigger); err != nil {
		return err
	}
	if t.refs == nil {
		t.refs = map[adapter.Ref]*slot{}
	}
	s.ref = ref
	t.refs[ref] = s
	return nil
}

// FinishLoad makes a loading ref resident.
func (t *Table) FinishLoad(ref adapter.Ref) error { return t.fire(ref, loaded) }

// BeginEviction starts the eviction of ref. It fails where ref is pinned or not resident.
func (t *Table) BeginEviction(ref adapter.Ref) error { return t.fire(ref, evict) }

// CancelEviction makes an evicting ref resident again: the engine refused the order.
func (t *Table) CancelEviction(ref adapter.Ref) error { return t.fire(ref, keep) }

// MarkUncertain says that it is unknown whether ref is resident.
func (t *Table) MarkUncertain(ref adapter.Ref) error { return t.fire(ref, doubt) }

// Resolve ends the doubt over ref with what a later report shows.
func (t *Table) Resolve(ref adapter.Ref, resident bool) error {
	if resident {
		return t.fire(ref, settle)
	}
	return t.Clear(ref)
}

// Clear empties the slot of ref: its load failed, it was evicted, or it turned
// out absent. It fails where ref is resident; pins of a doubtful slot end.
func (t *Table) Clear(ref adapter.Ref) error {
	s := t.refs[ref]
	if s == nil {
		return ErrAbsent
	}
	if err := s.fire(clearing); err != nil {
		return err
	}
	t.release(s)
	return nil
}

// Reset empties all slots: the engine restarted. All pins end.
func (t *Table) Reset() {
	for _, s := range t.refs {
		s.state = Empty
		t.release(s)
	}
}

func (t *Table) release(s *slot) {
	for id := range s.pins {
		delete(t.pins, id)
	}
	clear(s.pins)
	delete(t.refs, s.ref)
	s.ref = adapter.Ref{}
}

func (t *Table) fire(ref adapter.Ref, trigger string) error {
	s := t.refs[ref]
	if s == nil {
		return ErrAbsent
	}
	return s.fire(trigger)
}

// Pin pins ref for the request id. It fails with ErrPresent where the request
// has a pin, and with ErrAbsent where ref is not resident.
func (t *Table) Pin(ref adapter.Ref, id string) error {
	if t.State(ref) != Resident {
		return ErrAbsent
	}
	return t.PinReported(ref, id)
}

// PinReported pins ref for a request that a report shows, whatever the state of the slot.
func (t *Table) PinReported(ref adapter.Ref, id string) error {
	s := t.refs[ref]
	switch {
	case s == nil:
		return ErrAbsent
	case t.pins[id] != nil:
		return ErrPresent
	case t.pins == nil:
		t.pins = map[string]*slot{}
	}
	s.pins[id] = struct{}{}
	t.pins[id] = s
	return nil
}

// Unpin gives the request's pin back and reports whether it had one.
func (t *Table) Unpin(id string) bool {
	s := t.pins[id]
	if s == nil {
		return false
	}
	delete(s.pins, id)
	delete(t.pins, id)
	return true
}
