package runner

import (
	"time"

	"jacinthstage/stage/adapter"
)

// An Event is what a Runner is told. The kinds are the types below.
type Event interface{ event() }

// Owned says that this host owns the runner from now on. At an epoch that it has
// already, it ends a stop by Releasing or Leaving.
type Owned struct {
	// Epoch is the assignment's fencing epoch, the high bits of each order's number.
	Epoch uint32
	// Inherited says that requests of another owner, or of an earlier
	// incarnation of this host, may still run.
	Inherited bool
	// Continuous says that this process has had the runner all along, so that it knows
	// what runs there: as after a lapse in which nobody took the runner over.
	Continuous bool
	// LatestDeadline is the latest deadline that such a request can carry.
	LatestDeadline time.Time
	// LeaseEnd is when this host's lease ends unless Renewed.
	LeaseEnd time.Time
}

// LeaseRenewed says that this host's lease now ends at Lease.
type LeaseRenewed struct{ LeaseEnd time.Time }

// LeaseLapsed says that this host can't tell whether it still holds its lease, as
// after a pause. A fenced runner goes on while the engine accepts its number;
// another one stops until Renewed.
type LeaseLapsed struct{}

// RequestArrived says that a request waits for the runner.
type RequestArrived struct {
	ID        string // unique among all hosts
	Ref       adapter.Ref
	Caller    string
	Weight    int       // the caller's part when capacity is short; 0 counts as 1
	Priority  int       // larger first
	Deadline  time.Time // when the answer must be complete
	MaxTokens int       // most tokens to generate
}

// CallerLeft says that the caller of a waiting request has left. The request is
// refused if it still waits; one that was admitted ends by Ended.
type CallerLeft struct{ ID string }

// RequestEnded gives the pin of an admitted request back, or confirms a Cancel.
type RequestEnded struct {
	ID      string
	Outcome Outcome
}

// An Outcome is how an admitted request ended.
type Outcome uint8

// The outcomes. The zero value is Lost, the one that promises nothing.
const (
	Lost      Outcome = iota // the request may still run: its pin stays
	Served                   // the engine sent the whole answer
	Cancelled                // the engine confirmed a cancel
	NotRun                   // not sent, or refused by the engine
	Absent                   // refused by the engine: the adapter is not resident
)

// PermitGranted is the weight store's permit to start a load of Ref.
type PermitGranted struct {
	Ref adapter.Ref
	// Expires is when the permit lapses unless the load was started.
	Expires time.Time
}

// PermitDenied says that no permit is to be had before Again.
type PermitDenied struct {
	Ref     adapter.Ref
	RetryAt time.Time
}

// Answered is what became of an Order.
type Answered struct {
	Number        uint64 // of the order
	Answer        Answer
	HighestNumber uint64 // the highest number that the engine accepted, where it said so
	Incarnation   string // of the engine, where it said so
}

// An Answer is the engine's answer to an order.
type Answer uint8

// The answers. The zero value is Unanswered: the order may take effect until a
// later one is answered, or, on an engine without fencing, until its deadline.
// Unanswered is told only once the order's connection has ended.
const (
	Unanswered Answer = iota
	Done              // it took effect
	Fenced            // refused: a number as high was accepted before
	Full              // refused: no free slot
	Failed            // the load failed
	Missing           // refused: the adapter is not resident
)

// ReportReceived is a report that the engine made some time ago.
type ReportReceived struct{ Report Report }

// A Report is what an engine says of itself.
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
	Requests []string // IDs of the requests that run on it
}

// EngineRestarted says that the engine runs with empty slots as a new incarnation.
type EngineRestarted struct{ Incarnation string }

// PreviousOwnerDrained says that the earlier owner confirmed that none of its requests runs.
type PreviousOwnerDrained struct{}

// HandoverStarted starts a planned handover: nothing new is admitted, and Empty
// follows once all requests have ended.
type HandoverStarted struct{}

// TargetRemoved says that the target leaves: waiting requests are refused, and Empty
// follows once the admitted ones have ended.
type TargetRemoved struct{}

// Tick says that the time of Next has come.
type Tick struct{}

func (Owned) event()                {}
func (LeaseRenewed) event()         {}
func (LeaseLapsed) event()          {}
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
