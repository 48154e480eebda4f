package traffic_test

import (
	"cmp"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/control"
)

const fullText = "t0 t1 t2 t3 "

// wrongToken returns a step that sends one token with the given index, request ID and
// model at position 1 and then continues correctly. An empty ID stands for the
// request's own.
func wrongToken(id, model string, index int) step {
	return atIndex(1, func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, requestID string, _ int) bool {
		writeToken(w, cmp.Or(id, requestID), model, index)
		return false
	})
}

// TestEngineFaults checks what the caller receives and what runs when an engine
// fails, for both local and forwarded requests and for both JSON and streamed answers.
// A second engine is available as a candidate.
func TestEngineFaults(t *testing.T) {
	type want struct {
		text          string // received by the caller
		complete      bool
		first, second int // runs on the two engines
	}
	again := want{fullText, true, 1, 1}   // restarted on the other engine
	resumed := want{fullText, true, 1, 0} // continued on the same engine
	broken := want{"t0 ", false, 1, 0}
	cases := []struct {
		name       string
		steps      []step
		refuseCode string
		asJSON     want // for an answer that is not streamed
		streamed   want
		outcome    string // of the first engine's ticket
	}{
		{"no fault", nil, "", resumed, resumed, "Served"},
		{"reset before the first token", []step{atIndex(0, abort)}, "", resumed, resumed, "Served"},
		{"reset in the answer", []step{atIndex(2, abort), atIndex(3, abort)}, "", resumed, resumed, "Served"},
		{"reset before the end", []step{atIndex(4, abort)}, "", resumed, resumed, "Served"},
		{"silent before the first token", []step{atIndex(0, hang)}, "", again, again, "Cancelled"},
		{"silent in the answer", []step{atIndex(2, hang)}, "", resumed, resumed, "Served"},
		{"silent repeatedly", []step{atIndex(1, hang), atIndex(1, hang)}, "", again, broken, "Cancelled"},
		{"another request's answer", []step{wrongToken("z", "fees@v1", 1)}, "", again, broken, "Cancelled"},
		{"another version's answer", []step{wrongToken("", "fees@v2", 1)}, "", again, broken, "Cancelled"},
		{"out of order", []step{wrongToken("", "fees@v1", 3)}, "", again, broken, "Cancelled"},
		{"duplicate token", []step{wrongToken("", "fees@v1", 0)}, "", again, broken, "Cancelled"},
		{"not resident", nil, "absent", want{fullText, true, 0, 1}, want{fullText, true, 0, 1}, "Refused"},
		{"crash in the answer", []step{atIndex(1, crash)}, "", again, broken, "Lost"},
	}
	ids := identities(t, "entry-1", "entry-2")
	for _, c := range cases {
		for _, path := range []string{"own", "forwarded"} {
			for _, kind := range []string{"json", "streamed"} {
				t.Run(c.name+" "+path+" "+kind, func(t *testing.T) {
					t.Parallel()
					first, second := newEngine(t, c.steps...), newEngine(t)
					first.refuseCode = c.refuseCode
					entry := newHost(t, configuration(t), ids["entry-1"])
					owner := entry
					candidate := (*host).localCandidate
					if path == "forwarded" {
						owner = newHost(t, configuration(t), ids["entry-2"])
						candidate = (*host).remoteCandidate
					}
					entry.route(candidate(owner, "r1", first), candidate(owner, "r2", second))
					want, body := c.asJSON, jsonBody
					if kind == "streamed" {
						want, body = c.streamed, streamBody
					}
					got := post(t, entry, body)
					text, complete := completionText(t, got)
					require.Equal(t, want.text, text, got.text)
					require.Equal(t, want.complete, complete, got.text)
					if !want.complete {
						code, verdict := got.errorCode(t)
						require.Equal(t, "broken mayhaverun", code+" "+verdict)
					}
					ran, _ := first.counts()
					require.Equal(t, want.first, ran)
					ran, _ = second.counts()
					require.Equal(t, want.second, ran)
					require.Eventually(t, func() bool { return len(owner.fake.endedOutcomes()) == 1+want.second }, 5*time.Second, time.Millisecond)
					require.Contains(t, owner.fake.endedOutcomes(), c.outcome)
					require.Equal(t, c.outcome == "Lost", len(owner.fake.crashes) == 1)
				})
			}
		}
	}
}

var _ control.Control = (*fakeControl)(nil)
