package lease

import (
	"fmt"
	"time"
)

// A Cause says why a call on the object API failed.
type Cause uint8

const (
	// Unknown says that no answer came: a write may have taken effect.
	Unknown Cause = iota
	// Conflict says that a conditional write did not take effect.
	Conflict
	// Unavailable says that the call was not carried out.
	Unavailable
)

// An Event is what a Holder is told: Tick, Wrote, Deleted, Found, Missing,
// Failed or Stop. All but Tick and Stop answer the Holder's one outstanding call.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Wrote says that the Write took effect and made Version.
type Wrote struct{ Version uint64 }

// Deleted says that the Delete took effect.
type Deleted struct{}

// Found answers a Read with the object.
type Found struct {
	Version uint64
	Value   Value
}

// Missing answers a Read: there is no object.
type Missing struct{}

// Failed says that the outstanding call failed.
type Failed struct{ Cause Cause }

// Stop asks to give the lease up by deleting its object.
type Stop struct{}

func (Tick) event()    {}
func (Wrote) event()   {}
func (Deleted) event() {}
func (Found) event()   {}
func (Missing) event() {}
func (Failed) event()  {}
func (Stop) event()    {}

// An Action is what a Holder asks for: Read, Write or Delete, calls on its
// object, or Renewed, Lapsed, Replaced or Ended, which it tells.
type Action interface{ action() }

// Read asks to read the object.
type Read struct{}

// Write asks to update the object at Version, or to create it where Version is 0.
type Write struct {
	Version uint64
	Value   Value
}

// Delete asks to delete the object at Version.
type Delete struct{ Version uint64 }

// Renewed says that the lease is valid until Until.
type Renewed struct{ Until time.Time }

// Expired says that the lease is no longer valid. Broken says that the object was
// deleted, as another host does that judged it lapsed, or that a first write got
// lost; the holder can't tell which, and goes on with a new life.
type Expired struct{ Revoked bool }

// Replaced says that another process runs under the host's name. It is final.
type Replaced struct{}

// Ended says that the object is deleted after Stop. It is final.
type Ended struct{}

func (Read) action()     {}
func (Write) action()    {}
func (Delete) action()   {}
func (Renewed) action()  {}
func (Expired) action()  {}
func (Replaced) action() {}
func (Ended) action()    {}

// The spans that hold where a setting is zero.
const (
	DefaultDuration      = 6 * time.Second
	DefaultRenewInterval = 2 * time.Second
	DefaultClockMargin   = 500 * time.Millisecond
	DefaultRetryDelay    = 250 * time.Millisecond
)

// Timing are the settings of leases, the same on all hosts. Zero fields count as the defaults.
type Timing struct {
	Duration      time.Duration // how long a renewal is valid
	RenewInterval time.Duration // from one renewal to the next
	ClockMargin   time.Duration // what the holder takes off the term, for clocks that differ in rate
	RetryDelay    time.Duration // from a failed call to the next
}

// WithDefaults returns t with the defaults in place of zero fields.
func (t Timing) WithDefaults() Timing {
	fill(&t.Duration, DefaultDuration)
	fill(&t.RenewInterval, DefaultRenewInterval)
	fill(&t.ClockMargin, DefaultClockMargin)
	fill(&t.RetryDelay, DefaultRetryDelay)
	return t
}

func fill(span *time.Duration, standard time.Duration) {
	if *span == 0 {
		*span = standard
	}
}

// maxDoublings bounds the growth of the span between calls that fail.
const maxDoublings = 10

// A phase is what a Holder waits for.
type phase uint8

const (
	idle     phase = iota // for the next renewal
	reading               // for the answer of a Read
	writing               // for the answer of a Write
	deleting              // for the answer of a Delete
	final                 // for nothing
)

// A Holder keeps this host's own lease. Self must be set; its Life and Sequence
// are the Holder's own.
type Holder struct {
	Self   Value
	Timing Timing
	// Stagger is how much earlier the first renewal comes, so that hosts that
	// started together don't renew together.
	Stagger time.Duration

	phase   phase
	known   bool   // version is what the object was last seen at
	version uint64 // 0: no object
	// sent and sequence are those of the newest Write.
	sent     time.Time
	until    time.Time // end of validity
	valid    bool
	due      time.Time // next call, where idle
	failures int       // calls that failed since the last that didn't
	tried    bool      // a write of this life was sent
	proven   bool      // some write of this process took effect
	stop     bool
}

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return h.valid && now.Before(h.until) }

// ValidUntil returns when the lease ends, zero before the first renewal.
func (h *Holder) ValidUntil() time.Time { return h.until }

// NextTick returns when a Tick is due, zero where none is.
func (h *Holder) NextTick() time.Time {
	switch {
	case h.phase == final:
		return time.Time{}
	case h.phase != idle && h.valid:
		return h.until
	case h.phase != idle:
		return time.Time{}
	case h.valid && h.until.Before(h.due):
		return h.until
	default:
		return h.due
	}
}

// Step handles an event at now and returns what to do.
func (h *Holder) Step(now time.Time, event Event) []Action {
	if h.phase == final {
		return nil
	}
	actions := h.lapse(now)
	switch e := event.(type) {
	case Tick:
	case Stop:
		h.stop = true
		if h.phase == idle {
			h.due = now
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
		panic(fmt.Sprintf("lease: event %T", event))
	}
	switch {
	case h.phase != idle || now.Before(h.due):
		return actions
	case h.stop && !h.proven:
		return append(actions, h.end()...)
	default:
		return append(actions, h.call(now))
	}
}

// lapse ends validity once its time is over, also where a pause hid it.
func (h *Holder) lapse(now time.Time) []Action {
	if !h.valid || now.Before(h.until) {
		return nil
	}
	h.valid = false
	return []Action{Expired{}}
}

// call starts the next call: a read where the object isn't known, else a write or delete.
func (h *Holder) call(now time.Time) Action {
	switch {
	case !h.known:
		h.phase = reading
		return Read{}
	case h.stop:
		h.phase = deleting
		return Delete{Version: h.version}
	default:
		h.phase = writing
		h.sent, h.tried = now, true
		h.Self.Sequence++
		return Write{Version: h.version, Value: h.Self}
	}
}

func (h *Holder) wrote(now time.Time, e Wrote) []Action {
	if h.phase != writing {
		return nil
	}
	return h.renew(now, e.Version)
}

// renew counts validity from when the newest write was sent.
func (h *Holder) renew(now time.Time, version uint64) []Action {
	t := h.Timing.WithDefaults()
	h.phase = idle
	h.known, h.version = true, version
	h.proven = true
	h.due = h.sent.Add(t.RenewInterval - h.Stagger)
	h.Stagger = 0
	h.failures = 0
	until := h.sent.Add(t.Duration - t.ClockMargin)
	if !now.Before(until) {
		return nil
	}
	h.until, h.valid = until, true
	return []Action{Renewed{Until: until}}
}

func (h *Holder) found(now time.Time, e Found) []Action {
	if h.phase != reading {
		return nil
	}
	if e.Value.SameGeneration(h.Self) && e.Value.Sequence == h.Self.Sequence {
		return h.renew(now, e.Version)
	}
	h.phase = idle
	if h.proven && e.Value.Incarnation != h.Self.Incarnation {
		return h.replaced()
	}
	h.known, h.version = true, e.Version
	h.due = now
	return nil
}

func (h *Holder) end() []Action {
	h.phase = final
	h.valid = false
	return []Action{Ended{}}
}

func (h *Holder) replaced() []Action {
	h.phase = final
	valid := h.valid
	h.valid = false
	if valid {
		return []Action{Expired{Revoked: true}, Replaced{}}
	}
	return []Action{Replaced{}}
}

func (h *Holder) missing(now time.Time) []Action {
	if h.phase != reading {
		return nil
	}
	if h.stop {
		return h.end()
	}
	h.phase = idle
	h.known, h.version = true, 0
	h.due = now
	if !h.tried {
		return nil
	}
	h.tried = false
	h.valid = false
	h.Self.Generation++
	return []Action{Expired{Revoked: true}}
}

// backoff returns the span to the next call after one that failed: twice as long
// each time, up to the renewal.
func (h *Holder) backoff() time.Duration {
	t := h.Timing.WithDefaults()
	return min(t.RetryDelay<<min(h.failures, maxDoublings), t.RenewInterval)
}

func (h *Holder) failed(now time.Time, e Failed) []Action {
	if h.phase == idle {
		return nil
	}
	wrote := h.phase == writing || h.phase == deleting
	h.phase = idle
	h.due = now.Add(h.backoff())
	h.failures++
	if !wrote || e.Cause == Unavailable {
		return nil
	}
	h.known = false
	h.due = now
	return nil
}
