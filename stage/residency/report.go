package residency

import (
	"time"

	"jacinthstage/stage/call"
)

// HandleReportFailure notes that a report did not come.
func (s *Manager) HandleReportFailure(now time.Time) {
	s.asked = time.Time{}
	s.quiet = now.Add(reportLag)
}

// HandleReport takes the runner's report in.
func (s *Manager) HandleReport(now time.Time, r call.Report) {
	if s.asked.IsZero() {
		return
	}
	s.asked = time.Time{}
	if r.AcceptedOrders < s.orders && now.Sub(s.last) < reportOld {
		s.quiet = now.Add(retryPause)
		return
	}
	s.orders = r.AcceptedOrders
	s.synced = true
	if s.FirstOwner && r.AcceptedOrders == 0 {
		s.NotBefore = time.Time{}
	}
	s.FirstOwner = false
	s.models = make(map[string]bool)
	there := make(map[Key]bool)
	for _, m := range r.Models {
		s.models[m.Model] = true
		s.found(Key{Model: m.Model}, m.Version)
		for _, a := range m.Adapters {
			k := Key{Model: m.Model, Adapter: a.Name}
			there[k] = true
			s.found(k, a.Version)
		}
	}
	for name := range s.models {
		there[Key{Model: name}] = true
	}
	for _, a := range r.Loading {
		k := Key{Model: a.Model, Adapter: a.Name}
		there[k] = true
		if e := s.entry(k); e.state != Loading {
			s.unwish(k)
			e.state = Loading
			e.version = a.Version
			e.ordered = now
			e.due = now.Add(s.ExpectedLoadTime(now))
		}
	}
	for k, e := range s.entries {
		if !there[k] && e.state != Requested && !(k.Adapter == "" && e.state == Loading) {
			e.settle()
			e.state = Absent
		}
		if e.state == Absent && e.open == 0 && e.doubt.IsZero() && e.former.IsZero() && now.Sub(e.used) > 2*halfLife {
			delete(s.entries, k)
		}
	}
}

// found notes an adapter that a report shows as resident.
func (s *Manager) found(k Key, version int) {
	e := s.entry(k)
	s.unwish(k)
	if e.state == Unloading {
		return
	}
	e.state = Resident
	e.version = version
	e.settle()
}
