// Package load shares the weight store's load rate and its limit on concurrent
// loads among the hosts of a region.
//
// One host, the grantor, answers the permit requests of all hosts. It prefers
// loads that serve the most waiting requests. All hosts that request permits are
// holders. Clocks are never compared between hosts: the holder counts the
// lifetime of a permit from when it sent the request, and the grantor from when
// it sent the reply, which is later.
//
// A few hosts have a reservation: a reserved part of the rate, with one load in
// progress. The host may use its reservation on its own once it has received
// nothing from the grantor for GrantorTimeout. The grantor leaves the rate of a
// reservation out of what it grants, except while it knows that a reply keeps
// the host from using it: the host counts GrantorTimeout from the receipt of the
// reply, and the grantor counts it from sending the reply, but only after the
// host has confirmed that it received that reply. A new grantor grants nothing
// until the permits of the earlier grantor have ended. It takes over the
// reservations that hosts report to it; the others stay reserved until they
// have expired.
//
// As a result, no more than Rate*t+Burst loads start in any interval of length
// t, and no more than MaxInFlight are in progress, even if messages are lost or
// delayed or hosts are cut off.
package load

import (
	"time"

	"jacinthstage/stage/adapter"
)

// Durations of the protocol, the same on all hosts.
const (
	// PermitWindow is how long a permit can be used after its request was sent.
	PermitWindow = 150 * time.Millisecond
	// MaxLoadTime is the longest that a load started under a permit may last.
	MaxLoadTime = 3200 * time.Millisecond
	// GrantorTimeout is how long a holder waits for the grantor before it uses its
	// reservation.
	GrantorTimeout = 2 * time.Second
	// ReservationTTL is how long a reservation lasts unless a reply renews it.
	ReservationTTL = 10 * time.Minute
)

// A PendingLoad is a load that would serve requests waiting at a host.
type PendingLoad struct {
	Runner  string
	Ref     adapter.Ref
	Waiting int    // requests that the load would serve
	Caller  string // caller to which the load is charged
	Weight  int    // share of the caller when loads are short; 0 counts as 1
}

// A Request asks the grantor for permits. A holder has one request open at a
// time, and accepts only the reply to its latest request.
type Request struct {
	Host        string        // unique to one incarnation of a host
	Epoch       uint64        // epoch of the grantor
	Sequence    uint64        // increases with each request
	Seen        uint64        // number of the newest reply of this epoch; 0 for none
	Held        []uint64      // permits in use
	Unused      []uint64      // permits under which no load was started
	Reservation int           `cbor:"Place"` // the reservation held, from 1; 0 for none
	Pending     []PendingLoad `cbor:"Wants"`
}

// A Grant is a permit for one load.
type Grant struct {
	Permit uint64
	Runner string
	Ref    adapter.Ref
}

// A Denial reports that a permit may be available later.
type Denial struct {
	Runner     string
	Ref        adapter.Ref
	RetryAfter time.Duration `cbor:"After"` // from the receipt of the reply
}

// A Reply answers a Request.
type Reply struct {
	Epoch       uint64
	Sequence    uint64 // sequence number of the request
	Number      uint64 // increases with each reply
	Grants      []Grant
	Denials     []Denial
	Reservation int     `cbor:"Place"` // the reservation given or kept, from 1; 0 for none
	Rate        float64 // loads per second of the reservation
}
