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

// A scenario passes events to one runner, at times relative to zero.
type scenario struct {
	t *testing.T
	runner.Runner
	actions   []runner.Action // actions of the last event
	requested adapter.Ref     // adapter of the last RequestPermit
}

func newScenario(t *testing.T, fenced bool) *scenario {
	return &scenario{t: t, Runner: runner.Runner{Name: "r", Slots: 1, Batch: 4, Fenced: fenced}}
}

func (s *scenario) at(d time.Duration, e runner.Event) *scenario {
	s.actions = s.Step(zero.Add(d), e)
	for _, x := range s.actions {
		if request, ok := x.(runner.RequestPermit); ok {
			s.requested = request.Ref
		}
	}
	return s
}

// order returns the counter of the order that the last event caused, 0 for none.
func (s *scenario) order() uint64 {
	for _, x := range s.actions {
		if o, ok := x.(runner.Order); ok {
			return o.Number & 0xffffffff
		}
	}
	return 0
}

func (s *scenario) admitted() bool {
	for _, x := range s.actions {
		if _, ok := x.(runner.Admit); ok {
			return true
		}
	}
	return false
}

func (s *scenario) refused() *verdict.Error {
	for _, x := range s.actions {
		if r, ok := x.(runner.Refuse); ok {
			return r.Err
		}
	}
	return nil
}

func number(n uint64) uint64 { return 1<<32 | n }

func done(n uint64) runner.Answered { return runner.Answered{Number: number(n), Answer: runner.Done} }

// report returns a report that was made at createdAt seconds on the engine's clock
// and shows one adapter.
func report(n uint64, createdAt int64, ref adapter.Ref, ids ...string) runner.ReportReceived {
	return runner.ReportReceived{Report: runner.Report{
		Number: number(n), CreatedAt: time.Unix(createdAt, 0), Slots: []runner.OccupiedSlot{{Ref: ref, Requests: ids}},
	}}
}

func arrived(id string, ref adapter.Ref) runner.RequestArrived {
	return runner.RequestArrived{ID: id, Ref: ref, Caller: "c", MaxTokens: 1, Deadline: zero.Add(time.Hour)}
}

// ownedScenario returns a scenario whose runner is owned and has a resident.
func ownedScenario(t *testing.T, fenced bool, e runner.Owned) *scenario {
	s := newScenario(t, fenced)
	e.Epoch = 1
	s.at(0, e).at(0, done(1)).at(0, report(1, 1, a))
	return s
}

// TestPinOfLostRequest checks that the pin of a request whose connection broke
// stays until a report that was made after the loss shows that it is gone.
func TestPinOfLostRequest(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	require.True(t, s.at(0, arrived("x", a)).admitted())
	s.at(second, runner.RequestEnded{ID: "x", Outcome: runner.Lost})
	require.EqualValues(t, 2, s.order())
	require.Contains(t, s.actions, runner.Cancel{ID: "x"})
	s.at(second, report(1, 2, a))
	require.Equal(t, 1, s.Usage().Running, "a report made before the connection broke")
	s.at(second, done(2)).at(second, report(2, 3, a, "x"))
	require.Equal(t, 1, s.Usage().Running, "a report that shows the request")
	s.at(second, report(2, 4, a))
	require.Zero(t, s.Usage().Running)
}

// TestReorderedReports checks that a report is ignored if it was made before one
// that was already received.
func TestReorderedReports(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{Inherited: true, LatestDeadline: zero.Add(time.Hour), LeaseEnd: zero.Add(time.Hour)})
	s.at(2*second, runner.Tick{})
	require.EqualValues(t, 2, s.order())
	s.at(2*second, done(2)).at(2*second, report(2, 20, a, "x"))
	require.Equal(t, 1, s.Usage().Running)
	s.at(2*second, report(2, 15, a))
	require.Equal(t, 1, s.Usage().Running)
	s.at(2*second, report(2, 25, a))
	require.Zero(t, s.Usage().Running)
}

// TestUnfencedTakeover checks that, without fencing, the first order waits for the
// deadline of the previous owner's last order.
func TestUnfencedTakeover(t *testing.T) {
	s := newScenario(t, false)
	require.Zero(t, s.at(0, runner.Owned{Epoch: 1, Inherited: true, LatestDeadline: zero}).order())
	require.Zero(t, s.at(runner.LoadTimeout-1, runner.Tick{}).order())
	require.EqualValues(t, 1, s.at(runner.LoadTimeout, runner.Tick{}).order())
}

// TestAdmissionAfterLease checks that, after its lease has ended, the owner of a
// fenced runner admits requests only for a second after sending an order that the
// engine accepted.
func TestAdmissionAfterLease(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(second / 2)})
	require.True(t, s.at(second*9/10, arrived("x", a)).admitted())
	admit, ok := s.actions[0].(runner.Admit)
	require.True(t, ok)
	require.Equal(t, zero.Add(second), admit.SendBy)
	s.at(second, arrived("y", a))
	require.False(t, s.admitted())
	s.at(second, done(2))
	require.True(t, s.admitted(), "after the engine accepted the number again")
}

// TestSuperseded checks that a number of a higher epoch at the engine ends the
// ownership.
func TestSuperseded(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{})
	s.at(2*second, arrived("x", b))
	require.EqualValues(t, 2, s.order())
	s.at(2*second, runner.Answered{Number: number(2), Answer: runner.Fenced, HighestNumber: 2<<32 | 1})
	require.Contains(t, s.actions, runner.Superseded{Number: 2<<32 | 1})
	require.Equal(t, verdict.NotRun, s.refused().Verdict)
	require.NotNil(t, s.at(2*second, arrived("y", a)).refused())
}

// TestHandover checks that no request is admitted after HandoverStarted, and that
// Drained follows the end of the last request.
func TestHandover(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	s.at(0, arrived("x", a)).at(0, arrived("y", b))
	s.at(0, runner.HandoverStarted{})
	require.Equal(t, verdict.NotRun, s.refused().Verdict)
	require.NotContains(t, s.actions, runner.Drained{})
	require.NotNil(t, s.at(0, arrived("z", a)).refused())
	require.Contains(t, s.at(second, runner.RequestEnded{ID: "x", Outcome: runner.Served}).actions, runner.Drained{})
}

// TestFailedLoads checks that, after three consecutive failed loads, requests are
// refused with the time of the next attempt.
func TestFailedLoads(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
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

// TestUnreachableDeadline checks that a request that can't be complete before its
// deadline is refused at once, with the time at which the same request could be
// served.
func TestUnreachableDeadline(t *testing.T) {
	s := ownedScenario(t, true, runner.Owned{LeaseEnd: zero.Add(time.Hour)})
	s.at(0, arrived("x", a)).at(4*second, runner.RequestEnded{ID: "x", Outcome: runner.Served})
	request := arrived("y", a)
	request.Deadline = zero.Add(7 * second)
	err := s.at(4*second, request).refused()
	require.NotNil(t, err)
	require.Equal(t, verdict.Busy, err.Code)
	require.Equal(t, zero.Add(5*second), err.RetryAt, "4 s of service where 3 s are left")
	request.Deadline = zero.Add(9 * second)
	require.True(t, s.at(4*second, request).admitted())
}
