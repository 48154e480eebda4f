package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/plan"
)

func base() plan.Plan {
	p := plan.Plan{ZipfExponent: 1, Rate: 1000, MaxRequests: 4000, Duration: time.Hour, Seed: 3, MeanTokens: 8, PromptBytes: 50}
	for i := range 100 {
		p.Models = append(p.Models, fmt.Sprintf("a%d@1", i))
	}
	return p
}

func all(p plan.Plan) []plan.Request {
	var requests []plan.Request
	for source := plan.New(p); ; {
		r, _, ok := source.Next()
		if !ok {
			return requests
		}
		requests = append(requests, r)
	}
}

// popular returns the most asked models and the share of the first of all requests.
func popular(requests []plan.Request) (string, float64) {
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
	p := base()
	p.StreamShare, p.IssuanceShare, p.ResendShare, p.ShiftInterval, p.ShiftShare = 0.5, 0.2, 0.5, time.Second, 0.5
	require.Equal(t, all(p), all(p))
	other := p
	other.Seed++
	require.NotEqual(t, all(p), all(other))
}

func TestEndsByCountAndByTime(t *testing.T) {
	require.Len(t, all(base()), 4000)
	p := base()
	p.Duration = time.Second
	requests := all(p)
	require.InDelta(t, 1000, len(requests), 100)
	require.LessOrEqual(t, requests[len(requests)-1].(plan.Completion).Offset, time.Second)
}

func TestPopularityIsZipfAndShifts(t *testing.T) {
	p := base()
	_, share := popular(all(p))
	require.InDelta(t, 0.193, share, 0.03) // 1 of the sum of 1/1 to 1/100
	p.ShiftInterval, p.ShiftShare = 2*time.Second, 1
	requests := all(p)
	before, _ := popular(requests[:1900])
	after, _ := popular(requests[2100:])
	require.NotEqual(t, before, after)
}

func TestIssuancesAndTheirKeys(t *testing.T) {
	p := base()
	p.IssuanceShare, p.ResendShare = 1, 0.5
	keys, again := map[string]bool{}, map[plan.ResendMode]int{}
	for _, r := range all(p) {
		issuance := r.(plan.Issuance)
		keys[issuance.Key] = true
		again[issuance.Resend]++
	}
	require.Len(t, keys, 4000)
	require.InDelta(t, 2000, again[plan.ResendNever], 200)
	require.InDelta(t, 1000, again[plan.ResendConcurrently], 150)
	require.InDelta(t, 1000, again[plan.ResendAfterAnswer], 150)
}
