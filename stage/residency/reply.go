package residency

import (
	"maps"
	"time"

	"jacinthstage/stage/call"
)

// HandleReply takes the runner's reply to the order that was sent last.
func (s *Manager) HandleReply(now time.Time, reply call.Reply) {
	if s.sent.IsZero() {
		return
	}
	s.sent = time.Time{}
	k := Key{Model: s.flight.Model, Adapter: s.flight.Adapter}
	e := s.entry(k)
	switch reply {
	case call.Accepted, call.Applied:
		s.accepted(now, k, e, reply)
	case call.Fenced:
		s.lost = true
		s.giveUp()
	case call.Unanswered:
		if s.flight.Kind == call.Load {
			e.doubt = now.Add(lateMost)
			s.remember(now, k, e.doubt)
		}
		s.resync(now)
	default:
		s.resync(now)
	}
}

// remember notes that a load without an answer may take effect until a moment.
func (s *Manager) remember(now time.Time, k Key, until time.Time) {
	if s.late == nil {
		s.late = make(map[Key]time.Time)
	}
	maps.DeleteFunc(s.late, func(_ Key, until time.Time) bool { return now.After(until) })
	s.late[k] = until
}

// resync asks for a report once it is sure to be newer than the last order.
func (s *Manager) resync(now time.Time) {
	s.synced = false
	s.quiet = later(now.Add(retryPause), s.last.Add(reportLag))
}

func (s *Manager) accepted(now time.Time, k Key, e *entry, reply call.Reply) {
	s.orders++
	for _, other := range s.entries {
		other.doubt = time.Time{}
	}
	if s.flight.Kind == call.Unload {
		e.held = now
		if reply == call.Applied {
			e.state = Absent
			return
		}
		e.state = Unloading
		e.due = now.Add(leavePause)
		return
	}
	s.unwish(k)
	if reply == call.Accepted && e.state == Resident {
		// A replacement waits for its runs and isn't counted before.
		s.orders--
		e.renew = now.Add(renewPause)
		return
	}
	e.version = max(e.version, s.flight.Version, 1)
	switch {
	case reply == call.Applied:
		s.orders--
		s.learn(now, k, e)
		e.state = Resident
		e.keep(now)
		e.settle()
		if k.Adapter == "" {
			s.models[k.Model] = true
		}
	case e.state == Loading:
		s.orders-- // an order for what is on its way already isn't counted
		e.due = now.Add(max(confirmLeast, time.Duration(confirmShare*float64(now.Sub(e.ordered)))))
	default:
		e.state = Loading
		e.ordered = now
		e.due = now.Add(s.ExpectedLoadTime(now))
		if k.Adapter == "" {
			e.due = now.Add(s.BaseLoadTime)
		}
		if !e.held.IsZero() && now.Sub(e.held) < handAge {
			e.due = now.Add(handTransit)
		}
	}
}

// learn takes in how long an adapter was on its way from the weight store.
func (s *Manager) learn(now time.Time, k Key, e *entry) {
	atHand := !e.held.IsZero() && e.ordered.Sub(e.held) < handAge
	if k.Adapter == "" || e.state != Loading || atHand {
		return
	}
	took := min(now.Sub(e.ordered), transitLongest)
	excess := s.ExpectedLoadTime(now) - s.LoadTime
	s.excess = excess + time.Duration(transitWeight*float64(took-s.LoadTime-excess))
	s.learned = now
}

// ExpectedLoadTime returns the time that a load takes now. What was seen of slow loads
// counts less as time goes by, so that loads are tried again.
func (s *Manager) ExpectedLoadTime(now time.Time) time.Duration {
	age := now.Sub(s.learned).Seconds() / excessAge.Seconds()
	return max(transitLeast, s.LoadTime+time.Duration(float64(s.excess)/(1+age*age)))
}

// transitLimit returns how many adapters may be on their way: few where loads
// take long, since more at once would take longer still for all runners.
func (s *Manager) transitLimit(now time.Time) int {
	expected := s.ExpectedLoadTime(now)
	switch {
	case expected < transitBrisk:
		return transitMost
	case expected < transitSlow:
		return transitMost / 2
	default:
		return 1
	}
}
