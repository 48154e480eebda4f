package traffic_test

import (
	"cmp"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/control"
)

const all = "t0 t1 t2 t3 "

// other sends token index of another request or version, then goes on.
func other(id, model string, index int) step {
	return at(1, func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, own string, _ int) bool {
		say(w, cmp.Or(id, own), model, index)
		return false
	})
}

// Faults of an engine, met through its own host and through another one, for
// answers in one piece and streams. A second engine is a candidate too.
func TestEngineFaults(t *testing.T) {
	type want struct {
		text         string // what the caller has got
		whole        bool
		first, other int // runs on the two engines
	}
	again := want{all, true, 1, 1}   // restarted on the other engine
	resumed := want{all, true, 1, 0} // went on where it broke
	broken := want{"t0 ", false, 1, 0}
	cases := []struct {
		name     string
		steps    []step
		deny     string
		piece    want // for an answer in one piece
		streamed want
		outcome  string // of the first engine's ticket
	}{
		{"no fault", nil, "", resumed, resumed, "Served"},
		{"reset before the first token", []step{at(0, cut)}, "", resumed, resumed, "Served"},
		{"reset in the answer", []step{at(2, cut), at(3, cut)}, "", resumed, resumed, "Served"},
		{"reset before the end", []step{at(4, cut)}, "", resumed, resumed, "Served"},
		{"silent before the first token", []step{at(0, hang)}, "", again, again, "Cancelled"},
		{"silent in the answer", []step{at(2, hang)}, "", resumed, resumed, "Served"},
		{"silent for good", []step{at(1, hang), at(1, hang)}, "", again, broken, "Cancelled"},
		{"another request's answer", []step{other("z", "fees@v1", 1)}, "", again, broken, "Cancelled"},
		{"another version's answer", []step{other("", "fees@v2", 1)}, "", again, broken, "Cancelled"},
		{"out of order", []step{other("", "fees@v1", 3)}, "", again, broken, "Cancelled"},
		{"doubled token", []step{other("", "fees@v1", 0)}, "", again, broken, "Cancelled"},
		{"not resident", nil, "absent", want{all, true, 0, 1}, want{all, true, 0, 1}, "Refused"},
		{"crash in the answer", []step{at(1, crash)}, "", again, broken, "Lost"},
	}
	ids := identities(t, "entry-1", "entry-2")
	for _, c := range cases {
		for _, path := range []string{"own", "forwarded"} {
			for _, kind := range []string{"piece", "streamed"} {
				t.Run(c.name+" "+path+" "+kind, func(t *testing.T) {
					t.Parallel()
					first, second := newEngine(t, c.steps...), newEngine(t)
					first.deny = c.deny
					entry := newHost(t, configuration(t), ids["entry-1"])
					owner := entry
					candidate := (*host).here
					if path == "forwarded" {
						owner = newHost(t, configuration(t), ids["entry-2"])
						candidate = (*host).there
					}
					entry.route(candidate(owner, "r1", first), candidate(owner, "r2", second))
					want, body := c.piece, asWhole
					if kind == "streamed" {
						want, body = c.streamed, asStream
					}
					got := post(t, entry, body)
					text, whole := words(t, got)
					require.Equal(t, want.text, text, got.text)
					require.Equal(t, want.whole, whole, got.text)
					if !want.whole {
						code, verdict := got.problem(t)
						require.Equal(t, "broken mayhaverun", code+" "+verdict)
					}
					ran, _ := first.total()
					require.Equal(t, want.first, ran)
					ran, _ = second.total()
					require.Equal(t, want.other, ran)
					require.Eventually(t, func() bool { return len(owner.fake.ended()) == 1+want.other }, 5*time.Second, time.Millisecond)
					require.Contains(t, owner.fake.ended(), c.outcome)
					require.Equal(t, c.outcome == "Lost", len(owner.fake.crashes) == 1)
				})
			}
		}
	}
}

var _ control.Control = (*fakeControl)(nil)
