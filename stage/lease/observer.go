package lease

import "time"

// An Observer judges the lease of another host from successive reads of its
// object. The zero value has no observations.
type Observer struct {
	version        uint64
	observed       bool
	unchangedSince time.Time // when version was first read, or first read after a gap
	lastRead       time.Time // when the newest read was answered
}

// A ReadResult is the result of one read of a lease object: its version, and
// when the read was sent and answered by the observer's clock.
type ReadResult struct {
	Version  uint64
	Sent     time.Time
	Answered time.Time
}

// Observe records the result of a read and reports whether the lease has
// expired. It has if this read was sent at least a full lease duration after
// the answer that first showed the same version, with no gap longer than the
// lease duration between reads.
func (o *Observer) Observe(r ReadResult, duration time.Duration) bool {
	continuous := o.observed && r.Sent.Sub(o.lastRead) <= duration
	if !continuous || r.Version != o.version {
		o.observed = true
		o.version = r.Version
		o.unchangedSince = r.Answered
	}
	o.lastRead = r.Answered
	return !r.Sent.Before(o.unchangedSince.Add(duration))
}

// UnchangedFor reports whether, at now, the version has stayed the same for
// longer than d.
func (o *Observer) UnchangedFor(now time.Time, d time.Duration) bool {
	return o.observed && now.Sub(o.unchangedSince) > d
}

// Version returns the version read last.
func (o *Observer) Version() uint64 { return o.version }

// Reset discards all observations, so that the lease gets a full duration
// again after an outage of the object API.
func (o *Observer) Reset() { *o = Observer{} }
