package admission_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/admission"
)

const (
	tick     = 10 * time.Millisecond
	round    = 100 * time.Millisecond // between two digests
	hosts    = 12
	capacity = 1000.0 // work a second
	aim      = 300 * time.Millisecond
	patience = time.Second // a request that would wait longer is refused
)

// A flow is the requests of one account.
type flow struct {
	account string
	rank    int
	rate    float64 // requests a second
	work    float64
	from    time.Duration // the flow asks times as often from here
	until   time.Duration
	times   float64
	returns int // how often a refused caller comes again, at once
	hosts   int // that its callers meet; 0: all
}

func (f flow) at(t time.Duration) float64 {
	if f.times > 0 && t >= f.from && t < f.until {
		return f.rate * f.times
	}
	return f.rate
}

// A tally counts requests by what became of them.
type tally struct{ asked, answered, inTime int }

// share returns the part that was answered in time.
func (c tally) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// A system is hosts before one queue, in virtual time. Without hosts, it serves first come, first
// served.
type system struct {
	states  []*admission.State
	random  *rand.Rand
	backlog float64
	queue   []waiting
	down    [2]time.Duration // no host and no target is there
	tallies map[string]tally
}

// waiting is a request in the queue.
type waiting struct {
	state   *admission.State
	request admission.Request
	left    float64
}

// drain does the work of a tick.
func (s *system) drain(now time.Time) {
	work := capacity * tick.Seconds()
	for len(s.queue) > 0 && work > 0 {
		w := &s.queue[0]
		part := min(work, w.left)
		w.left, work, s.backlog = w.left-part, work-part, s.backlog-part
		if w.left <= 0 {
			if w.state != nil {
				w.state.Ended(now, w.request)
			}
			s.queue = s.queue[1:]
		}
	}
}

var start = time.Unix(1000, 0)

// play plays the flows for d and returns what became of the requests of each account that came
// after from.
func (s *system) play(d, from time.Duration, fair bool, flows []flow) map[string]tally {
	s.random, s.tallies = rand.New(rand.NewPCG(7, 11)), make(map[string]tally)
	s.restart(fair)
	for t := time.Duration(0); t < d; t += tick {
		if t >= s.down[0] && t < s.down[1] {
			s.restart(fair)
			s.backlog, s.queue = 0, nil
		} else {
			s.drain(start.Add(t))
		}
		if t%round == 0 {
			s.exchange(start.Add(t))
		}
		var arrivals []flow
		for _, f := range flows {
			for n := f.at(t)*tick.Seconds() + s.random.Float64(); n >= 1; n-- {
				arrivals = append(arrivals, f)
			}
		}
		s.random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, f := range arrivals {
			s.arrive(t, f, t >= from)
		}
	}
	return s.tallies
}

func (s *system) restart(fair bool) {
	s.states = nil
	for range hosts {
		if fair {
			s.states = append(s.states, &admission.State{})
		}
	}
}

// exchange passes the reports of all hosts through the first one.
func (s *system) exchange(now time.Time) {
	for i := 1; i < len(s.states); i++ {
		s.states[0].Learn(now, fmt.Sprint(i), true, s.states[i].Reports(now, "0", false))
	}
	for i := 1; i < len(s.states); i++ {
		s.states[i].Learn(now, "0", false, s.states[0].Reports(now, fmt.Sprint(i), true))
	}
}

func (s *system) arrive(t time.Duration, f flow, counts bool) {
	answered, inTime := false, false
	for try := 0; try <= f.returns && !answered; try++ {
		answered, inTime = s.try(t, f)
	}
	if !counts {
		return
	}
	for _, name := range []string{f.account, fmt.Sprint("rank ", f.rank), "all"} {
		c := s.tallies[name]
		c.asked++
		if answered {
			c.answered++
		}
		if inTime {
			c.inTime++
		}
		s.tallies[name] = c
	}
}

func (s *system) try(t time.Duration, f flow) (answered, inTime bool) {
	if t >= s.down[0] && t < s.down[1] {
		return false, false
	}
	wait := time.Duration(s.backlog / capacity * float64(time.Second))
	var state *admission.State
	r := admission.Request{Service: "s", Rank: f.rank, Account: f.account, Work: f.work}
	if len(s.states) > 0 {
		state = s.states[s.random.IntN(cmp.Or(f.hosts, hosts))]
		if d := state.Ask(start.Add(t), r, s.random.Float64()); !d.Pass {
			return false, false
		}
		if wait > aim*3/4 {
			state.FoundNone(start.Add(t), r)
		}
	}
	if wait > patience {
		return false, false
	}
	s.backlog += f.work
	s.queue = append(s.queue, waiting{state, r, f.work})
	return true, wait <= aim
}

// even returns n accounts which together ask for the part load of the capacity.
func even(n int, rank int, load float64) []flow {
	var out []flow
	for i := range n {
		out = append(out, flow{account: fmt.Sprint(rank, "/", i), rank: rank, rate: load * capacity / float64(n) / 10, work: 10})
	}
	return out
}

// ranks returns accounts of three ranks, of which one asks times as often from from until until.
func ranks(rank int, times float64, from, until time.Duration) []flow {
	out := slices.Concat(even(4, 0, 0.3), even(4, 1, 0.3), even(4, 2, 0.3))
	for i := range out {
		if rank < 0 || out[i].rank == rank {
			out[i].times, out[i].from, out[i].until = times, from, until
		}
	}
	return out
}

// hot returns eight accounts of one rank of which n ask times as often.
func hot(n int, times float64) []flow {
	out := even(8, 1, 0.9)
	for i := range n {
		out[i].times, out[i].until = times, time.Hour
	}
	return out
}

// returning returns accounts of which the callers of one return at once, and of which one has
// requests of another size and one callers that meet three hosts.
func returning() []flow {
	out := even(8, 1, 1.3)
	out[0].returns = 5
	out[1].work, out[1].rate = 40, out[1].rate/4
	out[2].hosts = 3
	return out
}

// TestLoads plays loads that exceed the capacity, with shares and first come, first served. What is
// answered in all must not fall by much, and the accounts and ranks named must be served in time.
func TestLoads(t *testing.T) {
	const end = 20 * time.Second
	type down = [2]time.Duration
	for _, c := range []struct {
		name  string
		flows []flow
		from  time.Duration
		down  down
		least map[string]float64 // part in time, by account or rank
		total float64            // part of what is answered first come, first served
	}{
		{"one account at 6 times its share", hot(1, 6), 3 * time.Second, down{}, map[string]float64{"1/0": 0.25, "1/1": 0.85, "1/7": 0.85}, 0.9},
		{"four accounts at 3 times", hot(4, 3), 3 * time.Second, down{}, map[string]float64{"1/0": 0.3, "1/3": 0.3, "1/4": 0.85, "1/7": 0.85}, 0.9},
		{"a burst of the least urgent", ranks(2, 4, 0, end), 3 * time.Second, down{}, map[string]float64{"rank 0": 0.9, "rank 1": 0.85, "rank 2": 0.25}, 0.9},
		{"a burst of the most urgent", ranks(0, 4, 0, end), 3 * time.Second, down{}, map[string]float64{"rank 0": 0.6, "rank 1": 0.14, "rank 2": 0.14}, 0.9},
		{"callers that return at once", returning(), 3 * time.Second, down{}, map[string]float64{"1/0": 0.55, "1/1": 0.55, "1/2": 0.55, "1/7": 0.55}, 0.9},
		{"recovery", ranks(-1, 3, 5*time.Second, 7*time.Second), 5 * time.Second, down{3 * time.Second, 5 * time.Second}, map[string]float64{"rank 0": 0.65, "rank 1": 0.55, "rank 2": 0.5}, 0.8},
		{"no shortage", even(8, 1, 0.7), 0, down{}, map[string]float64{"all": 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares, fcfs := &system{down: c.down}, &system{down: c.down}
			shares.play(end, c.from, true, c.flows)
			fcfs.play(end, c.from, false, c.flows)
			for _, name := range slices.Sorted(maps.Keys(shares.tallies)) {
				t.Logf("%s: of %d in time %.2f, first come, first served %.2f", name, shares.tallies[name].asked, shares.tallies[name].share(), fcfs.tallies[name].share())
			}
			for name, least := range c.least {
				require.GreaterOrEqual(t, shares.tallies[name].share(), least, name)
				require.GreaterOrEqual(t, shares.tallies[name].share(), fcfs.tallies[name].share(), name)
			}
			answered := func(s *system) float64 { return float64(s.tallies["all"].answered) / float64(s.tallies["all"].asked) }
			t.Logf("answered %.2f, first come, first served %.2f", answered(shares), answered(fcfs))
			require.GreaterOrEqual(t, answered(shares), c.total*answered(fcfs))
			for rank := 1; rank <= 2; rank++ {
				urgent, other := shares.tallies[fmt.Sprint("rank ", rank-1)], shares.tallies[fmt.Sprint("rank ", rank)]
				require.True(t, urgent.asked == 0 || urgent.share()+0.05 >= other.share(), "a less urgent rank is served better than %d", rank-1)
			}
		})
	}
}
