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

// TestFingerprint checks that fingerprints separate caller and body, and that keys
// and records survive encoding and decoding.
func TestFingerprint(t *testing.T) {
	fp := quarantine.NewFingerprint("carrier", []byte("body"))
	require.Equal(t, fp, quarantine.NewFingerprint("carrier", []byte("body")))
	require.NotEqual(t, fp, quarantine.NewFingerprint("carrie", []byte("rbody")))
	parsed, ok := quarantine.ParseKey(fp.Key())
	require.True(t, ok)
	require.Equal(t, fp, parsed)
	for _, key := range []string{"suspect/", "suspect/xy", "lease/" + string(fp)} {
		_, ok := quarantine.ParseKey(key)
		require.False(t, ok, key)
	}
	r := quarantine.Record{Crashes: []string{"a"}, Holder: "h", Claim: "c", Expires: start}
	got, err := quarantine.Decode(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, got)
}

// A cluster simulates hosts that share a store and repeatedly send one request. It
// counts the crashed targets independently.
type cluster struct {
	t           *rapid.T
	now         time.Time
	fingerprint quarantine.Fingerprint
	hosts       []*quarantine.Quarantine
	version     uint64 // version of the object; 0 if it does not exist
	lastVersion uint64 // last version that was written
	record      quarantine.Record
	calls       []func()          // pending calls to the store
	decisions   map[string]string // answer to RunRequested by ID: "allow" or an error code
	running     map[string]string // target by ID
	crashed     map[string]bool   // targets that crashed
	poison      bool              // whether the request crashes its target
	down        bool              // whether the store fails
	lastID      int
}

// step passes an event to a host and carries out the resulting actions. Calls to the
// store stay pending.
func (c *cluster) step(host int, e quarantine.Event) {
	for _, action := range c.hosts[host].Step(c.now, e) {
		switch x := action.(type) {
		case quarantine.Allow:
			require.NotContains(c.t, c.decisions, x.ID, "two answers to RunRequested")
			c.decisions[x.ID] = "allow"
		case quarantine.Refuse:
			require.Equal(c.t, verdict.NotRun, x.Err.Verdict)
			require.NotContains(c.t, c.decisions, x.ID, "two answers to RunRequested")
			c.decisions[x.ID] = string(x.Err.Code)
		case quarantine.Cancel:
			delete(c.running, x.ID)
			c.step(host, quarantine.Ended{Fingerprint: c.fingerprint, ID: x.ID})
		case quarantine.ReportCrash:
			for other := range c.hosts {
				if other != host {
					c.step(other, quarantine.CrashReported(x))
				}
			}
		default:
			c.calls = append(c.calls, func() { c.call(host, action) })
		}
	}
}

// call carries out a call to the store. While the store fails, the call may take
// effect before its reply is lost.
func (c *cluster) call(host int, action quarantine.Action) {
	if c.down && rapid.Bool().Draw(c.t, "before") {
		c.step(host, quarantine.CallFailed{Fingerprint: c.fingerprint})
		return
	}
	reply := c.execute(action)
	if c.down {
		reply = quarantine.CallFailed{Fingerprint: c.fingerprint}
	}
	c.step(host, reply)
}

// execute applies a call to the object and returns the reply.
func (c *cluster) execute(action quarantine.Action) quarantine.Event {
	switch x := action.(type) {
	case quarantine.Read:
		if c.version == 0 {
			return quarantine.NotFound{Fingerprint: c.fingerprint, Reply: true}
		}
	case quarantine.Write:
		if x.Version != c.version {
			return quarantine.Conflict{Fingerprint: c.fingerprint}
		}
		c.lastVersion++
		c.version, c.record = c.lastVersion, x.Record
	case quarantine.Delete:
		if x.Version != c.version {
			return quarantine.Conflict{Fingerprint: c.fingerprint}
		}
		c.version = 0
		return quarantine.NotFound{Fingerprint: c.fingerprint, Reply: true}
	}
	return quarantine.Stored{Fingerprint: c.fingerprint, Version: c.version, Record: c.record, Reply: true}
}

// send sends the request through a host: at once if it is clean, otherwise with
// permission.
func (c *cluster) send(host int) {
	c.lastID++
	id := fmt.Sprint(c.lastID)
	if !c.hosts[host].IsClean(c.fingerprint) {
		c.step(host, quarantine.RunRequested{Fingerprint: c.fingerprint, ID: id})
		c.runCalls()
		require.Contains(c.t, c.decisions, id, "no answer to RunRequested")
		if c.decisions[id] != "allow" {
			return
		}
	}
	c.running[id] = fmt.Sprintf("%d/target-%d", host, c.lastID)
	c.step(host, quarantine.Sent{Fingerprint: c.fingerprint, ID: id, Target: c.running[id]})
}

// runCalls carries out the pending calls in random order.
func (c *cluster) runCalls() {
	for len(c.calls) > 0 {
		i := rapid.IntRange(0, len(c.calls)-1).Draw(c.t, "call")
		call := c.calls[i]
		c.calls = append(c.calls[:i], c.calls[i+1:]...)
		call()
	}
}

// end ends a run, with a crash if the request is poisonous and with a response
// otherwise.
func (c *cluster) end(id string) {
	target := c.running[id]
	var host int
	_, err := fmt.Sscanf(target, "%d/", &host)
	require.NoError(c.t, err)
	delete(c.running, id)
	if c.poison {
		c.crashed[target] = true
		c.step(host, quarantine.Crashed{Fingerprint: c.fingerprint, ID: id, CrashID: target})
		return
	}
	c.step(host, quarantine.Ended{Fingerprint: c.fingerprint, ID: id, Complete: true})
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, now: start, fingerprint: quarantine.NewFingerprint("c", nil), poison: true,
		decisions: map[string]string{}, running: map[string]string{}, crashed: map[string]bool{}}
	for i := range 4 {
		c.hosts = append(c.hosts, &quarantine.Quarantine{Host: fmt.Sprint("entry-", i)})
	}
	return c
}

// TestAtMostTwoTargetsCrash sends a request that crashes every target that runs it
// through random hosts, at first with two runs at the same time, while the store
// fails and loses replies. Steps come in random order.
func TestAtMostTwoTargetsCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(2, 40).Draw(t, "steps") {
			host := rapid.IntRange(0, 3).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if len(c.running) < 2 {
					c.send(host)
				}
			case 2:
				for id := range c.running {
					c.end(id)
					break
				}
			case 3:
				c.down = rapid.Bool().Draw(t, "down")
			case 4:
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
				for i := range c.hosts {
					c.step(i, quarantine.Tick{})
				}
			}
			if rapid.Bool().Draw(t, "settle") {
				c.runCalls()
			}
			require.LessOrEqual(t, len(c.crashed), 2)
			if len(c.crashed) > 0 {
				require.LessOrEqual(t, len(c.running), 1)
			}
		}
	})
}

// TestRefusedPermanentlyOnEveryHost checks that after two crashes every host refuses
// the request.
func TestRefusedPermanentlyOnEveryHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for round := range 2 {
			c.send(round)
			for id := range c.running {
				c.end(id)
			}
			c.runCalls()
		}
		require.Len(t, c.crashed, 2)
		for host := range c.hosts {
			c.send(host)
			require.Equal(t, string(verdict.Quarantined), c.decisions[fmt.Sprint(c.lastID)])
		}
		// A new host gets the refusal from the object, also after two hours, when a
		// single crash would have been forgotten.
		c.now = c.now.Add(2 * time.Hour)
		c.hosts = append(c.hosts, &quarantine.Quarantine{Host: "entry-9"})
		c.step(4, quarantine.Stored{Fingerprint: c.fingerprint, Version: c.version, Record: c.record})
		c.send(4)
		require.Equal(t, string(verdict.Quarantined), c.decisions[fmt.Sprint(c.lastID)])
	})
}

// TestCompleteResponseClearsRequest has a request in progress at a crash that it did
// not cause. Its next run gets a complete response and clears it.
func TestCompleteResponseClearsRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.send(0)
		c.end("1")
		c.runCalls()
		c.poison = false
		require.NotZero(t, c.version)
		c.send(1)
		require.Equal(t, "allow", c.decisions["2"])
		c.send(2)
		require.Equal(t, string(verdict.Busy), c.decisions["3"], "one at a time")
		c.end("2")
		c.runCalls()
		require.Zero(t, c.version)
		c.send(2)
		require.Contains(t, c.running, "4")
	})
}

// TestOutageRefusesSuspects checks that a suspect is refused while the store fails, and
// runs once the store answers again.
func TestOutageRefusesSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.down = true
		c.send(0)
		c.end("1")
		c.runCalls()
		c.send(1)
		require.Equal(t, string(verdict.Unavailable), c.decisions["2"])
		c.down, c.poison = false, false
		c.now = c.now.Add(2 * time.Second)
		for i := range c.hosts {
			c.step(i, quarantine.Tick{})
		}
		c.runCalls()
		c.send(1)
		require.Equal(t, "allow", c.decisions["3"])
	})
}

// TestLostClaimIsReleased loses the reply to the write of a claim. The host must
// release the claim, or the request could not run on other hosts.
func TestLostClaimIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.send(0)
		c.end("1")
		c.runCalls()
		c.hosts[1].Step(c.now, quarantine.Stored{Fingerprint: c.fingerprint, Version: c.version, Record: c.record})
		c.down = true
		c.send(1)
		require.Equal(t, string(verdict.Unavailable), c.decisions["2"])
		c.down = false
		c.now = c.now.Add(2 * time.Second)
		c.step(1, quarantine.Tick{})
		c.runCalls()
		c.send(2)
		require.Equal(t, "allow", c.decisions["3"])
	})
}

// TestExpiredClaimCountsAsCrash has a host stop without releasing its claim.
func TestExpiredClaimCountsAsCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.send(0)
		c.end("1")
		c.runCalls()
		c.send(1)
		c.send(2)
		require.Equal(t, string(verdict.Busy), c.decisions["3"])
		c.now = c.now.Add(6 * time.Minute)
		c.send(2)
		require.Equal(t, string(verdict.Quarantined), c.decisions["4"])
		c.runCalls()
		require.Len(t, c.record.Crashes, 2)
	})
}

// TestSuspectsAreBounded checks that the suspect that expires first is evicted, and that
// suspects expire.
func TestSuspectsAreBounded(t *testing.T) {
	var q quarantine.Quarantine
	for i := range 4200 {
		q.Step(start.Add(time.Duration(i)*time.Millisecond), quarantine.CrashReported{Fingerprint: quarantine.NewFingerprint("c", []byte(fmt.Sprint(i))), CrashID: "x"})
	}
	require.True(t, q.IsClean(quarantine.NewFingerprint("c", []byte("0"))))
	require.False(t, q.IsClean(quarantine.NewFingerprint("c", []byte("4199"))))
	q.Step(start.Add(2*time.Hour), quarantine.Tick{})
	require.True(t, q.IsClean(quarantine.NewFingerprint("c", []byte("4199"))))
}

// TestAttribution reports crashes in the order of the list, each with the requests that
// were in progress, and checks which requests are refused.
func TestAttribution(t *testing.T) {
	cases := []struct {
		name    string
		crashes []string // requests in progress at each crash, one letter per request
		refused string
	}{
		{"once", []string{"ab"}, ""},
		{"twice", []string{"ab", "a"}, "a"},
		{"bystander of one cause", []string{"ab", "bc"}, "b"},
		{"bystander of two causes", []string{"ab", "bc", "c", "a"}, "ac"},
		{"one cause is known", []string{"ab", "bc", "c"}, "bc"},
		{"always together", []string{"ab", "ab"}, "ab"},
		{"third crash of a bystander", []string{"ab", "bc", "c", "a", "b"}, "abc"},
		{"three requests in pairs", []string{"ab", "bc", "ca"}, "abc"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			q := &quarantine.Quarantine{Host: "h"}
			for i, requests := range tt.crashes {
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
			require.Equal(t, tt.refused, refused)
		})
	}
}
