// Package lease maintains and judges the leases by which hosts show that they
// are alive.
//
// Each host keeps one lease object in the object API and renews it by
// conditional update. A Holder decides when to renew it and until when it is
// valid. An Observer judges the lease of another host. Neither compares the
// clocks of different hosts:
//
//   - A holder counts validity from when it sent the renewal, on its own
//     monotonic clock, less a margin.
//   - An observer considers a lease expired only if a read still shows the same
//     version and was sent a full lease duration after that version was first
//     seen.
//
// An expired lease is revoked by deleting its object at the version that was
// judged. From then on no renewal by the old holder can succeed, so a holder
// that resumes after a pause detects the revocation at its next renewal and
// begins a new generation.
//
// The package does no I/O: Step takes an event and returns actions.
package lease

import (
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthstage/stage/wire"
)

// A Value is the content of a lease object.
type Value struct {
	_ struct{} `cbor:",toarray"`
	// Name is the host's name.
	Name string
	// Incarnation identifies one run of the host's process.
	Incarnation string
	// Generation grows when the holder starts again after its lease was revoked.
	Generation uint32
	Region     string
	Zone       string
	// Peer is the address of the link between hosts.
	Peer netip.AddrPort
	// Sequence grows with each renewal.
	Sequence uint64
	// ConfigVersion is the configuration version in force on the host at that
	// renewal, or 0 if there was none.
	ConfigVersion uint64 `wire:"later"`
}

const prefix = "lease/"

// Prefix returns the prefix of the keys of all leases of a region.
func Prefix(region string) string { return prefix + region + "/" }

// Key returns the key of a host's lease object.
func Key(region, name string) string { return Prefix(region) + name }

// HostName returns the host name in a lease key, and false if key is not a
// lease key of the region.
func HostName(region, key string) (string, bool) {
	return strings.CutPrefix(key, Prefix(region))
}

// Encode returns v as stored in the lease object.
func (v Value) Encode() []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode"))
	}
	return data
}

// Decode parses the stored content of a lease object, which a process of another build may
// have written.
func Decode(data []byte) (Value, error) {
	var v Value
	if err := wire.Unmarshal(data, &v); err != nil {
		return Value{}, errors.Wrap(err, "lease: decode")
	}
	return v, nil
}

// SameGeneration reports whether both values are of the same generation of the
// same process.
func (v Value) SameGeneration(other Value) bool {
	return v.Name == other.Name && v.Incarnation == other.Incarnation && v.Generation == other.Generation
}
