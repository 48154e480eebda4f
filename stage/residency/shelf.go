// Package shelf decides what one runner holds: which adapters are loaded onto it,
// in which order, and which make way.
//
// A Shelf belongs to the one host that may order the runner. It sends one order
// at a time and puts into each the number of orders that the runner has accepted
// so far. An order that got no answer may take effect seconds later; the number
// makes it fail once a later order was accepted, and until then the place that it
// may take stays reserved. Where the count is in doubt, a report settles it.
//
// Only an adapter that no request of this host uses makes way. The runner itself
// lets the requests of other hosts end before it drops an adapter.
package residency

import (
	"maps"
	"time"

	"jacinthstage/stage/call"
)

const (
	// transitMost is the number of adapters that may be on their way to a runner.
	transitMost = 4
	// transitBrisk and transitSlow are the times of a load from which on fewer
	// adapters may be on their way to a runner.
	transitBrisk = 400 * time.Millisecond
	transitSlow  = 700 * time.Millisecond
	// transitLongest is the most that one load says of the time of a load: one that
	// took longer was held up by something else.
	transitLongest = 1200 * time.Millisecond
	// transitLeast is the least expected time of a load.
	transitLeast = 20 * time.Millisecond
	// excessAge is the time in which what was seen of slow loads counts half.
	excessAge = time.Second
	// transitWeight is the weight of the newest load in the expected time of one.
	transitWeight = 0.3
	// reportLag is how much older than its answer a report may be.
	reportLag = 300 * time.Millisecond
	// renewPause is the time between two orders for the same replacement.
	renewPause = 300 * time.Millisecond
	// reportOld is how long after the last order a report that shows fewer orders
	// may just be old.
	reportOld = time.Second
	// retryPause is the time before an order that was refused is tried again.
	retryPause = 150 * time.Millisecond
	// leavePause is the time between two looks whether an adapter has left.
	leavePause = 400 * time.Millisecond
	// lateMost is how long after its sending an order without an answer may take effect.
	lateMost = 13 * time.Second
	// answerMost is how long an order waits for its answer.
	answerMost = 2 * time.Second
	// keepSpan is how long an adapter that a request asked for does not make way,
	// so that the request finds it.
	keepSpan = 500 * time.Millisecond
	// peerAge is how long what another host told of its use counts.
	peerAge = 2 * time.Second
	// handTransit is the expected time of a load that the runner has at hand.
	handTransit = 30 * time.Millisecond
	// handAge is how long an adapter that made way is thought to be at hand.
	handAge = 20 * time.Second
	// confirmShare is the part of its time on the way after which an adapter that
	// did not come when it was expected is looked for again, and confirmLeast the
	// least time between two looks.
	confirmShare = 0.15
	confirmLeast = 30 * time.Millisecond
	// halfLife is the time in which the weight of past use halves.
	halfLife = 10 * time.Second
	// meanHold is how long requests keep an adapter in use.
	meanHold = 3500 * time.Millisecond
	// wishMost is how long a wish waits for an order.
	wishMost = 450 * time.Millisecond
)

// A Key names an adapter of a model, or the model itself where Adapter is empty.
type Key struct{ Model, Adapter string }

// A State says where an adapter stands on a runner.
type State uint8

// The states of an adapter. One that the shelf does not know is Absent.
const (
	Absent State = iota
	Requested
	Loading
	Resident
	Unloading
)

// A Shelf is one runner's adapters. Target, Holder, Fence and Slots must be set.
type Manager struct {
	Target string
	Holder string
	Fence  uint64
	Slots  int
	// NotBefore is the first moment at which an order may go out. A runner that was
	// New, and has accepted no order yet, needs no such pause.
	NotBefore  time.Time
	FirstOwner bool
	// LoadTime is the usual time of a load of an adapter.
	LoadTime time.Duration
	// Base is the model to load onto a runner that holds none, BaseTransit the
	// expected time of that, and BaseFrom the first moment at which it may begin.
	Base          string
	BaseLoadTime  time.Duration
	BaseNotBefore time.Time

	entries map[Key]*entry
	wishes  []Key
	models  map[string]bool
	synced  bool
	orders  uint64
	flight  call.Order
	sent    time.Time     // when flight was sent; zero where none is
	asked   time.Time     // when the report was asked for; zero where none is
	quiet   time.Time     // nothing goes out before
	last    time.Time     // when the last order was sent
	lost    bool          // another holder took the runner
	excess  time.Duration // how much longer than Transit loads took of late
	learned time.Time     // when excess was learned
	newest  map[Key]int
	late    map[Key]time.Time // loads that got no answer, and until when each may take effect
}

// Lost reports whether another holder was seen to order the runner.
func (s *Manager) Lost() bool { return s.lost }

// Synced reports whether the runner's content is known.
func (s *Manager) Synced() bool { return s.synced && !s.lost }

// Lookup returns the state of an adapter, its version, and when a Coming one is expected.
func (s *Manager) Lookup(k Key) (State, int, time.Time) {
	e := s.entries[k]
	if e == nil {
		return Absent, 0, time.Time{}
	}
	return e.state, e.version, e.due
}

// UnavailableReason returns why an adapter can't be had on the runner now, empty where it can.
func (s *Manager) UnavailableReason(now time.Time, k Key) string {
	state, _, _ := s.Lookup(k)
	switch {
	case s.lost:
		return "runner lost to another owner"
	case now.Before(s.NotBefore):
		return "not yet in turn"
	case state == Loading || state == Resident || state == Requested:
		return ""
	case !s.synced:
		return "content not known"
	case !s.models[k.Model]:
		return "model not there"
	}
	return ""
}

// SetNewest says that a version of an adapter is the newest.
func (s *Manager) SetNewest(k Key, version int) {
	if s.newest == nil {
		s.newest = make(map[Key]int)
	}
	s.newest[k] = max(s.newest[k], version)
}

// UncertainLoads returns the loads that got no answer, and until when each may still take
// effect.
func (s *Manager) UncertainLoads() map[Key]time.Time {
	late := maps.Clone(s.late)
	if !s.sent.IsZero() && s.flight.Kind == call.Load {
		if late == nil {
			late = make(map[Key]time.Time)
		}
		late[Key{Model: s.flight.Model, Adapter: s.flight.Adapter}] = s.sent.Add(lateMost)
	}
	return late
}

// ReserveSlots reserves places for loads that were ordered of the runner's former life.
// It counts orders from zero again, so the number in a late one may fit anew.
func (s *Manager) ReserveSlots(late map[Key]time.Time) {
	for k, until := range late {
		if k.Adapter != "" {
			s.entry(k).former = until
		}
	}
}

// Close ends all waits, as the host gives the runner up.
func (s *Manager) Close() {
	s.lost = true
	s.giveUp()
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
