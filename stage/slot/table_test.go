package slot_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// A naive table is one map of states and one of pins, with each rule spelled out.
type naive struct {
	slots  int
	states map[adapter.Ref]slot.State
	pins   map[string]adapter.Ref
}

func (n *naive) pinned(ref adapter.Ref) int {
	count := 0
	for _, r := range n.pins {
		if r == ref {
			count++
		}
	}
	return count
}

func (n *naive) move(ref adapter.Ref, to slot.State, from ...slot.State) bool {
	state, ok := n.states[ref]
	for _, f := range from {
		if ok && state == f {
			n.states[ref] = to
			return true
		}
	}
	return false
}

func (n *naive) clear(ref adapter.Ref) bool {
	if !n.move(ref, slot.Empty, slot.Loading, slot.Evicting, slot.Uncertain) {
		return false
	}
	delete(n.states, ref)
	for id, r := range n.pins {
		if r == ref {
			delete(n.pins, id)
		}
	}
	return true
}

func (n *naive) pin(ref adapter.Ref, id string, resident bool) bool {
	state, ok := n.states[ref]
	if _, has := n.pins[id]; has || !ok || resident && state != slot.Resident {
		return false
	}
	n.pins[id] = ref
	return true
}

// do does one operation on both tables and returns whether each allowed it.
func do(op int, t *slot.Table, n *naive, ref adapter.Ref, id string) (got, plain bool) {
	switch op {
	case 0:
		_, present := n.states[ref]
		plain = !present && len(n.states) < n.slots
		if plain {
			n.states[ref] = slot.Loading
		}
		return t.BeginLoad(ref) == nil, plain
	case 1:
		return t.FinishLoad(ref) == nil, n.move(ref, slot.Resident, slot.Loading)
	case 2:
		plain = n.pinned(ref) == 0 && n.move(ref, slot.Evicting, slot.Resident)
		return t.BeginEviction(ref) == nil, plain
	case 3:
		return t.CancelEviction(ref) == nil, n.move(ref, slot.Resident, slot.Evicting)
	case 4:
		plain = n.move(ref, slot.Uncertain, slot.Loading, slot.Resident, slot.Evicting, slot.Uncertain)
		return t.MarkUncertain(ref) == nil, plain
	case 5:
		return t.Resolve(ref, true) == nil, n.move(ref, slot.Resident, slot.Uncertain)
	case 6:
		return t.Clear(ref) == nil, n.clear(ref)
	case 7, 8:
		return t.Pin(ref, id) == nil, n.pin(ref, id, true)
	case 9:
		return t.PinReported(ref, id) == nil, n.pin(ref, id, false)
	default:
		_, plain = n.pins[id]
		delete(n.pins, id)
		return t.Unpin(id), plain
	}
}

func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &slot.Table{}
		table.Grow(3)
		plain := &naive{slots: 3, states: map[adapter.Ref]slot.State{}, pins: map[string]adapter.Ref{}}
		refs := make([]adapter.Ref, 5)
		for i := range refs {
			refs[i] = adapter.Ref{Name: fmt.Sprint("a", i), Version: "1"}
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 10).Draw(t, "op"), rapid.IntRange(0, 4).Draw(t, "ref"), rapid.IntRange(0, 7).Draw(t, "id")}
		}), 1, 200).Draw(t, "steps")
		for _, s := range steps {
			got, want := do(s[0], table, plain, refs[s[1]], fmt.Sprint(s[2]))
			require.Equal(t, want, got, "%v", s)
			require.Equal(t, 3-len(plain.states), table.Free())
			require.Equal(t, len(plain.pins), table.TotalPins())
			for _, ref := range refs {
				require.Equal(t, plain.states[ref], table.State(ref))
				require.Equal(t, plain.pinned(ref), table.PinCount(ref))
			}
		}
	})
}

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
