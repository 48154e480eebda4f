package slot

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"jacinthstage/stage/adapter"
)

// A State is the state of a slot.
type State uint8

// The states of a slot.
const (
	Empty     State = iota // holds no adapter
	Loading                // a load was ordered
	Resident               // the adapter is loaded, so requests can be pinned and sent
	Evicting               // an unload was ordered
	Uncertain              // the result of the last order is unknown
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"empty", "loading", "resident", "evicting", "doubt"}[s]
}

// The triggers of the state machine.
const (
	triggerLoad           = "load"
	triggerLoaded         = "loaded"
	triggerEvict          = "evict"
	triggerCancelEviction = "keep"
	triggerUncertain      = "doubt"
	triggerResolve        = "settle"
	triggerClear          = "clear"
)

// A slot holds at most one adapter, with the requests that pin it.
type slot struct {
	ref     adapter.Ref
	state   State
	pins    map[string]struct{}
	machine *stateless.StateMachine
}

func newSlot() *slot {
	s := &slot{pins: map[string]struct{}{}}
	s.machine = stateless.NewStateMachineWithExternalStorage(s.readState, s.writeState, stateless.FiringImmediate)
	s.machine.Configure(Empty).Permit(triggerLoad, Loading)
	s.machine.Configure(Loading).Permit(triggerLoaded, Resident).Permit(triggerClear, Empty).Permit(triggerUncertain, Uncertain)
	s.machine.Configure(Resident).Permit(triggerEvict, Evicting, s.unpinned).Permit(triggerUncertain, Uncertain)
	s.machine.Configure(Evicting).Permit(triggerCancelEviction, Resident).Permit(triggerClear, Empty).Permit(triggerUncertain, Uncertain)
	s.machine.Configure(Uncertain).Permit(triggerResolve, Resident).Permit(triggerClear, Empty).PermitReentry(triggerUncertain)
	return s
}

func (s *slot) readState(context.Context) (stateless.State, error) { return s.state, nil }

func (s *slot) writeState(_ context.Context, state stateless.State) error {
	next, ok := state.(State)
	if !ok {
		return errors.Errorf("slot: unknown state %v", state)
	}
	s.state = next
	return nil
}

func (s *slot) unpinned(context.Context, ...any) bool { return len(s.pins) == 0 }

func (s *slot) fire(trigger string) error {
	return errors.Wrapf(s.machine.Fire(trigger), "slot: %s", s.ref)
}
