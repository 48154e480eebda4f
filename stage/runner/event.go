package runner

import (
	"time"

	"jacinthstage/stage/adapter"
)

// An Event is an input to a Runner. The kinds of events are the types below.
type Event interface{ event() }

// Owned reports that this host owns the runner from now on. With the epoch that
// the Runner already has, it ends a stop that HandoverStarted or TargetRemoved
// began.
type Owned struct {
	// Epoch is the fencing epoch of the assignment, which forms the high bits of
	// the number of each order.
	Epoch uint32
	// Inherited reports whether requests of another owner, or of an earlier
	// incarnation of this host, may still run.
	Inherited bool
	// Continuous reports whether this process has handled the runner all along,
	// so that it knows what runs there. An example is an expiry of the lease during
	// which no other host took the runner over.
	Continuous bool
	// LatestDeadline is the latest deadline that an inherited request can carry.
	LatestDeadline time.Time
	// LeaseEnd is when the lease of this host ends unless LeaseRenewed extends it.
	LeaseEnd time.Time
}

// LeaseRenewed reports that the lease of this host now ends at LeaseEnd.
type LeaseRenewed struct{ LeaseEnd time.Time }

// LeaseExpired reports that this host can't tell whether it still holds its
// lease, for example after a pause. A fenced runner continues as long as the
// engine accepts its number. An unfenced runner stops until LeaseRenewed.
type LeaseExpired struct{}

// RequestArrived reports that a request waits for the runner.
type RequestArrived struct {
	ID        string // unique among all hosts
	Ref       adapter.Ref
	Caller    string
	Weight    int       // share of the caller when capacity is short; 0 counts as 1
	Priority  int       // requests with a larger priority go first
	Deadline  time.Time // when the answer must be complete
	MaxTokens int       // maximum number of tokens to generate
}

// CallerLeft reports that the caller of a waiting request has disconnected. The
// request is refused if it still waits. A request that was already admitted ends
// by RequestEnded.
type CallerLeft struct{ ID string }

// RequestEnded releases the pin of an admitted request, or confirms a Cancel.
type RequestEnded struct {
	ID      string
	Outcome Outcome
}

// An Outcome is how an admitted request ended.
type Outcome uint8

// The outcomes. The zero value is Lost, the one that guarantees nothing.
const (
	Lost      Outcome = iota // the request may still run, so its pin stays
	Served                   // the engine sent the complete answer
	Cancelled                // the engine confirmed a cancel
	NotRun                   // not sent, or refused by the engine
	Absent                   // refused by the engine: the adapter is not resident
)

// PermitGranted is the weight store's permit to start a load of Ref.
type PermitGranted struct {
	Ref adapter.Ref
	// Expires is when the permit expires unless the load was started.
	Expires time.Time
}

// PermitDenied reports that no permit is available before RetryAt.
type PermitDenied struct {
	Ref     adapter.Ref
	RetryAt time.Time
}

// Answered reports the result of an Order.
type Answered struct {
	Number        uint64 // number of the order
	Answer        Answer
	HighestNumber uint64 // highest number that the engine has accepted, if it reported one
	Incarnation   string // incarnation of the engine, if it reported one
}

// An Answer is the engine's answer to an order.
type Answer uint8

// The answers. The zero value is Unanswered: the order may take effect until a
// later one is answered or, on an engine without fencing, until its deadline.
// Unanswered is reported only after the connection of the order has ended.
const (
	Unanswered Answer = iota
	Done              // the order took effect
	Fenced            // refused: an equal or higher number was accepted before
	Full              // refused: no free slot
	Failed            // the load failed
	Missing           // refused: the adapter is not resident
)

// ReportReceived delivers a report that the engine made some time ago.
type ReportReceived struct{ Report Report }

// A Report describes the state of an engine.
type Report struct {
	Number      uint64    // highest order number accepted when the report was made
	CreatedAt   time.Time // on the engine's clock
	Incarnation string
	Slots       []OccupiedSlot
}

// OccupiedSlot is a slot of a Report that holds an adapter.
type OccupiedSlot struct {
	Ref      adapter.Ref
	Loading  bool     // not yet resident
	Requests []string // IDs of the requests that run on the adapter
}

// EngineRestarted reports that the engine runs with empty slots as a new
// incarnation.
type EngineRestarted struct{ Incarnation string }

// PreviousOwnerDrained reports that the previous owner confirmed that none of
// its requests runs.
type PreviousOwnerDrained struct{}

// HandoverStarted starts a planned handover. No new request is admitted, and
// Drained follows once all requests have ended.
type HandoverStarted struct{}

// TargetRemoved reports that the target is being removed. Waiting requests are
// refused, and Drained follows once the admitted requests have ended.
type TargetRemoved struct{}

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (Owned) event()                {}
func (LeaseRenewed) event()         {}
func (LeaseExpired) event()         {}
func (RequestArrived) event()       {}
func (CallerLeft) event()           {}
func (RequestEnded) event()         {}
func (PermitGranted) event()        {}
func (PermitDenied) event()         {}
func (Answered) event()             {}
func (ReportReceived) event()       {}
func (EngineRestarted) event()      {}
func (PreviousOwnerDrained) event() {}
func (HandoverStarted) event()      {}
func (TargetRemoved) event()        {}
func (Tick) event()                 {}
