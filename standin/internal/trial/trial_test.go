package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/trial"
)

func steady(deployment string, factor float64) trial.Trial {
	d := trial.Deployments[deployment]
	return trial.Trial{Deployment: d, Workload: trial.Workload{
		Seed: 1, Rate: d.RequestRate * factor, Duration: 3 * time.Minute, ZipfExponent: 1, Steady: true, Callers: 10,
	}}
}

// TestTargets: at two thirds of capacity both of the users' measures are ahead
// of the least loaded runner with LRU, and loads are near Belady's.
func TestTargets(t *testing.T) {
	for _, name := range []string{"passo", "kelvin"} {
		t.Run(name, func(t *testing.T) {
			tr := steady(name, 2.0/3)
			ours, least := tr.Run(trial.Product{Weight: tr.Deployment.Weight}), tr.Run(trial.LeastLoaded{})
			require.LessOrEqual(t, ours.BeladyRatio, 1.3)
			require.LessOrEqual(t, ours.Stall95, least.Stall95/2)
			require.GreaterOrEqual(t, ours.BatchFill, 1.2*least.BatchFill)
			require.Zero(t, ours.EvictedInUse)
			require.Zero(t, ours.Absent)
			require.Zero(t, ours.StoreRefused)
		})
	}
}

// TestOverload: at five times the capacity no less is done than at capacity.
func TestOverload(t *testing.T) {
	one, five := steady("passo", 1).Run(trial.Product{}), steady("passo", 5).Run(trial.Product{})
	require.GreaterOrEqual(t, five.Goodput, 0.9*one.Goodput)
	require.Zero(t, five.EvictedInUse)
	require.Less(t, five.Late, five.Served/1000)
}

// TestFaults: no fault makes the store's limits pass or evicts under a request,
// and one runner less or more moves only its part of the adapters.
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

// TestSameSeed: a trial has the same result on every run.
func TestSameSeed(t *testing.T) {
	tr := steady("kelvin", 1)
	tr.Workload.Steady = false
	require.Equal(t, tr.Run(trial.Product{Weight: 0.5}), tr.Run(trial.Product{Weight: 0.5}))
}
