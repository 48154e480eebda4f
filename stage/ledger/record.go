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

// MaxStoredBody is the longest body of an answer that a record keeps, in bytes.
// Encoded it fits into an object.
const MaxStoredBody = 512 << 10

// KeyPrefix begins the key of each record.
const KeyPrefix = "call/"

// Retention is how long a record is kept after its call's deadline. A key that
// a caller uses again later is a new call.
const Retention = 24 * time.Hour

// A State is what a record says of its call.
type State string

// The states of a record.
const (
	Sent State = "sent" // the attempt was, is being or will be sent: the call may have run
	Done State = "done" // the call ran and was answered
	Free State = "free" // no attempt so far ran, and none will
)

// A Record is the object of one call.
type Record struct {
	State       State     `json:"state"`
	Attempt     string    `json:"attempt"`          // who may send the call
	Fingerprint string    `json:"print"`            // fingerprint of method, path and body
	Deadline    time.Time `json:"until"`            // deadline of the attempt
	Expires     time.Time `json:"expires"`          // when it may be deleted
	Response    *Response `json:"answer,omitempty"` // where Done
}

// An Answer is a target's answer.
type Response struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"large,omitempty"` // the body was too long to be kept
}

// Expired reports whether the record may be deleted. A record written before
// there was an expiry has the one that its deadline gives.
func (r Record) Expired(now time.Time) bool {
	if r.Expires.IsZero() {
		return !now.Before(r.Deadline.Add(Retention))
	}
	return !now.Before(r.Expires)
}

// ForStorage returns the answer as a record keeps it: without a body over MaxAnswer.
func (a Response) ForStorage() Response {
	if len(a.Body) > MaxStoredBody {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// Encode returns the record's object.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "ledger")
}

// Decode reads a record's object.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "ledger")
}

// Key returns the key of the object for a caller's idempotency key at a service.
func Key(caller, service, key string) string { return KeyPrefix + digest(caller, service, key) }

// Fingerprint returns the fingerprint of a call; two calls with one key must have the same.
func Fingerprint(method, path, query string, body []byte) string {
	return digest(method, path, query, string(body))
}

// digest hashes the parts with their lengths, so that none runs into the next.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
