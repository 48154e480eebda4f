package residency

import (
	"time"

	"jacinthstage/stage/call"
)

// An Action is what a Shelf asks for: an Ask or a Give.
type Action interface{ action() }

// PollReport asks for the runner's report.
type PollReport struct{}

// SendOrder asks to send an order.
type SendOrder struct{ Order call.Order }

func (PollReport) action() {}

func (SendOrder) action() {}

// Next returns what to do now, nil if nothing, and when to ask again.
func (s *Manager) Next(now time.Time) (Action, time.Time) {
	again := now.Add(time.Second)
	s.expire(now)
	switch {
	case s.lost:
		return nil, again
	case now.Before(s.NotBefore) && (!s.FirstOwner || s.synced):
		return nil, s.NotBefore
	case !s.sent.IsZero() || !s.asked.IsZero():
		return nil, s.arrivals(again)
	case now.Before(s.quiet):
		return nil, s.arrivals(s.quiet)
	case !s.synced:
		s.asked = now
		return PollReport{}, again
	}
	if o, ok := s.order(now); ok {
		o.Target, o.Holder, o.Fence, o.AcceptedOrders = s.Target, s.Holder, s.Fence, s.orders
		s.flight = o
		s.sent = now
		s.last = now
		return SendOrder{Order: o}, again
	}
	return nil, s.arrivals(again)
}

// arrivals returns the earliest moment at which an adapter is expected.
func (s *Manager) arrivals(latest time.Time) time.Time {
	for _, e := range s.entries {
		if (e.state == Loading || e.state == Unloading) && e.due.Before(latest) {
			latest = e.due
		}
	}
	return latest
}

// expire takes in what time alone has changed.
func (s *Manager) expire(now time.Time) {
	if !s.sent.IsZero() && now.Sub(s.sent) > answerMost {
		s.HandleReply(now, call.Unanswered)
	}
	if !s.asked.IsZero() && now.Sub(s.asked) > answerMost {
		s.HandleReportFailure(now)
	}
	for k, e := range s.entries {
		s.expireOne(now, k, e)
	}
}

func (s *Manager) expireOne(now time.Time, k Key, e *entry) {
	if !e.doubt.IsZero() && now.After(e.doubt) {
		e.doubt = time.Time{}
	}
	if now.After(e.former) {
		e.former = time.Time{}
	}
	if e.state == Resident && e.arrived != nil {
		e.settle()
	}
	switch {
	case now.Before(e.due):
	case e.state == Loading && now.Sub(e.ordered) > lateMost/4 && k.Adapter != "":
		s.synced = false
		e.due = now.Add(leavePause)
	case e.state == Unloading:
		s.synced = false
		e.due = now.Add(leavePause)
	case e.state == Requested:
		s.forget(k, e)
	}
}

// order returns the next order. The order of an adapter that should have come
// is sent again: the reply tells whether it is there.
func (s *Manager) order(now time.Time) (call.Order, bool) {
	for k, e := range s.entries {
		if e.state == Loading && !now.Before(e.due) {
			return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: e.version}, true
		}
	}
	if len(s.models) == 0 {
		return s.base(now)
	}
	if o, ok := s.replacement(now); ok {
		return o, true
	}
	transit := 0
	for _, e := range s.entries {
		if e.state == Loading && now.Sub(e.ordered) < 2*transitLongest {
			transit++
		}
	}
	if transit >= s.transitLimit(now) {
		return call.Order{}, false
	}
	if len(s.wishes) == 0 {
		return call.Order{}, false
	}
	k := s.mostWanted()
	if k.Adapter == "" || s.taken() < s.Slots {
		return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: s.newest[k]}, true
	}
	if victim, ok := s.victim(now); ok {
		return call.Order{Kind: call.Unload, Model: victim.Model, Adapter: victim.Adapter}, true
	}
	return call.Order{}, false
}

// base returns the order that loads a model onto an empty runner.
func (s *Manager) base(now time.Time) (call.Order, bool) {
	state, _, _ := s.Lookup(Key{Model: s.Base})
	if s.Base == "" || state == Loading || now.Before(s.BaseNotBefore) {
		return call.Order{}, false
	}
	return call.Order{Kind: call.Load, Model: s.Base}, true
}

// Empty reports whether the runner is known to hold no model, and none is on its way.
func (s *Manager) Empty() bool {
	if !s.Synced() || len(s.models) > 0 || !s.sent.IsZero() {
		return false
	}
	for k, e := range s.entries {
		if k.Adapter == "" && e.state == Loading {
			return false
		}
	}
	return true
}

// replacement returns the order that brings a resident adapter to its newest version.
func (s *Manager) replacement(now time.Time) (call.Order, bool) {
	for k, version := range s.newest {
		e := s.entries[k]
		if e != nil && e.state == Resident && e.version < version && !now.Before(e.renew) {
			return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: version}, true
		}
	}
	return call.Order{}, false
}
