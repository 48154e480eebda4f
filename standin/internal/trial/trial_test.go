package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/trial"
)

// steady returns a trial with constant popularity and a rate of factor times the
// site's capacity.
func steady(deployment string, factor float64) trial.Trial {
	d := trial.Deployments[deployment]
	return trial.Trial{Deployment: d, Workload: trial.Workload{
		Seed: 1, Rate: d.RequestRate * factor, Duration: 3 * time.Minute, ZipfExponent: 1, Steady: true, Callers: 10,
	}}
}

// TestTargets checks that at two thirds of capacity the policy has at most half
// the p95 load stall and 1.2 times the batch fill of least-loaded routing with LRU
// eviction, and at most 1.3 times the loads of Belady's algorithm.
func TestTargets(t *testing.T) {
	for _, name := range []string{"passo", "kelvin"} {
		t.Run(name, func(t *testing.T) {
			tr := steady(name, 2.0/3)
			product, leastLoaded := tr.Run(trial.Product{Weight: tr.Deployment.Weight}), tr.Run(trial.LeastLoaded{})
			require.LessOrEqual(t, product.BeladyRatio, 1.3)
			require.LessOrEqual(t, product.Stall95, leastLoaded.Stall95/2)
			require.GreaterOrEqual(t, product.BatchFill, 1.2*leastLoaded.BatchFill)
			require.Zero(t, product.EvictedInUse)
			require.Zero(t, product.Absent)
			require.Zero(t, product.StoreRefused)
		})
	}
}

// TestOverload checks that at five times the capacity the goodput is at least 90%
// of that at capacity, and almost no request is served late.
func TestOverload(t *testing.T) {
	atCapacity, overloaded := steady("passo", 1).Run(trial.Product{}), steady("passo", 5).Run(trial.Product{})
	require.GreaterOrEqual(t, overloaded.Goodput, 0.9*atCapacity.Goodput)
	require.Zero(t, overloaded.EvictedInUse)
	require.Less(t, overloaded.Late, overloaded.Served/1000)
}

// TestFaults checks that under every fault the limits of the weight store hold, no
// adapter in use is unloaded, every request ends, and that a runner that joins or
// leaves changes the first preferred runner of only its share of the adapters.
func TestFaults(t *testing.T) {
	for _, f := range []trial.Fault{trial.RunnerLeaves, trial.RunnerJoins, trial.EngineRestarts, trial.GrantorLost, trial.GrantorSlow, trial.GrantorUnreachable} {
		t.Run(string(f), func(t *testing.T) {
			tr := steady("passo", 0.5)
			tr.Fault = f
			r := tr.Run(trial.Product{})
			require.Zero(t, r.StoreRefused)
			require.Zero(t, r.EvictedInUse)
			require.LessOrEqual(t, r.MaxInflight, tr.Deployment.FullSpeedLoads)
			require.Less(t, r.MovedShare, 1.5/float64(tr.Deployment.Runners))
			require.Equal(t, r.Offered, r.Served+r.Refused+r.Lost+r.Late)
		})
	}
}

// TestSameSeedSameResult checks that two runs with the same seed have the same result.
func TestSameSeedSameResult(t *testing.T) {
	tr := steady("kelvin", 1)
	tr.Workload.Steady = false
	require.Equal(t, tr.Run(trial.Product{Weight: 0.5}), tr.Run(trial.Product{Weight: 0.5}))
}
