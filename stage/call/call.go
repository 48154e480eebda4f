// Package call defines the part of a caller's request that routing decisions
// depend on, the metadata that is added when the request is forwarded to a
// target, and the metadata of the target's response. It also defines the orders
// that are sent to runners, and the runners' replies and reports.
package call

import (
	"strconv"
	"time"

	"jacinthstage/stage/account"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/verdict"
)

// A Call is a caller's request.
type Call struct {
	ID              string
	Key             account.Key   // by which the caller proves its client account; empty if it gave none
	Budget          time.Duration // how long the caller waits; 0 if it did not say
	Model           string
	Adapter         string    // empty for the base model itself
	InputTokens     int       // tokens of the prompt
	MaxOutputTokens int       // most tokens to generate
	Segments        []Segment // of the prompt, in order
	Resumes         string    // ID of the request that brought the first event of the stream that this one takes up; empty if it takes up none
	LastEventID     string    // ID of the last event of that stream that the caller has
}

// SharedSegments returns the segments that other requests may have as well: all but the
// last one, which belongs to the request or its session.
func (c Call) SharedSegments() []Segment { return c.Segments[:max(0, len(c.Segments)-1)] }

// A Segment is a part of a prompt that requests may share.
type Segment struct {
	ID     uint64
	Tokens int
}

// String returns the segment's ID in hexadecimal, as callers write it.
func (s Segment) String() string { return strconv.FormatUint(s.ID, 16) }

// ForwardParams is the metadata that is added to a request when it is forwarded
// to a target.
type ForwardParams struct {
	Target      string        // the only target that may run the request
	Remaining   time.Duration // remaining time of the caller; 0 if unknown
	Priority    int           // requests of priority 0 are admitted first
	Version     int           // adapter version that the target must hold; 0 accepts any
	Accounts    bool          // the configuration has client accounts: the caller's key is taken off
	Account     string        // name of the caller's client account; empty if it has none
	LastEventID string        // id of the last event that the caller received, to resume a stream
}

// A Response is the metadata in the head of a target's response.
type Response struct {
	ID      string // of the request that the response belongs to
	Target  string // the target that responded, if the response names it
	Signed  bool   // the response carries the signature of a run
	Encoded bool   // the body is not as the target produced it
	Verdict verdict.Verdict
	Load    TargetLoad
	Notice  notice.Notice
}

// A TargetLoad is the load that a target reports. The zero value means that the
// load is unknown.
type TargetLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes on the target's machine at the moment,
	// as told by the target. It is 0 if the target didn't tell, and otherwise positive and finite.
	Slowdown float64
}

// An Order asks a runner to load or unload a model or one of its adapters.
type Order struct {
	Kind           Operation
	Model          string
	Adapter        string // empty for the base model itself
	Version        int    // of the adapter; 0 selects the newest
	Holder         string // name of the runner's owner
	Fence          uint64 // fencing number
	AcceptedOrders uint64 // precondition: number of orders that the runner must have accepted so far
	Target         string
}

// An Operation is what an order does.
type Operation uint8

// The operations of an order.
const (
	Load Operation = iota
	Unload
)

// A Reply is a runner's reply to an order.
type Reply uint8

// The replies to an order.
const (
	Unanswered Reply = iota // no reply arrived; the order may take effect, even later
	Accepted                // the order is being carried out
	Applied                 // the runner is in the ordered state
	Conflict                // another order is in progress or the precondition failed
	Fenced                  // the runner has seen a higher fencing number
	Refused                 // the order is malformed or another target has the address
)

// A Report is a runner's report of its state.
type Report struct {
	AcceptedOrders uint64 // number of orders that the runner has accepted
	Running        int
	Waiting        int
	Models         []ResidentModel
	Loading        []AdapterVersion // adapters that the runner is loading
}

// A ResidentModel is a model that a runner holds.
type ResidentModel struct {
	Model    string
	Version  int
	Adapters []AdapterVersion
}

// An AdapterVersion is one version of an adapter of a model.
type AdapterVersion struct {
	Model   string
	Name    string
	Version int
}

// Source returns the kind of answer that the response is.
func (r Response) Source() notice.Source {
	if r.Verdict == verdict.Ran {
		return notice.Run
	}
	return notice.Other
}
