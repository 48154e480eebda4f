// Package lease keeps and judges the leases by which hosts show that they live.
//
// Each host keeps one lease object in the object API and renews it by
// conditional update; Holder decides when to renew it and until when it is
// valid. An Observer judges the lease of another host. Neither compares clocks
// between hosts:
//
//   - A holder counts validity from the moment it sent the renewal, on its own
//     monotonic clock, less a margin.
//   - An observer calls a lease lapsed only once a read that it sent a whole
//     term after it first saw a version shows that version still.
//
// A lapsed lease is broken by deleting its object at the version that was
// judged. From then on no renewal of the old holder can succeed, so a holder
// that wakes learns of it with its next renewal, and begins a new life.
//
// The package does no I/O: Step takes an event and returns actions.
package lease

import (
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A Value is the content of a lease object.
type Value struct {
	_ struct{} `cbor:",toarray"`
	// Name is the host's name.
	Name string
	// Incarnation tells one run of the host's process from the next.
	Incarnation string
	// Generation grows when the holder starts again after its lease was broken.
	Generation uint32
	Region     string
	Zone       string
	// Peer is the address of the link between hosts.
	Peer netip.AddrPort
	// Sequence grows with each renewal.
	Sequence uint64
	// ConfigVersion is the configuration version in force on the host at that renewal,
	// 0 where none was.
	ConfigVersion uint64
}

// elements is the number of elements of a Value as written; earliest is that of
// the first ones, which lack Config.
const (
	elements = 8
	earliest = 7
)

const prefix = "lease/"

// Prefix returns the prefix of the keys of all leases of a region.
func Prefix(region string) string { return prefix + region + "/" }

// Key returns the key of a host's lease object.
func Key(region, name string) string { return Prefix(region) + name }

// HostName returns the host's name of a lease key, and false where key is none of region.
func HostName(region, key string) (string, bool) {
	return strings.CutPrefix(key, Prefix(region))
}

// Encode returns the object's value.
func (v Value) Encode() []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode"))
	}
	return data
}

// Decode reads an object's value. It fails on what Encode can't have made.
func Decode(data []byte) (Value, error) {
	var v Value
	if err := cbor.Unmarshal(whole(data), &v); err != nil {
		return Value{}, errors.Wrap(err, "lease: decode")
	}
	return v, nil
}

// whole returns the data of a Value that lacks Config with a 0 for it, other
// data as it is: an array's length stands in its first byte.
func whole(data []byte) []byte {
	const array, zero = 0x80, 0x00
	if len(data) == 0 || data[0] != array|earliest {
		return data
	}
	return append([]byte{array | elements}, append(data[1:len(data):len(data)], zero)...)
}

// SameGeneration reports whether both values are of the same life of the same process.
func (v Value) SameGeneration(other Value) bool {
	return v.Name == other.Name && v.Incarnation == other.Incarnation && v.Generation == other.Generation
}
