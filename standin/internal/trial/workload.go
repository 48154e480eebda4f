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
	Seed         uint64
	Rate         float64       // requests a second
	Duration     time.Duration // of the arrivals
	ZipfExponent float64       // of the Zipf popularity
	Steady       bool          // popularity stays; else it shifts, adapters wake and fall idle, and there are bursts
	Callers      int           // with even parts of the requests
	FloodRate    float64       // requests a second that caller 0 sends beside its part
}

// How popularity moves in a workload that is not steady.
const (
	activeShare    = 0.3  // part of the adapters that get requests
	hourlyTurnover = 0.15 // part of the adapters that wake up or fall idle in an hour
	shiftInterval  = 10 * time.Minute
	shiftShare     = 0.2 // part of the ranks that change places in a shift
	burstInterval  = 2 * time.Minute
	burstDuration  = 20 * time.Second
	burstShare     = 0.3 // of the requests during a burst that go to its adapter
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
	retried  bool // came back after a refusal
}

// startTime is the virtual time at which each trial starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A source draws the arrivals.
type workloadSource struct {
	Workload
	rng        *rand.Rand
	refs       []adapter.Ref // by rank
	cumulative []float64     // cumulative popularity by rank
	burst      adapter.Ref
	burstEnd   time.Time // end of the present burst
}

// generate returns the workload's requests in order of time.
func generate(d Deployment, w Workload) []request {
	s := &workloadSource{Workload: w, rng: rand.New(rand.NewPCG(w.Seed, 7))}
	s.populate(d.Adapters)
	var list []request
	total := w.Rate + w.FloodRate
	end := startTime.Add(w.Duration)
	shift, turn, burst := startTime.Add(shiftInterval), startTime, startTime.Add(burstInterval)
	for now := startTime; ; {
		now = now.Add(time.Duration(s.rng.ExpFloat64() / total * float64(time.Second)))
		if !now.Before(end) {
			return list
		}
		for ; !w.Steady && !now.Before(turn); turn = turn.Add(time.Minute) {
			s.swapActive(d.Adapters)
		}
		for ; !w.Steady && !now.Before(shift); shift = shift.Add(shiftInterval) {
			s.shift()
		}
		for ; !w.Steady && !now.Before(burst); burst = burst.Add(burstInterval) {
			s.burst, s.burstEnd = s.refs[s.rng.IntN(len(s.refs))], now.Add(burstDuration)
		}
		list = append(list, s.draw(d, now, len(list)))
	}
}

func adapterRef(i int) adapter.Ref { return adapter.Ref{Name: "a" + strconv.Itoa(i), Version: "1"} }

func (s *workloadSource) populate(n int) {
	s.refs = make([]adapter.Ref, n)
	for i := range s.refs {
		s.refs[i] = adapterRef(i)
	}
	s.rng.Shuffle(n, func(i, j int) { s.refs[i], s.refs[j] = s.refs[j], s.refs[i] })
	active := n
	if !s.Steady {
		active = int(activeShare * float64(n))
	}
	sum := 0.0
	for i := range active {
		sum += math.Pow(float64(i+1), -s.ZipfExponent)
		s.cumulative = append(s.cumulative, sum)
	}
}

// swapActive exchanges awake and idle adapters, a minute's worth.
func (s *workloadSource) swapActive(n int) {
	active := len(s.cumulative)
	for range int(hourlyTurnover * float64(n) / 2 / 60) {
		i, j := s.rng.IntN(active), active+s.rng.IntN(n-active)
		s.refs[i], s.refs[j] = s.refs[j], s.refs[i]
	}
}

// shift exchanges the places of a part of the awake adapters.
func (s *workloadSource) shift() {
	active := len(s.cumulative)
	for range int(shiftShare * float64(active) / 2) {
		i, j := s.rng.IntN(active), s.rng.IntN(active)
		s.refs[i], s.refs[j] = s.refs[j], s.refs[i]
	}
	top := s.rng.IntN(10)
	other := s.rng.IntN(active)
	s.refs[top], s.refs[other] = s.refs[other], s.refs[top]
}

func (s *workloadSource) draw(d Deployment, now time.Time, n int) request {
	i := sort.SearchFloat64s(s.cumulative, s.rng.Float64()*s.cumulative[len(s.cumulative)-1])
	ref := s.refs[min(i, len(s.cumulative)-1)]
	if now.Before(s.burstEnd) && s.rng.Float64() < burstShare {
		ref = s.burst
	}
	caller := s.rng.IntN(max(s.Callers, 1))
	if s.rng.Float64() < s.FloodRate/(s.Rate+s.FloodRate) {
		caller = 0
	}
	tokens := 8 + int(s.rng.ExpFloat64()*float64(d.MeanTokens-8))
	return request{
		id:       strconv.Itoa(n),
		at:       now,
		ref:      ref,
		caller:   "c" + strconv.Itoa(caller),
		tokens:   min(tokens, 4*d.MeanTokens),
		deadline: now.Add(d.Deadline),
		salt:     s.rng.Uint64(),
	}
}
