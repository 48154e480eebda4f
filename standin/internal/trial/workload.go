package trial

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"jacinthstage/stage/adapter"
)

// A Workload describes how requests arrive.
type Workload struct {
	Seed         uint64
	Rate         float64       // requests per second, without FloodRate
	Duration     time.Duration // period in which requests arrive
	ZipfExponent float64       // exponent of the Zipf distribution of popularity
	Steady       bool          // constant popularity; otherwise it shifts, adapters become active and idle, and there are bursts
	Callers      int           // number of callers, with equal shares of Rate
	FloodRate    float64       // additional requests per second from caller 0
}

// Changes of popularity in a workload that is not steady.
const (
	activeShare    = 0.3  // share of adapters that receive requests
	hourlyTurnover = 0.15 // share of adapters that become active or idle in an hour
	shiftInterval  = 10 * time.Minute
	shiftShare     = 0.2 // share of the ranks that are exchanged in a shift
	burstInterval  = 2 * time.Minute
	burstDuration  = 20 * time.Second
	burstShare     = 0.3 // share of the requests during a burst that go to its adapter
)

// A request is one arriving request.
type request struct {
	id       string
	at       time.Time
	ref      adapter.Ref
	caller   string
	tokens   int
	deadline time.Time
	salt     uint64
	retried  bool // resent after a refusal
}

// startTime is the virtual time at which every trial starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A workloadSource generates the arriving requests.
type workloadSource struct {
	Workload
	rng        *rand.Rand
	refs       []adapter.Ref // by rank
	cumulative []float64     // cumulative popularity by rank
	burst      adapter.Ref
	burstEnd   time.Time // end of the current burst
}

// generate returns the workload's requests in order of arrival.
func generate(d Deployment, w Workload) []request {
	s := &workloadSource{Workload: w, rng: rand.New(rand.NewPCG(w.Seed, 7))}
	s.populate(d.Adapters)
	var requests []request
	total := w.Rate + w.FloodRate
	end := startTime.Add(w.Duration)
	shift, turn, burst := startTime.Add(shiftInterval), startTime, startTime.Add(burstInterval)
	for now := startTime; ; {
		now = now.Add(time.Duration(s.rng.ExpFloat64() / total * float64(time.Second)))
		if !now.Before(end) {
			return requests
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
		requests = append(requests, s.draw(d, now, len(requests)))
	}
}

func adapterRef(i int) adapter.Ref { return adapter.Ref{Name: "a" + strconv.Itoa(i), Version: "1"} }

// populate assigns random ranks to n adapters and computes the popularity of the
// active ones.
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

// swapActive exchanges as many active and idle adapters as change within a minute.
func (s *workloadSource) swapActive(n int) {
	active := len(s.cumulative)
	for range int(hourlyTurnover * float64(n) / 2 / 60) {
		i, j := s.rng.IntN(active), active+s.rng.IntN(n-active)
		s.refs[i], s.refs[j] = s.refs[j], s.refs[i]
	}
}

// shift exchanges the ranks of shiftShare of the active adapters, and moves a
// random adapter into the top ten.
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

// draw returns the request with number n, which arrives at now.
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
