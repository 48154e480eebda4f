package residency

import (
	"time"

	"jacinthstage/stage/call"
)

// HandleReportFailure records that the runner's report could not be fetched.
func (m *Manager) HandleReportFailure(now time.Time) {
	m.polledAt = time.Time{}
	m.quietUntil = now.Add(maxReportLag)
}

// HandleReport processes the runner's report. A report that shows fewer orders
// than were accepted, and comes soon after the last order, is taken to be outdated:
// it is ignored, and another is polled later.
func (m *Manager) HandleReport(now time.Time, r call.Report) {
	if m.polledAt.IsZero() {
		return
	}
	m.polledAt = time.Time{}
	if r.AcceptedOrders < m.orders && now.Sub(m.lastOrderAt) < staleReportWindow {
		m.quietUntil = now.Add(retryDelay)
		return
	}
	m.orders = r.AcceptedOrders
	m.synced = true
	if m.FirstOwner && r.AcceptedOrders == 0 {
		m.NotBefore = time.Time{}
	}
	m.FirstOwner = false
	m.models = make(map[string]bool)
	reported := make(map[Key]bool)
	for _, model := range r.Models {
		m.models[model.Model] = true
		m.setResident(now, Key{Model: model.Model}, model.Version)
		for _, a := range model.Adapters {
			k := Key{Model: model.Model, Adapter: a.Name}
			reported[k] = true
			m.setResident(now, k, a.Version)
		}
	}
	for name := range m.models {
		reported[Key{Model: name}] = true
	}
	for _, a := range r.Loading {
		k := Key{Model: a.Model, Adapter: a.Name}
		reported[k] = true
		if e := m.entry(k); e.state != Loading {
			m.removeRequest(k)
			e.state = Loading
			e.version, e.named = a.Version, a.Version
			e.ordered = now
			e.due = now.Add(m.ExpectedLoadTime(now))
		}
	}
	for k, e := range m.entries {
		if !reported[k] {
			e.replaces = false
		}
		if !reported[k] && e.state != Requested && !(k.Adapter == "" && e.state == Loading) {
			e.endWait()
			e.state = Absent
		}
		if e.state == Absent && e.active == 0 && e.uncertainUntil.IsZero() && e.reservedUntil.IsZero() && now.Sub(e.lastUsed) > 2*useAgingTime {
			delete(m.entries, k)
		}
	}
}

// setResident records an adapter that a report shows as resident. One that is
// being unloaded stays Unloading, and one that is being replaced stays Loading.
func (m *Manager) setResident(now time.Time, k Key, version int) {
	e := m.entry(k)
	switch {
	case e.state == Unloading:
		return
	case e.state == Requested && e.replaces && version == e.version:
		return
	case e.state == Loading && e.replaces && version < e.version && now.Sub(e.ordered) < maxOrderDelay/4:
		return
	}
	m.removeRequest(k)
	e.state = Resident
	e.replaces = false
	e.version, e.named = version, version
	e.listed = max(e.listed, version)
	e.endWait()
}
