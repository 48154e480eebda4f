// Package host decides which hosts of a region are its members, and which
// member owns each runner.
//
// The members and owners of a region are stored in one object, a Table. It is
// written by conditional update, and only when membership, the configured
// runners or an owner changes. Any member may propose the next table: Assign
// computes it from the previous one and the current inputs, with as few moves as
// a balanced assignment allows. A runner's epoch grows with every change of its
// owner and with every new generation of the same owner, so it can serve as the
// high part of a fencing number.
//
// A Member is the state machine of one host. It maintains the host's lease,
// observes the leases of the next few members in the ring of host names, revokes
// leases that have expired, and proposes tables. The members of a proposed table
// are the hosts whose leases exist. The leases are listed after the table to be
// replaced was read, so a proposal based on outdated information fails its
// conditional update.
//
// A runner changes owners in one of two ways. A live owner is asked to drain the
// runner and hands it over itself. The runner of a lost owner is taken over: at
// once if its engine checks fencing numbers, otherwise only after the platform's
// host list has shown the owner as gone for as long as that list may lag.
package host

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/lease"
	"jacinthstage/stage/wire"
)

const prefix = "assign/"

// Key returns the key of a region's table.
func Key(region string) string { return prefix + region }

// A Fencing says what a runner's engine does with an order that carries an
// outdated fencing number: ChecksFencing or IgnoresFencing.
type Fencing interface{ fencing() }

// ChecksFencing means that the engine refuses the order.
type ChecksFencing struct{}

// IgnoresFencing means that the engine carries the order out.
type IgnoresFencing struct{}

func (ChecksFencing) fencing()  {}
func (IgnoresFencing) fencing() {}

// A Runner is a runner of the configuration.
type Runner struct {
	Name    string
	Zone    string
	Fencing Fencing
}

// An Identity identifies a member: one generation of one process of a host.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	Generation  uint32
	Peer        netip.AddrPort
	Zone        string
	// Leaving is set if the host is in a planned stop and accepts no runners.
	Leaving bool
}

// SameGeneration reports whether both are the same generation of the same process.
func (i Identity) SameGeneration(other Identity) bool {
	return i.Name == other.Name && i.Incarnation == other.Incarnation && i.Generation == other.Generation
}

func identity(v lease.Value) Identity {
	return Identity{Name: v.Name, Incarnation: v.Incarnation, Generation: v.Generation, Peer: v.Peer, Zone: v.Zone}
}

// A Row records the owner of one runner.
type Row struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Zone   string
	// Fenced is set if the engine checks fencing numbers.
	Fenced bool
	// Removed is set if the runner is no longer in the configuration. The row
	// stays until the runner's owner has drained it.
	Removed bool
	// Owner is a host's name, empty if the runner has no owner.
	Owner string
	// Epoch grows with each change of the owner or of the owner's generation.
	Epoch uint32
	// PreviousOwner owned the runner at PreviousEpoch. Both are zero for a new runner.
	PreviousOwner string
	PreviousEpoch uint32
	// Drained is set if PreviousOwner had drained the runner.
	Drained bool
	// NextOwner is the member to which the owner is asked to give the runner.
	NextOwner string
}

// A Grantor is the member that grants the permits of the weight store.
type Grantor struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint32
}

// A Table holds the members of a region and the owners of its runners. It is
// immutable.
type Table struct {
	_ struct{} `cbor:",toarray"`
	// MaxEpoch is the highest epoch ever assigned.
	MaxEpoch uint32
	// ConfigVersion is the configuration version that defines the set of runners.
	ConfigVersion uint64
	// Members are sorted by name.
	Members []Identity
	// Rows are sorted by runner.
	Rows    []Row
	Grantor Grantor
}

// Encode returns t as stored in the object API.
func (t Table) Encode() []byte {
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(errors.Wrap(err, "host: encode"))
	}
	return data
}

// Decode parses a stored table. It fails on data that Encode can't have produced.
func Decode(data []byte) (Table, error) {
	var t Table
	if err := wire.Unmarshal(data, &t); err != nil {
		return Table{}, errors.Wrap(err, "host: decode")
	}
	return t, nil
}

// Member returns the member with the given name.
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
