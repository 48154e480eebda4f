package peer

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/verdict"
)

// A Message is what hosts send each other. The set is closed.
type Message interface{ message() }

// Forward asks the owner of a runner to serve a completion on it. The answers
// are one Admission, Tokens from Offset on, and End; or a Refusal in place of
// what is left.
type Forward struct {
	ID       string      `cbor:"1,keyasint"`
	Ref      adapter.Ref `cbor:"2,keyasint"`
	Runner   string      `cbor:"3,keyasint"`
	Service  string      `cbor:"4,keyasint"`
	Caller   string      `cbor:"5,keyasint"`
	Weight   int         `cbor:"6,keyasint,omitempty"`
	Priority int         `cbor:"7,keyasint,omitempty"`
	Deadline time.Time   `cbor:"8,keyasint"`
	Prefix   uint64      `cbor:"9,keyasint,omitempty"`
	Tokens   int         `cbor:"10,keyasint"`
	Prompt   string      `cbor:"11,keyasint"`
	Offset   int         `cbor:"12,keyasint,omitempty"` // index of the first token wanted; above 0 only to resume
	// Fingerprint is the fingerprint of caller and body, for suspects.
	Fingerprint string `cbor:"13,keyasint,omitempty"`
}

// Admission says that the owner sends the request to the runner now.
type Admission struct {
	Waiting  int           `cbor:"1,keyasint,omitempty"` // requests queued at the owner
	Running  int           `cbor:"2,keyasint,omitempty"` // requests on the engine
	Resident bool          `cbor:"3,keyasint,omitempty"` // the adapter was resident on arrival
	Stall    time.Duration `cbor:"4,keyasint,omitempty"` // what the request waited for its adapter
}

// Token is one piece of an answer.
type Token struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Text  string
}

// End says that an answer is whole.
type End struct {
	_      struct{} `cbor:",toarray"`
	Tokens int      // tokens of the whole answer, those before the offset included
}

// Refusal ends a call in place of its answer.
type Refusal struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Code    verdict.Code    `cbor:"2,keyasint"`
	Message string          `cbor:"3,keyasint"`
	RetryAt time.Time       `cbor:"4,keyasint,omitzero"` // when coming back may help
	// CrashID, where set, says that the runner's process ended with the request in
	// progress, and names that crash as Suspect does.
	CrashID string `cbor:"5,keyasint,omitempty"`
}

// Ack answers a call that has nothing else to say.
type Ack struct{}

// Drained says that an owner has no request left on a runner that it gave up.
// The answer is Done.
type Drained struct {
	Runner string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"` // the epoch in which it owned the runner
}

// ConfigVersion says which configuration version is in force at the sender. The
// answer is Done.
type ConfigVersion struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ConfigRequest asks for the patches behind After or, while Snapshot isn't zero, for one
// part of that snapshot. The answer is Share, or a Refusal.
type ConfigRequest struct {
	After    uint64 `cbor:"1,keyasint,omitempty"`
	Snapshot uint64 `cbor:"2,keyasint,omitempty"`
	Part     int    `cbor:"3,keyasint,omitempty"`
}

// ConfigResponse answers Ask with patches as they stand in the object API, with the
// manifest of a snapshot, or with a part of one.
type ConfigResponse struct {
	Version  uint64  `cbor:"1,keyasint"` // in force at the sender
	Patches  []Patch `cbor:"2,keyasint,omitempty"`
	Snapshot uint64  `cbor:"3,keyasint,omitempty"`
	Manifest []byte  `cbor:"4,keyasint,omitempty"`
	Part     []byte  `cbor:"5,keyasint,omitempty"`
}

// Patch is one accepted patch.
type Patch struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Data   []byte
}

// Suspect says that a request was in progress when a target crashed. The
// answer is Done.
type Suspect struct {
	Fingerprint string `cbor:"1,keyasint"` // fingerprint of caller and body
	CrashID     string `cbor:"2,keyasint"` // names the crash, the same on every host
}

func (Forward) message()        {}
func (Admission) message()      {}
func (Token) message()          {}
func (End) message()            {}
func (Refusal) message()        {}
func (Ack) message()            {}
func (Drained) message()        {}
func (ConfigVersion) message()  {}
func (ConfigRequest) message()  {}
func (ConfigResponse) message() {}
func (Suspect) message()        {}

// LoadRequest asks the owner of a runner to load an adapter onto it. The answer is
// Wished once it is there, or can't be had.
type LoadRequest struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
}

// LoadResponse answers a Wish.
type LoadResponse struct {
	_       struct{} `cbor:",toarray"`
	Loaded  bool
	Loading bool   // it is on its way still
	Reason  string // why it did not arrive
	Absent  bool   // the sender orders the runner and knows that it isn't there
}

// Digest tells of requests in progress. The answer to one from a host that
// reports to the receiver is a Digest, to others Done.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	Digest relay.Digest
}

// ObjectsRequest asks for what the sender lacks of a kind of the platform's objects that
// it has up to a revision. The answer is Packed.
type ObjectsRequest struct {
	_     struct{} `cbor:",toarray"`
	Kind  string
	After uint64
}

// ObjectsResponse answers a Fetch; Data is empty where the receiver has no such objects.
type ObjectsResponse struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
}

func (ObjectsRequest) message()  {}
func (ObjectsResponse) message() {}
func (LoadRequest) message()     {}
func (LoadResponse) message()    {}
func (Digest) message()          {}
