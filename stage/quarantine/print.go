// Package quarantine keeps requests that crash targets from crashing more.
//
// A request is known by its Print, a hash of its caller and body. A request in
// progress when its target's process ends has one crash to its name; a crash
// has an id, the same on every host, so that it counts once. After the second
// crash the request is refused for good, unless each of its crashes has another
// cause: a request with two crashes, of which one has no other such request.
// Between the first and the second, and where it is excused, it
// runs only with a claim, so that all hosts together run it once at a time:
// a claim is a conditional update of the object suspect/PRINT, and without the
// object API there is none, so the request is refused as not run. A request
// that is answered whole under a claim is cleared.
//
// A claim whose host doesn't give it back within a claim's time, counted by
// each host from when it first saw it, counts as a crash.
//
// The first crash cancels the same request's other runs. What this doesn't
// bound are runs on a third target that were in progress at the first crash
// and crash it before the cancel gets there.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// KeyPrefix is the prefix of the keys of suspects.
const KeyPrefix = "suspect/"

// printSize is the length of a hash that a Print keeps, in bytes.
const printSize = 16

// A Print is the fingerprint of a request, in hex.
type Fingerprint string

// NewFingerprint returns the fingerprint of a caller's request.
func NewFingerprint(caller string, body []byte) Fingerprint {
	hash := sha256.New()
	hash.Write([]byte(caller))
	hash.Write([]byte{0})
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:printSize]))
}

// Key returns the key of the object of a suspect.
func (p Fingerprint) Key() string { return KeyPrefix + string(p) }

// ParseKey returns the fingerprint in a key, and false where key is none of a suspect.
func ParseKey(key string) (Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, KeyPrefix)
	raw, err := hex.DecodeString(text)
	return Fingerprint(text), ok && err == nil && len(raw) == printSize
}

// A Record is the object of a suspect.
type Record struct {
	Crashes []string  `json:"crashes"` // ids of crashes, sorted
	Holder  string    `json:"holder,omitempty"`
	Claim   string    `json:"claim,omitempty"` // id of the request that Holder runs
	Expires time.Time `json:"expires"`
}

// Encode returns the object's value.
func (r Record) Encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "quarantine: encode"))
	}
	return data
}

// Decode reads an object's value.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "quarantine: decode")
	}
	r.Crashes, r.Expires = merge(nil, r.Crashes), r.Expires.UTC()
	return r, nil
}

// merge returns the ids of both, sorted, no more than are kept.
func merge(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), kept)]
}
