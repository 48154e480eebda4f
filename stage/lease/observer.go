package lease

import "time"

// An Observer judges the lease of another host by what reads of its object
// show. The zero value has seen nothing.
type Observer struct {
	version uint64
	seen    bool
	since   time.Time // when the present version was first seen, or seen again after a gap
	last    time.Time // when the newest read was answered
}

// A Reading is the answer of a read: the object's version, and when the read
// was sent and answered, by the observer's clock.
type ReadResult struct {
	Version  uint64
	Sent     time.Time
	Answered time.Time
}

// Observe takes a reading in. It reports true where the lease has lapsed: the same
// version as at a reading that was answered a whole term before this one was
// sent, with no gap longer than a term between readings.
func (o *Observer) Observe(r ReadResult, term time.Duration) bool {
	steady := o.seen && r.Sent.Sub(o.last) <= term
	if !steady || r.Version != o.version {
		o.seen = true
		o.version = r.Version
		o.since = r.Answered
	}
	o.last = r.Answered
	return !r.Sent.Before(o.since.Add(term))
}

// UnchangedFor reports whether the version has stayed the same for longer than span at now.
func (o *Observer) UnchangedFor(now time.Time, span time.Duration) bool {
	return o.seen && now.Sub(o.since) > span
}

// Version returns the version seen last.
func (o *Observer) Version() uint64 { return o.version }

// Reset starts the wait again, after an outage of the object API.
func (o *Observer) Reset() { *o = Observer{} }
