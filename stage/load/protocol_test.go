package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/load"
)

var zero = time.Unix(1000, 0)

func grantor(first bool) *load.Grantor {
	g := &load.Grantor{Rate: rate, Burst: burst, MaxInFlight: flight}
	g.Start(zero, 1, zero.Add(time.Hour), first)
	return g
}

// poll lets host ask for the next load every 50 ms from one time to another, using
// each permit at once, and returns how many it got. seen says whether it tells
// the replies that it saw.
func poll(g *load.Grantor, host string, from, to time.Time, sequence uint64, seen bool) int {
	grants := 0
	q := load.Request{Host: host, Epoch: 1, Sequence: sequence}
	for now := from; now.Before(to); now = now.Add(50 * time.Millisecond) {
		q.Sequence++
		q.Pending = []load.PendingLoad{{Runner: "r", Ref: ref(grants), Waiting: 1}}
		reply, ok := g.Answer(now, q)
		if !ok {
			continue
		}
		grants += len(reply.Grants)
		if seen {
			q.Seen = reply.Number
		}
	}
	return grants
}

// TestReserve: the grantor leaves out the places whose holders may use them.
func TestReserve(t *testing.T) {
	const lasts = 20 * time.Second
	cases := []struct {
		name   string
		first  bool // no earlier grantor gave places
		silent bool // a second host took the other place and fell silent
		seen   bool // the polling host tells the replies that it saw
		rate   float64
	}{
		{"all bound", true, false, true, 4},
		{"one place silent", true, true, true, 3},
		{"replies may be lost", true, true, false, 2},
		{"places of an earlier grantor", false, false, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := grantor(c.first)
			if c.silent {
				_, ok := g.Answer(zero, load.Request{Host: "silent", Epoch: 1, Sequence: 1})
				require.True(t, ok)
			}
			from := zero.Add(load.PermitWindow + load.MaxLoadTime)
			grants := poll(g, "h", from, from.Add(lasts), 1, c.seen)
			require.InDelta(t, c.rate*lasts.Seconds(), grants, 6)
		})
	}
}

// TestEarlierPermits: a new grantor grants nothing until earlier permits have ended.
func TestEarlierPermits(t *testing.T) {
	ready := zero.Add(load.PermitWindow + load.MaxLoadTime)
	require.Zero(t, poll(grantor(false), "h", zero, ready, 1, true))
	require.Positive(t, poll(grantor(false), "h", ready, ready.Add(time.Second), 1, true))
	require.Positive(t, poll(grantor(true), "h", zero, zero.Add(time.Second), 1, true))
}

// TestHolder: a permit counts from the sending of its request, the place from
// the receipt of the last reply, and a reply to an earlier request not at all.
func TestHolder(t *testing.T) {
	want := load.PendingLoad{Runner: "r", Ref: ref(1), Waiting: 1}
	grants := []load.Grant{{Permit: 7, Runner: "r", Ref: want.Ref}}
	cases := []struct {
		name  string
		reply load.Reply
		after time.Duration // from the request to the reply
		until time.Duration // from the reply to the check
		want  bool          // a permit was granted
	}{
		{"in time", load.Reply{Epoch: 1, Sequence: 1, Grants: grants}, load.PermitWindow / 2, 0, true},
		{"late", load.Reply{Epoch: 1, Sequence: 1, Grants: grants}, load.PermitWindow, 0, false},
		{"to an earlier request", load.Reply{Epoch: 1, Sequence: 0, Grants: grants}, 0, 0, false},
		{"of an earlier grantor", load.Reply{Epoch: 0, Sequence: 1, Grants: grants}, 0, 0, false},
		{"place, before the silence has lasted", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.GrantorTimeout + 900*time.Millisecond, false},
		{"place, after it", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.GrantorTimeout + 1100*time.Millisecond, true},
		{"place that has expired", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.ReservationTTL, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &load.Holder{Host: "h"}
			h.Step(zero, load.Elected{Epoch: 1})
			require.Empty(t, granted(h.Step(zero, load.PermitRequested{PendingLoad: want})))
			now := zero.Add(c.after)
			actions := h.Step(now, load.ReplyReceived{Reply: c.reply})
			if c.until > 0 {
				actions = h.Step(now.Add(c.until), load.Tick{})
			}
			require.Equal(t, c.want, len(granted(actions)) == 1)
		})
	}
}

func granted(actions []load.Action) []load.PermitGranted {
	var list []load.PermitGranted
	for _, a := range actions {
		if g, ok := a.(load.PermitGranted); ok {
			list = append(list, g)
		}
	}
	return list
}

// TestTurns: callers take turns, and of one caller's loads those for the most
// waiting go first.
func TestTurns(t *testing.T) {
	g := grantor(true)
	q := load.Request{Host: "h", Epoch: 1}
	for i := range 8 {
		q.Pending = append(q.Pending, load.PendingLoad{Runner: "r", Ref: ref(i), Waiting: 10 + i, Caller: "many"})
	}
	q.Pending = append(q.Pending, load.PendingLoad{Runner: "r", Ref: ref(8), Waiting: 1, Caller: "one"})
	var order []int
	for now := zero; len(order) < 4; now = now.Add(50 * time.Millisecond) {
		q.Sequence++
		reply, ok := g.Answer(now, q)
		require.True(t, ok)
		for _, gr := range reply.Grants {
			for i, w := range q.Pending {
				if w.Ref == gr.Ref {
					order = append(order, w.Waiting)
					q.Pending = append(q.Pending[:i:i], q.Pending[i+1:]...)
					break
				}
			}
		}
	}
	require.Equal(t, []int{17, 16, 1, 15}, order)
}

// TestFlight: permits in use count against the limit of loads in progress, of
// which each place reserves one.
func TestFlight(t *testing.T) {
	g := grantor(true)
	q := load.Request{Host: "h", Epoch: 1}
	for now := zero; now.Before(zero.Add(load.MaxLoadTime)); now = now.Add(50 * time.Millisecond) {
		q.Sequence++
		q.Pending = []load.PendingLoad{{Runner: "r", Ref: ref(len(q.Held)), Waiting: 1}}
		reply, ok := g.Answer(now, q)
		require.True(t, ok)
		for _, gr := range reply.Grants {
			q.Held = append(q.Held, gr.Permit)
		}
	}
	require.Len(t, q.Held, flight-g.Reservations())
}
