package ledger_test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/ledger"
	"jacinthstage/stage/verdict"
)

// TestMain sets the default seed and number of runs of rapid. Flags override them:
// use -rapid.seed=N -rapid.checks=N for a longer run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// An object simulates an object API with one object. A write whose response is lost
// may take effect at once, never, or at any later time.
type object struct {
	value       []byte
	version     uint64 // 0 if the object does not exist
	lastVersion uint64
	delayed     []func() // writes that take effect later
}

func (o *object) write(version uint64, r ledger.Record) bool {
	if o.version != version {
		return false
	}
	value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	o.lastVersion++
	o.value, o.version = value, o.lastVersion
	return true
}

// A request is one call with the key and its outcome.
type request struct {
	call  ledger.Call
	next  ledger.Event
	ran   bool
	reply *ledger.Response
	err   *verdict.Error
}

func (r *request) ended() bool { return r.reply != nil || r.err != nil }

// A cluster simulates several requests with one key on any hosts, and their target.
type cluster struct {
	t        *rapid.T
	object   object
	requests []*request
	runs     int // number of times that the target ran the call
}

func (c *cluster) draw(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(c.t, label)
}

func (c *cluster) write(version uint64, r ledger.Record) ledger.Event {
	switch c.draw("write", "ok", "ok", "lost", "dropped", "late", "down") {
	case "ok":
		if c.object.write(version, r) {
			return ledger.Written{Version: c.object.version}
		}
		return ledger.Conflict{}
	case "lost":
		c.object.write(version, r)
		return ledger.WriteUnknown{}
	case "late":
		c.object.delayed = append(c.object.delayed, func() { c.object.write(version, r) })
		return ledger.WriteUnknown{}
	case "down":
		return ledger.Unavailable{}
	default:
		return ledger.WriteUnknown{}
	}
}

func (c *cluster) read() ledger.Event {
	if c.draw("read", "ok", "ok", "ok", "down") == "down" {
		return ledger.Unavailable{}
	}
	if c.object.version == 0 {
		return ledger.NotFound{}
	}
	record, err := ledger.Decode(c.object.value)
	require.NoError(c.t, err)
	return ledger.Found{Record: record, Version: c.object.version}
}

func (c *cluster) send(r *request) ledger.Event {
	outcome := c.draw("send", "answered", "answered", "broken", "unsent", "refused", "refused")
	if outcome == "refused" {
		return ledger.NotSent{}
	}
	if outcome != "unsent" {
		c.runs++
		r.ran = true
	}
	if outcome != "answered" {
		return ledger.Interrupted{}
	}
	return ledger.Responded{Response: ledger.Response{Status: http.StatusCreated, Body: fmt.Appendf(nil, "run %d", c.runs)}}
}

// step passes the next event of a request to its call and carries out the resulting
// actions.
func (c *cluster) step(r *request) {
	event := r.next
	r.next = nil
	for _, action := range r.call.Step(start, event) {
		require.False(c.t, r.ended(), "action after Reply or Refuse")
		switch a := action.(type) {
		case ledger.Create:
			r.next = c.write(0, a.Record)
		case ledger.Update:
			r.next = c.write(a.Version, a.Record)
		case ledger.Read:
			r.next = c.read()
		case ledger.Send:
			r.next = c.send(r)
		case ledger.Finalize:
			c.write(a.Version, a.Record)
		case ledger.Reply:
			r.reply = &a.Response
		case ledger.Refuse:
			r.err = a.Err
		}
	}
	require.True(c.t, r.ended() != (r.next != nil), "a request must either have a next event or have ended")
}

// TestCallsRunAtMostOnce runs requests with one key in random order and counts runs of
// the call. Writes may be lost, delayed or dropped, and hosts may stop at any step.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t}
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			begin := ledger.Begin{Attempt: fmt.Sprint("attempt", i), Fingerprint: "p", Deadline: start.Add(time.Second), Targets: 2}
			c.requests = append(c.requests, &request{next: begin})
		}
		for range 60 {
			if len(c.object.delayed) > 0 && rapid.Bool().Draw(t, "delayed write") {
				c.object.delayed[0]()
				c.object.delayed = c.object.delayed[1:]
			}
			r := rapid.SampledFrom(c.requests).Draw(t, "request")
			if !r.ended() {
				c.step(r)
			}
		}
		require.LessOrEqual(t, c.runs, 1)
		for _, r := range c.requests {
			if r.err != nil && r.err.Verdict == verdict.NotRun {
				require.False(t, r.ran, "a request that ran was refused as not run")
			}
			if r.reply != nil {
				require.Equal(t, "run 1", string(r.reply.Body))
			}
		}
	})
}

// lastActions passes Begin and the events to a new call and returns the actions after
// the last one.
func lastActions(events ...ledger.Event) []ledger.Action {
	c := &ledger.Call{}
	actions := c.Step(start, ledger.Begin{Attempt: "mine", Fingerprint: "p", Deadline: start.Add(time.Second), Targets: 2})
	for _, e := range events {
		actions = c.Step(start, e)
	}
	return actions
}

// found returns the event of reading a record.
func found(state ledger.State, attempt, fingerprint string, deadline time.Time) ledger.Found {
	answer := &ledger.Response{Status: 201, Body: []byte("stored")}
	return ledger.Found{Version: 7, Record: ledger.Record{State: state, Attempt: attempt, Fingerprint: fingerprint, Deadline: deadline, Response: answer}}
}

// TestDecisions checks the last action after each sequence of events.
func TestDecisions(t *testing.T) {
	mine := ledger.Record{State: ledger.Sent, Attempt: "mine", Fingerprint: "p", Deadline: start.Add(time.Second), Expires: start.Add(time.Second + ledger.Retention)}
	second := mine
	second.Attempt = "mine/1"
	for _, c := range []struct {
		name   string
		events []ledger.Event
		want   ledger.Action
	}{
		{"begin creates the record", nil, ledger.Create{Record: mine}},
		{"call is sent after the write", []ledger.Event{ledger.Written{Version: 1}}, ledger.Send{}},
		{"write of unknown outcome is read back", []ledger.Event{ledger.WriteUnknown{}}, ledger.Read{}},
		{"own record is found", []ledger.Event{ledger.WriteUnknown{}, found(ledger.Sent, "mine", "p", start)}, ledger.Send{}},
		{"record is created again", []ledger.Event{ledger.WriteUnknown{}, ledger.NotFound{}}, ledger.Create{Record: mine}},
		{"stored response is replayed", []ledger.Event{ledger.Conflict{}, found(ledger.Done, "other", "p", start)},
			ledger.Reply{Response: ledger.Response{Status: 201, Body: []byte("stored")}, Replayed: true}},
		{"free record is overwritten", []ledger.Event{ledger.Conflict{}, found(ledger.Free, "other", "p", start)}, ledger.Update{Version: 7, Record: mine}},
		{"next target gets a new attempt", []ledger.Event{ledger.Written{Version: 1}, ledger.NotSent{}}, ledger.Update{Version: 1, Record: second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, []ledger.Action{c.want}, lastActions(c.events...))
		})
	}
}

// TestRefusals checks the error after each sequence of events.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		events  []ledger.Event
		verdict verdict.Verdict
		code    verdict.Code
		retry   bool
	}{
		{"other body", []ledger.Event{ledger.Conflict{}, found(ledger.Done, "other", "q", start)}, verdict.NotRun, verdict.Invalid, false},
		{"in progress", []ledger.Event{ledger.Conflict{}, found(ledger.Sent, "other", "p", start.Add(1))}, verdict.MayHaveRun, verdict.Conflict, true},
		{"unknown outcome", []ledger.Event{ledger.Conflict{}, found(ledger.Sent, "other", "p", start)}, verdict.MayHaveRun, verdict.Conflict, false},
		{"object API down", []ledger.Event{ledger.Unavailable{}}, verdict.NotRun, verdict.Unavailable, false},
		{"response lost", []ledger.Event{ledger.Written{Version: 1}, ledger.Interrupted{}}, verdict.MayHaveRun, verdict.Interrupted, false},
		{"response timed out", []ledger.Event{ledger.Written{Version: 1}, ledger.Interrupted{TimedOut: true}}, verdict.MayHaveRun, verdict.DeadlineExceeded, false},
		{"no target reachable", []ledger.Event{ledger.Written{Version: 1}, ledger.NotSent{}, ledger.Written{Version: 2}, ledger.NotSent{}},
			verdict.NotRun, verdict.Unavailable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			actions := lastActions(c.events...)
			err := actions[len(actions)-1].(ledger.Refuse).Err
			require.Equal(t, c.verdict, err.Verdict)
			require.Equal(t, c.code, err.Code)
			require.Equal(t, c.retry, !err.RetryAt.IsZero())
		})
	}
}

// TestNotSentAfterDeadline checks that a call whose record is written after the deadline
// is released instead of sent.
func TestNotSentAfterDeadline(t *testing.T) {
	c := &ledger.Call{}
	c.Step(start, ledger.Begin{Attempt: "mine", Deadline: start.Add(time.Second), Targets: 1})
	actions := c.Step(start.Add(time.Second), ledger.Written{Version: 1})
	require.Equal(t, ledger.Free, actions[0].(ledger.Finalize).Record.State)
	require.Equal(t, verdict.NotRun, actions[1].(ledger.Refuse).Err.Verdict)
}

// TestLargeBodiesAreNotStored checks the limit of stored bodies, and that a record with
// the largest body fits into an object.
func TestLargeBodiesAreNotStored(t *testing.T) {
	large := ledger.Response{Status: 201, Body: []byte(strings.Repeat("x", ledger.MaxStoredBody+1))}
	require.Equal(t, ledger.Response{Status: 201, BodyOmitted: true}, large.ForStorage())
	small := ledger.Response{Status: 201, Body: []byte(strings.Repeat("x", ledger.MaxStoredBody))}
	require.Equal(t, small, small.ForStorage())
	value, err := ledger.Record{State: ledger.Done, Response: &small}.Encode()
	require.NoError(t, err)
	require.Less(t, len(value), 1<<20)
}

// TestDigestSeparatesParts checks that keys and fingerprints differ if the same text is
// split differently.
func TestDigestSeparatesParts(t *testing.T) {
	require.NotEqual(t, ledger.Key("a", "bc", "d"), ledger.Key("ab", "c", "d"))
	require.NotEqual(t, ledger.Fingerprint("POST", "/a", "", []byte("b")), ledger.Fingerprint("POST", "/ab", "", nil))
}

func TestExpiry(t *testing.T) {
	deadline := start.Add(time.Minute)
	for _, c := range []struct {
		name   string
		record ledger.Record
		now    time.Time
		want   bool
	}{
		{"new", ledger.Record{Deadline: deadline, Expires: deadline.Add(ledger.Retention)}, start, false},
		{"after the deadline", ledger.Record{Deadline: deadline, Expires: deadline.Add(ledger.Retention)}, deadline.Add(ledger.Retention - 1), false},
		{"after the retention", ledger.Record{Deadline: deadline, Expires: deadline.Add(ledger.Retention)}, deadline.Add(ledger.Retention), true},
		{"without an expiry", ledger.Record{Deadline: deadline}, deadline.Add(ledger.Retention - 1), false},
		{"without an expiry, after the retention", ledger.Record{Deadline: deadline}, deadline.Add(ledger.Retention), true},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.record.Expired(c.now)) })
	}
}

func TestClaims(t *testing.T) {
	held := ledger.Claim{Host: "a", Expires: start.Add(time.Minute), After: "call/7"}
	for _, c := range []struct {
		name string
		old  ledger.Claim
		host string
		now  time.Time
		want bool
	}{
		{"no claim", ledger.Claim{}, "a", start, true},
		{"other host", held, "b", start, false},
		{"same host", held, "a", start, true},
		{"other host, expired", held, "b", start.Add(time.Minute), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			claim, ok := c.old.Take(c.now, c.host)
			require.Equal(t, c.want, ok)
			if ok {
				require.Equal(t, ledger.Claim{Host: c.host, Expires: c.now.Add(ledger.ClaimDuration), After: c.old.After}, claim)
			}
		})
	}
}
