package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/plan"
)

// basePlan returns a plan of 4000 completions on 100 models.
func basePlan() plan.Plan {
	p := plan.Plan{ZipfExponent: 1, Rate: 1000, MaxRequests: 4000, Duration: time.Hour, Seed: 3, MeanTokens: 8, PromptBytes: 50}
	for i := range 100 {
		p.Models = append(p.Models, fmt.Sprintf("a%d@1", i))
	}
	return p
}

// collect returns all requests of p.
func collect(p plan.Plan) []plan.Request {
	var requests []plan.Request
	for source := plan.New(p); ; {
		r, _, ok := source.Next()
		if !ok {
			return requests
		}
		requests = append(requests, r)
	}
}

// mostPopular returns the model with the most requests and its share of them.
func mostPopular(requests []plan.Request) (string, float64) {
	counts := map[string]int{}
	first := ""
	for _, r := range requests {
		model := r.(plan.Completion).Model
		counts[model]++
		if counts[model] > counts[first] {
			first = model
		}
	}
	return first, float64(counts[first]) / float64(len(requests))
}

func TestSameSeedSameRequests(t *testing.T) {
	p := basePlan()
	p.StreamShare, p.IssuanceShare, p.ResendShare, p.ShiftInterval, p.ShiftShare = 0.5, 0.2, 0.5, time.Second, 0.5
	require.Equal(t, collect(p), collect(p))
	other := p
	other.Seed++
	require.NotEqual(t, collect(p), collect(other))
}

func TestPlanEndsByCountAndByDuration(t *testing.T) {
	require.Len(t, collect(basePlan()), 4000)
	p := basePlan()
	p.Duration = time.Second
	requests := collect(p)
	require.InDelta(t, 1000, len(requests), 100)
	require.LessOrEqual(t, requests[len(requests)-1].(plan.Completion).Offset, time.Second)
}

func TestPopularityIsZipfAndShifts(t *testing.T) {
	p := basePlan()
	_, share := mostPopular(collect(p))
	require.InDelta(t, 0.193, share, 0.03) // 1 / (1/1 + 1/2 + ... + 1/100)
	p.ShiftInterval, p.ShiftShare = 2*time.Second, 1
	requests := collect(p)
	before, _ := mostPopular(requests[:1900])
	after, _ := mostPopular(requests[2100:])
	require.NotEqual(t, before, after)
}

func TestIssuanceKeysAndResendModes(t *testing.T) {
	p := basePlan()
	p.IssuanceShare, p.ResendShare = 1, 0.5
	keys, resends := map[string]bool{}, map[plan.ResendMode]int{}
	for _, r := range collect(p) {
		issuance := r.(plan.Issuance)
		keys[issuance.Key] = true
		resends[issuance.Resend]++
	}
	require.Len(t, keys, 4000)
	require.InDelta(t, 2000, resends[plan.ResendNever], 200)
	require.InDelta(t, 1000, resends[plan.ResendConcurrently], 150)
	require.InDelta(t, 1000, resends[plan.ResendAfterAnswer], 150)
}
