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
package shelf

import (
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
	Wished
	Coming
	Resident
	Leaving
)

// An entry is one adapter.
type entry struct {
	state   State
	version int
	renew   time.Time // when a replacement by the newest version is asked for again
	due     time.Time // when a Coming adapter is expected, a Leaving one looked for, a Wished one given up
	ordered time.Time // when it was ordered to come
	open    int       // requests of this host that use it
	peers   map[string]peerUse
	kept    time.Time // it does not make way before, since a request is about to use it
	held    time.Time // when it was on the runner last; it is at hand for a while
	used    time.Time
	uses    float64 // aged number of uses
	doubt   time.Time
	arrived chan struct{} // closed when the wait ends
	waiting int           // requests that wait for it
}

// A peerUse is what another host told of its use of an adapter.
type peerUse struct {
	open int
	at   time.Time
}

// An Action is what a Shelf asks for: an Ask or a Give.
type Action interface{ action() }

// Ask asks for the runner's report.
type Ask struct{}

// Give asks to send an order.
type Give struct{ Order call.Order }

func (Ask) action()  {}
func (Give) action() {}

// A Shelf is one runner's adapters. Target, Holder, Fence and Slots must be set.
type Shelf struct {
	Target string
	Holder string
	Fence  uint64
	Slots  int
	// From is the first moment at which an order may go out. A runner that was
	// New, and has accepted no order yet, needs no such pause.
	From time.Time
	New  bool
	// Transit is the usual time of a load of an adapter.
	Transit time.Duration
	// Base is the model to load onto a runner that holds none, BaseTransit the
	// expected time of that, and BaseFrom the first moment at which it may begin.
	Base        string
	BaseTransit time.Duration
	BaseFrom    time.Time

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
}

// Lost reports whether another holder was seen to order the runner.
func (s *Shelf) Lost() bool { return s.lost }

// Synced reports whether the runner's content is known.
func (s *Shelf) Synced() bool { return s.synced && !s.lost }

// Lookup returns the state of an adapter, its version, and when a Coming one is expected.
func (s *Shelf) Lookup(k Key) (State, int, time.Time) {
	e := s.entries[k]
	if e == nil {
		return Absent, 0, time.Time{}
	}
	return e.state, e.version, e.due
}

// Holds reports whether the runner holds a model.
func (s *Shelf) Holds(model string) bool { return s.models[model] }

// Backlog returns how many adapters wait for an order.
func (s *Shelf) Backlog() int { return len(s.wishes) }

// A Usage counts a runner's places by what holds them.
type Usage struct{ Busy, Idle, Coming, Leaving, Doubt int }

// Usage counts the runner's places.
func (s *Shelf) Usage(now time.Time) Usage {
	var u Usage
	for k, e := range s.entries {
		switch {
		case k.Adapter == "":
		case e.state == Coming:
			u.Coming++
		case e.state == Leaving:
			u.Leaving++
		case e.state == Resident && e.busy(now):
			u.Busy++
		case e.state == Resident:
			u.Idle++
		case !e.doubt.IsZero():
			u.Doubt++
		}
	}
	return u
}

// Closed returns why an adapter can't be had on the runner now, empty where it can.
func (s *Shelf) Closed(now time.Time, k Key) string {
	state, _, _ := s.Lookup(k)
	switch {
	case s.lost:
		return "runner lost to another owner"
	case now.Before(s.From):
		return "not yet in turn"
	case state == Coming || state == Resident || state == Wished:
		return ""
	case !s.synced:
		return "content not known"
	case !s.models[k.Model]:
		return "model not there"
	}
	return ""
}

// Wait returns how long an adapter that is wished for now would wait for a place.
func (s *Shelf) Wait(now time.Time) time.Duration {
	return placeTime(len(s.wishes)-s.spare(now), s.Slots)
}

// placeTime returns how long it takes until a place is free where short wishes
// are before it.
func placeTime(short, slots int) time.Duration {
	if short < 0 {
		return 0
	}
	return time.Duration(short+1) * meanHold / time.Duration(max(1, slots))
}

// Spare returns the places that a wish could take at once; it is negative where
// wishes wait.
func (s *Shelf) Spare(now time.Time) int {
	if !s.Synced() || now.Before(s.From) {
		return 0
	}
	return s.spare(now) - len(s.wishes)
}

// spare returns the places that are free or held by adapters that nobody uses.
func (s *Shelf) spare(now time.Time) int {
	n := s.Slots
	for k, e := range s.entries {
		if k.Adapter != "" && s.takes(e) && !(e.state == Resident && !e.busy(now)) {
			n--
		}
	}
	return n
}

// takes reports whether an adapter takes a place on the runner, or may do so.
func (s *Shelf) takes(e *entry) bool {
	return e.state == Coming || e.state == Resident || e.state == Leaving || !e.doubt.IsZero()
}

// Wish asks for an adapter. The channel is closed once it is expected to be
// there, or the wait for it ended. Each Wish is ended by an Unwish.
func (s *Shelf) Wish(now time.Time, k Key) <-chan struct{} {
	e := s.entry(k)
	if e.arrived == nil {
		e.arrived = make(chan struct{})
	}
	arrived := e.arrived
	e.waiting++
	if e.state == Absent {
		e.state = Wished
		e.due = now.Add(wishMost)
		s.wishes = append(s.wishes, k)
	}
	if e.state == Resident {
		e.keep(now)
		e.settle()
	}
	return arrived
}

// keep has an adapter stay for a request that is about to use it.
func (e *entry) keep(now time.Time) { e.kept = now.Add(keepSpan) }

// Unwish ends a wait. An adapter that nobody waits for any more isn't ordered.
func (s *Shelf) Unwish(k Key) {
	e := s.entries[k]
	if e == nil || e.waiting == 0 {
		return
	}
	e.waiting--
	if e.waiting == 0 && e.state == Wished {
		s.forget(k, e)
	}
}

// settle ends the wait for an adapter.
func (e *entry) settle() {
	if e.arrived != nil {
		select {
		case <-e.arrived:
		default:
			close(e.arrived)
		}
		e.arrived = nil
	}
}

func (s *Shelf) entry(k Key) *entry {
	if s.entries == nil {
		s.entries = make(map[Key]*entry)
	}
	e := s.entries[k]
	if e == nil {
		e = &entry{}
		s.entries[k] = e
	}
	return e
}

// Use notes a request that uses an adapter; Unuse ends it.
func (s *Shelf) Use(now time.Time, k Key) {
	e := s.entry(k)
	e.uses = 1 + e.weight(now)
	e.used = now
	e.open++
}

// Unuse notes that a request that used an adapter has ended.
func (s *Shelf) Unuse(k Key) {
	if e := s.entries[k]; e != nil && e.open > 0 {
		e.open--
	}
}

// Peer notes what another host told of its use of an adapter: requests in
// progress, and those that it began since it told last.
func (s *Shelf) Peer(now time.Time, k Key, from string, open, begun int) {
	e := s.entry(k)
	if begun > 0 {
		e.uses = float64(begun) + e.weight(now)
		e.used = now
	}
	if e.peers == nil {
		e.peers = make(map[string]peerUse)
	}
	e.peers[from] = peerUse{open: open, at: now}
}

// busy reports whether a request of any host uses an adapter.
func (e *entry) busy(now time.Time) bool {
	if e.open > 0 || now.Before(e.kept) {
		return true
	}
	for from, p := range e.peers {
		if now.Sub(p.at) > peerAge {
			delete(e.peers, from)
			continue
		}
		if p.open > 0 {
			return true
		}
	}
	return false
}

// weight returns the aged number of uses.
func (e *entry) weight(now time.Time) float64 {
	age := now.Sub(e.used).Seconds() / halfLife.Seconds()
	return e.uses / (1 + age*age + age)
}

// Newest says that a version of an adapter is the newest.
func (s *Shelf) Newest(k Key, version int) {
	if s.newest == nil {
		s.newest = make(map[Key]int)
	}
	s.newest[k] = max(s.newest[k], version)
}

// Missed notes that the runner refused a request for an adapter. One that is on
// its way is expected later; one that was thought to be there is looked for.
func (s *Shelf) Missed(now time.Time, k Key, again time.Duration) {
	e := s.entries[k]
	if e == nil {
		return
	}
	switch {
	case e.state == Resident && now.Sub(e.ordered) < lateMost/4:
		e.state = Coming
		e.due = now.Add(again)
	case e.state == Resident:
		s.synced = false
	}
}

// Next returns what to do now, nil if nothing, and when to ask again.
func (s *Shelf) Next(now time.Time) (Action, time.Time) {
	again := now.Add(time.Second)
	s.expire(now)
	switch {
	case s.lost:
		return nil, again
	case now.Before(s.From) && (!s.New || s.synced):
		return nil, s.From
	case !s.sent.IsZero() || !s.asked.IsZero():
		return nil, s.arrivals(again)
	case now.Before(s.quiet):
		return nil, s.arrivals(s.quiet)
	case !s.synced:
		s.asked = now
		return Ask{}, again
	}
	if o, ok := s.order(now); ok {
		o.Target, o.Holder, o.Fence, o.Orders = s.Target, s.Holder, s.Fence, s.orders
		s.flight = o
		s.sent = now
		s.last = now
		return Give{Order: o}, again
	}
	return nil, s.arrivals(again)
}

// arrivals returns the earliest moment at which an adapter is expected.
func (s *Shelf) arrivals(latest time.Time) time.Time {
	for _, e := range s.entries {
		if (e.state == Coming || e.state == Leaving) && e.due.Before(latest) {
			latest = e.due
		}
	}
	return latest
}

// expire takes in what time alone has changed.
func (s *Shelf) expire(now time.Time) {
	if !s.sent.IsZero() && now.Sub(s.sent) > answerMost {
		s.Replied(now, call.Unanswered)
	}
	if !s.asked.IsZero() && now.Sub(s.asked) > answerMost {
		s.Unreported(now)
	}
	for k, e := range s.entries {
		s.expireOne(now, k, e)
	}
}

func (s *Shelf) expireOne(now time.Time, k Key, e *entry) {
	if !e.doubt.IsZero() && now.After(e.doubt) {
		e.doubt = time.Time{}
	}
	if e.state == Resident && e.arrived != nil {
		e.settle()
	}
	switch {
	case now.Before(e.due):
	case e.state == Coming && now.Sub(e.ordered) > lateMost/4 && k.Adapter != "":
		s.synced = false
		e.due = now.Add(leavePause)
	case e.state == Leaving:
		s.synced = false
		e.due = now.Add(leavePause)
	case e.state == Wished:
		s.forget(k, e)
	}
}

// forget drops a wish, or an adapter that isn't on the runner.
func (s *Shelf) forget(k Key, e *entry) {
	e.settle()
	e.state = Absent
	for i, w := range s.wishes {
		if w == k {
			s.wishes = append(s.wishes[:i], s.wishes[i+1:]...)
			break
		}
	}
}

// order returns the next order. The order of an adapter that should have come
// is sent again: the reply tells whether it is there.
func (s *Shelf) order(now time.Time) (call.Order, bool) {
	for k, e := range s.entries {
		if e.state == Coming && !now.Before(e.due) {
			return call.Order{Kind: call.Fetch, Model: k.Model, Adapter: k.Adapter, Version: e.version}, true
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
		if e.state == Coming && now.Sub(e.ordered) < 2*transitLongest {
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
		return call.Order{Kind: call.Fetch, Model: k.Model, Adapter: k.Adapter, Version: s.newest[k]}, true
	}
	if victim, ok := s.victim(now); ok {
		return call.Order{Kind: call.Drop, Model: victim.Model, Adapter: victim.Adapter}, true
	}
	return call.Order{}, false
}

// mostWanted returns the wish that most requests wait for, the oldest of them.
func (s *Shelf) mostWanted() Key {
	best := s.wishes[0]
	for _, k := range s.wishes[1:] {
		if s.entries[k].waiting > s.entries[best].waiting {
			best = k
		}
	}
	return best
}

// base returns the order that loads a model onto an empty runner.
func (s *Shelf) base(now time.Time) (call.Order, bool) {
	state, _, _ := s.Lookup(Key{Model: s.Base})
	if s.Base == "" || state == Coming || now.Before(s.BaseFrom) {
		return call.Order{}, false
	}
	return call.Order{Kind: call.Fetch, Model: s.Base}, true
}

// Empty reports whether the runner is known to hold no model, and none is on its way.
func (s *Shelf) Empty() bool {
	if !s.Synced() || len(s.models) > 0 || !s.sent.IsZero() {
		return false
	}
	for k, e := range s.entries {
		if k.Adapter == "" && e.state == Coming {
			return false
		}
	}
	return true
}

// replacement returns the order that brings a resident adapter to its newest version.
func (s *Shelf) replacement(now time.Time) (call.Order, bool) {
	for k, version := range s.newest {
		e := s.entries[k]
		if e != nil && e.state == Resident && e.version < version && !now.Before(e.renew) {
			return call.Order{Kind: call.Fetch, Model: k.Model, Adapter: k.Adapter, Version: version}, true
		}
	}
	return call.Order{}, false
}

func (s *Shelf) taken() int {
	n := 0
	for k, e := range s.entries {
		if k.Adapter != "" && s.takes(e) {
			n++
		}
	}
	return n
}

// victim returns the adapter that makes way: the one of least weight that no
// request of this host uses, if none is leaving already.
func (s *Shelf) victim(now time.Time) (Key, bool) {
	var best Key
	found := false
	least := 0.0
	for k, e := range s.entries {
		if e.state == Leaving {
			return Key{}, false
		}
		if k.Adapter == "" || e.state != Resident || e.busy(now) {
			continue
		}
		if w := e.weight(now); !found || w < least || w == least && k.Adapter < best.Adapter {
			best, found, least = k, true, w
		}
	}
	return best, found
}

// Replied takes the runner's reply to the order that was sent last.
func (s *Shelf) Replied(now time.Time, reply call.Reply) {
	if s.sent.IsZero() {
		return
	}
	s.sent = time.Time{}
	k := Key{Model: s.flight.Model, Adapter: s.flight.Adapter}
	e := s.entry(k)
	switch reply {
	case call.Accepted, call.Holds:
		s.accepted(now, k, e, reply)
	case call.Fenced:
		s.lost = true
		s.giveUp()
	case call.Unanswered:
		if s.flight.Kind == call.Fetch {
			e.doubt = now.Add(lateMost)
		}
		s.resync(now)
	default:
		s.resync(now)
	}
}

// resync asks for a report once it is sure to be newer than the last order.
func (s *Shelf) resync(now time.Time) {
	s.synced = false
	s.quiet = later(now.Add(retryPause), s.last.Add(reportLag))
}

func (s *Shelf) accepted(now time.Time, k Key, e *entry, reply call.Reply) {
	s.orders++
	for _, other := range s.entries {
		other.doubt = time.Time{}
	}
	if s.flight.Kind == call.Drop {
		e.held = now
		if reply == call.Holds {
			e.state = Absent
			return
		}
		e.state = Leaving
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
	case reply == call.Holds:
		s.orders--
		s.learn(now, k, e)
		e.state = Resident
		e.keep(now)
		e.settle()
		if k.Adapter == "" {
			s.models[k.Model] = true
		}
	case e.state == Coming:
		s.orders-- // an order for what is on its way already isn't counted
		e.due = now.Add(max(confirmLeast, time.Duration(confirmShare*float64(now.Sub(e.ordered)))))
	default:
		e.state = Coming
		e.ordered = now
		e.due = now.Add(s.Expected(now))
		if k.Adapter == "" {
			e.due = now.Add(s.BaseTransit)
		}
		if !e.held.IsZero() && now.Sub(e.held) < handAge {
			e.due = now.Add(handTransit)
		}
	}
}

// learn takes in how long an adapter was on its way from the weight store.
func (s *Shelf) learn(now time.Time, k Key, e *entry) {
	atHand := !e.held.IsZero() && e.ordered.Sub(e.held) < handAge
	if k.Adapter == "" || e.state != Coming || atHand {
		return
	}
	took := min(now.Sub(e.ordered), transitLongest)
	excess := s.Expected(now) - s.Transit
	s.excess = excess + time.Duration(transitWeight*float64(took-s.Transit-excess))
	s.learned = now
}

// Expected returns the time that a load takes now. What was seen of slow loads
// counts less as time goes by, so that loads are tried again.
func (s *Shelf) Expected(now time.Time) time.Duration {
	age := now.Sub(s.learned).Seconds() / excessAge.Seconds()
	return max(transitLeast, s.Transit+time.Duration(float64(s.excess)/(1+age*age)))
}

// transitLimit returns how many adapters may be on their way: few where loads
// take long, since more at once would take longer still for all runners.
func (s *Shelf) transitLimit(now time.Time) int {
	expected := s.Expected(now)
	switch {
	case expected < transitBrisk:
		return transitMost
	case expected < transitSlow:
		return transitMost / 2
	default:
		return 1
	}
}

func (s *Shelf) unwish(k Key) {
	for i, w := range s.wishes {
		if w == k {
			s.wishes = append(s.wishes[:i], s.wishes[i+1:]...)
			return
		}
	}
}

// giveUp ends all waits.
func (s *Shelf) giveUp() {
	for k, e := range s.entries {
		if e.state == Wished {
			s.forget(k, e)
			continue
		}
		e.settle()
	}
}

// Unreported notes that a report did not come.
func (s *Shelf) Unreported(now time.Time) {
	s.asked = time.Time{}
	s.quiet = now.Add(reportLag)
}

// Reported takes the runner's report in.
func (s *Shelf) Reported(now time.Time, r call.Report) {
	if s.asked.IsZero() {
		return
	}
	s.asked = time.Time{}
	if r.Orders < s.orders && now.Sub(s.last) < reportOld {
		s.quiet = now.Add(retryPause)
		return
	}
	s.orders = r.Orders
	s.synced = true
	if s.New && r.Orders == 0 {
		s.From = time.Time{}
	}
	s.New = false
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
	for _, a := range r.Coming {
		k := Key{Model: a.Model, Adapter: a.Name}
		there[k] = true
		if e := s.entry(k); e.state != Coming {
			s.unwish(k)
			e.state = Coming
			e.version = a.Version
			e.ordered = now
			e.due = now.Add(s.Expected(now))
		}
	}
	for k, e := range s.entries {
		if !there[k] && e.state != Wished && !(k.Adapter == "" && e.state == Coming) {
			e.settle()
			e.state = Absent
		}
		if e.state == Absent && e.open == 0 && e.doubt.IsZero() && now.Sub(e.used) > 2*halfLife {
			delete(s.entries, k)
		}
	}
}

// found notes an adapter that a report shows as resident.
func (s *Shelf) found(k Key, version int) {
	e := s.entry(k)
	s.unwish(k)
	if e.state == Leaving {
		return
	}
	e.state = Resident
	e.version = version
	e.settle()
}

// End ends all waits, as the host gives the runner up.
func (s *Shelf) End() {
	s.lost = true
	s.giveUp()
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
