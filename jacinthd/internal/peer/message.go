package peer

import (
	"net/netip"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/verdict"
)

// A Message is a message between hosts. Only the types of this package
// implement it.
type Message interface{ message() }

// Forward asks the owner of a runner to serve a completion on it. The responses
// are one Admission, the Tokens from Offset on, and an End. A Refusal replaces the
// remaining responses.
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
	Offset   int         `cbor:"12,keyasint,omitempty"` // index of the first token to return; above 0 only to resume
	// Fingerprint is the fingerprint of caller and body, which identifies a
	// request that is suspected of crashing targets.
	Fingerprint string `cbor:"13,keyasint,omitempty"`
}

// Admission reports that the owner is now sending the request to the runner.
type Admission struct {
	Waiting  int           `cbor:"1,keyasint,omitempty"` // requests queued at the owner
	Running  int           `cbor:"2,keyasint,omitempty"` // requests running on the engine
	Resident bool          `cbor:"3,keyasint,omitempty"` // whether the adapter was resident when the request arrived
	Stall    time.Duration `cbor:"4,keyasint,omitempty"` // how long the request waited for its adapter
}

// Token is one token of a completion.
type Token struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Text  string
}

// End marks the end of a complete completion.
type End struct {
	_      struct{} `cbor:",toarray"`
	Tokens int      // number of tokens in the whole completion, including those before the offset
}

// Refusal ends a call with an error.
type Refusal struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Code    verdict.Code    `cbor:"2,keyasint"`
	Message string          `cbor:"3,keyasint"`
	RetryAt time.Time       `cbor:"4,keyasint,omitzero"` // when a retry may succeed
	// CrashID, if set, means that the runner's process ended while the request was
	// in progress. It identifies the crash as in Suspect.
	CrashID string `cbor:"5,keyasint,omitempty"`
}

// Ack is the empty response.
type Ack struct{}

// Drained reports that the sender has no requests left on a runner that it no
// longer owns. The response is an Ack.
type Drained struct {
	Runner string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"` // epoch in which the sender owned the runner
}

// ConfigVersion reports the configuration version in force at the sender. The
// response is an Ack.
type ConfigVersion struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ConfigRequest asks for the patches after version After or, if Snapshot isn't
// zero, for one part of that snapshot. The response is a ConfigResponse or a
// Refusal.
type ConfigRequest struct {
	After    uint64 `cbor:"1,keyasint,omitempty"`
	Snapshot uint64 `cbor:"2,keyasint,omitempty"`
	Part     int    `cbor:"3,keyasint,omitempty"`
}

// ConfigResponse answers a ConfigRequest with patches as they are stored in the
// object API, with the manifest of a snapshot, or with a part of one.
type ConfigResponse struct {
	Version  uint64  `cbor:"1,keyasint"` // version in force at the sender
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

// Suspect reports that a request was in progress when a target crashed. The
// response is an Ack.
type Suspect struct {
	Fingerprint string `cbor:"1,keyasint"` // fingerprint of caller and body
	CrashID     string `cbor:"2,keyasint"` // identifies the crash; the same on every host
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

// LoadRequest asks the owner of a runner to load an adapter onto it. The response
// is a LoadResponse, sent when the adapter is loaded, when it can't be loaded, or
// when the owner stops waiting for the load.
type LoadRequest struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
}

// LoadResponse answers a LoadRequest.
type LoadResponse struct {
	_       struct{} `cbor:",toarray"`
	Loaded  bool
	Loading bool   // the load is still in progress
	Reason  string // why the adapter isn't loaded
	Absent  bool   // the sender issues the orders to the runner and knows that the adapter isn't on it
}

// Digest reports the requests in progress. The response to a host that reports to
// the receiver is a Digest, and to any other host an Ack.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	Digest relay.Digest
	Extra  relay.Extra `wire:"later"`
	// Earlier means that the receiver is of a build before 0c2534b. It is not sent.
	Earlier bool `cbor:"-"`
}

// ObjectsRequest asks for the platform objects of a kind that changed after a
// revision, up to which the sender has them. The response is an ObjectsResponse.
type ObjectsRequest struct {
	_     struct{} `cbor:",toarray"`
	Kind  string
	After uint64
}

// ObjectsResponse answers an ObjectsRequest. Data is empty if the responder has no
// objects of that kind.
type ObjectsResponse struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
}

// StreamBegan reports where a stream began. The response is an Ack.
type StreamBegan struct {
	_      struct{} `cbor:",toarray"`
	Origin origin.Origin
}

// OriginRequest asks where a stream of a service began. The response is an OriginResponse.
type OriginRequest struct {
	_       struct{} `cbor:",toarray"`
	Stream  origin.Stream
	Service string
}

// OriginResponse answers an OriginRequest.
type OriginResponse struct {
	_      struct{} `cbor:",toarray"`
	Known  bool
	Origin origin.Origin // if Known
	// OnlyBuild is the only build of the service's targets that the responder has seen in
	// the last Watched milliseconds. If Watched is 0, it is one of several that the responder
	// has seen lately; both are empty if it has seen none, or is of an earlier build.
	OnlyBuild string
	Watched   uint64
}

// ProxyRequest asks the receiver to send a request to a target on behalf of the sender, which
// can't reach the target. ProxyData with the body follows it. The responses are one ProxyHead,
// ProxyData with the body of the target's answer, and a ProxyEnd; or only a ProxyRefusal.
type ProxyRequest struct {
	_          struct{} `cbor:",toarray"`
	Target     string
	Service    string
	Address    netip.AddrPort
	Started    int64 // when the target's process started, in Unix milliseconds
	ID         string
	Method     string
	RequestURI string
	Host       string
	Header     []byte // as in HTTP/1.1
	Size       int    // bytes of the body
	AtMostOnce bool
	Left       uint64 // milliseconds until the deadline
}

// ProxyData is a part of a body, which is not empty.
type ProxyData struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
}

// ProxyHead is the head of a target's answer.
type ProxyHead struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Header []byte // as in HTTP/1.1
	First  bool   // the answer is the first on its connection
}

// ProxyEnd ends the answer to a ProxyRequest that was sent.
type ProxyEnd struct {
	_      struct{} `cbor:",toarray"`
	Broken string   // why the answer isn't complete; empty if it is
	Ended  bool     // the target's process has ended
}

// ProxyRefusal says that a request was not sent, and never will be.
type ProxyRefusal struct {
	_      struct{} `cbor:",toarray"`
	Reason ProxyReason
	Cause  string
}

// A ProxyReason says why a host didn't send a request for another one.
type ProxyReason uint8

// The reasons.
const (
	ProxyUnavailable ProxyReason = iota // the host takes no requests of others now, or reaches no target itself
	TargetUnreached                     // it could not connect to the target
	TargetUnwilling                     // the target takes no requests from it now
)

func (ProxyRequest) message()    {}
func (ProxyData) message()       {}
func (ProxyHead) message()       {}
func (ProxyEnd) message()        {}
func (ProxyRefusal) message()    {}
func (StreamBegan) message()     {}
func (OriginRequest) message()   {}
func (OriginResponse) message()  {}
func (ObjectsRequest) message()  {}
func (ObjectsResponse) message() {}
func (LoadRequest) message()     {}
func (LoadResponse) message()    {}
func (Digest) message()          {}
