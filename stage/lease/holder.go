package lease

import (
	"fmt"
	"time"
)

// A Cause says why a call on the object API failed.
type Cause uint8

const (
	// Unknown means that no answer arrived. A write may have taken effect.
	Unknown Cause = iota
	// Conflict means that a conditional write did not take effect.
	Conflict
	// Unavailable means that the call was not carried out.
	Unavailable
)

// An Event is an input to Holder.Step: Tick, Wrote, Deleted, Found, Missing,
// Failed or Stop. All except Tick and Stop report the result of the Holder's
// one outstanding call.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Wrote reports that the Write took effect and created Version of the object.
type Wrote struct{ Version uint64 }

// Deleted reports that the Delete took effect.
type Deleted struct{}

// Found returns the object in answer to a Read.
type Found struct {
	Version uint64
	Value   Value
}

// Missing reports, in answer to a Read, that the object does not exist.
type Missing struct{}

// Failed reports that the outstanding call failed.
type Failed struct{ Cause Cause }

// Stop requests that the Holder give up the lease by deleting its object.
type Stop struct{}

func (Tick) event()    {}
func (Wrote) event()   {}
func (Deleted) event() {}
func (Found) event()   {}
func (Missing) event() {}
func (Failed) event()  {}
func (Stop) event()    {}

// An Action is an output of Holder.Step. Read, Write and Delete are calls to
// make on the lease object. Renewed, Expired, Replaced and Ended report a change
// of the lease's state.
type Action interface{ action() }

// Read requests a read of the object.
type Read struct{}

// Write requests an update of the object at Version, or its creation if Version is 0.
type Write struct {
	Version uint64
	Value   Value
}

// Delete requests the deletion of the object at Version.
type Delete struct{ Version uint64 }

// Renewed reports that the lease is valid until Until.
type Renewed struct{ Until time.Time }

// Expired reports that the lease is no longer valid. Revoked is set if the
// object was missing although the Holder had written it: either another host
// judged the lease expired and deleted it, or the first write was lost. The
// Holder can't tell which and continues with a new generation. Revoked is also
// set if another process of the same host name overwrote a valid lease.
type Expired struct{ Revoked bool }

// Replaced reports that another process runs under the host's name. It is the
// last action of a Holder.
type Replaced struct{}

// Ended reports that the lease has been given up after Stop: its object is
// deleted, or was never written. It is the last action of a Holder.
type Ended struct{}

func (Read) action()     {}
func (Write) action()    {}
func (Delete) action()   {}
func (Renewed) action()  {}
func (Expired) action()  {}
func (Replaced) action() {}
func (Ended) action()    {}

// The durations that apply where a field of Timing is zero.
const (
	DefaultDuration      = 6 * time.Second
	DefaultRenewInterval = 2 * time.Second
	DefaultClockMargin   = 500 * time.Millisecond
	DefaultRetryDelay    = 250 * time.Millisecond
)

// Timing holds the durations that govern leases. They must be the same on all
// hosts. A zero field means the default.
type Timing struct {
	Duration      time.Duration // how long a renewal is valid
	RenewInterval time.Duration // from one renewal to the next
	ClockMargin   time.Duration // subtracted from Duration by the holder, as clocks differ in rate
	RetryDelay    time.Duration // from the first failed call to the next call
}

// WithDefaults returns t with the defaults in place of zero fields.
func (t Timing) WithDefaults() Timing {
	setDefault(&t.Duration, DefaultDuration)
	setDefault(&t.RenewInterval, DefaultRenewInterval)
	setDefault(&t.ClockMargin, DefaultClockMargin)
	setDefault(&t.RetryDelay, DefaultRetryDelay)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// maxDoublings limits the exponential backoff between failed calls.
const maxDoublings = 10

// A state says what a Holder is waiting for.
type state uint8

const (
	idle     state = iota // the time of the next call
	reading               // the answer of a Read
	writing               // the answer of a Write
	deleting              // the answer of a Delete
	final                 // nothing
)

// A Holder keeps this host's own lease. Self must be set; the Holder maintains
// its Generation and Sequence.
type Holder struct {
	Self   Value
	Timing Timing
	// Stagger is how much earlier than a full interval the first renewal happens,
	// so that hosts that started together don't renew together.
	Stagger time.Duration

	state               state
	versionKnown        bool      // version is current as far as the Holder knows
	version             uint64    // 0: the object does not exist
	writeSent           time.Time // when the newest Write was sent
	validUntil          time.Time
	valid               bool
	nextCall            time.Time // when to make the next call, in state idle
	consecutiveFailures int       // calls that failed since the last renewal
	writeAttempted      bool      // a write of this generation was sent
	writeConfirmed      bool      // some write of this process took effect
	stopping            bool
}

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return h.valid && now.Before(h.validUntil) }

// ValidUntil returns when the lease expires, or zero before the first renewal.
func (h *Holder) ValidUntil() time.Time { return h.validUntil }

// NextTick returns when a Tick is due, or zero if none is.
func (h *Holder) NextTick() time.Time {
	switch {
	case h.state == final:
		return time.Time{}
	case h.state != idle && h.valid:
		return h.validUntil
	case h.state != idle:
		return time.Time{}
	case h.valid && h.validUntil.Before(h.nextCall):
		return h.validUntil
	default:
		return h.nextCall
	}
}

// Step handles an event at now and returns the resulting actions.
func (h *Holder) Step(now time.Time, event Event) []Action {
	if h.state == final {
		return nil
	}
	actions := h.expire(now)
	switch e := event.(type) {
	case Tick:
	case Stop:
		h.stopping = true
		if h.state == idle {
			h.nextCall = now
		}
	case Wrote:
		actions = append(actions, h.wrote(now, e)...)
	case Deleted:
		actions = append(actions, h.end()...)
	case Found:
		actions = append(actions, h.found(now, e)...)
	case Missing:
		actions = append(actions, h.missing(now)...)
	case Failed:
		actions = append(actions, h.failed(now, e)...)
	default:
		panic(fmt.Sprintf("lease: unknown event type %T", event))
	}
	switch {
	case h.state != idle || now.Before(h.nextCall):
		return actions
	case h.stopping && !h.writeConfirmed:
		return append(actions, h.end()...)
	default:
		return append(actions, h.call(now))
	}
}

// Restart begins anew after the store has lost writes that it had acknowledged: the lease
// isn't valid until it has been written again, and whatever the object holds counts as
// written by an earlier life of this process.
func (h *Holder) Restart(now time.Time) {
	if h.state == final {
		return
	}
	h.state, h.nextCall = idle, now
	h.valid, h.versionKnown = false, false
	h.writeAttempted, h.writeConfirmed = false, false
	h.consecutiveFailures = 0
	h.Self.Sequence++
}

// expire ends the lease's validity once its time is over. Every event checks
// this first, so that a process that was paused past the end reports the expiry
// before it handles anything else.
func (h *Holder) expire(now time.Time) []Action {
	if !h.valid || now.Before(h.validUntil) {
		return nil
	}
	h.valid = false
	return []Action{Expired{}}
}

// call starts the next call: a read if the object's version isn't known, else a
// write or a delete.
func (h *Holder) call(now time.Time) Action {
	switch {
	case !h.versionKnown:
		h.state = reading
		return Read{}
	case h.stopping:
		h.state = deleting
		return Delete{Version: h.version}
	default:
		h.state = writing
		h.writeSent, h.writeAttempted = now, true
		h.Self.Sequence++
		return Write{Version: h.version, Value: h.Self}
	}
}

func (h *Holder) wrote(now time.Time, e Wrote) []Action {
	if h.state != writing {
		return nil
	}
	return h.renew(now, e.Version)
}

// renew handles a write that took effect. Validity counts from when that write
// was sent.
func (h *Holder) renew(now time.Time, version uint64) []Action {
	t := h.Timing.WithDefaults()
	h.state = idle
	h.versionKnown, h.version = true, version
	h.writeConfirmed = true
	h.nextCall = h.writeSent.Add(t.RenewInterval - h.Stagger)
	h.Stagger = 0
	h.consecutiveFailures = 0
	until := h.writeSent.Add(t.Duration - t.ClockMargin)
	if !now.Before(until) {
		return nil
	}
	h.validUntil, h.valid = until, true
	return []Action{Renewed{Until: until}}
}

func (h *Holder) found(now time.Time, e Found) []Action {
	if h.state != reading {
		return nil
	}
	if e.Value.SameGeneration(h.Self) && e.Value.Sequence == h.Self.Sequence {
		return h.renew(now, e.Version)
	}
	h.state = idle
	if h.writeConfirmed && e.Value.Incarnation != h.Self.Incarnation {
		return h.replaced()
	}
	h.versionKnown, h.version = true, e.Version
	h.nextCall = now
	return nil
}

func (h *Holder) end() []Action {
	h.state = final
	h.valid = false
	return []Action{Ended{}}
}

func (h *Holder) replaced() []Action {
	h.state = final
	valid := h.valid
	h.valid = false
	if valid {
		return []Action{Expired{Revoked: true}, Replaced{}}
	}
	return []Action{Replaced{}}
}

// missing handles a read that found no object. If this generation has already
// sent a write, the lease counts as revoked and a new generation begins.
func (h *Holder) missing(now time.Time) []Action {
	if h.state != reading {
		return nil
	}
	if h.stopping {
		return h.end()
	}
	h.state = idle
	h.versionKnown, h.version = true, 0
	h.nextCall = now
	if !h.writeAttempted {
		return nil
	}
	h.writeAttempted = false
	h.valid = false
	h.Self.Generation++
	return []Action{Expired{Revoked: true}}
}

// backoff returns the delay before the next call after a failed one. It doubles
// with each failure, up to the renewal interval.
func (h *Holder) backoff() time.Duration {
	t := h.Timing.WithDefaults()
	return min(t.RetryDelay<<min(h.consecutiveFailures, maxDoublings), t.RenewInterval)
}

// failed handles a failed call. After a write or delete that may have taken
// effect or that met another version, the object is read again at once.
func (h *Holder) failed(now time.Time, e Failed) []Action {
	if h.state == idle {
		return nil
	}
	wasWrite := h.state == writing || h.state == deleting
	h.state = idle
	h.nextCall = now.Add(h.backoff())
	h.consecutiveFailures++
	if !wasWrite || e.Cause == Unavailable {
		return nil
	}
	h.versionKnown = false
	h.nextCall = now
	return nil
}
