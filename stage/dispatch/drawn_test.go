package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/speed"
)

// The drawn loads: fake runners process prompts in pieces of up to drawnChunk tokens between the tokens of their
// streams, of which drawnTokens make an event.
const (
	drawnRunners, drawnChunk, drawnTokens = 24, 2048, 8
	drawnPause                            = 500 * time.Millisecond
	drawnEnd                              = 12000       // ms
	drawnFrom, drawnUntil                 = 3000, 10000 // ms from and until which the requests that arrive count
)

// A drawnRequest is a request on a fake runner.
type drawnRequest struct {
	host, arrived int
	attempt       *dispatch.Attempt // nil if the dispatcher didn't choose
	prompt, left  int               // tokens to process and to produce
	event         float64           // ms of the last event
	gaps          speed.Gaps
	late, done    bool
}

func (r *drawnRequest) report(ms float64, result dispatch.Result) {
	if r.attempt != nil {
		r.attempt.Report(start.Add(time.Duration(ms*float64(time.Millisecond))), result)
	}
}

// A drawnRunner is a fake runner. slow is how many times as long as usual work takes there, told what it tells of it.
type drawnRunner struct {
	clock      float64 // ms
	slow, told func(ms float64) float64
	requests   []*drawnRequest
}

// step processes one batch step: a piece of the prompts, and a token of each stream that has begun.
func (f *drawnRunner) step() {
	chunk := drawnChunk
	var begun []*drawnRequest
	for _, r := range f.requests {
		if r.prompt == 0 {
			begun = append(begun, r)
		}
		part := min(chunk, r.prompt)
		r.prompt, chunk = r.prompt-part, chunk-part
	}
	f.clock += f.slow(f.clock) * (3.5 + 0.02*float64(len(f.requests)) + float64(drawnChunk-chunk)/44)
	for _, r := range f.requests {
		if r.prompt == 0 && r.event == 0 {
			r.event, r.late = f.clock, f.clock > float64(r.arrived+1000)
			r.report(f.clock, dispatch.Head{Worked: true, Load: call.TargetLoad{Known: true, Running: len(f.requests), Slots: 64, Slowdown: f.told(f.clock)}})
		}
	}
	for _, r := range begun {
		r.left--
		if r.left%drawnTokens > 0 {
			continue
		}
		gap := time.Duration((f.clock - r.event) * float64(time.Millisecond))
		r.event, r.late, r.done = f.clock, r.late || gap > drawnPause, r.left == 0
		if r.gaps.Add(gap) || r.done && !r.gaps.Full() {
			r.report(f.clock, dispatch.Streamed{Gaps: r.gaps})
		}
	}
}

// advance processes batch steps up to a time and returns the requests that are done.
func (f *drawnRunner) advance(ms int) (done []*drawnRequest) {
	for ; f.clock < float64(ms); f.requests = f.requests[:len(f.requests):len(f.requests)] {
		if len(f.requests) == 0 {
			f.clock = float64(ms)
			return done
		}
		f.step()
		var rest []*drawnRequest
		for _, r := range f.requests {
			if r.done {
				r.report(f.clock, dispatch.Completed{})
				done = append(done, r)
			} else {
				rest = append(rest, r)
			}
		}
		f.requests = rest
	}
	return done
}

// A drawnLoad is a load on fake runners. moment is the slowness of a runner's moments beside its own.
type drawnLoad struct {
	name       string
	hosts, lag int     // lag is the ms in which digests arrive
	perSecond  float64 // requests
	long       float64 // share of requests with long prompts
	own        func(runner int, ms float64) float64
	moment     func(runner int, ms float64) float64
}

// every returns the ms between two digests of a host.
func (l drawnLoad) every() int { return 100 + 2*max(0, l.hosts-100) }

// A drawnPolicy chooses a runner by the requests that a host knows on each. Without a choice, the dispatcher does.
type drawnPolicy struct {
	name   string
	tell   bool // the runners tell their moments
	choose func(rng *rand.Rand, known func(runner int) int) int
}

// A drawnPlay is one load under one policy.
type drawnPlay struct {
	load    drawnLoad
	policy  drawnPolicy
	rng     *rand.Rand
	runners []*drawnRunner
	hosts   []*dispatch.Dispatcher
	own     [][]int             // requests on each runner by host
	sums    [][drawnRunners]int // sums over all hosts, by time in steps of load.every
	later   map[int][]func()    // by ms
}

func newDrawnPlay(l drawnLoad, p drawnPolicy, seed uint64) *drawnPlay {
	d := &drawnPlay{load: l, policy: p, rng: rand.New(rand.NewPCG(seed, 2)), later: make(map[int][]func())}
	for i := range drawnRunners {
		f := &drawnRunner{slow: func(ms float64) float64 { return l.own(i, ms) * l.moment(i, ms) }, told: func(float64) float64 { return 0 }}
		if p.tell {
			f.told = func(ms float64) float64 { return l.moment(i, ms) }
		}
		d.runners = append(d.runners, f)
	}
	var all []relay.Host
	for h := range l.hosts {
		all = append(all, relay.Host{Name: fmt.Sprint("host-", h), Region: "north"})
		d.hosts = append(d.hosts, newDispatcher(fmt.Sprint("host-", h), "north-a", drawnRunners, nil))
		d.own = append(d.own, make([]int, drawnRunners))
	}
	for _, host := range d.hosts {
		host.SetHosts(all)
	}
	return d
}

// exchange has a host report to the first one, which answers. Each message takes half of the lag.
func (d *drawnPlay) exchange(h, ms int) {
	reporter, relayed := d.hosts[h], d.hosts[0]
	next := func(string) string { return "" }
	from, to := fmt.Sprint("host-", h), "host-0"
	report, speeds := reporter.Digest(at(ms), to, relay.ToRelay, next), reporter.SpeedReports(at(ms), to, relay.ToRelay)
	report.ReportsToReceiver = true
	arrives := ms + d.load.lag/2
	d.later[arrives] = append(d.later[arrives], func() {
		relayed.MergeDigest(at(arrives), report)
		relayed.MergeSpeeds(at(arrives), from, true, speeds)
		answer, speeds := relayed.Digest(at(arrives), from, relay.ToReporter, next), relayed.SpeedReports(at(arrives), from, relay.ToReporter)
		back := arrives + d.load.lag/2
		d.later[back] = append(d.later[back], func() {
			reporter.MergeDigest(at(back), answer)
			reporter.MergeSpeeds(at(back), to, false, speeds)
		})
	})
}

// arrive sends a request of a host to a runner.
func (d *drawnPlay) arrive(ms int) {
	h := d.rng.IntN(len(d.hosts))
	r := &drawnRequest{host: h, arrived: ms, prompt: 800, left: 36 * drawnTokens}
	if d.rng.Float64() < d.load.long {
		r.prompt, r.left = 9000, 7*drawnTokens
	}
	runner := 0
	if d.policy.choose != nil {
		before := max(0, ms-d.load.lag) / d.load.every()
		runner = d.policy.choose(d.rng, func(i int) int { return d.sums[before][i] + d.own[h][i] })
	} else {
		q := request("", r.prompt, ms)
		q.Pause = drawnPause
		send, ok := d.hosts[h].Pick(at(ms), q).(dispatch.Send)
		if !ok {
			return // refused
		}
		r.attempt = send.Attempt
		_, _ = fmt.Sscanf(send.Attempt.Target.Name, "runner-%d", &runner)
	}
	d.own[h][runner]++
	d.runners[runner].requests = append(d.runners[runner].requests, r)
}

// inTime plays the load and returns the share of requests that are answered in time.
func (d *drawnPlay) inTime() float64 {
	next, asked, good := 0.0, 0, 0
	counts := func(r int) bool { return r >= drawnFrom && r < drawnUntil }
	for ms := range drawnEnd {
		if ms%d.load.every() == 0 {
			var sum [drawnRunners]int
			for i, f := range d.runners {
				sum[i] = len(f.requests)
			}
			d.sums = append(d.sums, sum)
		}
		for h := 1; h < len(d.hosts) && d.policy.choose == nil; h++ {
			if every := d.load.every(); ms%every == h%every {
				d.exchange(h, ms)
			}
		}
		for _, f := range d.later[ms] {
			f()
		}
		delete(d.later, ms)
		for ; next < float64(ms); next += d.rng.ExpFloat64() * 1000 / d.load.perSecond {
			if counts(ms) {
				asked++
			}
			d.arrive(ms)
		}
		for i, f := range d.runners {
			for _, r := range f.advance(ms) {
				d.own[r.host][i]--
				if counts(r.arrived) && !r.late {
					good++
				}
			}
		}
	}
	return float64(good) / float64(asked)
}

var drawnPolicies = []drawnPolicy{
	{name: "today"},
	{name: "least requests", choose: func(_ *rand.Rand, known func(int) int) int {
		best := 0
		for i := range drawnRunners {
			if known(i) < known(best) {
				best = i
			}
		}
		return best
	}},
	{name: "better of two", choose: func(rng *rand.Rand, known func(int) int) int {
		a, b := rng.IntN(drawnRunners), rng.IntN(drawnRunners)
		if known(b) < known(a) {
			return b
		}
		return a
	}},
	{name: "learned", tell: true},
}

func usual(int, float64) float64 { return 1 }

// quarterSlow returns the slowness of runners of which a quarter works at half speed.
func quarterSlow(runner int, _ float64) float64 {
	if runner%4 == 0 {
		return 2
	}
	return 1
}

// contention returns the slowness of moments in which a sixth of the runners have other work beside theirs.
func contention(runner int, ms float64) float64 {
	moment := uint64(ms/600) + uint64(runner)*7
	if rand.New(rand.NewPCG(moment, uint64(runner))).IntN(6) == 0 {
		return 2.5
	}
	return 1
}

// oneSlow returns the slowness of runners of which one is four times slower for 6 s.
func oneSlow(runner int, ms float64) float64 {
	if runner == 5 && ms > 3000 && ms < 9000 {
		return 4
	}
	return 1
}

const (
	// drawnPlays is the number of plays with other draws of which the mean counts, and drawnNoise the share by which
	// that mean differs from one run to the next.
	drawnPlays = 4
	drawnNoise = 0.02
)

// TestDrawnLoads checks that with what targets tell, as many requests are answered in time as by the best of the
// others, within the noise, and more where there is a lead.
func TestDrawnLoads(t *testing.T) {
	for _, c := range []struct {
		drawnLoad
		lead map[string]float64 // by which the share in time is at least larger
	}{
		{drawnLoad{"a quarter at half speed", 6, 100, 110, 0.4, quarterSlow, usual}, map[string]float64{"least requests": 0.1, "better of two": 0.05}},
		{drawnLoad{"contention", 6, 100, 110, 0.4, usual, contention}, map[string]float64{"least requests": 0.1, "better of two": 0.05, "today": 0.01}},
		{drawnLoad{"one slower for 6 s", 6, 100, 150, 0.4, oneSlow, usual}, map[string]float64{"least requests": 0.1}},
		{drawnLoad{"a quarter slow and contention, 70 hosts", 70, 300, 110, 0.4, quarterSlow, contention}, map[string]float64{"least requests": 0.1, "today": 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares := make(map[string]float64)
			for _, p := range drawnPolicies {
				for seed := range uint64(drawnPlays) {
					shares[p.name] += newDrawnPlay(c.drawnLoad, p, seed).inTime() / drawnPlays
				}
			}
			t.Logf("%.3f learned, %.3f today, %.3f least requests, %.3f better of two", shares["learned"], shares["today"], shares["least requests"], shares["better of two"])
			for _, p := range drawnPolicies[:len(drawnPolicies)-1] {
				lead := -drawnNoise
				if least, ok := c.lead[p.name]; ok {
					lead = least
				}
				require.GreaterOrEqual(t, shares["learned"], shares[p.name]+lead, p.name)
			}
		})
	}
}
