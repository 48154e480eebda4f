package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/verdict"
)

// An Action is what a Runner asks its host to do. The kinds are the types below.
type Action interface{ action() }

// Admit lets a waiting request be sent. Its adapter is pinned until Ended.
type Admit struct {
	ID string
	// SendBy is when the leave lapses: a request not sent by then ends as NotRun.
	SendBy time.Time
	// Stall is how long the request waited for its adapter to become resident.
	Stall time.Duration
	// Resident says that the adapter was resident when the request arrived.
	Resident bool
}

// Refuse ends a waiting request, which did not run.
type Refuse struct {
	ID  string
	Err *verdict.Error
}

// Order is to be sent to the engine; Answered tells what became of it.
type Order struct {
	Number uint64 // epoch in the high 32 bits, order counter in the low ones
	Kind   Kind
	Ref    adapter.Ref // none for Fence
	// Deadline is when the order must be answered; later it counts as Unanswered.
	Deadline time.Time
}

// A Kind is what an order does.
type Kind uint8

// The kinds of orders.
const (
	Fence  Kind = iota // only raises the engine's number
	Load               // makes an adapter resident in a free slot
	Unload             // frees an adapter's slot
)

// String returns the kind's name on the wire.
func (k Kind) String() string { return [...]string{"fence", "load", "unload"}[k] }

// RequestPermit wants the weight store's permit to load Ref. A second Ask for the same
// Ref replaces the first. A runner has one Ask open at a time.
type RequestPermit struct {
	Ref      adapter.Ref
	Waiting  int       // requests that the load would serve
	Deadline time.Time // the nearest deadline among them
	Caller   string    // the least served caller among them, which the load counts for
	Weight   int       // the caller's
}

// ReturnPermit ends an Ask or gives a permit back.
type ReturnPermit struct {
	Ref adapter.Ref
	// Used says that a load was started under the permit, and has ended.
	Used bool
}

// Cancel is to be sent to the engine; a confirmed one comes back as Ended with Cancelled.
type Cancel struct{ ID string }

// RequestReport wants a fresh Reported.
type RequestReport struct{}

// OrdersFinished says that after Releasing or Leaving no order is open that could still
// take effect. Admitted requests may still run.
type OrdersFinished struct{}

// Drained says that after Releasing or Leaving no request is waiting or admitted,
// and that none of an earlier owner may still run.
type Drained struct{}

// Superseded says that the engine accepted another owner's higher number: this
// host no longer owns the runner.
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
