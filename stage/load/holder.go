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

// Asked says that a runner wants a permit; it replaces an earlier one for the same adapter.
type Asked struct{ Want }

// Yielded says that a runner no longer wants its permit, or has used it.
type Yielded struct {
	Runner string
	Ref    adapter.Ref
	Used   bool // a load was started under it, and has ended
}

// Replied brings a grantor's reply.
type Replied struct{ Reply }

// Tick says that the time of Next has come.
type Tick struct{}

func (Elected) event() {}
func (Asked) event()   {}
func (Yielded) event() {}
func (Replied) event() {}
func (Tick) event()    {}

// An Action is what a Holder asks its host to do.
type Action interface{ action() }

// Send is a request for the grantor.
type Send struct{ Request }

// Granted is a permit for a runner.
type Granted struct {
	Runner string
	Ref    adapter.Ref
	Before time.Time // when it lapses unless used
}

// Denied says that a runner gets no permit before Again.
type Denied struct {
	Runner string
	Ref    adapter.Ref
	Again  time.Time
}

func (Send) action()    {}
func (Granted) action() {}
func (Denied) action()  {}

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
	wants    map[key]Want
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
		h.wants = map[key]Want{}
		h.held = map[key]uint64{}
	}
	switch e := event.(type) {
	case Elected:
		h.elect(e.Epoch)
	case Asked:
		h.wants[key{e.Runner, e.Ref}] = e.Want
	case Yielded:
		h.yield(e)
	case Replied:
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

func (h *Holder) yield(e Yielded) {
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
	h.place = reserve{index: r.Place, rate: r.Rate, until: sent.Add(Tenure), start: now.Add(Silence)}
	for _, g := range r.Grants {
		h.grant(now, g, sent.Add(Window))
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
	h.actions = append(h.actions, Granted{Runner: g.Runner, Ref: g.Ref, Before: before})
}

func (h *Holder) deny(now time.Time, d Denial) {
	k := key{d.Runner, d.Ref}
	if _, wanted := h.wants[k]; !wanted {
		return
	}
	delete(h.wants, k)
	h.actions = append(h.actions, Denied{Runner: d.Runner, Ref: d.Ref, Again: now.Add(d.After)})
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
	h.actions = append(h.actions, Granted{Runner: best.Runner, Ref: best.Ref, Before: now.Add(Window)})
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
		Wants:    h.sorted(),
	}
	if now.Before(h.place.until) {
		q.Place = h.place.index
	}
	h.at(now.Add(resend))
	h.actions = append(h.actions, Send{q})
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
func (h *Holder) sorted() []Want {
	list := make([]Want, 0, len(h.wants))
	for _, w := range h.wants {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Want) int {
		return cmp.Or(
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(a.Runner, b.Runner),
			cmp.Compare(a.Ref.String(), b.Ref.String()),
		)
	})
	return list
}
