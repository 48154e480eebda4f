// Package host decides which hosts of a region are its members, and which of
// them owns each runner.
//
// The members and owners of a region stand in one object, a Table, written by
// conditional update and only when membership, the configured runners or an
// owner changes. Any member may propose the next table: Assign computes it from
// the old one and the facts, with as few moves as a balance allows. A runner's
// epoch grows with every change of its owner and with every new life of the
// same owner, so that it can serve as the high part of a fencing number.
//
// A Member is the aggregate of one host. It keeps the host's lease, observes
// the leases of its next few members in the ring of names, breaks a lease that
// lapsed, and proposes tables. The members of a proposed table are the hosts
// whose leases exist, listed after the table to be replaced was read, so a
// proposal made from old knowledge loses its conditional update.
//
// Runners move in two ways. A live owner is asked to drain the runner and gives
// it away itself. The runner of a lost owner is taken: at once where its engine
// checks fencing numbers, else only when the platform's host list has shown the
// owner as gone for as long as the list may lag.
package host

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/lease"
)

const prefix = "assign/"

// Key returns the key of a region's table.
func Key(region string) string { return prefix + region }

// A Fencing says what a runner's engine does with an order that carries an old
// fencing number: Checked or Ignored.
type Fencing interface{ fencing() }

// ChecksFencing says that the engine refuses the order.
type ChecksFencing struct{}

// IgnoresFencing says that the engine carries the order out.
type IgnoresFencing struct{}

func (ChecksFencing) fencing()  {}
func (IgnoresFencing) fencing() {}

// A Runner is a runner of the configuration.
type Runner struct {
	Name    string
	Zone    string
	Fencing Fencing
}

// An Identity is a member: one life of one host's process.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	Generation  uint32
	Peer        netip.AddrPort
	Zone        string
	// Leaving says that the host is stopping as planned and takes no runners.
	Leaving bool
}

// SameGeneration reports whether both are the same life of the same process.
func (i Identity) SameGeneration(other Identity) bool {
	return i.Name == other.Name && i.Incarnation == other.Incarnation && i.Generation == other.Generation
}

func identity(v lease.Value) Identity {
	return Identity{Name: v.Name, Incarnation: v.Incarnation, Generation: v.Generation, Peer: v.Peer, Zone: v.Zone}
}

// A Row says who owns one runner.
type Row struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Zone   string
	// Fenced says that the engine checks fencing numbers.
	Fenced bool
	// Removed says that the runner left the configuration. The row stays until
	// its owner has drained it.
	Removed bool
	// Owner is a host's name, empty where there is none.
	Owner string
	// Epoch grows with each change of the owner or of the owner's life.
	Epoch uint32
	// PreviousOwner is the owner before, at the epoch Prior; both are zero for a new runner.
	PreviousOwner string
	PreviousEpoch uint32
	// Drained says that From had drained the runner.
	Drained bool
	// NextOwner is the member that the owner is asked to give the runner to.
	NextOwner string
}

// A Grant says which member grants the permits of the weight store.
type Grantor struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint32
}

// A Table holds the members of a region and the owners of its runners. It is
// not changed once it is made.
type Table struct {
	_ struct{} `cbor:",toarray"`
	// MaxEpoch is the highest epoch ever given.
	MaxEpoch uint32
	// ConfigVersion is the configuration version that the set of runners is from.
	ConfigVersion uint64
	// Members are sorted by name.
	Members []Identity
	// Rows are sorted by runner.
	Rows    []Row
	Grantor Grantor
}

// Encode returns the object's value.
func (t Table) Encode() []byte {
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(errors.Wrap(err, "host: encode"))
	}
	return data
}

// Decode reads an object's value. It fails on what Encode can't have made.
func Decode(data []byte) (Table, error) {
	var t Table
	if err := cbor.Unmarshal(data, &t); err != nil {
		return Table{}, errors.Wrap(err, "host: decode")
	}
	return t, nil
}

// Member returns the member of that name.
func (t Table) Member(name string) (Identity, bool) {
	i, ok := slices.BinarySearchFunc(t.Members, name, func(m Identity, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return Identity{}, false
	}
	return t.Members[i], true
}

// Row returns the row of a runner.
func (t Table) Row(runner string) (Row, bool) {
	i, ok := slices.BinarySearchFunc(t.Rows, runner, func(r Row, runner string) int {
		return strings.Compare(r.Runner, runner)
	})
	if !ok {
		return Row{}, false
	}
	return t.Rows[i], true
}

func (t Table) equal(other Table) bool {
	return t.MaxEpoch == other.MaxEpoch && t.ConfigVersion == other.ConfigVersion && t.Grantor == other.Grantor &&
		slices.Equal(t.Members, other.Members) && slices.Equal(t.Rows, other.Rows)
}
