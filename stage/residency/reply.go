package residency

import (
	"maps"
	"time"

	"jacinthstage/stage/call"
)

// HandleReply processes the runner's reply to the order that was sent last.
func (m *Manager) HandleReply(now time.Time, reply call.Reply) {
	if m.sentAt.IsZero() {
		return
	}
	m.sentAt = time.Time{}
	k := Key{Model: m.inFlight.Model, Adapter: m.inFlight.Adapter}
	e := m.entry(k)
	switch reply {
	case call.Accepted, call.Applied:
		m.handleAccepted(now, k, e, reply)
	case call.Fenced:
		m.lost = true
		m.EndWaits()
	case call.Unanswered:
		if m.inFlight.Kind == call.Load {
			e.uncertainUntil = now.Add(maxOrderDelay)
			m.recordUncertainLoad(now, k, e.uncertainUntil)
		}
		m.resync(now)
	default:
		m.resync(now)
	}
}

// recordUncertainLoad records that a load without an answer may take effect until
// the given time.
func (m *Manager) recordUncertainLoad(now time.Time, k Key, until time.Time) {
	if m.uncertainLoads == nil {
		m.uncertainLoads = make(map[Key]time.Time)
	}
	maps.DeleteFunc(m.uncertainLoads, func(_ Key, until time.Time) bool { return now.After(until) })
	m.uncertainLoads[k] = until
}

// resync has a report polled as soon as it is sure to be newer than the last order.
func (m *Manager) resync(now time.Time) {
	m.synced = false
	m.quietUntil = later(now.Add(retryDelay), m.lastOrderAt.Add(maxReportLag))
}

// handleAccepted processes the reply Accepted or Applied to the order in flight.
// Earlier loads without an answer no longer count as uncertain afterwards.
func (m *Manager) handleAccepted(now time.Time, k Key, e *entry, reply call.Reply) {
	m.orders++
	for _, other := range m.entries {
		other.uncertainUntil = time.Time{}
	}
	if m.inFlight.Kind == call.Unload {
		m.unloaded(now, k, e, reply)
		return
	}
	m.removeRequest(k)
	e.replaces = e.replaces || e.state == Resident
	e.named = m.inFlight.Version
	if e.version = e.named; e.named == 0 { // the newest: no older one than the runner has reported
		e.version = max(e.listed, 1)
	}
	switch {
	case reply == call.Applied:
		m.orders--
		m.updateLoadTime(now, k, e)
		e.state = Resident
		e.replaces = false
		e.keep(now)
		e.endWait()
		if k.Adapter == "" {
			m.models[k.Model] = true
		}
	case e.state == Loading:
		m.orders-- // the runner does not count an order for what is loading already
		e.due = now.Add(max(minConfirmInterval, time.Duration(confirmFraction*float64(now.Sub(e.ordered)))))
	default:
		e.state = Loading
		e.ordered = now
		e.due = now.Add(m.ExpectedLoadTime(now))
		if k.Adapter == "" {
			e.due = now.Add(m.BaseLoadTime)
		}
		if !e.lastResident.IsZero() && now.Sub(e.lastResident) < cacheTTL {
			e.due = now.Add(cachedLoadTime)
		}
	}
}

// unloaded processes the reply Accepted or Applied to the order to unload an adapter. If its newest version was
// requested meanwhile, that is loaded next, unless runs of the older one keep it on the runner.
func (m *Manager) unloaded(now time.Time, k Key, e *entry, reply call.Reply) {
	if !m.isOlder(k) {
		e.lastResident = now // of the weights that a later load takes
	}
	e.replaces = false
	switch {
	case reply == call.Applied && e.state == Requested:
	case reply == call.Applied:
		e.state = Absent
	default:
		m.removeRequest(k)
		e.state = Unloading
		e.due = now.Add(recheckInterval)
	}
}

// updateLoadTime updates the estimate of the load time by the load of an adapter
// that came from the weight store. Loads of cached adapters don't count.
func (m *Manager) updateLoadTime(now time.Time, k Key, e *entry) {
	cached := !e.lastResident.IsZero() && e.ordered.Sub(e.lastResident) < cacheTTL
	if k.Adapter == "" || e.state != Loading || cached {
		return
	}
	sample := min(now.Sub(e.ordered), maxLoadTimeSample)
	slowdown := m.ExpectedLoadTime(now) - m.LoadTime
	m.slowdown = slowdown + time.Duration(loadTimeSampleWeight*float64(sample-m.LoadTime-slowdown))
	m.slowdownAt = now
}

// ExpectedLoadTime returns the time that a load is expected to take now. An
// observed slowdown counts less as time goes by, so that loads are tried again.
func (m *Manager) ExpectedLoadTime(now time.Time) time.Duration {
	age := now.Sub(m.slowdownAt).Seconds() / slowdownHalfLife.Seconds()
	return max(minExpectedLoadTime, m.LoadTime+time.Duration(float64(m.slowdown)/(1+age*age)))
}

// loadLimit returns how many adapters may be loading at once. The limit is low
// where loads take long, since more concurrent loads would slow down the loads of
// all runners further.
func (m *Manager) loadLimit(now time.Time) int {
	expected := m.ExpectedLoadTime(now)
	switch {
	case expected < halfLoadsFrom:
		return maxConcurrentLoads
	case expected < singleLoadFrom:
		return maxConcurrentLoads / 2
	default:
		return 1
	}
}
