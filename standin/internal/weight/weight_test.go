package weight_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/standin/internal/weight"
)

func TestLoadsSlowDownAboveFullSpeedLoads(t *testing.T) {
	for _, c := range []struct {
		name  string
		loads int
		want  time.Duration
	}{
		{"one", 1, 250 * time.Millisecond},
		{"at the limit", 8, 250 * time.Millisecond},
		{"twice the limit", 16, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &weight.Store{FullSpeedLoads: 8, LoadTime: 250 * time.Millisecond}
				start := time.Now()
				var loads sync.WaitGroup
				for range c.loads {
					loads.Go(func() { require.NoError(t, s.Fetch(t.Context())) })
				}
				loads.Wait()
				require.InDelta(t, c.want, time.Since(start), float64(time.Millisecond))
				require.Equal(t, weight.Counts{Loads: c.loads, MaxInflight: c.loads}, s.Counts())
			})
		})
	}
}

func TestLoadsOverTheRateAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &weight.Store{LoadsPerSecond: 2, FullSpeedLoads: 8}
		require.NoError(t, s.Fetch(t.Context()))
		require.NoError(t, s.Fetch(t.Context()))
		require.ErrorIs(t, s.Fetch(t.Context()), weight.ErrLimited)
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, s.Fetch(t.Context()))
		require.Equal(t, 1, s.Counts().Refused)
	})
}
