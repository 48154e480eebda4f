package control

import (
	"fmt"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/host"
	"jacinthstage/stage/load"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/store"
)

// A message carries an event or a request to the control goroutine.
type message interface{ message() }

// jobArrived adds a job that waits for a runner owned here.
type jobArrived struct {
	runner string
	job    Job
	reply  chan decision
}

// jobAbandoned reports that the caller no longer waits for the job's decision.
type jobAbandoned struct {
	runner string
	id     string
}

// jobEnded returns a job's ticket.
type jobEnded struct {
	owner   *ownership
	id      string
	outcome Outcome
}

// orderAnswered is the outcome of an order to an engine.
type orderAnswered struct {
	owner *ownership
	event runner.Answered
}

// reportReceived carries an engine's report, nil if the engine didn't answer.
type reportReceived struct {
	owner  *ownership
	report *runner.Report
}

// cancelConfirmed reports that the engine confirmed a cancel.
type cancelConfirmed struct {
	owner *ownership
	id    string
}

// engineCrashed reports that a target's process crashed with jobs in progress.
type engineCrashed struct {
	runner string
	ids    []string
}

// storeCallDone carries the result of the membership's call on the object API.
type storeCallDone struct{ event host.Event }

// tableChanged carries a region's assignment table, as read or watched.
type tableChanged struct {
	region string
	object store.Object
}

// presenceListed carries the platform's list of hosts and targets.
type presenceListed struct{ all []store.Presence }

// configPublished carries a new configuration.
type configPublished struct{ config *patch.Config }

// runnerDrained reports that an earlier owner has no request left on a runner.
type runnerDrained struct {
	runner string
	epoch  uint32
}

// permitsRequested is another host's request for permits to this host as the
// grantor.
type permitsRequested struct {
	request load.Request
	reply   chan load.Reply
}

// permitsReceived is the grantor's reply to this host's request for permits.
type permitsReceived struct{ reply load.Reply }

// requestRouted reports a request that was routed to a runner of a service.
type requestRouted struct {
	service string
	ref     adapter.Ref
}

// drainReported reports that the call that reports a drain to the new owner has
// ended, whether it succeeded or not.
type drainReported struct{}

// drainWaitStarted asks for done to be closed once no request is left on released
// runners and the new owners have been notified.
type drainWaitStarted struct{ done chan struct{} }

// stopRequested starts a planned stop.
type stopRequested struct{}

func (jobArrived) message()       {}
func (jobAbandoned) message()     {}
func (jobEnded) message()         {}
func (orderAnswered) message()    {}
func (reportReceived) message()   {}
func (cancelConfirmed) message()  {}
func (engineCrashed) message()    {}
func (storeCallDone) message()    {}
func (tableChanged) message()     {}
func (presenceListed) message()   {}
func (configPublished) message()  {}
func (runnerDrained) message()    {}
func (permitsRequested) message() {}
func (permitsReceived) message()  {}
func (requestRouted) message()    {}
func (drainReported) message()    {}
func (drainWaitStarted) message() {}
func (stopRequested) message()    {}

// blocker is a message that blocks the control goroutine. Tests use it to pause a
// host.
type blocker interface {
	message
	block()
}

// handle processes one message on the control goroutine.
func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case jobArrived:
		l.enqueueJob(m)
	case jobAbandoned:
		l.abandonJob(m)
	case jobEnded:
		l.endJob(m)
	case orderAnswered:
		l.stepRunner(m.owner, m.event)
	case reportReceived:
		l.handleReport(m)
	case cancelConfirmed:
		l.stepRunner(m.owner, runner.RequestEnded{ID: m.id, Outcome: runner.Cancelled})
	case engineCrashed:
		l.handleCrash(m)
	case storeCallDone:
		l.stepMember(m.event)
	case tableChanged:
		l.updateTable(m)
	case presenceListed:
		l.updatePresence(m.all)
	case configPublished:
		l.applyConfig(m.config)
	case runnerDrained:
		l.handleDrain(m)
	case permitsRequested:
		l.permits.answer(l, m)
	case permitsReceived:
		l.permits.step(l, load.ReplyReceived{Reply: m.reply})
	case requestRouted:
		l.countRequest(m)
	case drainReported:
		l.pendingDrainReports--
		l.notifyDrainWaits()
	case drainWaitStarted:
		l.drainWaits = append(l.drainWaits, m.done)
		l.notifyDrainWaits()
	case blocker:
		m.block()
	case stopRequested:
		l.stopping = true
		l.dirty = true
		l.stepMember(host.Stop{})
	default:
		panic(fmt.Sprintf("control: unknown message %T", m))
	}
}
