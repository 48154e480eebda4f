// Package control runs the decision core on a single goroutine, which owns all
// control state of the host.
//
// Traffic goroutines read an immutable View through an atomic pointer and send
// messages to the control goroutine. They never access control state. The core's
// decisions are returned to them as tickets and refusals.
package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/target"
)

// A Job describes a completion request to the decision core.
type Job struct {
	ID         string // unique among all hosts
	Ref        adapter.Ref
	Service    string
	Caller     string
	Weight     int       // the caller's share when capacity is short
	Priority   int       // higher is served first
	Deadline   time.Time // when the answer must be complete
	PrefixHash uint64    // hash of the start of the prompt, for prefix caches
	MaxTokens  int       // maximum number of tokens to generate
}

// A Candidate is a runner that can serve a job, and the host that owns it.
type Candidate struct {
	Runner      string
	Owner       string         // name of the owning host
	Peer        netip.AddrPort // the owner's peer address
	Local       bool           // this host owns the runner
	CrossRegion bool           // the runner is in another region
}

// A Hint is the load of a runner as an owner's reply reports it. Routing uses it
// for a short time.
type Hint struct {
	Waiting  int  // requests queued at the owner
	Running  int  // requests on the engine
	Resident bool // the job's adapter was resident when the job arrived
}

// An Outcome is how a job with a ticket ended: Served, Cancelled, Refused or Lost.
type Outcome interface{ outcome() }

// Served means that the engine sent the complete answer.
type Served struct{}

// Cancelled means that the engine confirmed the cancel, so that the job no longer
// runs.
type Cancelled struct{}

// Refused means that the job did not run: it was not sent, or the engine refused
// it. Absent is set if the engine refused it because the adapter was not resident.
type Refused struct{ Absent bool }

// Lost means that the connection to the engine broke and that the engine did not
// confirm a cancel. The job may still run there, so its pin is kept until a report
// or a restart of the engine shows that it has ended.
type Lost struct{}

func (Served) outcome()    {}
func (Cancelled) outcome() {}
func (Refused) outcome()   {}
func (Lost) outcome()      {}

// A Ticket permits sending one job to one runner that this host owns. The job's
// adapter is pinned until End.
type Ticket struct {
	Target target.Target
	// SendBefore is when the permission to send expires. A job that has not been
	// sent by then must be ended as Refused.
	SendBefore time.Time
	Hint       Hint
	Stall      time.Duration // how long the job waited for its adapter to become resident
	end        func(Outcome)
}

// NewTicket returns a ticket. The first call of its End method calls end; later
// calls do nothing.
func NewTicket(target target.Target, sendBefore time.Time, hint Hint, stall time.Duration, end func(Outcome)) *Ticket {
	var once sync.Once
	return &Ticket{Target: target, SendBefore: sendBefore, Hint: hint, Stall: stall, end: func(outcome Outcome) {
		once.Do(func() { end(outcome) })
	}}
}

// End reports the job's outcome and returns the ticket. Calls after the first have
// no effect.
func (t *Ticket) End(outcome Outcome) { t.end(outcome) }

// A View is the part of the control state that traffic reads. It is immutable once
// published.
type View struct {
	Config *patch.Config
	// Ready is set if this host accepts requests: not before the first
	// configuration, nor after the start of a planned stop.
	Ready bool
	// Targets are the configured targets that accept new work, by service and
	// sorted by name.
	Targets map[string][]target.Target
}

// A Control is the interface of the control goroutine to traffic.
type Control interface {
	// View returns the latest view, which is never nil.
	View() *View
	// Route returns the runners to try for a job, best first. The result is empty
	// if no target can serve the job.
	Route(job Job) []Candidate
	// Admit waits until the runner, which this host must own, has the job's
	// adapter resident and a free batch slot. If the job is refused, its deadline
	// passes or ctx ends, the error is a *verdict.Error with verdict NotRun.
	Admit(ctx context.Context, runner string, job Job) (*Ticket, error)
	// RecordHint records the load of a runner as a reply reported it.
	RecordHint(runner string, ref adapter.Ref, hint Hint)
	// RecordCrash records that a target's process crashed with jobs in progress.
	RecordCrash(runner string, ids []string)
}
