// Package plan generates the requests of the load generator: an open-loop
// workload with a Zipf distribution of popularity that shifts over time. The same
// plan gives the same requests.
package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// A Plan describes a workload. The zero value has no requests.
type Plan struct {
	Models        []string      // name@version
	ZipfExponent  float64       // exponent of the Zipf distribution of popularity
	ShiftInterval time.Duration // time between shifts of popularity; 0 means no shifts
	ShiftShare    float64       // share of models whose popularity a shift changes
	Rate          float64       // mean number of requests per second
	MaxRequests   int           // maximum number of requests
	Duration      time.Duration // requests scheduled later than this after the start are not sent
	StreamShare   float64       // share of completions that are streamed
	IssuanceShare float64       // share of requests that are certificate issuances
	ResendShare   float64       // share of issuances sent a second time with their key
	MeanTokens    int           // mean length of an answer in tokens
	PromptBytes   int           // minimum length of a prompt in bytes
	Seed          uint64
}

// A Request is a Completion or an Issuance.
type Request interface{ request() }

// A Completion is a request to generate tokens.
type Completion struct {
	Offset time.Duration // since the start of the run
	Model  string
	Prompt string
	Tokens int
	Stream bool
}

// An Issuance is a certificate issuance, a call that may run only once.
type Issuance struct {
	Offset time.Duration // since the start of the run
	Key    string
	Body   string
	// Resend says whether and when to send the call a second time.
	Resend ResendMode
}

// ResendMode says when an issuance is sent a second time.
type ResendMode int

// The modes of resending.
const (
	ResendNever        ResendMode = iota
	ResendConcurrently            // while the first is in progress
	ResendAfterAnswer             // after the first has ended
)

func (Completion) request() {}
func (Issuance) request()   {}

// A Source generates the requests of a plan in order of time.
type Source struct {
	plan        Plan
	rng         *rand.Rand
	popularity  *zipf
	modelByRank []int // index of the model by rank
	elapsed     time.Duration
	nextShift   time.Duration // time of the next shift of popularity
	count       int
}

// New returns a source of the requests of p.
func New(p Plan) *Source {
	s := &Source{plan: p, rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), popularity: newZipf(len(p.Models), p.ZipfExponent), nextShift: p.ShiftInterval}
	s.modelByRank = s.rng.Perm(len(p.Models))
	return s
}

// Next returns the next request and its time since the start of the run, or false
// if there are no more.
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

// shiftPopularity exchanges the ranks of random pairs of models.
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
	resend := ResendNever
	if s.rng.Float64() < s.plan.ResendShare {
		resend = ResendConcurrently + ResendMode(s.rng.IntN(2))
	}
	key := fmt.Sprintf("certificate-%d-%d", s.plan.Seed, s.count)
	return Issuance{Offset: s.elapsed, Key: key, Body: `{"batch":"` + key + `"}`, Resend: resend}
}

// A zipf is a Zipf distribution over ranks from 0. Unlike rand.Zipf it supports
// exponents of 1 and below.
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

// rankAt returns the rank at the quantile u, which is in [0, 1).
func (z *zipf) rankAt(u float64) int {
	return min(sort.SearchFloat64s(z.cumulative, u*z.cumulative[len(z.cumulative)-1]), len(z.cumulative)-1)
}
