package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/shelf"
)

const (
	// switchCost is the waiting time that a load costs later requests, which
	// find the adapter gone that made way.
	switchCost = 60 * time.Millisecond
	// comeBack is when a caller may come back that found no target.
	comeBack = 400 * time.Millisecond
	// freshNote is how long what a request showed of an adapter goes before the
	// target's entry.
	freshNote = 3 * time.Second
)

// A Want is a request that needs a target.
type Want struct {
	Call     call.Call
	Service  string
	Size     int // bytes of the request
	Deadline time.Time
	Avoid    map[string]bool // targets that it was sent to already

	keys []uint64
}

func (w Want) engine() bool { return w.Call.Model != "" }

func (w Want) key() shelf.Key { return shelf.Key{Model: w.Call.Model, Adapter: w.Call.Adapter} }

// A Choice is what becomes of a request: Send or Refuse.
type Choice interface{ choice() }

// Send says to send the request, once its adapter is there.
type Send struct{ Ticket *Ticket }

// Refuse says to refuse the request at once.
type Refuse struct {
	Reason string
	After  time.Duration // when the caller may come back
}

func (Send) choice()   {}
func (Refuse) choice() {}

// A Ticket is one request on one target. Done must be called.
type Ticket struct {
	Target   catalog.Target
	Version  int             // version that the target must hold; 0 takes any
	Expected time.Duration   // to the first byte
	Arrived  <-chan struct{} // not nil where the request waits for its adapter; closed then
	Running  int             // requests thought to run there

	board  *Board
	target *target
	want   Want
	tokens int // still counted as unread
	sent   time.Time
	done   bool
}

// candidate is a target with what the request would meet there.
type candidate struct {
	target *target
	cost   time.Duration
	span   time.Duration
	load   bool
}

// Pick chooses a target. The reasons of a Refuse are "no target", "no adapter"
// and "too late".
func (b *Board) Pick(now time.Time, w Want) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.keys = prefix.Keys(w.Call)
	best, usable := b.best(now, w)
	switch {
	case best == nil && usable:
		return Refuse{Reason: "no adapter", After: spread(comeBack)}
	case best == nil:
		return Refuse{Reason: "no target", After: spread(comeBack)}
	case now.Add(best.span).After(w.Deadline):
		return Refuse{Reason: "too late", After: spread(comeBack + best.span/4)}
	}
	return Send{Ticket: b.ticket(now, w, best)}
}

// best returns the candidate of least cost, and whether any target is usable.
func (b *Board) best(now time.Time, w Want) (*candidate, bool) {
	var best *candidate
	usable := false
	for _, t := range b.services[w.Service] {
		if !t.usable(now) || w.Avoid[t.Name] {
			continue
		}
		usable = true
		c, ok := b.weigh(now, t, w)
		if ok && (best == nil || c.cost < best.cost || c.cost == best.cost && t.Name < best.target.Name) {
			best = &c
		}
	}
	return best, usable
}

// weigh returns what a request would meet at a target, false where it can't go there.
func (b *Board) weigh(now time.Time, t *target, w Want) (candidate, bool) {
	span := b.expected(now, t, w)
	c := candidate{target: t, span: span, cost: span}
	c.cost += time.Duration(t.failures * float64(time.Second))
	if !w.engine() || b.holds(now, t, w.key()) {
		return c, true
	}
	wait, ok := b.loadWait(now, t, w.key())
	if !ok {
		return c, false
	}
	c.load = true
	c.span += wait
	c.cost += wait + switchCost
	return c, true
}

// holds reports whether a target is thought to hold what a request names, in a
// version that may serve it.
func (b *Board) holds(now time.Time, t *target, k shelf.Key) bool {
	if t.shelf != nil && t.shelf.Synced() && k.Adapter != "" {
		state, version, _ := t.shelf.Lookup(k)
		return state == shelf.Resident && b.current(now, k, version)
	}
	if at, ok := t.absent[k]; ok && now.Sub(at) < freshNote {
		return false
	}
	held, ok := t.Models[k.Model]
	if !ok || k.Adapter == "" {
		return ok
	}
	version, ok := held.Adapters[k.Adapter]
	if ok {
		return b.current(now, k, version)
	}
	at, ok := t.present[k]
	return ok && now.Sub(at) < freshNote
}

// current reports whether a version of an adapter may still begin to serve.
func (b *Board) current(now time.Time, k shelf.Key, version int) bool {
	r, ok := b.newest[k]
	return !ok || version >= r.version || now.Before(r.heard.Add(versionGrace))
}

// loadWait returns how long a load onto a target would take, false where this
// host can't order it.
func (b *Board) loadWait(now time.Time, t *target, k shelf.Key) (time.Duration, bool) {
	s := t.shelf
	if s == nil || !s.Synced() || k.Adapter == "" || !s.Holds(k.Model) {
		return 0, false
	}
	state, _, due := s.Lookup(k)
	if state == shelf.Coming {
		return max(0, due.Sub(now)), true
	}
	waiting, room := s.Backlog(now)
	if state == shelf.Wished {
		return b.transitTime(), true
	}
	if !room {
		return 0, false
	}
	return b.transitTime() + b.transitTime()*time.Duration(waiting)/4, true
}

func (b *Board) ticket(now time.Time, w Want, c *candidate) *Ticket {
	t := c.target
	ticket := &Ticket{
		Target: t.Target, Expected: c.span, Running: t.running(now),
		board: b, target: t, want: w, sent: now,
	}
	t.open++
	if !t.shunned.IsZero() {
		t.trial = true
	}
	if !w.engine() {
		return ticket
	}
	ticket.tokens = max(0, w.Call.Input-t.memory.Cached(w.Call, w.keys))
	t.prefill += ticket.tokens
	t.memory.Note(w.Call, w.keys)
	if r, ok := b.newest[w.key()]; ok && w.Call.Adapter != "" && now.After(r.heard.Add(versionGrace)) {
		ticket.Version = r.version
	}
	if t.shelf != nil && w.Call.Adapter != "" {
		if c.load {
			ticket.Arrived = t.shelf.Wish(now, w.key())
		}
		t.shelf.Use(now, w.key())
	}
	return ticket
}
