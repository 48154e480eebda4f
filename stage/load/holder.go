package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
)

// How often a holder sends requests.
const (
	resendInterval = 300 * time.Millisecond // until a request is answered
	renewInterval  = 500 * time.Millisecond // between requests that only renew a reservation
)

// An Event is an input to a Holder.
type Event interface{ event() }

// Elected reports that a host, which may be this one, is the grantor of Epoch.
type Elected struct{ Epoch uint64 }

// PermitRequested reports that a runner requests a permit. It replaces an earlier
// request of the runner for the same adapter.
type PermitRequested struct{ PendingLoad }

// PermitReturned reports that a runner no longer needs its permit, or has used it.
type PermitReturned struct {
	Runner string
	Ref    adapter.Ref
	Used   bool // a load was started under the permit and has ended
}

// ReplyReceived delivers a reply of a grantor.
type ReplyReceived struct{ Reply }

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (Elected) event()         {}
func (PermitRequested) event() {}
func (PermitReturned) event()  {}
func (ReplyReceived) event()   {}
func (Tick) event()            {}

// An Action is something that a Holder asks its host to do.
type Action interface{ action() }

// SendRequest is a request to be sent to the grantor.
type SendRequest struct{ Request }

// PermitGranted is a permit for a runner.
type PermitGranted struct {
	Runner  string
	Ref     adapter.Ref
	Expires time.Time // when the permit expires unless used
}

// PermitDenied reports that a runner gets no permit before RetryAt.
type PermitDenied struct {
	Runner  string
	Ref     adapter.Ref
	RetryAt time.Time
}

func (SendRequest) action()   {}
func (PermitGranted) action() {}
func (PermitDenied) action()  {}

// A Holder requests permits for the runners of one host. The zero value with
// Host set sends nothing until Elected.
type Holder struct {
	Host string // unique to one incarnation of the host

	epoch       uint64
	sequence    uint64
	sent        time.Time // when the open request was sent; zero for none
	seen        uint64    // number of the newest reply
	nextRenewal time.Time // when to send the next request that only renews the reservation
	changed     bool      // ended permits or a new grantor have not been reported yet
	pending     map[key]PendingLoad
	held        map[key]uint64 // permits in use, 0 for a load under the reservation
	unused      []uint64
	reservation heldReservation

	actions []Action
	wake    time.Time
}

type key struct {
	runner string
	ref    adapter.Ref
}

// A heldReservation is the reservation that the host holds.
type heldReservation struct {
	index   int
	rate    float64
	expires time.Time
	// start is when the interval before the next use begins: GrantorTimeout after
	// the grantor's last reply, or the last use.
	start time.Time
}

// interval returns the time between two loads under the reservation.
func (r heldReservation) interval() time.Duration {
	return time.Duration(float64(time.Second) / r.rate)
}

// Step handles one event and returns the resulting actions.
func (h *Holder) Step(now time.Time, event Event) []Action {
	h.actions, h.wake = nil, time.Time{}
	if h.pending == nil {
		h.pending = map[key]PendingLoad{}
		h.held = map[key]uint64{}
	}
	switch e := event.(type) {
	case Elected:
		h.elected(e.Epoch)
	case PermitRequested:
		h.pending[key{e.Runner, e.Ref}] = e.PendingLoad
	case PermitReturned:
		h.permitReturned(e)
	case ReplyReceived:
		h.replyReceived(now, e.Reply)
	case Tick:
	default:
		panic(errors.Errorf("load: unknown event %T", event))
	}
	h.useReservation(now)
	h.sendRequest(now)
	return h.actions
}

// Next returns when the next Tick is due, or the zero time if none is needed.
func (h *Holder) Next() time.Time { return h.wake }

// wakeAt sets the time of the next Tick to t unless an earlier one is set.
func (h *Holder) wakeAt(t time.Time) {
	if h.wake.IsZero() || t.Before(h.wake) {
		h.wake = t
	}
}

// elected starts over with a new grantor.
func (h *Holder) elected(epoch uint64) {
	if epoch <= h.epoch {
		return
	}
	h.epoch, h.seen = epoch, 0
	h.sent, h.changed = time.Time{}, true
}

func (h *Holder) permitReturned(e PermitReturned) {
	k := key{e.Runner, e.Ref}
	delete(h.pending, k)
	id, ok := h.held[k]
	if !ok {
		return
	}
	delete(h.held, k)
	if !e.Used && id != 0 {
		h.unused = append(h.unused, id)
	}
	h.changed = true
}

// replyReceived applies the grantor's decisions. A reply to a request other than
// the open one is ignored: its permits expire.
func (h *Holder) replyReceived(now time.Time, r Reply) {
	if r.Epoch != h.epoch || r.Sequence != h.sequence || h.sent.IsZero() {
		return
	}
	sent := h.sent
	h.sent = time.Time{}
	h.seen = r.Number
	h.unused = nil
	h.reservation = heldReservation{index: r.Reservation, rate: r.Rate, expires: sent.Add(ReservationTTL), start: now.Add(GrantorTimeout)}
	for _, g := range r.Grants {
		h.grant(now, g, sent.Add(PermitWindow))
	}
	for _, d := range r.Denials {
		h.deny(now, d)
	}
}

func (h *Holder) grant(now time.Time, g Grant, expires time.Time) {
	k := key{g.Runner, g.Ref}
	if _, ok := h.pending[k]; !ok || !now.Before(expires) {
		h.unused = append(h.unused, g.Permit)
		h.changed = true
		return
	}
	delete(h.pending, k)
	h.held[k] = g.Permit
	h.actions = append(h.actions, PermitGranted{Runner: g.Runner, Ref: g.Ref, Expires: expires})
}

func (h *Holder) deny(now time.Time, d Denial) {
	k := key{d.Runner, d.Ref}
	if _, ok := h.pending[k]; !ok {
		return
	}
	delete(h.pending, k)
	h.actions = append(h.actions, PermitDenied{Runner: d.Runner, Ref: d.Ref, RetryAt: now.Add(d.RetryAfter)})
}

// useReservation grants the first pending load under the host's reservation when
// the grantor has not replied for GrantorTimeout.
func (h *Holder) useReservation(now time.Time) {
	if h.reservation.index == 0 || len(h.pending) == 0 || h.reservationInUse() {
		return
	}
	start := h.reservation.start.Add(h.reservation.interval())
	if now.Before(start) {
		h.wakeAt(start)
		return
	}
	if !now.Before(h.reservation.expires) {
		return
	}
	first := h.sortedPending()[0]
	k := key{first.Runner, first.Ref}
	delete(h.pending, k)
	h.held[k] = 0
	h.reservation.start = now
	h.actions = append(h.actions, PermitGranted{Runner: first.Runner, Ref: first.Ref, Expires: now.Add(PermitWindow)})
}

func (h *Holder) reservationInUse() bool {
	for _, id := range h.held {
		if id == 0 {
			return true
		}
	}
	return false
}

// sendRequest sends the next request if there is something to request, report or
// renew.
func (h *Holder) sendRequest(now time.Time) {
	if h.epoch == 0 {
		return
	}
	if !h.sent.IsZero() && now.Before(h.sent.Add(resendInterval)) {
		h.wakeAt(h.sent.Add(resendInterval))
		return
	}
	if len(h.pending) == 0 && !h.changed {
		if h.reservation.index == 0 {
			return
		}
		if now.Before(h.nextRenewal) {
			h.wakeAt(h.nextRenewal)
			return
		}
	}
	h.sequence++
	h.changed = false
	h.sent = now
	h.nextRenewal = now.Add(renewInterval)
	q := Request{
		Host:     h.Host,
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Seen:     h.seen,
		Held:     h.heldPermits(),
		Unused:   slices.Clone(h.unused),
		Pending:  h.sortedPending(),
	}
	if now.Before(h.reservation.expires) {
		q.Reservation = h.reservation.index
	}
	h.wakeAt(now.Add(resendInterval))
	h.actions = append(h.actions, SendRequest{q})
}

func (h *Holder) heldPermits() []uint64 {
	ids := make([]uint64, 0, len(h.held))
	for _, id := range h.held {
		if id != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sortedPending returns the pending loads, those with the most waiting requests
// first.
func (h *Holder) sortedPending() []PendingLoad {
	list := make([]PendingLoad, 0, len(h.pending))
	for _, p := range h.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b PendingLoad) int {
		return cmp.Or(
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(a.Runner, b.Runner),
			cmp.Compare(a.Ref.String(), b.Ref.String()),
		)
	})
	return list
}
