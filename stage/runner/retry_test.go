package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// TestRetryTimes checks the retry times of requests that are refused because no
// load is available in time: there is one for each adapter, and they are spaced by
// the measured time between loads.
func TestRetryTimes(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	ref := func(i int) adapter.Ref { return refOf(string(rune('0' + i))) }
	for i := range 9 {
		s.at(0, arrived(string(rune('0'+i)), ref(i)))
	}
	// Each load ends two seconds after the one before, with an unload in between.
	now, n := time.Duration(0), uint64(2)
	for range 3 {
		now += 2 * second
		s.at(now, runner.PermitGranted{Ref: s.requested, Expires: zero.Add(now + second)})
		require.EqualValues(t, n, s.order())
		for o := s.order(); o != 0; o = s.order() {
			n = o + 1
			s.at(now, done(o))
		}
		for i := range 9 {
			s.at(now, runner.RequestEnded{ID: string(rune('0' + i)), Outcome: runner.Served})
		}
	}
	refuse := func(id, caller string) time.Time {
		e := arrived(id, adapter.Ref{Name: id, Version: "1"})
		e.Caller = caller
		e.Deadline = zero.Add(now + 3*second)
		err := s.at(now, e).refused()
		require.NotNil(t, err)
		return err.RetryAt
	}
	first, next := refuse("x", "c"), refuse("y", "c")
	require.Equal(t, 4*second, next.Sub(first), "one of two loads is reserved")
	require.Equal(t, first, refuse("x", "c"), "one load serves all retries for the adapter")
	require.False(t, refuse("z", "d").After(first), "another caller does not wait for the loads of the first one")
}
