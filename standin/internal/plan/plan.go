// Package plan makes the load tool's requests: an open loop with Zipf
// popularity that shifts. The same settings and seed give the same requests.
package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// A Plan says what is asked for. Its zero value asks for nothing.
type Plan struct {
	Models   []string      // name@version
	Exponent float64       // of the Zipf popularity
	Shift    time.Duration // time between shifts of popularity; 0 is never
	Moved    float64       // share of models whose popularity a shift changes
	Rate     float64       // requests a second
	Count    int           // most requests
	Time     time.Duration // from the first request to the last
	Stream   float64       // share of completions that are streamed
	Issue    float64       // share of requests that are certificate issuances
	Resend   float64       // share of issuances sent a second time with their key
	Tokens   int           // mean length of an answer
	Prompt   int           // length of a prompt in bytes
	Seed     uint64
}

// A Request is Completion or Issuance.
type Request interface{ request() }

// A Completion asks a model for tokens.
type Completion struct {
	At     time.Duration // from the start
	Model  string
	Prompt string
	Tokens int
	Stream bool
}

// An Issuance is a call that may run only once.
type Issuance struct {
	At   time.Duration // from the start
	Key  string
	Body string
	// Again says to send the call a second time: Never, Beside or Behind.
	Again Again
}

// Again is when an issuance is sent a second time.
type Again int

// The times of the second sending.
const (
	Never  Again = iota
	Beside       // while the first is in progress
	Behind       // when the first has been answered
)

func (Completion) request() {}
func (Issuance) request()   {}

// A Source yields the requests of a plan in order of their times.
type Source struct {
	plan  Plan
	draw  *rand.Rand
	ranks *zipf
	order []int // model by rank
	at    time.Duration
	shift time.Duration // when popularity shifts next
	made  int
}

// New returns the requests of p.
func New(p Plan) *Source {
	s := &Source{plan: p, draw: rand.New(rand.NewPCG(p.Seed, p.Seed)), ranks: newZipf(len(p.Models), p.Exponent), shift: p.Shift}
	s.order = s.draw.Perm(len(p.Models))
	return s
}

// Next returns the next request and its time from the start, false at the end.
func (s *Source) Next() (Request, time.Duration, bool) {
	s.at += time.Duration(s.draw.ExpFloat64() / s.plan.Rate * float64(time.Second))
	if s.made >= s.plan.Count || s.at > s.plan.Time || len(s.plan.Models) == 0 {
		return nil, 0, false
	}
	s.made++
	for s.plan.Shift > 0 && s.at >= s.shift {
		s.shift += s.plan.Shift
		s.move()
	}
	if s.draw.Float64() < s.plan.Issue {
		return s.issuance(), s.at, true
	}
	return s.completion(), s.at, true
}

// move gives some models the popularity of others.
func (s *Source) move() {
	for range int(float64(len(s.order)) * s.plan.Moved) {
		i, j := s.draw.IntN(len(s.order)), s.draw.IntN(len(s.order))
		s.order[i], s.order[j] = s.order[j], s.order[i]
	}
}

func (s *Source) completion() Completion {
	prompt := fmt.Sprintf("request %d of seed %d ", s.made, s.plan.Seed)
	for len(prompt) < s.plan.Prompt {
		prompt += "clause "
	}
	return Completion{
		At:     s.at,
		Model:  s.plan.Models[s.order[s.ranks.rank(s.draw.Float64())]],
		Prompt: prompt,
		Tokens: 1 + s.draw.IntN(max(1, 2*s.plan.Tokens-1)),
		Stream: s.draw.Float64() < s.plan.Stream,
	}
}

func (s *Source) issuance() Issuance {
	again := Never
	if s.draw.Float64() < s.plan.Resend {
		again = Beside + Again(s.draw.IntN(2))
	}
	key := fmt.Sprintf("certificate-%d-%d", s.plan.Seed, s.made)
	return Issuance{At: s.at, Key: key, Body: `{"batch":"` + key + `"}`, Again: again}
}

// A zipf draws ranks from 0 with a probability that falls with the rank's
// power; unlike that of math/rand it takes exponents of 1 and below.
type zipf struct{ sums []float64 }

func newZipf(n int, exponent float64) *zipf {
	z := &zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		z.sums[i] = sum
	}
	return z
}

// rank returns the rank at u, from 0 up to 1.
func (z *zipf) rank(u float64) int {
	return min(sort.SearchFloat64s(z.sums, u*z.sums[len(z.sums)-1]), len(z.sums)-1)
}
