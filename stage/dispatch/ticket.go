package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/residency"
)

const (
	// shunFirst is how long a target is not used after it failed; it doubles with
	// each further failure in a row up to shunMost.
	shunFirst = 500 * time.Millisecond
	shunMost  = 4 * time.Second
	// lateTimes and lateLeast say when a target that did not answer in time counts
	// as failed: it took a multiple of what was expected, and at least so long.
	lateTimes = 4
	lateLeast = time.Second
	// fullPause is how long no load is asked of a runner whose owner refused one.
	fullPause = 300 * time.Millisecond
	// silentPause is the same where the owner did not answer.
	silentPause = 2 * time.Second
	// earlyPause is how long a request waits that came before its adapter.
	earlyPause = 70 * time.Millisecond
)

// A Result is how a request on a target ended, or how far it came.
type Result interface{ result() }

// Head says that the target's answer began.
type Head struct{ Load call.TargetLoad }

// Completed says that the target has answered to the end.
type Completed struct{ Failed bool }

// Rejected says that the target refused the request without running it, as it
// does where the adapter isn't there or its queue is full.
type Rejected struct{ QueueFull bool }

// Failed says that no whole answer came. Reached says that the target's process
// had taken the connection.
type Failed struct{ Connected bool }

// Canceled says that the caller has left or, with Late, that the request's time was over.
type Canceled struct{ TimedOut bool }

func (Head) result()      {}
func (Completed) result() {}
func (Rejected) result()  {}
func (Failed) result()    {}
func (Canceled) result()  {}

// Ready reports whether the adapter that a ticket waited for is there.
func (k *Attempt) Ready() bool {
	b := k.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.target.shelf == nil {
		return false
	}
	state, _, _ := k.target.shelf.Lookup(k.want.key())
	return state == residency.Resident
}

// A Reply is how the owner of a runner answered a wish: There, Coming, Denied or
// Silent.
type OwnerReply interface{ reply() }

// Loaded says that the adapter is on the runner.
type Loaded struct{}

// Loading says that the adapter is on its way to the runner.
type Loading struct{}

// Denied says that it can't be had there now. Absent says that the owner knows
// it not to be there; otherwise the owner knows nothing of it.
type Denied struct{ Absent bool }

// NoAnswer says that the owner did not answer.
type NoAnswer struct{}

func (Loaded) reply()   {}
func (Loading) reply()  {}
func (Denied) reply()   {}
func (NoAnswer) reply() {}

// OwnerReplied takes in how the owner of the ticket's runner answered the wish for its
// adapter. It reports whether to send the request: where the owner was only to
// confirm that the adapter is there and doesn't know, it may well be.
func (k *Attempt) OwnerReplied(now time.Time, r OwnerReply) bool {
	b := k.board
	b.mu.Lock()
	defer b.mu.Unlock()
	t := k.target
	key := k.want.key()
	delete(t.wished, key)
	switch r := r.(type) {
	case Loading:
		t.asked(now, key)
		return false
	case Loaded:
		t.touch(now, key)
		t.proved(now, key)
		return true
	case Denied:
		if k.Confirm && !r.Absent {
			return true
		}
		if r.Absent {
			t.lacks(now, key)
		}
		t.full = now.Add(fullPause)
		return false
	case NoAnswer:
		if !k.Confirm {
			t.full = now.Add(silentPause)
		}
		return k.Confirm
	default:
		panic("dispatch: unknown reply")
	}
}

// proved notes that a runner held an adapter.
func (t *target) proved(now time.Time, k residency.Key) {
	delete(t.absent, k)
	if t.present == nil {
		t.present = make(map[residency.Key]time.Time)
	}
	t.present[k] = now
}

// lacks notes that a runner did not hold an adapter.
func (t *target) lacks(now time.Time, k residency.Key) {
	delete(t.present, k)
	if t.absent == nil {
		t.absent = make(map[residency.Key]time.Time)
	}
	t.absent[k] = now
}

// ResetClock restarts the clock of a ticket that has waited for its adapter.
func (k *Attempt) ResetClock(now time.Time) { k.sent = now }

// Report takes in how the request goes on. After any result but Head the ticket
// is done with.
func (k *Attempt) Report(now time.Time, r Result) {
	b := k.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.done {
		return
	}
	t := k.target
	switch r := r.(type) {
	case Head:
		t.reached, t.missed = now, time.Time{}
		t.hear(now, r.Load)
		k.read(now)
		if k.want.Call.Adapter != "" {
			t.proved(now, k.want.key())
		}
		return
	case Completed:
		t.succeeded(now, r.Failed)
	case Rejected:
		k.missing(now, r)
	case Failed:
		t.failed(now)
		if !r.Connected {
			t.failed(now)
			t.missed = now
		}
	case Canceled:
		if r.TimedOut && now.Sub(k.sent) > max(lateTimes*k.Expected, lateLeast) {
			t.failed(now)
		}
	}
	k.end()
}

// read notes that the prompt was read, and learns the target's pace.
func (k *Attempt) read(now time.Time) {
	t := k.target
	t.prefill -= k.tokens
	k.tokens = 0
	if k.want.engine() && k.Loaded == nil && k.Owner.Host == "" {
		t.learn(t.pace * float64(now.Sub(k.sent)) / float64(max(k.Expected, stepTime)))
	}
}

func (k *Attempt) end() {
	t := k.target
	k.done = true
	t.open--
	t.prefill -= k.tokens
	k.tokens = 0
	t.trial = false
	t.unuse(k.want.key())
	if t.shelf != nil {
		if k.Loaded != nil {
			t.shelf.CancelLoadRequest(k.want.key())
		}
		t.shelf.EndUse(k.want.key())
	}
}

func (k *Attempt) missing(now time.Time, m Rejected) {
	t := k.target
	if m.QueueFull || !k.want.engine() {
		t.heard = call.TargetLoad{Known: true, Running: t.Slots, Waiting: t.Slots, Slots: t.Slots}
		t.at, t.opened = now, t.open
		return
	}
	key := k.want.key()
	if t.shelf != nil {
		t.shelf.RecordMiss(now, key, earlyPause)
		return
	}
	t.lacks(now, key)
}

// succeeded takes in that the target answered to the end, be it with a failure.
func (t *target) succeeded(now time.Time, failed bool) {
	t.faults = 0
	t.shunned = time.Time{}
	share := 0.0
	if failed {
		share = 1
	}
	t.rate(now, share)
}

const (
	// missedAge is how long other hosts are told that this one could not connect
	// to a target.
	missedAge = 1500 * time.Millisecond
	// lostLeast is the number of other hosts that must not have been able to.
	lostLeast = 2
	// reachedAge is how long this host's own answer goes before that.
	reachedAge = 500 * time.Millisecond
)

// unreached reports whether this host could not connect to the target of late.
func (t *target) unreached(now time.Time) bool {
	return !t.missed.IsZero() && now.Sub(t.missed) < missedAge
}

// lost reports whether other hosts can't connect to a target, and this one has
// had no answer of it of late.
func (b *Dispatcher) lost(now time.Time, t *target) bool {
	return b.exchange.OthersLoad(t.mark).Unreachable >= lostLeast && now.Sub(t.reached) > reachedAge
}

// failed shuns the target for a time that grows with each failure in a row.
func (t *target) failed(now time.Time) {
	t.faults++
	t.rate(now, 1)
	pause := min(shunFirst<<min(t.faults-1, 4), shunMost)
	t.shunned = now.Add(pause)
}
