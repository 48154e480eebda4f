package slot_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// A referenceTable is a simple model of slot.Table: one map of states and one of
// pins, with each rule written out.
type referenceTable struct {
	slots  int
	states map[adapter.Ref]slot.State
	pins   map[string]adapter.Ref
}

func (r *referenceTable) pinned(ref adapter.Ref) int {
	count := 0
	for _, pinned := range r.pins {
		if pinned == ref {
			count++
		}
	}
	return count
}

func (r *referenceTable) move(ref adapter.Ref, to slot.State, from ...slot.State) bool {
	state, ok := r.states[ref]
	for _, f := range from {
		if ok && state == f {
			r.states[ref] = to
			return true
		}
	}
	return false
}

func (r *referenceTable) clear(ref adapter.Ref) bool {
	if !r.move(ref, slot.Empty, slot.Loading, slot.Evicting, slot.Uncertain) {
		return false
	}
	delete(r.states, ref)
	for id, pinned := range r.pins {
		if pinned == ref {
			delete(r.pins, id)
		}
	}
	return true
}

func (r *referenceTable) pin(ref adapter.Ref, id string, resident bool) bool {
	state, ok := r.states[ref]
	if _, has := r.pins[id]; has || !ok || resident && state != slot.Resident {
		return false
	}
	r.pins[id] = ref
	return true
}

// apply applies one operation to both tables and returns whether each of them
// allowed it.
func apply(op int, t *slot.Table, r *referenceTable, ref adapter.Ref, id string) (got, want bool) {
	switch op {
	case 0:
		_, present := r.states[ref]
		want = !present && len(r.states) < r.slots
		if want {
			r.states[ref] = slot.Loading
		}
		return t.BeginLoad(ref) == nil, want
	case 1:
		return t.FinishLoad(ref) == nil, r.move(ref, slot.Resident, slot.Loading)
	case 2:
		want = r.pinned(ref) == 0 && r.move(ref, slot.Evicting, slot.Resident)
		return t.BeginEviction(ref) == nil, want
	case 3:
		return t.CancelEviction(ref) == nil, r.move(ref, slot.Resident, slot.Evicting)
	case 4:
		want = r.move(ref, slot.Uncertain, slot.Loading, slot.Resident, slot.Evicting, slot.Uncertain)
		return t.MarkUncertain(ref) == nil, want
	case 5:
		return t.Resolve(ref, true) == nil, r.move(ref, slot.Resident, slot.Uncertain)
	case 6:
		return t.Clear(ref) == nil, r.clear(ref)
	case 7, 8:
		return t.Pin(ref, id) == nil, r.pin(ref, id, true)
	case 9:
		return t.PinReported(ref, id) == nil, r.pin(ref, id, false)
	default:
		_, want = r.pins[id]
		delete(r.pins, id)
		return t.Unpin(id), want
	}
}

// TestAgainstReference applies random operations to a Table and to the reference,
// and compares their results and states after each one.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &slot.Table{}
		table.Grow(3)
		reference := &referenceTable{slots: 3, states: map[adapter.Ref]slot.State{}, pins: map[string]adapter.Ref{}}
		refs := make([]adapter.Ref, 5)
		for i := range refs {
			refs[i] = adapter.Ref{Name: fmt.Sprint("a", i), Version: "1"}
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 10).Draw(t, "op"), rapid.IntRange(0, 4).Draw(t, "ref"), rapid.IntRange(0, 7).Draw(t, "id")}
		}), 1, 200).Draw(t, "steps")
		for _, s := range steps {
			got, want := apply(s[0], table, reference, refs[s[1]], fmt.Sprint(s[2]))
			require.Equal(t, want, got, "%v", s)
			require.Equal(t, 3-len(reference.states), table.Free())
			require.Equal(t, len(reference.pins), table.TotalPins())
			for _, ref := range refs {
				require.Equal(t, reference.states[ref], table.State(ref))
				require.Equal(t, reference.pinned(ref), table.PinCount(ref))
			}
		}
	})
}

// TestReset guards against a Reset that leaves pins or occupied slots behind.
func TestReset(t *testing.T) {
	table := &slot.Table{}
	table.Grow(1)
	ref := adapter.Ref{Name: "a", Version: "1"}
	require.NoError(t, table.AddResident(ref))
	require.NoError(t, table.Pin(ref, "x"))
	require.Error(t, table.BeginEviction(ref))
	table.Reset()
	require.Zero(t, table.TotalPins())
	require.NoError(t, table.BeginLoad(ref))
}
