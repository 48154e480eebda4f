package slot

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"jacinthstage/stage/adapter"
)

// A State is what a slot does.
type State uint8

// The states of a slot.
const (
	Empty     State = iota // holds no adapter
	Loading                // a load was ordered
	Resident               // requests can be pinned and sent
	Evicting               // an unload was ordered
	Uncertain              // an order's result is unknown
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"empty", "loading", "resident", "evicting", "doubt"}[s]
}

// The triggers of the state machine.
const (
	load     = "load"
	loaded   = "loaded"
	evict    = "evict"
	keep     = "keep"
	doubt    = "doubt"
	settle   = "settle"
	clearing = "clear"
)

type slot struct {
	ref     adapter.Ref
	state   State
	pins    map[string]struct{}
	machine *stateless.StateMachine
}

func build() *slot {
	s := &slot{pins: map[string]struct{}{}}
	s.machine = stateless.NewStateMachineWithExternalStorage(s.read, s.write, stateless.FiringImmediate)
	s.machine.Configure(Empty).Permit(load, Loading)
	s.machine.Configure(Loading).Permit(loaded, Resident).Permit(clearing, Empty).Permit(doubt, Uncertain)
	s.machine.Configure(Resident).Permit(evict, Evicting, s.unpinned).Permit(doubt, Uncertain)
	s.machine.Configure(Evicting).Permit(keep, Resident).Permit(clearing, Empty).Permit(doubt, Uncertain)
	s.machine.Configure(Uncertain).Permit(settle, Resident).Permit(clearing, Empty).PermitReentry(doubt)
	return s
}

func (s *slot) read(context.Context) (stateless.State, error) { return s.state, nil }

func (s *slot) write(_ context.Context, state stateless.State) error {
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
