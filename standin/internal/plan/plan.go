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
	Models        []string      // name@version
	ZipfExponent  float64       // of the Zipf popularity
	ShiftInterval time.Duration // time between shifts of popularity; 0 is never
	ShiftShare    float64       // share of models whose popularity a shift changes
	Rate          float64       // requests a second
	MaxRequests   int           // most requests
	Duration      time.Duration // from the first request to the last
	StreamShare   float64       // share of completions that are streamed
	IssuanceShare float64       // share of requests that are certificate issuances
	ResendShare   float64       // share of issuances sent a second time with their key
	MeanTokens    int           // mean length of an answer
	PromptBytes   int           // length of a prompt in bytes
	Seed          uint64
}

// A Request is Completion or Issuance.
type Request interface{ request() }

// A Completion asks a model for tokens.
type Completion struct {
	Offset time.Duration // from the start
	Model  string
	Prompt string
	Tokens int
	Stream bool
}

// An Issuance is a call that may run only once.
type Issuance struct {
	Offset time.Duration // from the start
	Key    string
	Body   string
	// Resend says to send the call a second time: Never, Beside or Behind.
	Resend ResendMode
}

// ResendMode is when an issuance is sent a second time.
type ResendMode int

// The times of the second sending.
const (
	ResendNever        ResendMode = iota
	ResendConcurrently            // while the first is in progress
	ResendAfterAnswer             // when the first has been answered
)

func (Completion) request() {}
func (Issuance) request()   {}

// A Source yields the requests of a plan in order of their times.
type Source struct {
	plan        Plan
	rng         *rand.Rand
	popularity  *zipf
	modelByRank []int // model by rank
	elapsed     time.Duration
	nextShift   time.Duration // when popularity shifts next
	count       int
}

// New returns the requests of p.
func New(p Plan) *Source {
	s := &Source{plan: p, rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), popularity: newZipf(len(p.Models), p.ZipfExponent), nextShift: p.ShiftInterval}
	s.modelByRank = s.rng.Perm(len(p.Models))
	return s
}

// Next returns the next request and its time from the start, false at the end.
func (s *Source) Next() (Request, time.Duration, bool) {
	s.elapsed += time.Duration(s.rng.ExpFloat64() / s.plan.Rate * float64(time.Second))
	if s.count >= s.plan.MaxRequests || s.elapsed > s.plan.Duration || len(s.plan.Models) == 0 {
		return nil, 0, false
	}
	s.count++
	for s.plan.ShiftInterval > 0 && s.elapsed >= s.nextShift {
		s.nextShift += s.plan.ShiftInterval
		s.shiftPopularity()
	}
	if s.rng.Float64() < s.plan.IssuanceShare {
		return s.issuance(), s.elapsed, true
	}
	return s.completion(), s.elapsed, true
}

// shiftPopularity gives some models the popularity of others.
func (s *Source) shiftPopularity() {
	for range int(float64(len(s.modelByRank)) * s.plan.ShiftShare) {
		i, j := s.rng.IntN(len(s.modelByRank)), s.rng.IntN(len(s.modelByRank))
		s.modelByRank[i], s.modelByRank[j] = s.modelByRank[j], s.modelByRank[i]
	}
}

func (s *Source) completion() Completion {
	prompt := fmt.Sprintf("request %d of seed %d ", s.count, s.plan.Seed)
	for len(prompt) < s.plan.PromptBytes {
		prompt += "clause "
	}
	return Completion{
		Offset: s.elapsed,
		Model:  s.plan.Models[s.modelByRank[s.popularity.rankAt(s.rng.Float64())]],
		Prompt: prompt,
		Tokens: 1 + s.rng.IntN(max(1, 2*s.plan.MeanTokens-1)),
		Stream: s.rng.Float64() < s.plan.StreamShare,
	}
}

func (s *Source) issuance() Issuance {
	again := ResendNever
	if s.rng.Float64() < s.plan.ResendShare {
		again = ResendConcurrently + ResendMode(s.rng.IntN(2))
	}
	key := fmt.Sprintf("certificate-%d-%d", s.plan.Seed, s.count)
	return Issuance{Offset: s.elapsed, Key: key, Body: `{"batch":"` + key + `"}`, Resend: again}
}

// A zipf draws ranks from 0 with a probability that falls with the rank's
// power; unlike that of math/rand it takes exponents of 1 and below.
type zipf struct{ cumulative []float64 }

func newZipf(n int, exponent float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

// rankAt returns the rank at u, from 0 up to 1.
func (z *zipf) rankAt(u float64) int {
	return min(sort.SearchFloat64s(z.cumulative, u*z.cumulative[len(z.cumulative)-1]), len(z.cumulative)-1)
}
