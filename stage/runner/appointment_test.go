package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
)

// TestAppointments: requests refused for want of loads are told times that are
// spaced by the measured time between loads, one for each adapter.
func TestAppointments(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	ref := func(i int) adapter.Ref { return refOf(string(rune('0' + i))) }
	for i := range 9 {
		s.at(0, arrived(string(rune('0'+i)), ref(i)))
	}
	// Each load takes two seconds from the one before, with an unload between.
	now, n := time.Duration(0), uint64(2)
	for range 3 {
		now += 2 * second
		s.at(now, runner.PermitGranted{Ref: s.asked, Expires: zero.Add(now + second)})
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
	require.Equal(t, 4*second, next.Sub(first), "one of two loads is promised")
	require.Equal(t, first, refuse("x", "c"), "one load for all who come back")
	require.False(t, refuse("z", "d").After(first), "another caller does not wait for the first one's")
}
