package residency

import (
	"time"
)

// RequestLoad requests that an adapter be loaded. The returned channel is closed
// once the adapter is expected to be resident or the wait for it has ended. Each
// RequestLoad must be followed by a CancelLoadRequest.
func (m *Manager) RequestLoad(now time.Time, k Key) <-chan struct{} {
	e := m.entry(k)
	if e.done == nil {
		e.done = make(chan struct{})
	}
	done := e.done
	e.waiters++
	switch {
	case e.state == Resident && m.isOlder(k) && !e.inUse(now):
		e.replaces = true
		m.request(now, k, e)
	case e.state == Resident:
		e.keep(now)
		e.endWait()
	case e.state == Absent:
		m.request(now, k, e)
	}
	return done
}

func (m *Manager) request(now time.Time, k Key, e *entry) {
	e.state = Requested
	e.due = now.Add(loadRequestTimeout)
	m.requested = append(m.requested, k)
}

// Keep keeps a resident adapter for a request that is about to use it, in whatever version. The
// returned channel is closed. Each Keep must be followed by a CancelLoadRequest.
func (m *Manager) Keep(now time.Time, k Key) <-chan struct{} {
	e := m.entry(k)
	e.waiters++
	e.keep(now)
	done := make(chan struct{})
	close(done)
	return done
}

// CancelLoadRequest ends one wait for an adapter. The load of an adapter without
// waiters is not ordered.
func (m *Manager) CancelLoadRequest(k Key) {
	e := m.entries[k]
	if e == nil || e.waiters == 0 {
		return
	}
	e.waiters--
	if e.waiters == 0 && e.state == Requested {
		m.setAbsent(k, e)
	}
}

// BeginUse records that a request of this host uses an adapter. EndUse ends it.
func (m *Manager) BeginUse(now time.Time, k Key) {
	e := m.entry(k)
	e.uses = 1 + e.weight(now)
	e.lastUsed = now
	e.active++
}

// EndUse records that a request that used an adapter has ended.
func (m *Manager) EndUse(k Key) {
	if e := m.entries[k]; e != nil && e.active > 0 {
		e.active--
	}
}

// RecordPeerUse records the use of an adapter that another host reported: the
// number of its requests in progress, and of those started since its last report.
func (m *Manager) RecordPeerUse(now time.Time, k Key, from string, active, started int) {
	e := m.entry(k)
	if started > 0 {
		e.uses = float64(started) + e.weight(now)
		e.lastUsed = now
	}
	if e.peers == nil {
		e.peers = make(map[string]peerUse)
	}
	e.peers[from] = peerUse{active: active, at: now}
}

// RecordMiss records that the runner refused a request because it lacks the
// adapter. An adapter that was ordered recently is expected to be resident after
// retryAfter; for one that should have been resident for longer, the runner's
// report is polled.
func (m *Manager) RecordMiss(now time.Time, k Key, retryAfter time.Duration) {
	e := m.entries[k]
	if e == nil {
		return
	}
	switch {
	case e.state == Resident && now.Sub(e.ordered) < maxOrderDelay/4 && !m.isOlder(k):
		e.state = Loading
		e.due = now.Add(retryAfter)
	case e.state == Resident:
		m.synced = false
	}
}

// setAbsent ends the wait for an adapter and drops its load request. The adapter is Absent then, or
// still there in the version that it should have replaced.
func (m *Manager) setAbsent(k Key, e *entry) {
	e.endWait()
	e.state = Absent
	if e.replaces {
		e.state = Resident // the older version
		e.replaces = false
	}
	m.removeRequest(k)
}

// mostRequested returns the requested adapter with the most waiters; among equals
// the one that was requested first.
func (m *Manager) mostRequested() Key {
	best := m.requested[0]
	for _, k := range m.requested[1:] {
		if m.entries[k].waiters > m.entries[best].waiters {
			best = k
		}
	}
	return best
}

func (m *Manager) removeRequest(k Key) {
	for i, other := range m.requested {
		if other == k {
			m.requested = append(m.requested[:i], m.requested[i+1:]...)
			return
		}
	}
}

// EndWaits ends the waits for all adapters, because none will be loaded.
func (m *Manager) EndWaits() {
	for k, e := range m.entries {
		if e.state == Requested {
			m.setAbsent(k, e)
			continue
		}
		e.endWait()
	}
}
