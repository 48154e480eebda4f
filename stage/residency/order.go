package residency

import (
	"time"

	"jacinthstage/stage/call"
)

// An Action is what a Manager asks its host to do: a PollReport or a SendOrder.
type Action interface{ action() }

// PollReport asks the host to fetch the runner's report.
type PollReport struct{}

// SendOrder asks the host to send an order to the runner.
type SendOrder struct{ Order call.Order }

func (PollReport) action() {}

func (SendOrder) action() {}

// Next returns the action to take now, or nil if there is none, and the time at
// which to call Next again.
func (m *Manager) Next(now time.Time) (Action, time.Time) {
	again := now.Add(time.Second)
	m.advance(now)
	switch {
	case m.lost:
		return nil, again
	case now.Before(m.NotBefore) && (!m.FirstOwner || m.synced):
		return nil, m.NotBefore
	case !m.sentAt.IsZero() || !m.polledAt.IsZero():
		return nil, m.nextDue(again)
	case now.Before(m.quietUntil):
		return nil, m.nextDue(m.quietUntil)
	case !m.synced:
		m.polledAt = now
		return PollReport{}, again
	}
	if o, ok := m.nextOrder(now); ok {
		o.Target, o.Holder, o.Fence, o.AcceptedOrders = m.Target, m.Holder, m.Fence, m.orders
		m.inFlight = o
		m.sentAt = now
		m.lastOrderAt = now
		return SendOrder{Order: o}, again
	}
	return nil, m.nextDue(again)
}

// nextDue returns the earliest time at which an adapter is expected to be loaded
// or is checked for its unloading, but no later than latest.
func (m *Manager) nextDue(latest time.Time) time.Time {
	for _, e := range m.entries {
		if (e.state == Loading || e.state == Unloading) && e.due.Before(latest) {
			latest = e.due
		}
	}
	return latest
}

// advance applies the changes that are due to the passage of time alone.
func (m *Manager) advance(now time.Time) {
	if !m.sentAt.IsZero() && now.Sub(m.sentAt) > replyTimeout {
		m.HandleReply(now, call.Unanswered)
	}
	if !m.polledAt.IsZero() && now.Sub(m.polledAt) > replyTimeout {
		m.HandleReportFailure(now)
	}
	for k, e := range m.entries {
		m.advanceEntry(now, k, e)
	}
}

func (m *Manager) advanceEntry(now time.Time, k Key, e *entry) {
	if !e.uncertainUntil.IsZero() && now.After(e.uncertainUntil) {
		e.uncertainUntil = time.Time{}
	}
	if now.After(e.reservedUntil) {
		e.reservedUntil = time.Time{}
	}
	if e.state == Resident && e.done != nil {
		e.endWait()
	}
	switch {
	case now.Before(e.due):
	case e.state == Loading && now.Sub(e.ordered) > maxOrderDelay/4 && k.Adapter != "":
		m.synced = false
		e.due = now.Add(recheckInterval)
	case e.state == Unloading:
		m.synced = false
		e.due = now.Add(recheckInterval)
	case e.state == Requested:
		m.setAbsent(k, e)
	}
}

// nextOrder returns the next order. The load order of an adapter that should be
// resident by now is sent again, since the reply shows whether it is.
func (m *Manager) nextOrder(now time.Time) (call.Order, bool) {
	replacing := m.isReplacing()
	for k, e := range m.entries {
		if e.state == Loading && !now.Before(e.due) && (e.replaces || !replacing) {
			return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: e.named}, true
		}
	}
	if len(m.models) == 0 {
		return m.baseOrder(now)
	}
	if replacing || m.loadsInProgress(now) >= m.loadLimit(now) {
		return call.Order{}, false
	}
	if len(m.requested) == 0 {
		return m.replacementOrder(now)
	}
	k := m.mostRequested()
	e := m.entries[k]
	if e.replaces && e.isRunning(now) {
		m.setAbsent(k, e)
		return m.nextOrder(now)
	}
	if k.Adapter == "" || e.replaces || m.occupiedSlots() < m.Slots {
		return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: max(m.newest[k], e.listed)}, true
	}
	if victim, ok := m.victim(now); ok {
		return call.Order{Kind: call.Unload, Model: victim.Model, Adapter: victim.Adapter}, true
	}
	return call.Order{}, false
}

// isReplacing reports whether an adapter is loading in place of an older version. The runner takes no
// other order meanwhile.
func (m *Manager) isReplacing() bool {
	for _, e := range m.entries {
		if e.state == Loading && e.replaces {
			return true
		}
	}
	return false
}

// loadsInProgress returns the number of adapters that are loading.
func (m *Manager) loadsInProgress(now time.Time) int {
	n := 0
	for _, e := range m.entries {
		if e.state == Loading && now.Sub(e.ordered) < 2*maxLoadTimeSample {
			n++
		}
	}
	return n
}

// baseOrder returns the order that loads a model onto an empty runner.
func (m *Manager) baseOrder(now time.Time) (call.Order, bool) {
	state, _, _ := m.Lookup(Key{Model: m.Base})
	if m.Base == "" || state == Loading || now.Before(m.BaseNotBefore) {
		return call.Order{}, false
	}
	return call.Order{Kind: call.Load, Model: m.Base}, true
}

// Empty reports whether the runner is known to hold no model and none is being
// loaded.
func (m *Manager) Empty() bool {
	if !m.Synced() || len(m.models) > 0 || !m.sentAt.IsZero() {
		return false
	}
	for k, e := range m.entries {
		if k.Adapter == "" && e.state == Loading {
			return false
		}
	}
	return true
}

// replacementOrder returns the order that loads the newest version of an adapter that was used
// lately in place of an older one.
func (m *Manager) replacementOrder(now time.Time) (call.Order, bool) {
	for k, version := range m.newest {
		e := m.entries[k]
		if e != nil && e.state == Resident && e.version < version && !e.inUse(now) && now.Sub(e.lastUsed) < replaceUse {
			return call.Order{Kind: call.Load, Model: k.Model, Adapter: k.Adapter, Version: version}, true
		}
	}
	return call.Order{}, false
}
