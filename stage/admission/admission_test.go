package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/admission"
)

// request returns a request of an account of rank 1.
func request(account string) admission.Request {
	return admission.Request{Service: "s", Rank: 1, Account: account, Work: 10}
}

// press makes a pool short: n requests of the account pass and find no room.
func press(s *admission.State, now time.Time, account string, n int) {
	for range n {
		s.Ask(now, request(account), 0)
		s.FoundNone(now, request(account))
	}
}

// TestNothingIsToldInCalm checks that hosts tell each other nothing, and refuse nothing, as long as
// no request misses its room, and again some time after the last one did.
func TestNothingIsToldInCalm(t *testing.T) {
	s := &admission.State{}
	for range 100 {
		require.True(t, s.Ask(start, request("a"), 0.999).Pass)
	}
	require.Empty(t, s.Reports(start, "h", true))
	require.Empty(t, s.Changes(start))
	press(s, start, "a", 10)
	require.NotEmpty(t, s.Reports(start, "h", true))
	later := start.Add(20 * time.Second)
	require.Empty(t, s.Reports(later, "h", true))
	require.True(t, s.Ask(later, request("a"), 0.999).Pass)
}

// TestOtherHostsPress checks that a host refuses for what others report, and no longer than that
// counts.
func TestOtherHostsPress(t *testing.T) {
	there, here := &admission.State{}, &admission.State{}
	press(there, start, "a", 50)
	here.Learn(start, "there", true, there.Reports(start, "here", false))
	d := here.Ask(start, request("a"), 0.9)
	require.False(t, d.Pass)
	require.GreaterOrEqual(t, d.RetryAfter, 200*time.Millisecond)
	require.NotEmpty(t, here.Reports(start, "third", false), "what a reporter told is passed on to other relays")
	require.True(t, here.Ask(start, request("b"), 0.9).Pass, "an account that asks for little has its share")
	here.Forget("there")
	require.True(t, here.Ask(start.Add(2*time.Second), request("a"), 0.9).Pass)
}

// TestReportsAreBounded checks that a digest stays small whatever the number of accounts, and that
// the sums over all of them stay right.
func TestReportsAreBounded(t *testing.T) {
	s, other := &admission.State{}, &admission.State{}
	for i := range 1000 {
		press(s, start, fmt.Sprint("a", i), 1)
	}
	reports := s.Reports(start, "h", true)
	require.LessOrEqual(t, len(reports), 64)
	offered := uint64(0)
	for _, r := range reports {
		offered += r.Offered
	}
	require.EqualValues(t, 1000*100, offered)
	other.Learn(start, "s", true, append(reports, reports...))
	require.LessOrEqual(t, len(other.Reports(start, "h", false)), 64)
}

// TestOddReports checks that no report, whatever its numbers, makes a host refuse all.
func TestOddReports(t *testing.T) {
	s := &admission.State{}
	press(s, start, "a", 10)
	odd := s.Reports(start, "h", true)[0]
	odd.Offered, odd.Passed, odd.Work, odd.Done, odd.Recent, odd.Short, odd.Rank, odd.Pool = math.MaxUint64, math.MaxUint64, math.MaxUint64, math.MaxUint64, 0, math.MaxUint64, 255, 255
	s.Learn(start, "odd", true, []admission.Report{odd, {}, {Offered: 1}, odd})
	require.True(t, s.Ask(start.Add(time.Second), request("a"), 0).Pass)
	require.NotPanics(t, func() { s.Changes(start); s.Levels(start); s.Reports(start, "h", true) })
}

// TestChanges checks that a change of what is refused is told once, with the accounts that press.
func TestChanges(t *testing.T) {
	s := &admission.State{}
	press(s, start, "pressing", 50)
	s.Ask(start, request("calm"), 0)
	now := start.Add(100 * time.Millisecond)
	s.Ask(now, request("calm"), 0)
	changes := s.Changes(now)
	require.Len(t, changes, 1)
	require.Equal(t, "s", changes[0].Service)
	require.Equal(t, 1, changes[0].Rank)
	require.Equal(t, []string{"pressing"}, changes[0].Accounts)
	require.Less(t, changes[0].Room, 1.0)
	require.Empty(t, s.Changes(now.Add(2*shortest)))
	end := s.Changes(now.Add(30 * time.Second))
	require.Len(t, end, 1)
	require.EqualValues(t, 1, end[0].Room)
	require.Empty(t, s.Changes(now.Add(60*time.Second)))
}

const shortest = 10 * time.Millisecond
