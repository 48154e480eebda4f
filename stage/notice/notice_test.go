package notice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/notice"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLimitOutlastsOtherAnswers guards against a limit that is forgotten because of an
// answer that doesn't speak of limits: one to an order or a report, or a refusal (LIMIT).
func TestLimitOutlastsOtherAnswers(t *testing.T) {
	var s notice.State
	require.True(t, s.Heard(after(10), after(0), notice.Notice{Limit: 2}, notice.Other))
	require.False(t, s.Heard(after(30), after(20), notice.Notice{}, notice.Other))
	require.False(t, s.Unrestricted(after(30)))
	require.True(t, s.Heard(after(50), after(40), notice.Notice{}, notice.Run))
	require.True(t, s.Unrestricted(after(50)))
}

// TestLimitEndsWithALaterRequest checks that an answer without a limit ends the limit
// only if its request was sent after the limit was named.
func TestLimitEndsWithALaterRequest(t *testing.T) {
	var s notice.State
	require.False(t, s.Heard(after(0), after(-10), notice.Notice{}, notice.Run))
	require.True(t, s.Heard(after(10), after(0), notice.Notice{Limit: 2}, notice.Run))
	require.False(t, s.Heard(after(20), after(10), notice.Notice{}, notice.Run))
	require.False(t, s.Unrestricted(after(20)))
	require.False(t, s.Heard(after(30), after(20), notice.Notice{Limit: 2}, notice.Run))
	require.True(t, s.Heard(after(40), after(31), notice.Notice{}, notice.Run))
	require.True(t, s.Unrestricted(after(40)))
}

// TestNewProcessIsSpared guards against a burst to a target that has started again, before its
// first answer says once more what the former process said: that it takes few requests, or is
// brittle (LIMIT, soak seed 91001).
func TestNewProcessIsSpared(t *testing.T) {
	first, eighth := notice.Share{Hosts: 20}, notice.Share{Hosts: 20, Rank: 7}
	var former notice.State
	former.Heard(after(0), after(0), notice.Notice{Limit: 1, Brittle: true, Tolerated: 6}, notice.Run)
	newProcess := func() (s notice.State) {
		s.Follow(after(1000), former)
		return s
	}
	burst := func(s *notice.State, at time.Time, share notice.Share) (sent int) {
		for range 50 {
			if wait, ok := s.Wait(at, share); ok && wait == 0 {
				s.Sent(at)
				sent++
			}
		}
		return sent
	}
	s := newProcess()
	require.Equal(t, 2, burst(&s, after(1000), first), "one to find out, and its own share")
	require.False(t, s.HasRoom(after(1000), eighth, notice.Room{Slots: 6, Running: 3, Spare: true}))
	require.Zero(t, s.Report(after(1000)).Limit, "this process has named none")
	s.Heard(after(1100), after(1050), notice.Notice{}, notice.Run)
	require.True(t, s.Unrestricted(after(1100)), "it names none any more")
	s = newProcess()
	require.Zero(t, burst(&s, after(1000), eighth))
	require.Equal(t, 50, burst(&s, after(7000), eighth), "it was silent for long")
	s = newProcess()
	s.Heard(after(1100), after(1050), notice.Notice{Limit: 1}, notice.Run)
	require.Zero(t, burst(&s, after(7000), eighth), "it names the same")
}
