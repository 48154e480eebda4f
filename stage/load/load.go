// Package load shares the weight store's rate and its limit of loads in flight
// among the hosts of a region.
//
// One host, the grantor, answers the requests of all for permits, those that
// serve the most waiting requests first. The others are holders. No clock is
// compared between hosts: a permit counts, at its holder, from when the request
// for it was sent, and at the grantor from the reply, which is later.
//
// A few hosts have a place, a reserved part of the rate and one load in flight,
// which its holder may use by itself once it has heard nothing from the grantor
// for Silence. The grantor leaves each place out of what it grants except while
// it knows its holder to be bound by a reply: a holder counts Silence from the
// receipt of the reply, the grantor from having sent it, and only once the
// holder has said that it saw it. A new grantor grants nothing until the permits
// of the earlier one have ended, and takes over the places that holders tell it;
// the others stay reserved until they have expired.
//
// So in any interval of length t no more than Rate*t+Burst loads start, and no
// more than Flight are in progress, whatever is lost, delayed or cut off.
package load

import (
	"time"

	"jacinthstage/stage/adapter"
)

// Times of the protocol, the same on all hosts.
const (
	// PermitWindow is how long after its request was sent a permit can be used.
	PermitWindow = 150 * time.Millisecond
	// MaxLoadTime is the longest that a load started under a permit may last.
	MaxLoadTime = 3200 * time.Millisecond
	// GrantorTimeout is how long a holder waits for the grantor before it uses its place.
	GrantorTimeout = 2 * time.Second
	// ReservationTTL is how long a place lasts unless a reply renews it.
	ReservationTTL = 10 * time.Minute
)

// A Want is a load that a host has requests waiting for.
type PendingLoad struct {
	Runner  string
	Ref     adapter.Ref
	Waiting int    // requests that it would serve
	Caller  string // whom the load counts for
	Weight  int    // the caller's part when loads are short; 0 counts as 1
}

// A Request asks the grantor for permits. A holder has one open at a time, and
// takes no reply but that to its latest.
type Request struct {
	Host        string // unique to one incarnation of a host
	Epoch       uint64 // of the grantor that is asked
	Sequence    uint64
	Seen        uint64 // number of the newest reply of this epoch; 0 for none
	Held        []uint64
	Unused      []uint64 // permits under which no load was started
	Reservation int      // the place held, from 1; 0 for none
	Pending     []PendingLoad
}

// A Grant is a permit for one load.
type Grant struct {
	Permit uint64
	Runner string
	Ref    adapter.Ref
}

// A Denial says that a permit may be had later.
type Denial struct {
	Runner     string
	Ref        adapter.Ref
	RetryAfter time.Duration // from the reply's receipt
}

// A Reply answers a Request.
type Reply struct {
	Epoch       uint64
	Sequence    uint64 // of the request
	Number      uint64 // grows with each reply
	Grants      []Grant
	Denials     []Denial
	Reservation int     // the place given or kept, from 1; 0 for none
	Rate        float64 // loads a second of the place
}
