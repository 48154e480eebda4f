package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
)

// How a holder asks.
const (
	resend = 300 * time.Millisecond // without a reply to a request
	renews = 500 * time.Millisecond // between requests that only keep a place
)

// An Event is what a Holder is told.
type Event interface{ event() }

// Elected says that another host, or this one, is the grantor of Epoch.
type Elected struct{ Epoch uint64 }

// PermitRequested says that a runner wants a permit; it replaces an earlier one for the same adapter.
type PermitRequested struct{ PendingLoad }

// PermitReturned says that a runner no longer wants its permit, or has used it.
type PermitReturned struct {
	Runner string
	Ref    adapter.Ref
	Used   bool // a load was started under it, and has ended
}

// ReplyReceived brings a grantor's reply.
type ReplyReceived struct{ Reply }

// Tick says that the time of Next has come.
type Tick struct{}

func (Elected) event()         {}
func (PermitRequested) event() {}
func (PermitReturned) event()  {}
func (ReplyReceived) event()   {}
func (Tick) event()            {}

// An Action is what a Holder asks its host to do.
type Action interface{ action() }

// SendRequest is a request for the grantor.
type SendRequest struct{ Request }

// PermitGranted is a permit for a runner.
type PermitGranted struct {
	Runner  string
	Ref     adapter.Ref
	Expires time.Time // when it lapses unless used
}

// PermitDenied says that a runner gets no permit before Again.
type PermitDenied struct {
	Runner  string
	Ref     adapter.Ref
	RetryAt time.Time
}

func (SendRequest) action()   {}
func (PermitGranted) action() {}
func (PermitDenied) action()  {}

// A Holder asks for the permits of one host's runners. The zero value with Host
// set waits for Elected.
type Holder struct {
	Host string // unique to one incarnation of the host

	epoch    uint64
	sequence uint64
	sent     time.Time // when the open request was sent; zero for none
	seen     uint64
	again    time.Time // when to send the next request that only keeps the place
	news     bool      // the grantor should hear of ended permits
	wants    map[key]PendingLoad
	held     map[key]uint64 // permits in use, 0 for a load under the place
	unused   []uint64
	place    reserve

	actions []Action
	wake    time.Time
}

type key struct {
	runner string
	ref    adapter.Ref
}

// A reserve is the place that the host holds.
type reserve struct {
	index int
	rate  float64
	until time.Time // when the place expires
	start time.Time // not used before: bound by the grantor's last reply, or the last use
}

func (p reserve) gap() time.Duration { return time.Duration(float64(time.Second) / p.rate) }

// Step takes one event and returns what is to be done.
func (h *Holder) Step(now time.Time, event Event) []Action {
	h.actions, h.wake = nil, time.Time{}
	if h.wants == nil {
		h.wants = map[key]PendingLoad{}
		h.held = map[key]uint64{}
	}
	switch e := event.(type) {
	case Elected:
		h.elect(e.Epoch)
	case PermitRequested:
		h.wants[key{e.Runner, e.Ref}] = e.PendingLoad
	case PermitReturned:
		h.yield(e)
	case ReplyReceived:
		h.take(now, e.Reply)
	case Tick:
	default:
		panic(errors.Errorf("load: unknown event %T", event))
	}
	h.fallback(now)
	h.request(now)
	return h.actions
}

// Next returns when a Tick is due, zero for none.
func (h *Holder) Next() time.Time { return h.wake }

func (h *Holder) at(t time.Time) {
	if h.wake.IsZero() || t.Before(h.wake) {
		h.wake = t
	}
}

// elect starts over with a new grantor.
func (h *Holder) elect(epoch uint64) {
	if epoch <= h.epoch {
		return
	}
	h.epoch, h.seen = epoch, 0
	h.sent, h.news = time.Time{}, true
}

func (h *Holder) yield(e PermitReturned) {
	k := key{e.Runner, e.Ref}
	delete(h.wants, k)
	id, ok := h.held[k]
	if !ok {
		return
	}
	delete(h.held, k)
	if !e.Used && id != 0 {
		h.unused = append(h.unused, id)
	}
	h.news = true
}

// take hands out what the grantor decided. A reply to another request than the
// open one is ignored: its permits lapse.
func (h *Holder) take(now time.Time, r Reply) {
	if r.Epoch != h.epoch || r.Sequence != h.sequence || h.sent.IsZero() {
		return
	}
	sent := h.sent
	h.sent = time.Time{}
	h.seen = r.Number
	h.unused = nil
	h.place = reserve{index: r.Reservation, rate: r.Rate, until: sent.Add(ReservationTTL), start: now.Add(GrantorTimeout)}
	for _, g := range r.Grants {
		h.grant(now, g, sent.Add(PermitWindow))
	}
	for _, d := range r.Denials {
		h.deny(now, d)
	}
}

func (h *Holder) grant(now time.Time, g Grant, before time.Time) {
	k := key{g.Runner, g.Ref}
	if _, wanted := h.wants[k]; !wanted || !now.Before(before) {
		h.unused = append(h.unused, g.Permit)
		h.news = true
		return
	}
	delete(h.wants, k)
	h.held[k] = g.Permit
	h.actions = append(h.actions, PermitGranted{Runner: g.Runner, Ref: g.Ref, Expires: before})
}

func (h *Holder) deny(now time.Time, d Denial) {
	k := key{d.Runner, d.Ref}
	if _, wanted := h.wants[k]; !wanted {
		return
	}
	delete(h.wants, k)
	h.actions = append(h.actions, PermitDenied{Runner: d.Runner, Ref: d.Ref, RetryAt: now.Add(d.RetryAfter)})
}

// fallback grants the most wanted load under the host's place, where the
// grantor has been silent.
func (h *Holder) fallback(now time.Time) {
	if h.place.index == 0 || len(h.wants) == 0 || h.placeUsed() {
		return
	}
	start := h.place.start.Add(h.place.gap())
	if now.Before(start) {
		h.at(start)
		return
	}
	if !now.Before(h.place.until) {
		return
	}
	best := h.sorted()[0]
	k := key{best.Runner, best.Ref}
	delete(h.wants, k)
	h.held[k] = 0
	h.place.start = now
	h.actions = append(h.actions, PermitGranted{Runner: best.Runner, Ref: best.Ref, Expires: now.Add(PermitWindow)})
}

func (h *Holder) placeUsed() bool {
	for _, id := range h.held {
		if id == 0 {
			return true
		}
	}
	return false
}

// request sends the next request, when there is something to say.
func (h *Holder) request(now time.Time) {
	if h.epoch == 0 {
		return
	}
	if !h.sent.IsZero() && now.Before(h.sent.Add(resend)) {
		h.at(h.sent.Add(resend))
		return
	}
	if len(h.wants) == 0 && !h.news {
		if h.place.index == 0 {
			return
		}
		if now.Before(h.again) {
			h.at(h.again)
			return
		}
	}
	h.sequence++
	h.news = false
	h.sent = now
	h.again = now.Add(renews)
	q := Request{
		Host:     h.Host,
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Seen:     h.seen,
		Held:     h.permits(),
		Unused:   slices.Clone(h.unused),
		Pending:  h.sorted(),
	}
	if now.Before(h.place.until) {
		q.Reservation = h.place.index
	}
	h.at(now.Add(resend))
	h.actions = append(h.actions, SendRequest{q})
}

func (h *Holder) permits() []uint64 {
	ids := make([]uint64, 0, len(h.held))
	for _, id := range h.held {
		if id != 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sorted returns the wants, most waiting requests first.
func (h *Holder) sorted() []PendingLoad {
	list := make([]PendingLoad, 0, len(h.wants))
	for _, w := range h.wants {
		list = append(list, w)
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
