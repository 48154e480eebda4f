package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/load"
)

var zero = time.Unix(1000, 0)

func newGrantor(first bool) *load.Grantor {
	g := &load.Grantor{Rate: rate, Burst: burst, MaxInFlight: maxInFlight}
	g.Start(zero, 1, zero.Add(time.Hour), first)
	return g
}

// poll lets host request the next load every 50 ms from one time to another, using
// each permit at once, and returns the number of permits granted. seen reports
// whether the host confirms the replies that it receives.
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

// TestReservations checks that the grantor does not grant the rate of reservations
// that their hosts may be using.
func TestReservations(t *testing.T) {
	const duration = 20 * time.Second
	cases := []struct {
		name   string
		first  bool // no earlier grantor gave reservations
		silent bool // a second host took the other reservation and sends nothing more
		seen   bool // the polling host confirms the replies that it receives
		rate   float64
	}{
		{"all known to be unused", true, false, true, 4},
		{"one silent host", true, true, true, 3},
		{"replies may be lost", true, true, false, 2},
		{"reservations of an earlier grantor", false, false, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGrantor(c.first)
			if c.silent {
				_, ok := g.Answer(zero, load.Request{Host: "silent", Epoch: 1, Sequence: 1})
				require.True(t, ok)
			}
			from := zero.Add(load.PermitWindow + load.MaxLoadTime)
			grants := poll(g, "h", from, from.Add(duration), 1, c.seen)
			require.InDelta(t, c.rate*duration.Seconds(), grants, 6)
		})
	}
}

// TestEarlierPermits checks that a new grantor grants nothing until the permits of
// an earlier grantor have ended.
func TestEarlierPermits(t *testing.T) {
	ready := zero.Add(load.PermitWindow + load.MaxLoadTime)
	require.Zero(t, poll(newGrantor(false), "h", zero, ready, 1, true))
	require.Positive(t, poll(newGrantor(false), "h", ready, ready.Add(time.Second), 1, true))
	require.Positive(t, poll(newGrantor(true), "h", zero, zero.Add(time.Second), 1, true))
}

// TestHolder checks that the lifetime of a permit starts when its request is sent,
// that the wait for the reservation starts with the receipt of the last reply, and
// that a reply to an earlier request is ignored.
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
		{"reservation, before the grantor timeout", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.GrantorTimeout + 900*time.Millisecond, false},
		{"reservation, after the grantor timeout", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.GrantorTimeout + 1100*time.Millisecond, true},
		{"reservation that has expired", load.Reply{Epoch: 1, Sequence: 1, Reservation: 1, Rate: 1}, 0, load.ReservationTTL, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &load.Holder{Host: "h"}
			h.Step(zero, load.Elected{Epoch: 1})
			require.Empty(t, grantedPermits(h.Step(zero, load.PermitRequested{PendingLoad: want})))
			now := zero.Add(c.after)
			actions := h.Step(now, load.ReplyReceived{Reply: c.reply})
			if c.until > 0 {
				actions = h.Step(now.Add(c.until), load.Tick{})
			}
			require.Equal(t, c.want, len(grantedPermits(actions)) == 1)
		})
	}
}

func grantedPermits(actions []load.Action) []load.PermitGranted {
	var list []load.PermitGranted
	for _, a := range actions {
		if g, ok := a.(load.PermitGranted); ok {
			list = append(list, g)
		}
	}
	return list
}

// TestCallersTakeTurns checks that callers take turns, and that among the loads of
// one caller those with the most waiting requests go first.
func TestCallersTakeTurns(t *testing.T) {
	g := newGrantor(true)
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
			for i, p := range q.Pending {
				if p.Ref == gr.Ref {
					order = append(order, p.Waiting)
					q.Pending = append(q.Pending[:i:i], q.Pending[i+1:]...)
					break
				}
			}
		}
	}
	require.Equal(t, []int{17, 16, 1, 15}, order)
}

// TestMaxInFlight checks that permits in use count against the limit on concurrent
// loads, of which each reservation takes one.
func TestMaxInFlight(t *testing.T) {
	g := newGrantor(true)
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
	require.Len(t, q.Held, maxInFlight-g.Reservations())
}
