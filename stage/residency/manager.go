// Package residency decides which adapters one runner holds: which are loaded
// onto it, in which order, and which are evicted to make room.
//
// A Manager belongs to the runner's owner, the one host that may send orders to
// the runner. It sends one order at a time and puts into each the number of orders
// that the runner has accepted so far. An order that got no answer may take effect
// seconds later. The number makes such an order fail once a later one was accepted;
// until then the slot that it may occupy stays reserved. Where the count is
// uncertain, a report of the runner settles it.
//
// A newer version of an adapter takes the place of an older one on the same runner only
// once no request uses that: until its runs have ended, the runner would refuse all
// requests for the adapter and all other orders.
//
// An adapter is evicted only if no request of this host uses it and no other host
// reports that it uses it. The runner itself lets the requests of other hosts
// finish before it unloads an adapter.
package residency

import (
	"maps"
	"time"

	"jacinthstage/stage/call"
)

const (
	// maxConcurrentLoads is the number of adapters that may be loading onto a
	// runner at once.
	maxConcurrentLoads = 4
	// halfLoadsFrom and singleLoadFrom are the expected load times from which on
	// half of maxConcurrentLoads, or only one adapter, may be loading at once.
	halfLoadsFrom  = 400 * time.Millisecond
	singleLoadFrom = 700 * time.Millisecond
	// maxLoadTimeSample caps the measured time of one load in the estimate of the
	// load time: a load that took longer was delayed by something else.
	maxLoadTimeSample = 1200 * time.Millisecond
	// minExpectedLoadTime is the least load time that is expected.
	minExpectedLoadTime = 20 * time.Millisecond
	// slowdownHalfLife is the time after which the last observed slowdown of loads
	// counts half.
	slowdownHalfLife = time.Second
	// loadTimeSampleWeight is the weight of the newest load in the moving average
	// of the load time.
	loadTimeSampleWeight = 0.3
	// maxReportLag is how much older than its answer a report may be.
	maxReportLag = 300 * time.Millisecond
	// replaceUse is how recently an adapter of which a newer version is published must have
	// been used for that to be loaded before a request asks for it.
	replaceUse = 10 * time.Second
	// staleReportWindow is the time after the last order in which a report that
	// shows fewer orders is taken to be merely outdated.
	staleReportWindow = time.Second
	// retryDelay is the time before a refused order is retried.
	retryDelay = 150 * time.Millisecond
	// recheckInterval is the time between two checks whether an adapter has been
	// unloaded, or whether one whose load is overdue is resident.
	recheckInterval = 400 * time.Millisecond
	// maxOrderDelay is how long after it was sent an order without an answer may
	// still take effect.
	maxOrderDelay = 13 * time.Second
	// replyTimeout is how long the manager waits for the reply to an order or for
	// a report.
	replyTimeout = 2 * time.Second
	// keepDuration is how long an adapter that a request asked for is not evicted,
	// so that the request still finds it.
	keepDuration = 800 * time.Millisecond
	// peerUseTTL is how long another host's report of its use counts.
	peerUseTTL = 2 * time.Second
	// cachedLoadTime is the expected load time of an adapter that is cached on the
	// runner.
	cachedLoadTime = 30 * time.Millisecond
	// cacheTTL is how long an evicted adapter is assumed to be cached on the
	// runner.
	cacheTTL = 20 * time.Second
	// An adapter that did not arrive when it was expected is checked again after
	// confirmFraction of the time that it has been loading, and no sooner than
	// minConfirmInterval after the last check.
	confirmFraction    = 0.15
	minConfirmInterval = 30 * time.Millisecond
	// useAgingTime is the time after which past use counts a third; see
	// entry.weight.
	useAgingTime = 10 * time.Second
	// meanUseDuration is how long requests keep an adapter in use on average.
	meanUseDuration = 3500 * time.Millisecond
	// loadRequestTimeout is how long a load request waits for an order.
	loadRequestTimeout = 450 * time.Millisecond
)

// A Key names an adapter of a model, or the model itself where Adapter is empty.
type Key struct{ Model, Adapter string }

// A State is the state of an adapter on a runner.
type State uint8

// The states of an adapter. One that the Manager does not know is Absent.
const (
	Absent State = iota
	Requested
	Loading
	Resident
	Unloading
)

// A Manager manages the adapters of one runner. Target, Holder, Fence and Slots
// must be set.
type Manager struct {
	Target string
	Holder string
	Fence  uint64
	Slots  int
	// NotBefore is the earliest time at which an order may be sent. It does not
	// apply where FirstOwner is set and the runner has accepted no order yet.
	NotBefore time.Time
	// FirstOwner says that the runner had no owner before.
	FirstOwner bool
	// LoadTime is the usual load time of an adapter.
	LoadTime time.Duration
	// Base is the model to load onto a runner that holds none, BaseLoadTime its
	// expected load time, and BaseNotBefore the earliest time at which the load
	// may begin.
	Base          string
	BaseLoadTime  time.Duration
	BaseNotBefore time.Time

	entries        map[Key]*entry
	requested      []Key // load requests without an order, oldest first
	models         map[string]bool
	synced         bool
	orders         uint64 // accepted by the runner
	inFlight       call.Order
	sentAt         time.Time     // when inFlight was sent; zero if no order is in flight
	polledAt       time.Time     // when the report was requested; zero if none is awaited
	quietUntil     time.Time     // nothing is sent before
	lastOrderAt    time.Time     // when the last order was sent
	lost           bool          // another holder took over the runner
	slowdown       time.Duration // how much longer than LoadTime recent loads took
	slowdownAt     time.Time     // when slowdown was updated
	newest         map[Key]int
	uncertainLoads map[Key]time.Time // loads without an answer, and until when each may take effect
}

// Lost reports whether another holder was seen to send orders to the runner.
func (m *Manager) Lost() bool { return m.lost }

// Synced reports whether the content of the runner is known.
func (m *Manager) Synced() bool { return m.synced && !m.lost }

// Lookup returns the state of an adapter, its version, and the time at which a
// Loading one is expected to be resident.
func (m *Manager) Lookup(k Key) (State, int, time.Time) {
	e := m.entries[k]
	if e == nil {
		return Absent, 0, time.Time{}
	}
	return e.state, e.version, e.due
}

// UnavailableReason returns why an adapter cannot be had on the runner now, or
// the empty string if it can.
func (m *Manager) UnavailableReason(now time.Time, k Key) string {
	state, _, _ := m.Lookup(k)
	switch {
	case m.lost:
		return "runner lost to another owner"
	case now.Before(m.NotBefore):
		return "not yet in turn"
	case state == Resident && m.isOlder(k) && m.entries[k].inUse(now):
		return OlderInUse
	case state == Loading || state == Resident || state == Requested:
		return ""
	case !m.synced:
		return "content not known"
	case !m.models[k.Model]:
		return "model not there"
	}
	return ""
}

// OlderInUse is the reason for which an adapter can't be had while requests use an older version
// of it on the runner.
const OlderInUse = "an older version is in use"

// isOlder reports whether a newer version of an adapter is published than the one on the runner.
func (m *Manager) isOlder(k Key) bool { return m.entries[k].version < m.newest[k] }

// SetNewest records the newest version of an adapter. An older version than the
// one recorded before is ignored.
func (m *Manager) SetNewest(k Key, version int) {
	if m.newest == nil {
		m.newest = make(map[Key]int)
	}
	if version <= m.newest[k] {
		return
	}
	m.newest[k] = version
	if e := m.entries[k]; e != nil {
		e.lastResident = time.Time{} // the runner caches the weights of an older version
	}
}

// UncertainLoads returns the loads that got no answer, and until when each may
// still take effect.
func (m *Manager) UncertainLoads() map[Key]time.Time {
	loads := maps.Clone(m.uncertainLoads)
	if !m.sentAt.IsZero() && m.inFlight.Kind == call.Load {
		if loads == nil {
			loads = make(map[Key]time.Time)
		}
		loads[Key{Model: m.inFlight.Model, Adapter: m.inFlight.Adapter}] = m.sentAt.Add(maxOrderDelay)
	}
	return loads
}

// ReserveSlots reserves slots for loads that were ordered from the previous
// incarnation of the runner. The new incarnation counts orders from zero again,
// so the number in a delayed order may match once more.
func (m *Manager) ReserveSlots(loads map[Key]time.Time) {
	for k, until := range loads {
		if k.Adapter != "" {
			m.entry(k).reservedUntil = until
		}
	}
}

// Close ends all waits; the host calls it when it gives up the runner.
func (m *Manager) Close() {
	m.lost = true
	m.EndWaits()
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
