package trial

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"jacinthstage/stage/adapter"
)

// A Workload says how requests arrive.
type Workload struct {
	Seed     uint64
	Rate     float64       // requests a second
	Lasts    time.Duration // of the arrivals
	Exponent float64       // of the Zipf popularity
	Steady   bool          // popularity stays; else it shifts, adapters wake and fall idle, and there are bursts
	Callers  int           // with even parts of the requests
	Flood    float64       // requests a second that caller 0 sends beside its part
}

// How popularity moves in a workload that is not steady.
const (
	awake      = 0.3  // part of the adapters that get requests
	turnover   = 0.15 // part of the adapters that wake up or fall idle in an hour
	shiftEvery = 10 * time.Minute
	shifted    = 0.2 // part of the ranks that change places in a shift
	burstEvery = 2 * time.Minute
	burstLasts = 20 * time.Second
	burstPart  = 0.3 // of the requests during a burst that go to its adapter
)

// A request is one arrival.
type request struct {
	id       string
	at       time.Time
	ref      adapter.Ref
	caller   string
	tokens   int
	deadline time.Time
	salt     uint64
	returned bool // came back after a refusal
}

// begin is the virtual time at which each trial starts.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A source draws the arrivals.
type source struct {
	Workload
	dice   *rand.Rand
	refs   []adapter.Ref // by rank
	sums   []float64     // cumulative popularity by rank
	burst  adapter.Ref
	bursts time.Time // end of the present burst
}

// arrivals returns the workload's requests in order of time.
func arrivals(d Deployment, w Workload) []request {
	s := &source{Workload: w, dice: rand.New(rand.NewPCG(w.Seed, 7))}
	s.populate(d.Adapters)
	var list []request
	total := w.Rate + w.Flood
	end := begin.Add(w.Lasts)
	shift, turn, burst := begin.Add(shiftEvery), begin, begin.Add(burstEvery)
	for now := begin; ; {
		now = now.Add(time.Duration(s.dice.ExpFloat64() / total * float64(time.Second)))
		if !now.Before(end) {
			return list
		}
		for ; !w.Steady && !now.Before(turn); turn = turn.Add(time.Minute) {
			s.turn(d.Adapters)
		}
		for ; !w.Steady && !now.Before(shift); shift = shift.Add(shiftEvery) {
			s.shift()
		}
		for ; !w.Steady && !now.Before(burst); burst = burst.Add(burstEvery) {
			s.burst, s.bursts = s.refs[s.dice.IntN(len(s.refs))], now.Add(burstLasts)
		}
		list = append(list, s.draw(d, now, len(list)))
	}
}

func named(i int) adapter.Ref { return adapter.Ref{Name: "a" + strconv.Itoa(i), Version: "1"} }

func (s *source) populate(n int) {
	s.refs = make([]adapter.Ref, n)
	for i := range s.refs {
		s.refs[i] = named(i)
	}
	s.dice.Shuffle(n, func(i, j int) { s.refs[i], s.refs[j] = s.refs[j], s.refs[i] })
	active := n
	if !s.Steady {
		active = int(awake * float64(n))
	}
	sum := 0.0
	for i := range active {
		sum += math.Pow(float64(i+1), -s.Exponent)
		s.sums = append(s.sums, sum)
	}
}

// turn exchanges awake and idle adapters, a minute's worth.
func (s *source) turn(n int) {
	active := len(s.sums)
	for range int(turnover * float64(n) / 2 / 60) {
		i, j := s.dice.IntN(active), active+s.dice.IntN(n-active)
		s.refs[i], s.refs[j] = s.refs[j], s.refs[i]
	}
}

// shift exchanges the places of a part of the awake adapters.
func (s *source) shift() {
	active := len(s.sums)
	for range int(shifted * float64(active) / 2) {
		i, j := s.dice.IntN(active), s.dice.IntN(active)
		s.refs[i], s.refs[j] = s.refs[j], s.refs[i]
	}
	top := s.dice.IntN(10)
	other := s.dice.IntN(active)
	s.refs[top], s.refs[other] = s.refs[other], s.refs[top]
}

func (s *source) draw(d Deployment, now time.Time, n int) request {
	i := sort.SearchFloat64s(s.sums, s.dice.Float64()*s.sums[len(s.sums)-1])
	ref := s.refs[min(i, len(s.sums)-1)]
	if now.Before(s.bursts) && s.dice.Float64() < burstPart {
		ref = s.burst
	}
	caller := s.dice.IntN(max(s.Callers, 1))
	if s.dice.Float64() < s.Flood/(s.Rate+s.Flood) {
		caller = 0
	}
	tokens := 8 + int(s.dice.ExpFloat64()*float64(d.Tokens-8))
	return request{
		id:       strconv.Itoa(n),
		at:       now,
		ref:      ref,
		caller:   "c" + strconv.Itoa(caller),
		tokens:   min(tokens, 4*d.Tokens),
		deadline: now.Add(d.Deadline),
		salt:     s.dice.Uint64(),
	}
}
