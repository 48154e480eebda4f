package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/shelf"
)

const (
	// homes is the number of runners onto which an adapter may be loaded, by
	// rendezvous hashing, beside those that have it at hand.
	homes = 3
	// handTransit is the expected time of a load of an adapter that the runner has at hand.
	handTransit = 40 * time.Millisecond
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
	Size     int       // bytes of the request
	Aim      time.Time // an answer that comes later is worth less
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
	// Owner is not empty where the adapter is to be loaded by another host.
	Owner Owner

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
	cost   float64
	span   time.Duration
	load   bool
}

// Pick chooses a target. The reasons of a Refuse are "no target", "no adapter"
// and "too late".
func (b *Board) Pick(now time.Time, w Want) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.keys = prefix.Keys(w.Call)
	if w.engine() {
		b.ask(w.Call.Model)
	}
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
	var all []*target
	for _, t := range b.services[w.Service] {
		if t.usable(now) && !w.Avoid[t.Name] {
			all = append(all, t)
		}
	}
	near := b.homes(all, w)
	for _, t := range all {
		c, ok := b.weigh(now, t, w, near[t])
		if ok && (best == nil || c.cost < best.cost || c.cost == best.cost && t.Name < best.target.Name) {
			best = &c
		}
	}
	return best, len(all) > 0
}

// homes returns the runners of this host's region, or of all where it has none,
// onto which a request's adapter is loaded first.
func (b *Board) homes(all []*target, w Want) map[*target]bool {
	if !w.engine() || w.Call.Adapter == "" {
		return nil
	}
	type ranked struct {
		target *target
		weight uint64
	}
	var order []ranked
	for _, t := range all {
		if !b.far(t) {
			order = append(order, ranked{t, xxhash.Sum64String(w.Call.Adapter + "@" + t.Name)})
		}
	}
	if len(order) == 0 {
		for _, t := range all {
			order = append(order, ranked{t, xxhash.Sum64String(w.Call.Adapter + "@" + t.Name)})
		}
	}
	slices.SortFunc(order, func(x, y ranked) int { return cmp.Compare(x.weight, y.weight) })
	out := make(map[*target]bool, homes)
	for _, r := range order[:min(homes, len(order))] {
		out[r.target] = true
	}
	return out
}

// weigh returns what a request would meet at a target, false where it can't go there.
func (b *Board) weigh(now time.Time, t *target, w Want, home bool) (candidate, bool) {
	c := candidate{target: t, span: b.expected(now, t, w)}
	c.cost = failPrice * t.failures
	if b.far(t) {
		c.cost += farPrice * float64(w.Size) / farUnit
	}
	if w.engine() && !b.holds(now, t, w.key()) {
		price, wait, ok := b.loadWait(now, t, w.key(), home)
		if !ok {
			return c, false
		}
		c.load = true
		c.span += wait
		c.cost += price
	}
	c.cost += risk(c.span, w.Aim.Sub(now))
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

// loadWait returns what a load onto a target would cost and take, false where
// none can be had.
func (b *Board) loadWait(now time.Time, t *target, k shelf.Key, home bool) (price float64, wait time.Duration, ok bool) {
	_, atHand := t.hand[k]
	if k.Adapter == "" || !home && !atHand || now.Before(t.full) {
		return 0, 0, false
	}
	price, wait = fetchPrice, b.transitTime()
	if atHand {
		price, wait = handPrice, handTransit
	}
	s := t.shelf
	if s == nil {
		_, owned := b.owners[t.Name]
		_, model := t.Models[k.Model]
		return price, wait, owned && model
	}
	if s.Closed(now, k) != "" {
		return 0, 0, false
	}
	state, _, due := s.Lookup(k)
	switch state {
	case shelf.Coming:
		return 0, max(0, due.Sub(now)), true
	case shelf.Wished:
		return 0, wait, true
	}
	return price, wait + wait*time.Duration(s.Backlog())/4, true
}

func (b *Board) ticket(now time.Time, w Want, c *candidate) *Ticket {
	t := c.target
	ticket := &Ticket{
		Target: t.Target, Expected: c.span,
		board: b, target: t, want: w, sent: now,
	}
	ticket.Running, _ = b.running(now, t)
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
	if w.Call.Adapter == "" {
		return ticket
	}
	t.use(w.key())
	switch {
	case t.shelf != nil:
		if c.load {
			ticket.Arrived = t.shelf.Wish(now, w.key())
		}
		t.shelf.Use(now, w.key())
	case c.load:
		ticket.Owner = b.owners[t.Name]
	}
	return ticket
}

func (t *target) use(k shelf.Key) {
	if t.usage == nil {
		t.usage = make(map[shelf.Key]*usage)
	}
	u := t.usage[k]
	if u == nil {
		u = &usage{}
		t.usage[k] = u
	}
	u.open++
	u.begun++
}

func (t *target) unuse(k shelf.Key) {
	if u := t.usage[k]; u != nil && u.open > 0 {
		u.open--
	}
}
