package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

const (
	limitStep   = 50 * time.Millisecond // between two moments of a limitSystem
	limitWindow = 4 * time.Second
	// limitAnswerTime is how long a target of a limitSystem takes for an answer.
	limitAnswerTime = 150 * time.Millisecond
)

// A limitSystem is a number of hosts that send to two targets, the first of which names
// a limit. Hosts tell each other what they heard with a delay.
type limitSystem struct {
	hosts    []*dispatch.Dispatcher
	names    []relay.Host
	now      time.Time
	limit    float64           // that the target names now
	named    time.Time         // when the target first named its limit
	told     map[int]time.Time // by host, when it first got an answer with the limit
	arrivals []time.Time       // that count: from hosts that were told half a second before
	all      []time.Time       // arrivals, including those that don't count
	answers  []limitAnswer
	digests  []limitDigest // on their way
}

type limitAnswer struct {
	attempt *dispatch.Attempt
	host    int
	due     time.Time
}

// A limitDigest is the newest report of all hosts on the target.
type limitDigest struct {
	report notice.Report
	known  bool
}

func newLimitSystem(hosts int, limit float64) *limitSystem {
	s := &limitSystem{now: start, limit: limit, told: make(map[int]time.Time)}
	for i := range hosts {
		s.names = append(s.names, relay.Host{Name: fmt.Sprint("host-", i), Region: regions[limitZone(i)]})
	}
	for i := range hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	return s
}

// limitZone returns the zone of a host of a limitSystem.
func limitZone(host int) string { return []string{"north-a", "north-b", "south-a"}[host%3] }

func (s *limitSystem) newHost(i int) *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{Holder: s.names[i].Name, Zone: limitZone(i), Regions: regions}
	d.Apply(s.now, catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: plain}}, catalog.Limits{})})
	d.Apply(s.now, catalog.TargetsListed{Revision: 1, Targets: []catalog.Target{
		{Name: "limited", Service: plain, Zone: "north-a", Slots: 50, Started: start},
		{Name: "other", Service: plain, Zone: "north-a", Slots: 50, Started: start},
	}})
	d.SetHosts(s.names)
	return d
}

// send sends a request through a host, and returns the host's decision.
func (s *limitSystem) send(host int) dispatch.Decision {
	decision := s.hosts[host].Pick(s.now, dispatch.Request{
		Call: call.Call{ID: "x"}, Service: plain, Objective: s.now.Add(time.Second), Deadline: s.now.Add(time.Minute), Exclude: map[string]bool{"other": true},
	})
	if x, ok := decision.(dispatch.Send); ok {
		s.all = append(s.all, s.now)
		if told, ok := s.told[host]; ok && s.now.Sub(told) >= 500*time.Millisecond {
			s.arrivals = append(s.arrivals, s.now)
		}
		s.answers = append(s.answers, limitAnswer{x.Attempt, host, s.now.Add(limitAnswerTime)})
	}
	return decision
}

// step lets limitStep pass: answers arrive, and hosts hear what others told them delay
// steps ago.
func (s *limitSystem) step(delay int) {
	s.now = s.now.Add(limitStep)
	var open []limitAnswer
	for _, a := range s.answers {
		if s.now.Before(a.due) {
			open = append(open, a)
			continue
		}
		a.attempt.Heard(s.now, notice.Notice{Limit: s.limit}, notice.Run)
		if _, ok := s.told[a.host]; !ok {
			s.told[a.host] = s.now
		}
		if s.named.IsZero() {
			s.named = s.now
		}
		a.attempt.Report(s.now, dispatch.Completed{})
	}
	s.answers = open
	var newest limitDigest
	for _, d := range s.hosts {
		for _, r := range d.Digest(s.now, "", relay.ToReporter, func(string) string { return "" }).Notices {
			if !newest.known || r.Age < newest.report.Age {
				newest = limitDigest{r, true}
			}
		}
	}
	s.digests = append(s.digests, newest)
	if len(s.digests) <= delay {
		return
	}
	received := s.digests[0]
	s.digests = s.digests[1:]
	received.report.Age += uint64(delay) * uint64(limitStep.Milliseconds())
	for _, d := range s.hosts {
		if received.known {
			d.MergeDigest(s.now, relay.Digest{From: "all", Notices: []notice.Report{received.report}})
		}
	}
}

// allowed returns the arrivals that a limit allows in any limitWindow.
func allowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// most returns the largest number of arrivals in any limitWindow, from limitWindow after
// the target named its limit.
func (s *limitSystem) most() int {
	from := s.named.Add(limitWindow)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(from) && first < i || at.Sub(s.arrivals[first]) > limitWindow {
			first++
		}
		if !s.arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestLimitHoldsForAllHostsTogether checks for drawn numbers of hosts, limits and
// demands, which come in bursts after quiet times, that a target never gets more than
// one and a half times its limit and five requests in 4 s, from 4 s after it named the
// limit, also while hosts start anew and the list of hosts changes.
func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 9, 30}).Draw(t, "hosts")
		limit := rapid.SampledFrom([]float64{0.3, 1, 1.6, 2.5, 7, 40}).Draw(t, "limit")
		delay := rapid.IntRange(0, 8).Draw(t, "delay")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newLimitSystem(n, limit)
		quiet := false
		for i := range 400 {
			if i%40 == 0 {
				quiet = rapid.Bool().Draw(t, "quiet")
			}
			for h := range n {
				if !quiet && random.IntN(4) == 0 {
					s.send(h)
				}
			}
			if i > 100 && random.IntN(100) == 0 && n > 2 {
				gone := random.IntN(n)
				s.hosts[gone] = s.newHost(gone)
				delete(s.told, gone)
			}
			s.step(delay)
		}
		require.LessOrEqual(t, s.most(), allowed(limit))
	})
}

// TestLimitWhileHostsAreUnknown guards against hosts that each take themselves for one of
// the few that may send to a target with a limit, because they don't know the others: at
// a start without the store.
func TestLimitWhileHostsAreUnknown(t *testing.T) {
	for _, limit := range []float64{1.6, 7, 40} {
		s := newLimitSystem(9, limit)
		s.names = nil
		for _, d := range s.hosts {
			d.SetHosts(nil)
		}
		for range 400 {
			for h := range s.hosts {
				s.send(h)
			}
			s.step(2)
		}
		require.LessOrEqual(t, s.most(), allowed(limit))
	}
}

// TestLimitIsUsed checks that a target with a limit gets most of what it takes, however
// many hosts there are, and that callers of the others learn when to come back.
func TestLimitIsUsed(t *testing.T) {
	for _, n := range []int{1, 9, 60, 370} {
		for _, limit := range []float64{1, 5, 50} {
			t.Run(fmt.Sprint(n, " hosts, limit ", limit), func(t *testing.T) {
				s := newLimitSystem(n, limit)
				// Each host asks for the whole limit.
				perStep := 1 + int(limit*limitStep.Seconds())
				for i := range 240 * perStep {
					for h := range n {
						if x, ok := s.send(h).(dispatch.Refuse); ok {
							require.Equal(t, "its targets take no requests now", x.Reason)
							require.Positive(t, x.RetryAfter)
						}
					}
					if i%perStep == 0 {
						s.step(4)
					}
				}
				settled := s.named.Add(limitWindow)
				used := 0
				for _, at := range s.all {
					if !at.Before(settled) {
						used++
					}
				}
				require.GreaterOrEqual(t, float64(used), 0.8*limit*s.now.Sub(settled).Seconds())
				require.LessOrEqual(t, s.most(), allowed(limit))
			})
		}
	}
}

// TestLimitEndsForAllHosts checks that the end of a limit reaches hosts that must not
// send to the target.
func TestLimitEndsForAllHosts(t *testing.T) {
	s := newLimitSystem(9, 1)
	run := func(steps int) {
		for range steps {
			for h := range s.hosts {
				s.send(h)
			}
			s.step(2)
		}
	}
	run(100)
	s.limit = 0
	run(100)
	for h := range s.hosts {
		require.IsType(t, dispatch.Send{}, s.send(h))
	}
}

// TestLimitOfFormerProcess checks that another process under a target's name starts
// without the limit of the former one, also while hosts still report that one.
func TestLimitOfFormerProcess(t *testing.T) {
	s := newLimitSystem(2, 0.5)
	for range 20 {
		s.send(0)
		s.send(1)
		s.step(0)
	}
	require.IsType(t, dispatch.Refuse{}, s.send(0))
	s.hosts[0].Apply(s.now, catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{
		catalog.TargetUpdated{Target: catalog.Target{Name: "limited", Service: plain, Zone: "north-a", Slots: 50, Started: start.Add(time.Second)}},
	}})
	s.limit = 0
	s.step(0)
	s.step(0)
	require.IsType(t, dispatch.Send{}, s.send(0))
}

// TestLeavingAndQuietReachOtherHosts checks that a host that had no answer of a target
// learns from the others that the target is leaving or wants no requests, and for how
// long, and that an older entry of the store changes nothing.
func TestLeavingAndQuietReachOtherHosts(t *testing.T) {
	for _, c := range []struct {
		name     string
		notice   notice.Notice
		after    time.Duration
		accepted bool
	}{
		{"leaving", notice.Notice{Leaving: true}, time.Hour, false},
		{"quiet", notice.Notice{Quiet: 2 * time.Second}, 1500 * time.Millisecond, false},
		{"quiet no more", notice.Notice{Quiet: 2 * time.Second}, 2500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitSystem(3, 0)
			sent, ok := s.send(0).(dispatch.Send)
			require.True(t, ok)
			require.True(t, sent.Attempt.Heard(s.now, c.notice, notice.Run))
			require.False(t, sent.Attempt.Willing(s.now))
			digest := s.hosts[0].Digest(s.now, "", relay.ToReporter, func(string) string { return "" })
			s.hosts[1].MergeDigest(s.now, digest)
			s.hosts[1].Apply(s.now, catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{
				catalog.TargetUpdated{Target: catalog.Target{Name: "limited", Service: plain, Zone: "north-a", Slots: 50, Started: start}},
			}})
			s.now = s.now.Add(c.after)
			for host := range 2 {
				_, accepted := s.send(host).(dispatch.Send)
				require.Equal(t, c.accepted, accepted, "host %d", host)
			}
			require.IsType(t, dispatch.Send{}, s.send(2), "it was told nothing")
		})
	}
}

// TestNoticesAreBounded checks that a digest has few reports on targets however many
// have said something, and that a host that missed the news still learns of all.
func TestNoticesAreBounded(t *testing.T) {
	const n = 200
	var all []catalog.Target
	for i := range n {
		all = append(all, catalog.Target{Name: fmt.Sprint("t", i), Service: plain, Zone: "north-a", Slots: 50, Started: start})
	}
	newHost := func(name string) *dispatch.Dispatcher {
		d := &dispatch.Dispatcher{Holder: name, Zone: "north-a", Regions: regions}
		d.Apply(start, catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: plain}}, catalog.Limits{})})
		d.Apply(start, catalog.TargetsListed{Revision: 1, Targets: all})
		return d
	}
	teller, learner := newHost("a"), newHost("b")
	for _, target := range all {
		require.True(t, teller.Heard(start, start, target, notice.Notice{Leaving: true}, notice.Other))
	}
	tell := func(now time.Time) int {
		digest := teller.Digest(now, "", relay.ToReporter, func(string) string { return "" })
		learner.MergeDigest(now, digest)
		return len(digest.Notices)
	}
	require.Equal(t, 34, tell(start))
	later := start.Add(time.Minute)
	for range 3000 {
		require.Equal(t, 2, tell(later))
	}
	for _, target := range all {
		require.True(t, learner.IsLeaving(target), target.Name)
	}
}

// TestQuietOfNewProcessIsKept guards against requests to a target that wants none (BUDGET),
// because it said so moments after its start, when hosts still knew its former process only:
// the entry of the new process must not end what it has asked for. What a former process
// asked for some time ago doesn't bind the new one.
func TestQuietOfNewProcessIsKept(t *testing.T) {
	var d dispatch.Dispatcher
	target := catalog.Target{Name: "a", Service: "s", Slots: 4, Started: time.UnixMilli(1)}
	update := func(at time.Time, started int64) {
		target.Started = time.UnixMilli(started)
		d.Apply(at, catalog.TargetsChanged{Revision: uint64(started), Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: target}}})
	}
	takes := func(at time.Time) bool {
		send, ok := d.Pick(at, dispatch.Request{Service: "s", Objective: at.Add(time.Second), Deadline: at.Add(time.Minute)}).(dispatch.Send)
		if ok {
			send.Attempt.Report(at, dispatch.Canceled{})
		}
		return ok
	}
	update(start, 1)
	d.Heard(start, start, target, notice.Notice{Quiet: 30 * time.Second}, notice.Other)
	require.False(t, takes(start.Add(time.Second)))
	update(start.Add(time.Second), 2)
	require.False(t, takes(start.Add(2*time.Second)), "the new process may have said so")
	update(start.Add(10*time.Second), 3)
	require.True(t, takes(start.Add(11*time.Second)), "a former process said so")
}
