package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/verdict"
)

// An Action is something that a Runner asks its host to do. The kinds of actions
// are the types below.
type Action interface{ action() }

// Admit allows the host to send a waiting request. Its adapter is pinned until
// RequestEnded.
type Admit struct {
	ID string
	// SendBy is when the admission expires. A request that was not sent by then
	// ends as NotRun.
	SendBy time.Time
	// Stall is how long the request waited for its adapter to become resident.
	Stall time.Duration
	// Resident reports whether the adapter was resident when the request arrived.
	Resident bool
}

// Refuse ends a waiting request that did not run.
type Refuse struct {
	ID  string
	Err *verdict.Error
}

// Order is an order to be sent to the engine. Answered reports its result.
type Order struct {
	Number uint64 // epoch in the high 32 bits, order counter in the low 32 bits
	Kind   Kind
	Ref    adapter.Ref // not set for Fence
	// Deadline is when the order must be answered. After it, the order counts as
	// Unanswered.
	Deadline time.Time
}

// A Kind is the kind of an order.
type Kind uint8

// The kinds of orders.
const (
	Fence  Kind = iota // only raises the highest number that the engine has accepted
	Load               // loads an adapter into a free slot
	Unload             // frees the slot of an adapter
)

// String returns the name of the kind as used on the wire.
func (k Kind) String() string { return [...]string{"fence", "load", "unload"}[k] }

// RequestPermit requests the weight store's permit to load Ref. A second
// RequestPermit for the same Ref replaces the first. A runner has at most one
// permit request open at a time.
type RequestPermit struct {
	Ref      adapter.Ref
	Waiting  int       // number of requests that the load would serve
	Deadline time.Time // the nearest deadline among them
	Caller   string    // the least served caller among them, to which the load is charged
	Weight   int       // weight of that caller
}

// ReturnPermit withdraws a RequestPermit or returns a granted permit.
type ReturnPermit struct {
	Ref adapter.Ref
	// Used reports whether a load was started under the permit and has ended.
	Used bool
}

// Cancel is a cancel to be sent to the engine. When the engine confirms it, the
// host reports RequestEnded with the outcome Cancelled.
type Cancel struct{ ID string }

// RequestReport requests a new ReportReceived.
type RequestReport struct{}

// OrdersFinished reports that, after HandoverStarted or TargetRemoved, no order
// is open that could still take effect. Admitted requests may still run.
type OrdersFinished struct{}

// Drained reports that, after HandoverStarted or TargetRemoved, no request is
// waiting or admitted, and no request of a previous owner may still run.
type Drained struct{}

// Superseded reports that the engine accepted a higher number from another
// owner: this host no longer owns the runner.
type Superseded struct{ Number uint64 }

func (Admit) action()          {}
func (Refuse) action()         {}
func (Order) action()          {}
func (RequestPermit) action()  {}
func (ReturnPermit) action()   {}
func (Cancel) action()         {}
func (RequestReport) action()  {}
func (OrdersFinished) action() {}
func (Drained) action()        {}
func (Superseded) action()     {}
