package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxStoredBody is the maximum size of a response body that is stored in a record,
// in bytes. A record with such a body fits into an object when encoded.
const MaxStoredBody = 512 << 10

// KeyPrefix is the prefix of the key of each record.
const KeyPrefix = "call/"

// Retention is how long a record is kept after the deadline of its call. If a
// caller reuses an idempotency key after that, it starts a new call.
const Retention = 24 * time.Hour

// A State is the state of a call according to its record.
type State string

// The states of a record.
const (
	Sent State = "sent" // the attempt has been, is being or will be sent; the call may have run
	Done State = "done" // the call ran and a response was received
	Free State = "free" // no attempt so far has run or will run
)

// A Record is the stored state of one call.
type Record struct {
	State       State     `json:"state"`
	Attempt     string    `json:"attempt"`          // ID of the attempt that may send the call
	Fingerprint string    `json:"print"`            // fingerprint of method, path and body
	Deadline    time.Time `json:"until"`            // deadline of the attempt
	Expires     time.Time `json:"expires"`          // when the record may be deleted
	Response    *Response `json:"answer,omitempty"` // only in state Done
}

// A Response is the response of a target.
type Response struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"large,omitempty"` // whether the body was too large to be stored
}

// Expired reports whether the record may be deleted. A record from a version that
// wrote no expiry expires at its deadline plus Retention.
func (r Record) Expired(now time.Time) bool {
	if r.Expires.IsZero() {
		return !now.Before(r.Deadline.Add(Retention))
	}
	return !now.Before(r.Expires)
}

// ForStorage returns the response as it is stored in a record: without its body if
// that is larger than MaxStoredBody.
func (r Response) ForStorage() Response {
	if len(r.Body) > MaxStoredBody {
		r.Body, r.BodyOmitted = nil, true
	}
	return r
}

// Encode returns the record as the value of its object.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "ledger: encode record")
}

// Decode returns the record in the value of an object.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "ledger: decode record")
}

// Key returns the key of the object for an idempotency key that caller uses with
// service.
func Key(caller, service, key string) string { return KeyPrefix + digest(caller, service, key) }

// Fingerprint returns the fingerprint of a call. Requests with the same idempotency
// key must have the same fingerprint.
func Fingerprint(method, path, query string, body []byte) string {
	return digest(method, path, query, string(body))
}

// digest hashes the parts, each prefixed with its length, so that different splits
// of the same bytes have different digests.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
