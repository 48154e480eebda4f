// Package call holds one request of a caller as the decisions see it, what is
// added to it on the way to a target, and what a target's answer says beside its
// body.
package call

import (
	"time"

	"jacinthstage/stage/verdict"
)

// A Call is a caller's request.
type Call struct {
	ID              string
	Budget          time.Duration // the caller waits no longer; 0 where it did not say
	Model           string
	Adapter         string    // empty for the model itself
	InputTokens     int       // prompt tokens
	MaxOutputTokens int       // the most tokens to generate
	Segments        []Segment // of the prompt, in order
}

// A Part is a piece of a prompt that requests may share.
type Segment struct {
	ID     uint64
	Tokens int
}

// A Send is what the system adds to a request that it passes on.
type ForwardParams struct {
	Target      string        // no other target may run it
	Remaining   time.Duration // what is left of the caller's time; 0 says nothing
	Priority    int           // 0 is admitted first
	Version     int           // version that the target must hold; 0 takes any
	LastEventID string        // id of the last event that the caller has, to resume a stream
}

// An Answer is what the head of a target's answer says.
type Response struct {
	ID      string // of the request that it answers
	Target  string // the target that answered, where it says
	Signed  bool   // the answer bears the signature of a run
	Encoded bool   // the body isn't as the target made it
	Verdict verdict.Verdict
	Load    TargetLoad
}

// A Load is what a target says of its load. The zero value says nothing.
type TargetLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// An Order asks a runner to load or unload a model or one of its adapters.
type Order struct {
	Kind           Operation
	Model          string
	Adapter        string // empty for the model itself
	Version        int    // of the adapter; 0 takes the newest
	Holder         string
	Fence          uint64 // fencing number
	AcceptedOrders uint64 // orders that the runner must have accepted before
	Target         string
}

// An Operation is what an order does.
type Operation uint8

// The operations of an order.
const (
	Load Operation = iota
	Unload
)

// A Reply is how a runner took an order.
type Reply uint8

// The replies to an order.
const (
	Unanswered Reply = iota // no answer: it may take effect, also later
	Accepted                // it is being carried out
	Applied                 // what was ordered holds
	Conflict                // another order is in progress or the precondition failed
	Fenced                  // a higher fencing number was seen
	Refused                 // malformed, or another target has the address
)

// A Report is what a runner says of itself.
type Report struct {
	AcceptedOrders uint64
	Running        int
	Waiting        int
	Models         []ResidentModel
	Loading        []AdapterVersion // on their way to the runner
}

// A Resident is one model that a runner holds.
type ResidentModel struct {
	Model    string
	Version  int
	Adapters []AdapterVersion
}

// An Adapter is one version of an adapter of a model.
type AdapterVersion struct {
	Model   string
	Name    string
	Version int
}
