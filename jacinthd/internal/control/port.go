// Package control runs the decision core on one goroutine, which owns all
// control state of the host.
//
// Traffic goroutines read an immutable View through an atomic pointer and post
// events; they never touch control state. What the core decides comes back to
// them as tickets and refusals.
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

// A Job is one completion request as the decisions see it.
type Job struct {
	ID         string // unique among all hosts
	Ref        adapter.Ref
	Service    string
	Caller     string
	Weight     int       // the caller's part when capacity is short
	Priority   int       // larger first
	Deadline   time.Time // when the answer must be complete
	PrefixHash uint64    // hash of the prompt's head, for prefix caches
	MaxTokens  int       // most tokens to generate
}

// A Candidate is a runner that may serve a job, and the host that owns it.
type Candidate struct {
	Runner      string
	Owner       string         // name of the owning host
	Peer        netip.AddrPort // the owner's peer address
	Local       bool           // this host owns the runner
	CrossRegion bool           // the runner stands in another region
}

// A Hint is what a reply says of a runner, kept for a short time.
type Hint struct {
	Waiting  int  // requests queued at the owner
	Running  int  // requests on the engine
	Resident bool // the job's adapter was resident when it was admitted
}

// An Outcome is how a job with a ticket ended: Served, Cancelled, Refused or Lost.
type Outcome interface{ outcome() }

// Served says that the engine sent the whole answer.
type Served struct{}

// Cancelled says that the engine confirmed the cancel: nothing runs any more.
type Cancelled struct{}

// Refused says that the engine refused the job: it did not run. Absent says
// that the adapter was not resident.
type Refused struct{ Absent bool }

// Lost says that the engine's connection broke and that it did not confirm a
// cancel: the job may still run there, so its pin stays until a report or a
// restart ends it.
type Lost struct{}

func (Served) outcome()    {}
func (Cancelled) outcome() {}
func (Refused) outcome()   {}
func (Lost) outcome()      {}

// A Ticket is the leave to send one job to one runner owned here. Its adapter
// is pinned until End.
type Ticket struct {
	Target target.Target
	// SendBefore is when the leave lapses: the job must be sent earlier or ended as Refused.
	SendBefore time.Time
	Hint       Hint
	Stall      time.Duration // what the job waited for its adapter to become resident
	end        func(Outcome)
}

// NewTicket returns a ticket whose first End calls end.
func NewTicket(target target.Target, before time.Time, hint Hint, stall time.Duration, end func(Outcome)) *Ticket {
	var once sync.Once
	return &Ticket{Target: target, SendBefore: before, Hint: hint, Stall: stall, end: func(outcome Outcome) {
		once.Do(func() { end(outcome) })
	}}
}

// End gives the ticket back. Calls after the first have no effect.
func (t *Ticket) End(outcome Outcome) { t.end(outcome) }

// A View is what traffic needs of the control state, immutable once published.
type View struct {
	Config *patch.Config
	// Ready says that this host takes requests: false before the first
	// configuration and from the start of a planned stop.
	Ready bool
	// Targets are the targets in force that may get new work, by service.
	Targets map[string][]target.Target
}

// A Control is what traffic asks of the control goroutine.
type Control interface {
	// View returns the newest view, never nil.
	View() *View
	// Route returns the runners to try for a job, best first; none where no
	// target fits.
	Route(job Job) []Candidate
	// Admit waits until the runner, owned by this host, has the job's adapter
	// resident and a place free. Its error is a *verdict.Error with NotRun
	// where the job was refused, its deadline passed or ctx ended.
	Admit(ctx context.Context, runner string, job Job) (*Ticket, error)
	// RecordHint records what a reply said of a runner.
	RecordHint(runner string, ref adapter.Ref, hint Hint)
	// RecordCrash records that a target's process ended with jobs in progress.
	RecordCrash(runner string, ids []string)
}
