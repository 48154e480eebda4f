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

// TestMain chooses the seed and the number of rapid's runs, and flags replace
// them: a longer run is -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// An object is a naive object API with one object. A lost write may take
// effect at once, never, or at any later time.
type object struct {
	value   []byte
	version uint64
	serial  uint64
	late    []func()
}

func (o *object) write(version uint64, r ledger.Record) bool {
	if o.version != version {
		return false
	}
	value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	o.serial++
	o.value, o.version = value, o.serial
	return true
}

// A request is one call of the key and how it ended.
type request struct {
	call  ledger.Call
	next  ledger.Event
	ran   bool
	reply *ledger.Response
	err   *verdict.Error
}

func (r *request) ended() bool { return r.reply != nil || r.err != nil }

// A world is several requests with one key, on any hosts, and its one target.
type world struct {
	t        *rapid.T
	object   object
	requests []*request
	ran      int
}

func (w *world) draw(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(w.t, label)
}

func (w *world) write(version uint64, r ledger.Record) ledger.Event {
	switch w.draw("write", "sound", "sound", "lost", "dropped", "late", "down") {
	case "sound":
		if w.object.write(version, r) {
			return ledger.Written{Version: w.object.version}
		}
		return ledger.Conflict{}
	case "lost":
		w.object.write(version, r)
		return ledger.WriteUnknown{}
	case "late":
		w.object.late = append(w.object.late, func() { w.object.write(version, r) })
		return ledger.WriteUnknown{}
	case "down":
		return ledger.Unavailable{}
	default:
		return ledger.WriteUnknown{}
	}
}

func (w *world) read() ledger.Event {
	if w.draw("read", "sound", "sound", "sound", "down") == "down" {
		return ledger.Unavailable{}
	}
	if w.object.version == 0 {
		return ledger.NotFound{}
	}
	record, err := ledger.Decode(w.object.value)
	require.NoError(w.t, err)
	return ledger.Found{Record: record, Version: w.object.version}
}

func (w *world) send(r *request) ledger.Event {
	outcome := w.draw("send", "answered", "answered", "broken", "unsent", "refused", "refused")
	if outcome == "refused" {
		return ledger.NotSent{}
	}
	if outcome != "unsent" {
		w.ran++
		r.ran = true
	}
	if outcome != "answered" {
		return ledger.Interrupted{}
	}
	return ledger.Responded{Response: ledger.Response{Status: http.StatusCreated, Body: fmt.Appendf(nil, "run %d", w.ran)}}
}

// step lets one request do what comes next.
func (w *world) step(r *request) {
	event := r.next
	r.next = nil
	for _, action := range r.call.Step(start, event) {
		require.False(w.t, r.ended(), "nothing comes after the end")
		switch a := action.(type) {
		case ledger.Create:
			r.next = w.write(0, a.Record)
		case ledger.Update:
			r.next = w.write(a.Version, a.Record)
		case ledger.Read:
			r.next = w.read()
		case ledger.Send:
			r.next = w.send(r)
		case ledger.Finalize:
			w.write(a.Version, a.Record)
		case ledger.Reply:
			r.reply = &a.Response
		case ledger.Refuse:
			r.err = a.Err
		}
	}
	require.True(w.t, r.ended() != (r.next != nil), "a request goes on or has ended")
}

// TestCallsRunAtMostOnce runs requests with one key in any order against a set
// of what ran, with lost, late and dropped writes and hosts that end anywhere.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			begin := ledger.Begin{Attempt: fmt.Sprint("attempt", i), Fingerprint: "p", Deadline: start.Add(time.Second), Targets: 2}
			w.requests = append(w.requests, &request{next: begin})
		}
		for range 60 {
			if len(w.object.late) > 0 && rapid.Bool().Draw(t, "land") {
				w.object.late[0]()
				w.object.late = w.object.late[1:]
			}
			r := rapid.SampledFrom(w.requests).Draw(t, "request")
			if !r.ended() {
				w.step(r)
			}
		}
		require.LessOrEqual(t, w.ran, 1)
		for _, r := range w.requests {
			if r.err != nil && r.err.Verdict == verdict.NotRun {
				require.False(t, r.ran, "a refusal as not run")
			}
			if r.reply != nil {
				require.Equal(t, "run 1", string(r.reply.Body))
			}
		}
	})
}

// run steps a call through events and returns the last actions.
func run(events ...ledger.Event) []ledger.Action {
	c := &ledger.Call{}
	actions := c.Step(start, ledger.Begin{Attempt: "mine", Fingerprint: "p", Deadline: start.Add(time.Second), Targets: 2})
	for _, e := range events {
		actions = c.Step(start, e)
	}
	return actions
}

func found(state ledger.State, attempt, mark string, until time.Time) ledger.Found {
	answer := &ledger.Response{Status: 201, Body: []byte("kept")}
	return ledger.Found{Version: 7, Record: ledger.Record{State: state, Attempt: attempt, Fingerprint: mark, Deadline: until, Response: answer}}
}

func TestDecisions(t *testing.T) {
	mine := ledger.Record{State: ledger.Sent, Attempt: "mine", Fingerprint: "p", Deadline: start.Add(time.Second), Expires: start.Add(time.Second + ledger.Retention)}
	second := mine
	second.Attempt = "mine/1"
	for _, c := range []struct {
		name   string
		events []ledger.Event
		want   ledger.Action
	}{
		{"record first", nil, ledger.Create{Record: mine}},
		{"then the call", []ledger.Event{ledger.Written{Version: 1}}, ledger.Send{}},
		{"lost answer is read back", []ledger.Event{ledger.WriteUnknown{}}, ledger.Read{}},
		{"own record found", []ledger.Event{ledger.WriteUnknown{}, found(ledger.Sent, "mine", "p", start)}, ledger.Send{}},
		{"no record found", []ledger.Event{ledger.WriteUnknown{}, ledger.NotFound{}}, ledger.Create{Record: mine}},
		{"stored answer", []ledger.Event{ledger.Conflict{}, found(ledger.Done, "other", "p", start)},
			ledger.Reply{Response: ledger.Response{Status: 201, Body: []byte("kept")}, Replayed: true}},
		{"free record", []ledger.Event{ledger.Conflict{}, found(ledger.Free, "other", "p", start)}, ledger.Update{Version: 7, Record: mine}},
		{"next target, new attempt", []ledger.Event{ledger.Written{Version: 1}, ledger.NotSent{}}, ledger.Update{Version: 1, Record: second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, []ledger.Action{c.want}, run(c.events...))
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		events  []ledger.Event
		verdict verdict.Verdict
		code    verdict.Code
		again   bool
	}{
		{"other body", []ledger.Event{ledger.Conflict{}, found(ledger.Done, "other", "q", start)}, verdict.NotRun, verdict.Invalid, false},
		{"in progress", []ledger.Event{ledger.Conflict{}, found(ledger.Sent, "other", "p", start.Add(1))}, verdict.MayHaveRun, verdict.Conflict, true},
		{"unknown outcome", []ledger.Event{ledger.Conflict{}, found(ledger.Sent, "other", "p", start)}, verdict.MayHaveRun, verdict.Conflict, false},
		{"object API down", []ledger.Event{ledger.Unavailable{}}, verdict.NotRun, verdict.Unavailable, false},
		{"answer lost", []ledger.Event{ledger.Written{Version: 1}, ledger.Interrupted{}}, verdict.MayHaveRun, verdict.Interrupted, false},
		{"answer late", []ledger.Event{ledger.Written{Version: 1}, ledger.Interrupted{TimedOut: true}}, verdict.MayHaveRun, verdict.DeadlineExceeded, false},
		{"no target", []ledger.Event{ledger.Written{Version: 1}, ledger.NotSent{}, ledger.Written{Version: 2}, ledger.NotSent{}},
			verdict.NotRun, verdict.Unavailable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			actions := run(c.events...)
			err := actions[len(actions)-1].(ledger.Refuse).Err
			require.Equal(t, c.verdict, err.Verdict)
			require.Equal(t, c.code, err.Code)
			require.Equal(t, c.again, !err.RetryAt.IsZero())
		})
	}
}

func TestNotSentAfterTheDeadline(t *testing.T) {
	c := &ledger.Call{}
	c.Step(start, ledger.Begin{Attempt: "mine", Deadline: start.Add(time.Second), Targets: 1})
	actions := c.Step(start.Add(time.Second), ledger.Written{Version: 1})
	require.Equal(t, ledger.Free, actions[0].(ledger.Finalize).Record.State)
	require.Equal(t, verdict.NotRun, actions[1].(ledger.Refuse).Err.Verdict)
}

func TestLongAnswersAreNotKept(t *testing.T) {
	long := ledger.Response{Status: 201, Body: []byte(strings.Repeat("x", ledger.MaxStoredBody+1))}
	require.Equal(t, ledger.Response{Status: 201, BodyOmitted: true}, long.ForStorage())
	short := ledger.Response{Status: 201, Body: []byte(strings.Repeat("x", ledger.MaxStoredBody))}
	require.Equal(t, short, short.ForStorage())
	value, err := ledger.Record{State: ledger.Done, Response: &short}.Encode()
	require.NoError(t, err)
	require.Less(t, len(value), 1<<20)
}

func TestKeysAndPrintsAreOfWholeParts(t *testing.T) {
	require.NotEqual(t, ledger.Key("a", "bc", "d"), ledger.Key("ab", "c", "d"))
	require.NotEqual(t, ledger.Fingerprint("POST", "/a", "", []byte("b")), ledger.Fingerprint("POST", "/ab", "", nil))
}

func TestExpiry(t *testing.T) {
	until := start.Add(time.Minute)
	for _, c := range []struct {
		name   string
		record ledger.Record
		now    time.Time
		want   bool
	}{
		{"new", ledger.Record{Deadline: until, Expires: until.Add(ledger.Retention)}, start, false},
		{"after the deadline", ledger.Record{Deadline: until, Expires: until.Add(ledger.Retention)}, until.Add(ledger.Retention - 1), false},
		{"after the retention", ledger.Record{Deadline: until, Expires: until.Add(ledger.Retention)}, until.Add(ledger.Retention), true},
		{"without an expiry", ledger.Record{Deadline: until}, until.Add(ledger.Retention - 1), false},
		{"without an expiry, after the retention", ledger.Record{Deadline: until}, until.Add(ledger.Retention), true},
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
		{"none yet", ledger.Claim{}, "a", start, true},
		{"another's", held, "b", start, false},
		{"its own", held, "a", start, true},
		{"another's that lapsed", held, "b", start.Add(time.Minute), true},
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
