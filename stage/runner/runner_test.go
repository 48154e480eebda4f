package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/verdict"
)

var (
	zero = time.Unix(1000, 0)
	a    = adapter.Ref{Name: "a", Version: "1"}
	b    = adapter.Ref{Name: "b", Version: "1"}
)

const second = time.Second

// A script gives events to one runner, at times counted from zero.
type script struct {
	t *testing.T
	runner.Runner
	actions []runner.Action // of the last event
	asked   adapter.Ref     // of the last Ask
}

func begin(t *testing.T, fenced bool) *script {
	return &script{t: t, Runner: runner.Runner{Name: "r", Slots: 1, Batch: 4, Fenced: fenced}}
}

func (s *script) at(d time.Duration, e runner.Event) *script {
	s.actions = s.Step(zero.Add(d), e)
	for _, x := range s.actions {
		if ask, ok := x.(runner.RequestPermit); ok {
			s.asked = ask.Ref
		}
	}
	return s
}

// order returns the number of the order of the last event, 0 for none.
func (s *script) order() uint64 {
	for _, x := range s.actions {
		if o, ok := x.(runner.Order); ok {
			return o.Number & 0xffffffff
		}
	}
	return 0
}

func (s *script) admitted() bool {
	for _, x := range s.actions {
		if _, ok := x.(runner.Admit); ok {
			return true
		}
	}
	return false
}

func (s *script) refused() *verdict.Error {
	for _, x := range s.actions {
		if r, ok := x.(runner.Refuse); ok {
			return r.Err
		}
	}
	return nil
}

func number(n uint64) uint64 { return 1<<32 | n }

func done(n uint64) runner.Answered { return runner.Answered{Number: number(n), Answer: runner.Done} }

// report is made at made seconds on the engine's clock and shows one adapter.
func report(n uint64, made int64, ref adapter.Ref, ids ...string) runner.ReportReceived {
	return runner.ReportReceived{Report: runner.Report{
		Number: number(n), CreatedAt: time.Unix(made, 0), Slots: []runner.OccupiedSlot{{Ref: ref, Requests: ids}},
	}}
}

func arrived(id string, ref adapter.Ref) runner.RequestArrived {
	return runner.RequestArrived{ID: id, Ref: ref, Caller: "c", MaxTokens: 1, Deadline: zero.Add(time.Hour)}
}

// owned returns a script whose runner is owned and holds a.
func owned(t *testing.T, fenced bool, e runner.Owned) *script {
	s := begin(t, fenced)
	e.Epoch = 1
	s.at(0, e).at(0, done(1)).at(0, report(1, 1, a))
	return s
}

// TestLostPin: the pin of a request whose connection broke stays until a report
// made after that shows it gone.
func TestLostPin(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	require.True(t, s.at(0, arrived("x", a)).admitted())
	s.at(second, runner.RequestEnded{ID: "x", Outcome: runner.Lost})
	require.EqualValues(t, 2, s.order())
	require.Contains(t, s.actions, runner.Cancel{ID: "x"})
	s.at(second, report(1, 2, a))
	require.Equal(t, 1, s.Usage().Running, "a report made before the loss")
	s.at(second, done(2)).at(second, report(2, 3, a, "x"))
	require.Equal(t, 1, s.Usage().Running, "a report that shows it")
	s.at(second, report(2, 4, a))
	require.Zero(t, s.Usage().Running)
}

// TestReordered: a report made earlier than one already seen tells nothing.
func TestReordered(t *testing.T) {
	s := owned(t, true, runner.Owned{Inherited: true, LatestDeadline: zero.Add(time.Hour), LeaseEnd: zero.Add(time.Hour)})
	s.at(2*second, runner.Tick{})
	require.EqualValues(t, 2, s.order())
	s.at(2*second, done(2)).at(2*second, report(2, 20, a, "x"))
	require.Equal(t, 1, s.Usage().Running)
	s.at(2*second, report(2, 15, a))
	require.Equal(t, 1, s.Usage().Running)
	s.at(2*second, report(2, 25, a))
	require.Zero(t, s.Usage().Running)
}

// TestUnfencedTakeover: without fencing, the first order waits for the deadline
// of the earlier owner's last one.
func TestUnfencedTakeover(t *testing.T) {
	s := begin(t, false)
	require.Zero(t, s.at(0, runner.Owned{Epoch: 1, Inherited: true, LatestDeadline: zero}).order())
	require.Zero(t, s.at(runner.LoadTimeout-1, runner.Tick{}).order())
	require.EqualValues(t, 1, s.at(runner.LoadTimeout, runner.Tick{}).order())
}

// TestPastLease: past its lease the owner of a fenced runner admits only for a
// second after an accepted order was sent.
func TestPastLease(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(second / 2)})
	require.True(t, s.at(second*9/10, arrived("x", a)).admitted())
	admit, ok := s.actions[0].(runner.Admit)
	require.True(t, ok)
	require.Equal(t, zero.Add(second), admit.SendBy)
	s.at(second, arrived("y", a))
	require.False(t, s.admitted())
	s.at(second, done(2))
	require.True(t, s.admitted(), "after the engine accepted the number again")
}

// TestSuperseded: a higher epoch's number at the engine ends the ownership.
func TestSuperseded(t *testing.T) {
	s := owned(t, true, runner.Owned{})
	s.at(2*second, arrived("x", b))
	require.EqualValues(t, 2, s.order())
	s.at(2*second, runner.Answered{Number: number(2), Answer: runner.Fenced, HighestNumber: 2<<32 | 1})
	require.Contains(t, s.actions, runner.Superseded{Number: 2<<32 | 1})
	require.Equal(t, verdict.NotRun, s.refused().Verdict)
	require.NotNil(t, s.at(2*second, arrived("y", a)).refused())
}

// TestHandover: after Releasing nothing is admitted, and Empty follows the last end.
func TestHandover(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	s.at(0, arrived("x", a)).at(0, arrived("y", b))
	s.at(0, runner.HandoverStarted{})
	require.Equal(t, verdict.NotRun, s.refused().Verdict)
	require.NotContains(t, s.actions, runner.Drained{})
	require.NotNil(t, s.at(0, arrived("z", a)).refused())
	require.Contains(t, s.at(second, runner.RequestEnded{ID: "x", Outcome: runner.Served}).actions, runner.Drained{})
}

// TestFailedLoads: after three failed loads in a row requests are refused, with
// the time of the next try.
func TestFailedLoads(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	s.at(0, arrived("x", b))
	now, n := time.Duration(0), uint64(2)
	for s.refused() == nil {
		s.at(now, runner.PermitGranted{Ref: b, Expires: zero.Add(now + second)})
		if o, ok := s.actions[0].(runner.Order); ok && o.Kind == runner.Unload {
			s.at(now, done(n))
			n++
		}
		s.at(now, runner.Answered{Number: number(n), Answer: runner.Failed})
		n++
		if s.refused() == nil {
			now += 3 * second
			s.at(now, runner.Tick{})
		}
	}
	require.EqualValues(t, 6, n, "an unload and three loads")
	require.Equal(t, verdict.Unavailable, s.refused().Code)
	require.Equal(t, zero.Add(now+4*second), s.refused().RetryAt)
	require.Equal(t, zero.Add(now+4*second), s.at(now, arrived("y", b)).refused().RetryAt)
}

// TestHopeless: a request that can't be complete in time is refused at once, and
// told when the same one could be.
func TestHopeless(t *testing.T) {
	s := owned(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	s.at(0, arrived("x", a)).at(4*second, runner.RequestEnded{ID: "x", Outcome: runner.Served})
	late := arrived("y", a)
	late.Deadline = zero.Add(7 * second)
	err := s.at(4*second, late).refused()
	require.NotNil(t, err)
	require.Equal(t, verdict.Busy, err.Code)
	require.Equal(t, zero.Add(5*second), err.RetryAt, "4 s of service where 3 s are left")
	late.Deadline = zero.Add(9 * second)
	require.True(t, s.at(4*second, late).admitted())
}
