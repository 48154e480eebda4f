// Package quarantine limits how many targets a request can crash.
//
// A request is identified by its Fingerprint, a hash of its caller and body. When
// the process of a target ends, the crash counts against each request that was in
// progress there. A crash has the same ID on every host, so that it counts once.
// After its second crash a request is refused permanently, unless each of its
// crashes is attributed to another request. A crash is attributed to a request that
// has two crashes or more and is the only such request in one of them. After its
// first crash, and while all its crashes are attributed to others, a request runs
// only with a claim, so that at most one run is in progress on all hosts together.
// A claim is a conditional update of the object suspect/FINGERPRINT. Without the
// object API there is no claim, so the request is refused as not run. A request
// that gets a complete response under a claim is cleared.
//
// If the host of a claim does not release it within claimDuration, counted by each
// host from when it first saw the claim, the claim counts as a crash.
//
// The first crash cancels the other runs of the same request. This does not bound
// runs on a third target that were in progress at the first crash and crash it
// before the cancellation arrives.
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

// KeyPrefix is the prefix of the keys of the objects of suspects.
const KeyPrefix = "suspect/"

// fingerprintSize is the number of bytes of the hash in a Fingerprint.
const fingerprintSize = 16

// A Fingerprint identifies a request. It is a truncated hash in hexadecimal.
type Fingerprint string

// NewFingerprint returns the fingerprint of a caller's request with the given body.
func NewFingerprint(caller string, body []byte) Fingerprint {
	hash := sha256.New()
	hash.Write([]byte(caller))
	hash.Write([]byte{0})
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintSize]))
}

// Key returns the key of the object of the suspect.
func (fp Fingerprint) Key() string { return KeyPrefix + string(fp) }

// ParseKey returns the fingerprint in the key of a suspect's object. It returns false
// if key is not such a key.
func ParseKey(key string) (Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, KeyPrefix)
	raw, err := hex.DecodeString(text)
	return Fingerprint(text), ok && err == nil && len(raw) == fingerprintSize
}

// A Record is the stored state of a suspect.
type Record struct {
	Crashes []string  `json:"crashes"`          // IDs of crashes, sorted
	Holder  string    `json:"holder,omitempty"` // host that holds the claim
	Claim   string    `json:"claim,omitempty"`  // ID of the request that Holder runs
	Expires time.Time `json:"expires"`
}

// Encode returns the record as the value of its object.
func (r Record) Encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "quarantine: encode record"))
	}
	return data
}

// Decode returns the record in the value of an object.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "quarantine: decode record")
	}
	r.Crashes, r.Expires = mergeCrashes(nil, r.Crashes), r.Expires.UTC()
	return r, nil
}

// mergeCrashes returns the crash IDs of a and b, sorted and limited to maxCrashIDs.
func mergeCrashes(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashIDs)]
}
