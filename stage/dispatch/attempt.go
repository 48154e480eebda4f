package dispatch

import (
	"time"

	"jacinthstage/stage/admission"
	"jacinthstage/stage/call"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/speed"
)

const (
	// minEjection is how long a target is ejected after a failure. The time doubles
	// with each consecutive failure up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// A request whose time ran out counts as a failure of the target only if it
	// took more than timeoutFactor times the expected latency and more than
	// minTimeout.
	timeoutFactor = 4
	minTimeout    = time.Second
	// deniedLoadPause is how long no load is requested on a runner after its owner
	// denied one.
	deniedLoadPause = 300 * time.Millisecond
	// noAnswerPause is how long no load is requested on a runner after its owner
	// did not answer.
	noAnswerPause = 2 * time.Second
	// lateAdapterDelay is how soon an adapter is expected on a runner that refused a
	// request because it arrived before the adapter was loaded.
	lateAdapterDelay = 70 * time.Millisecond
)

// A Result is the progress or the outcome of a request on a target: Head, Streamed,
// Completed, Rejected, Failed or Canceled.
type Result interface{ result() }

// Head says that the head of the target's answer arrived. Indirect says that another host
// received it, Worked that the target has done the work, and not refused it or failed.
type Head struct {
	Load     call.TargetLoad
	Indirect bool
	Worked   bool
}

// Streamed says what times were between the events of the answer, which may go on.
type Streamed struct{ Gaps speed.Gaps }

// Completed says that the target's answer is complete.
type Completed struct{ Failed bool }

// Rejected says that the target refused the request without running it, because
// its adapter is not loaded or the target's queue is full.
type Rejected struct{ QueueFull bool }

// Failed says that no complete answer arrived. Connected says that the target's
// process had accepted the connection. OwnLink says that this host can't reach its targets,
// which says nothing of the target.
type Failed struct{ Connected, OwnLink bool }

// Canceled says that the caller has left or, if TimedOut is set, that the time
// of the request ran out.
type Canceled struct{ TimedOut bool }

func (Head) result()      {}
func (Streamed) result()  {}
func (Completed) result() {}
func (Rejected) result()  {}
func (Failed) result()    {}
func (Canceled) result()  {}

// Ready reports whether the adapter that the attempt waited for is loaded. If so, it is in use by the
// request from then on.
func (a *Attempt) Ready(now time.Time) bool {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.target.residency == nil {
		return false
	}
	state, held, _ := a.target.residency.Lookup(a.request.key())
	if state != residency.Resident {
		return false
	}
	a.Held = held
	a.beginUse(now)
	return true
}

// beginUse counts the use of the adapter, once it is loaded.
func (a *Attempt) beginUse(now time.Time) {
	if a.using {
		return
	}
	a.using = true
	a.target.usage.Begin(a.request.key())
	if a.target.residency != nil {
		a.target.residency.BeginUse(now, a.request.key())
	}
}

// An OwnerReply is the answer of a runner's owner to a request to load or confirm
// an adapter: Loaded, Loading, Denied or NoAnswer.
type OwnerReply interface{ reply() }

// Loaded says that the adapter is loaded on the runner.
type Loaded struct{}

// Loading says that the runner is loading the adapter.
type Loading struct{}

// Denied says that the adapter can't be had on the runner now. Absent says that
// the owner knows the adapter not to be loaded; otherwise the owner has no
// information about it.
type Denied struct{ Absent bool }

// NoAnswer says that the owner did not answer.
type NoAnswer struct{}

func (Loaded) reply()   {}
func (Loading) reply()  {}
func (Denied) reply()   {}
func (NoAnswer) reply() {}

// OwnerReplied processes the answer of the runner's owner. It reports whether to
// send the request. If the owner was only asked to confirm that the adapter is
// loaded and does not know, the request is sent, since the adapter may well be
// there.
func (a *Attempt) OwnerReplied(now time.Time, r OwnerReply) bool {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	t := a.target
	key := a.request.key()
	t.loads.Answered(key)
	switch r := r.(type) {
	case Loading:
		t.loads.Note(now, key)
		return false
	case Loaded:
		t.noteCached(now, key)
		t.notePresent(now, key, 0)
		a.beginUse(now)
		return true
	case Denied:
		if a.Confirm && !r.Absent {
			return true
		}
		if r.Absent {
			t.noteAbsent(now, key)
		}
		t.noLoadsUntil = now.Add(deniedLoadPause)
		return false
	case NoAnswer:
		if !a.Confirm {
			t.noLoadsUntil = now.Add(noAnswerPause)
		}
		return a.Confirm
	default:
		panic("dispatch: unknown reply")
	}
}

// noteAbsent records that a runner did not hold an adapter.
func (t *target) noteAbsent(now time.Time, k residency.Key) {
	delete(t.presentAt, k)
	if t.absentAt == nil {
		t.absentAt = make(map[residency.Key]time.Time)
	}
	t.absentAt[k] = now
}

// ResetClock restarts the latency measurement of an attempt that has waited for
// its adapter.
func (a *Attempt) ResetClock(now time.Time) { a.sent = now }

// Report processes the progress of the request. Any result but Head and Streamed ends the
// attempt; later calls have no effect.
func (a *Attempt) Report(now time.Time, r Result) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.done {
		return
	}
	t := a.target
	switch r := r.(type) {
	case Head:
		a.answered = true
		a.leaves(now, admission.Places)
		t.answeredAt = now
		if !r.Indirect {
			t.connectFailedAt, d.answeredAt = time.Time{}, now
		}
		t.setLoad(now, r.Load)
		a.prefillDone(now, r)
		if a.request.Call.Adapter != "" {
			t.notePresent(now, a.request.key(), a.served(r))
		}
		return
	case Streamed:
		t.speed.Streamed(now, r.Gaps)
		return
	case Completed:
		t.completed(now, r.Failed)
	case Rejected:
		a.rejected(now, r)
	case Failed:
		d.failed(now, t, r)
	case Canceled:
		if !d.cut && r.TimedOut && now.Sub(a.sent) > max(timeoutFactor*a.Expected, minTimeout) {
			t.failed(now)
		}
	}
	if a.answered {
		a.leaves(now, admission.Slots)
	}
	a.end()
}

// Heard records what an answer to the attempt says of its target. It reports whether that
// is new.
func (a *Attempt) Heard(now time.Time, n notice.Notice, from notice.Source) (changed bool) {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	return a.target.process.heard(now, a.sent, n, from)
}

// FirstByte returns how long the first byte of the answer took up to now since the request was ready to be sent,
// and what was expected of its target.
func (a *Attempt) FirstByte(now time.Time) (took, expected time.Duration) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(a.sent), speed.Slowed(a.work.Usual(), a.target.slownessOf(now)) + d.networkDelay(a.target)
}

// prefillDone records that the prompt was processed, and updates the target's
// slowdown unless the attempt waited for an adapter or for an owner's answer.
func (a *Attempt) prefillDone(now time.Time, head Head) {
	t := a.target
	t.speed.Tell(now, head.Load.Slowdown)
	if head.Worked && !head.Indirect {
		took := now.Sub(a.sent) - a.dispatcher.networkDelay(t)
		t.speed.First(now, took, a.work.Usual(), a.tokens, head.Load.Slowdown)
	}
	t.pendingPrefill -= a.tokens
	a.tokens = 0
	if a.request.needsEngine() && a.Loaded == nil && a.Owner.Host == "" {
		t.updateSlowdown(t.slowdown * float64(now.Sub(a.sent)) / float64(max(a.Expected, speed.MinObserved)))
	}
}

func (a *Attempt) end() {
	t := a.target
	a.done = true
	t.inFlight--
	t.pendingPrefill -= a.tokens
	a.tokens = 0
	t.probing = false
	if a.using {
		t.usage.End(a.request.key())
	}
	if t.residency == nil {
		return
	}
	if a.Loaded != nil {
		t.residency.CancelLoadRequest(a.request.key())
	}
	if a.using {
		t.residency.EndUse(a.request.key())
	}
}

// rejected records why the target refused the request without running it. With a
// full queue, or on a plain service, the target counts as fully loaded;
// otherwise the runner lacks the adapter.
func (a *Attempt) rejected(now time.Time, r Rejected) {
	t := a.target
	if r.QueueFull {
		t.process.notice.Rejected(now)
		a.dispatcher.rejectedByBrittle(now, t)
		a.dispatcher.rejectedForRoom(now, a.request)
	}
	if r.QueueFull || !a.request.needsEngine() {
		t.reportedLoad = call.TargetLoad{Known: true, Running: t.Slots, Waiting: t.Slots, Slots: t.Slots}
		t.reportedAt, t.inFlightAtReport = now, t.inFlight
		return
	}
	key := a.request.key()
	if t.residency != nil {
		t.residency.RecordMiss(now, key, lateAdapterDelay)
		return
	}
	t.noteAbsent(now, key)
}

// completed records that the target returned a complete answer, which ends an
// ejection even if the answer reports a failure.
func (t *target) completed(now time.Time, failed bool) {
	t.consecutiveFailures = 0
	t.ejectedUntil = time.Time{}
	failure := 0.0
	if failed {
		failure = 1
	}
	t.recordOutcome(now, failure)
}

const (
	// connectFailureAge is how long this host reports to other hosts that it could
	// not connect to a target.
	connectFailureAge = 1500 * time.Millisecond
	// minUnreachableHosts is the number of other hosts that must have failed to
	// connect to a target for it to count as unreachable. One host alone may be cut
	// off.
	minUnreachableHosts = 2
	// answerAge is how long an answer that this host received takes precedence over
	// the connection failures of other hosts.
	answerAge = 500 * time.Millisecond
)

// connectFailed reports whether this host recently failed to connect to the target, and has
// had an answer from another one since: before, its own links may be at fault.
func (d *Dispatcher) connectFailed(now time.Time, t *target) bool {
	return !t.connectFailedAt.IsZero() && now.Sub(t.connectFailedAt) < connectFailureAge && d.answeredAt.After(t.connectFailedAt)
}

// unreachable reports whether other hosts can't connect to a target and this host
// received no answer from it recently.
func (d *Dispatcher) unreachable(now time.Time, t *target) bool {
	return d.aggregator.OthersLoad(t.hash).Unreachable >= minUnreachableHosts && now.Sub(t.answeredAt) > answerAge
}

// failed counts a failure against a target, unless this host's own links are at fault.
func (d *Dispatcher) failed(now time.Time, t *target, f Failed) {
	if d.cut && !f.Connected || f.OwnLink {
		return
	}
	t.failed(now)
	if !f.Connected {
		t.failed(now)
		t.connectFailedAt = now
	}
}

// failed ejects the target for a time that grows with each consecutive failure.
func (t *target) failed(now time.Time) {
	t.consecutiveFailures++
	t.recordOutcome(now, 1)
	pause := min(minEjection<<min(t.consecutiveFailures-1, 4), maxEjection)
	t.ejectedUntil = now.Add(pause)
}
