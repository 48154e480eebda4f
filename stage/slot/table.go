// Package slot tracks the adapter slots of one runner.
//
// A slot is empty, loading, resident, evicting or uncertain. A request pins its
// adapter before it is sent, and a pinned adapter is never evicted: the state
// machine of each slot refuses that transition. A slot is uncertain when the
// result of its last order is unknown. No request pins its adapter until
// Resolve has ended the uncertainty; only PinReported still adds pins there.
package slot

import (
	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
)

// ErrFull is returned when no slot is empty.
var ErrFull = errors.New("slot: no slot is empty")

// ErrAbsent is returned when no slot holds the adapter.
var ErrAbsent = errors.New("slot: adapter not in any slot")

// ErrPresent is returned when the adapter already has a slot or the request
// already has a pin.
var ErrPresent = errors.New("slot: already present")

// A Table holds the slots of one runner. The zero value has no slots; Grow adds
// them.
type Table struct {
	slots []*slot
	refs  map[adapter.Ref]*slot
	pins  map[string]*slot
}

// Grow adds empty slots until the table has n. A table never shrinks.
func (t *Table) Grow(n int) {
	for len(t.slots) < n {
		t.slots = append(t.slots, newSlot())
	}
}

// Len returns the number of slots.
func (t *Table) Len() int { return len(t.slots) }

// Free returns the number of empty slots.
func (t *Table) Free() int { return len(t.slots) - len(t.refs) }

// State returns the state of the slot of ref, or Empty if ref has no slot.
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

// TotalPins returns the number of pins on all adapters.
func (t *Table) TotalPins() int { return len(t.pins) }

// InState returns the adapters whose slots are in the given state, in slot
// order.
func (t *Table) InState(state State) []adapter.Ref {
	var refs []adapter.Ref
	for _, s := range t.slots {
		if s.state == state && state != Empty {
			refs = append(refs, s.ref)
		}
	}
	return refs
}

// BeginLoad assigns an empty slot to ref, which is then loading. It returns
// ErrFull if no slot is empty, and ErrPresent if ref already has a slot.
func (t *Table) BeginLoad(ref adapter.Ref) error {
	if t.refs[ref] != nil {
		return ErrPresent
	}
	for _, s := range t.slots {
		if s.state == Empty {
			return t.occupy(s, ref, triggerLoad)
		}
	}
	return ErrFull
}

// AddResident adds ref as resident, as shown by a report of the engine. If no
// slot is empty, the table grows: the engine has more slots than configured.
func (t *Table) AddResident(ref adapter.Ref) error {
	if t.Free() == 0 {
		t.Grow(len(t.slots) + 1)
	}
	if err := t.BeginLoad(ref); err != nil {
		return err
	}
	return t.FinishLoad(ref)
}

func (t *Table) occupy(s *slot, ref adapter.Ref, trigger string) error {
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

// FinishLoad marks a loading ref as resident.
func (t *Table) FinishLoad(ref adapter.Ref) error { return t.fire(ref, triggerLoaded) }

// BeginEviction starts the eviction of ref. It fails if ref is pinned or not
// resident.
func (t *Table) BeginEviction(ref adapter.Ref) error { return t.fire(ref, triggerEvict) }

// CancelEviction makes an evicting ref resident again, after the engine refused
// the unload order.
func (t *Table) CancelEviction(ref adapter.Ref) error { return t.fire(ref, triggerCancelEviction) }

// MarkUncertain records that it is unknown whether ref is resident.
func (t *Table) MarkUncertain(ref adapter.Ref) error { return t.fire(ref, triggerUncertain) }

// Resolve ends the uncertainty about ref: a later report showed whether it is
// resident.
func (t *Table) Resolve(ref adapter.Ref, resident bool) error {
	if resident {
		return t.fire(ref, triggerResolve)
	}
	return t.Clear(ref)
}

// Clear empties the slot of ref, after its load failed, it was evicted, or it
// turned out to be absent. It fails if ref is resident. Pins of an uncertain
// slot are removed.
func (t *Table) Clear(ref adapter.Ref) error {
	s := t.refs[ref]
	if s == nil {
		return ErrAbsent
	}
	if err := s.fire(triggerClear); err != nil {
		return err
	}
	t.release(s)
	return nil
}

// Reset empties all slots and removes all pins, after the engine restarted or
// when the table no longer applies to it.
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

// Pin pins ref for the request id. It returns ErrPresent if the request already
// has a pin, and ErrAbsent if ref is not resident.
func (t *Table) Pin(ref adapter.Ref, id string) error {
	if t.State(ref) != Resident {
		return ErrAbsent
	}
	return t.PinReported(ref, id)
}

// PinReported pins ref for a request that a report shows, whatever the state of
// the slot.
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

// Unpin removes the pin of the request and reports whether it had one.
func (t *Table) Unpin(id string) bool {
	s := t.pins[id]
	if s == nil {
		return false
	}
	delete(s.pins, id)
	delete(t.pins, id)
	return true
}
