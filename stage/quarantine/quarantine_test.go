package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/quarantine"
	"jacinthstage/stage/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPrint(t *testing.T) {
	p := quarantine.NewFingerprint("carrier", []byte("body"))
	require.Equal(t, p, quarantine.NewFingerprint("carrier", []byte("body")))
	require.NotEqual(t, p, quarantine.NewFingerprint("carrie", []byte("rbody")))
	back, ok := quarantine.ParseKey(p.Key())
	require.True(t, ok)
	require.Equal(t, p, back)
	for _, key := range []string{"suspect/", "suspect/xy", "lease/" + string(p)} {
		_, ok := quarantine.ParseKey(key)
		require.False(t, ok, key)
	}
	r := quarantine.Record{Crashes: []string{"a"}, Holder: "h", Claim: "c", Expires: start}
	got, err := quarantine.Decode(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, got)
}

// A world is hosts with a store between them, for one request that is sent
// again and again. The naive count of crashes is beside it.
type world struct {
	t       *rapid.T
	now     time.Time
	print   quarantine.Fingerprint
	hosts   []*quarantine.Quarantine
	version uint64 // of the object, 0 where it is missing
	next    uint64
	record  quarantine.Record
	calls   []func()          // calls on the store that wait, and their answers
	leave   map[string]string // answers to Ask by id: allow, or a code
	running map[string]string // target by id
	crashed map[string]bool   // targets
	poison  bool              // whether the request crashes what runs it
	down    bool              // whether the store fails
	ids     int
}

func (w *world) step(host int, e quarantine.Event) {
	for _, action := range w.hosts[host].Step(w.now, e) {
		switch x := action.(type) {
		case quarantine.Allow:
			require.NotContains(w.t, w.leave, x.ID, "two answers to Ask")
			w.leave[x.ID] = "allow"
		case quarantine.Refuse:
			require.Equal(w.t, verdict.NotRun, x.Err.Verdict)
			require.NotContains(w.t, w.leave, x.ID, "two answers to Ask")
			w.leave[x.ID] = string(x.Err.Code)
		case quarantine.Cancel:
			delete(w.running, x.ID)
			w.step(host, quarantine.Ended{Fingerprint: w.print, ID: x.ID})
		case quarantine.ReportCrash:
			for other := range w.hosts {
				if other != host {
					w.step(other, quarantine.CrashReported(x))
				}
			}
		default:
			w.calls = append(w.calls, func() { w.call(host, action) })
		}
	}
}

// call carries out a call on the store; its answer may be lost.
func (w *world) call(host int, action quarantine.Action) {
	if w.down && rapid.Bool().Draw(w.t, "before") {
		w.step(host, quarantine.CallFailed{Fingerprint: w.print})
		return
	}
	answer := w.answer(action)
	if w.down {
		answer = quarantine.CallFailed{Fingerprint: w.print}
	}
	w.step(host, answer)
}

func (w *world) answer(action quarantine.Action) quarantine.Event {
	switch x := action.(type) {
	case quarantine.Read:
		if w.version == 0 {
			return quarantine.NotFound{Fingerprint: w.print, Reply: true}
		}
	case quarantine.Write:
		if x.Version != w.version {
			return quarantine.Conflict{Fingerprint: w.print}
		}
		w.next++
		w.version, w.record = w.next, x.Record
	case quarantine.Delete:
		if x.Version != w.version {
			return quarantine.Conflict{Fingerprint: w.print}
		}
		w.version = 0
		return quarantine.NotFound{Fingerprint: w.print, Reply: true}
	}
	return quarantine.Stored{Fingerprint: w.print, Version: w.version, Record: w.record, Reply: true}
}

// send sends the request through a host: at once where it is clean, else once
// it has leave.
func (w *world) send(host int) {
	w.ids++
	id := fmt.Sprint(w.ids)
	if !w.hosts[host].IsClean(w.print) {
		w.step(host, quarantine.RunRequested{Fingerprint: w.print, ID: id})
		w.settle()
		require.Contains(w.t, w.leave, id, "no answer to Ask")
		if w.leave[id] != "allow" {
			return
		}
	}
	w.running[id] = fmt.Sprintf("%d/target-%d", host, w.ids)
	w.step(host, quarantine.Sent{Fingerprint: w.print, ID: id, Target: w.running[id]})
}

// settle makes the calls that wait, in any order.
func (w *world) settle() {
	for len(w.calls) > 0 {
		i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
		call := w.calls[i]
		w.calls = append(w.calls[:i], w.calls[i+1:]...)
		call()
	}
}

// end ends a run: by a crash, or by an answer.
func (w *world) end(id string) {
	target := w.running[id]
	var host int
	_, err := fmt.Sscanf(target, "%d/", &host)
	require.NoError(w.t, err)
	delete(w.running, id)
	if w.poison {
		w.crashed[target] = true
		w.step(host, quarantine.Crashed{Fingerprint: w.print, ID: id, CrashID: target})
		return
	}
	w.step(host, quarantine.Ended{Fingerprint: w.print, ID: id, Complete: true})
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, print: quarantine.NewFingerprint("c", nil), poison: true,
		leave: map[string]string{}, running: map[string]string{}, crashed: map[string]bool{}}
	for i := range 4 {
		w.hosts = append(w.hosts, &quarantine.Quarantine{Host: fmt.Sprint("entry-", i)})
	}
	return w
}

// TestAtMostTwoTargetsCrash sends a request that crashes each target that runs
// it through any hosts, twice at the same time at first, with a store that
// fails and loses answers, in any order.
func TestAtMostTwoTargetsCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(2, 40).Draw(t, "steps") {
			host := rapid.IntRange(0, 3).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if len(w.running) < 2 {
					w.send(host)
				}
			case 2:
				for id := range w.running {
					w.end(id)
					break
				}
			case 3:
				w.down = rapid.Bool().Draw(t, "down")
			case 4:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
				for i := range w.hosts {
					w.step(i, quarantine.Tick{})
				}
			}
			if rapid.Bool().Draw(t, "settle") {
				w.settle()
			}
			require.LessOrEqual(t, len(w.crashed), 2)
			if len(w.crashed) > 0 {
				require.LessOrEqual(t, len(w.running), 1)
			}
		}
	})
}

func TestRefusedForGoodOnEveryHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for round := range 2 {
			w.send(round)
			for id := range w.running {
				w.end(id)
			}
			w.settle()
		}
		require.Len(t, w.crashed, 2)
		for host := range w.hosts {
			w.send(host)
			require.Equal(t, string(verdict.Quarantined), w.leave[fmt.Sprint(w.ids)])
		}
		// A new host learns it from the object, also an hour later.
		w.now = w.now.Add(2 * time.Hour)
		w.hosts = append(w.hosts, &quarantine.Quarantine{Host: "entry-9"})
		w.step(4, quarantine.Stored{Fingerprint: w.print, Version: w.version, Record: w.record})
		w.send(4)
		require.Equal(t, string(verdict.Quarantined), w.leave[fmt.Sprint(w.ids)])
	})
}

// TestInnocentIsCleared has one crash beside the request that caused it, and
// the request served at its next run.
func TestInnocentIsCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.send(0)
		w.end("1")
		w.settle()
		w.poison = false
		require.NotZero(t, w.version)
		w.send(1)
		require.Equal(t, "allow", w.leave["2"])
		w.send(2)
		require.Equal(t, string(verdict.Busy), w.leave["3"], "one at a time")
		w.end("2")
		w.settle()
		require.Zero(t, w.version)
		w.send(2)
		require.Contains(t, w.running, "4")
	})
}

func TestOutageRefusesSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.down = true
		w.send(0)
		w.end("1")
		w.settle()
		w.send(1)
		require.Equal(t, string(verdict.Unavailable), w.leave["2"])
		w.down, w.poison = false, false
		w.now = w.now.Add(2 * time.Second)
		for i := range w.hosts {
			w.step(i, quarantine.Tick{})
		}
		w.settle()
		w.send(1)
		require.Equal(t, "allow", w.leave["3"])
	})
}

// TestLostClaimIsGivenBack loses the answer of the write that claims.
func TestLostClaimIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.send(0)
		w.end("1")
		w.settle()
		w.hosts[1].Step(w.now, quarantine.Stored{Fingerprint: w.print, Version: w.version, Record: w.record})
		w.down = true
		w.send(1)
		require.Equal(t, string(verdict.Unavailable), w.leave["2"])
		w.down = false
		w.now = w.now.Add(2 * time.Second)
		w.step(1, quarantine.Tick{})
		w.settle()
		w.send(2)
		require.Equal(t, "allow", w.leave["3"])
	})
}

// TestLapsedClaimCounts has a host vanish with a claim.
func TestLapsedClaimCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.send(0)
		w.end("1")
		w.settle()
		w.send(1)
		w.send(2)
		require.Equal(t, string(verdict.Busy), w.leave["3"])
		w.now = w.now.Add(6 * time.Minute)
		w.send(2)
		require.Equal(t, string(verdict.Quarantined), w.leave["4"])
		w.settle()
		require.Len(t, w.record.Crashes, 2)
	})
}

func TestBounded(t *testing.T) {
	var q quarantine.Quarantine
	for i := range 4200 {
		q.Step(start.Add(time.Duration(i)*time.Millisecond), quarantine.CrashReported{Fingerprint: quarantine.NewFingerprint("c", []byte(fmt.Sprint(i))), CrashID: "x"})
	}
	require.True(t, q.IsClean(quarantine.NewFingerprint("c", []byte("0"))))
	require.False(t, q.IsClean(quarantine.NewFingerprint("c", []byte("4199"))))
	q.Step(start.Add(2*time.Hour), quarantine.Tick{})
	require.True(t, q.IsClean(quarantine.NewFingerprint("c", []byte("4199"))))
}

// TestExcused tells of crashes in the order of the list; each has the requests
// that were in progress at it.
func TestExcused(t *testing.T) {
	cases := []struct {
		name    string
		crashes []string // requests, a letter each
		refused string
	}{
		{"once", []string{"ab"}, ""},
		{"twice", []string{"ab", "a"}, "a"},
		{"bystander of one", []string{"ab", "bc"}, "b"},
		{"bystander of two", []string{"ab", "bc", "c", "a"}, "ac"},
		{"one cause is known", []string{"ab", "bc", "c"}, "bc"},
		{"always together", []string{"ab", "ab"}, "ab"},
		{"bystander's third", []string{"ab", "bc", "c", "a", "b"}, "abc"},
		{"two of two pairs", []string{"ab", "bc", "ca"}, "abc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &quarantine.Quarantine{Host: "h"}
			for i, requests := range c.crashes {
				for _, r := range requests {
					q.Step(start, quarantine.CrashReported{Fingerprint: quarantine.Fingerprint(r), CrashID: fmt.Sprint("r/", i)})
				}
			}
			refused := ""
			for _, r := range "abc" {
				if q.IsRefused(quarantine.Fingerprint(r)) {
					refused += string(r)
				}
			}
			require.Equal(t, c.refused, refused)
		})
	}
}
