package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/residency"
)

const (
	// placeSpan is how long it takes until one of a runner's places is free.
	placeSpan = 440 * time.Millisecond
	// placeShare is the part of its aim for which a request may wait for a place,
	// and loadShare that by which it must be expected to begin where it waits for
	// its adapter at all. What would take longer is refused.
	placeShare = 0.25
	loadShare  = 0.9
	// handTransit is the expected time of a load of an adapter that the runner has at hand.
	handTransit = 40 * time.Millisecond
	// comeBack is when a caller may come back that found no target.
	comeBack = 200 * time.Millisecond
	// wishFresh is how long an adapter that was asked for counts as on its way.
	wishFresh = 600 * time.Millisecond
	// proofFresh is how long after a request found its adapter the next goes there
	// without asking the runner's owner.
	proofFresh = 700 * time.Millisecond
	// toldDelay is how old what is told of a runner's places usually is.
	toldDelay = 250 * time.Millisecond
	// freshNote is how long what a request showed of an adapter goes before the
	// target's entry.
	freshNote = 3 * time.Second
)

// A Want is a request that needs a target.
type Request struct {
	Call       call.Call
	Service    string
	Size       int       // bytes of the request
	Objective  time.Time // an answer that comes later is worth less
	Deadline   time.Time
	Exclude    map[string]bool // targets that it was sent to already
	InProgress bool            // it may have run already, or its adapter is on its way: late is better than never

	keys  []uint64
	usual float64 // share of failures that is usual at the service's targets
}

func (w Request) engine() bool { return w.Call.Model != "" }

func (w Request) key() residency.Key {
	return residency.Key{Model: w.Call.Model, Adapter: w.Call.Adapter}
}

// A Choice is what becomes of a request: Send or Refuse.
type Decision interface{ choice() }

// Send says to send the request, once its adapter is there.
type Send struct{ Attempt *Attempt }

// Refuse says to refuse the request at once.
type Refuse struct {
	Reason     string
	RetryAfter time.Duration // when the caller may come back
}

func (Send) choice()   {}
func (Refuse) choice() {}

// A Ticket is one request on one target. Report ends it.
type Attempt struct {
	Target   catalog.Target
	Version  int             // version that the target must hold; 0 takes any
	Expected time.Duration   // to the first byte
	Loaded   <-chan struct{} // not nil where the request waits for its adapter; closed then
	Running  int             // requests thought to run there
	// Owner is not empty where another host is to be asked for the adapter. It
	// loads the adapter or, where Confirm is set, says whether it is still there.
	Owner   Owner
	Confirm bool

	board  *Dispatcher
	target *target
	want   Request
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
	place  time.Duration // wait for a place, where the adapter is to be loaded
}

// Pick chooses a target. The reasons of a Refuse are "no target", "no adapter",
// "too late" and "no place for the adapter".
func (b *Dispatcher) Pick(now time.Time, w Request) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.keys = prefix.Keys(w.Call)
	if w.engine() {
		b.ask(w.Call.Model)
	}
	best, usable := b.best(now, w)
	switch {
	case best == nil && usable:
		return Refuse{Reason: "no adapter", RetryAfter: spread(comeBack)}
	case best == nil:
		return Refuse{Reason: "no target", RetryAfter: spread(comeBack)}
	case now.Add(best.span).After(w.Deadline):
		return Refuse{Reason: "too late", RetryAfter: spread(comeBack + best.span/4)}
	case best.load && !w.InProgress && b.overdue(now, w, best):
		return Refuse{Reason: "no place for the adapter", RetryAfter: spread(comeBack + best.span/4)}
	}
	return Send{Attempt: b.ticket(now, w, best)}
}

// overdue reports whether a request would wait too long for its adapter.
func (b *Dispatcher) overdue(now time.Time, w Request, c *candidate) bool {
	aim := float64(w.Objective.Sub(now))
	return float64(c.place) > placeShare*aim || float64(c.span) > loadShare*aim
}

// best returns the candidate of least cost, and whether any target is usable.
func (b *Dispatcher) best(now time.Time, w Request) (*candidate, bool) {
	var best *candidate
	all := b.choose(w, func(t *target) bool { return t.usable(now) })
	if len(all) == 0 {
		all = b.choose(w, func(t *target) bool { return t.listed(now) })
	}
	w.usual = b.usual(all)
	var homes map[*target]int
	rank := func(t *target) int {
		if homes == nil {
			homes = b.homes(all, w)
		}
		return homes[t]
	}
	for _, t := range all {
		c, ok := b.weigh(now, t, w, rank)
		if ok && (best == nil || c.cost < best.cost || c.cost == best.cost && t.Name < best.target.Name) {
			best = &c
		}
	}
	return best, len(all) > 0
}

// choose returns the targets of a request's service that it wasn't sent to yet
// and for which good holds.
func (b *Dispatcher) choose(w Request, good func(*target) bool) []*target {
	var all []*target
	for _, t := range b.services[w.Service] {
		if !w.Exclude[t.Name] && good(t) {
			all = append(all, t)
		}
	}
	return all
}

// homes ranks the runners onto which a request's adapter may be loaded: by
// rendezvous hashing, those of this host's region first.
func (b *Dispatcher) homes(all []*target, w Request) map[*target]int {
	type ranked struct {
		target *target
		far    bool
		weight uint64
	}
	order := make([]ranked, 0, len(all))
	for _, t := range all {
		order = append(order, ranked{t, b.far(t), xxhash.Sum64String(w.Call.Adapter + "@" + t.Name)})
	}
	slices.SortFunc(order, func(x, y ranked) int {
		if x.far != y.far {
			if x.far {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.weight, y.weight)
	})
	out := make(map[*target]int, len(order))
	for i, r := range order {
		out[r.target] = i
	}
	return out
}

// weigh returns what a request would meet at a target, false where it can't go
// there. rank returns a target's rank among those of the adapter.
func (b *Dispatcher) weigh(now time.Time, t *target, w Request, rank func(*target) int) (candidate, bool) {
	c := candidate{target: t, span: b.expected(now, t, w)}
	c.cost = failPrice * max(0, b.failing(now, t)-w.usual)
	if b.lost(now, t) {
		c.cost += lostPrice
	}
	if b.far(t) {
		c.cost += farPrice * float64(w.Size) / farUnit
	}
	if w.engine() && !b.holds(now, t, w.key()) {
		l, ok := b.load(now, t, w.key(), rank)
		if !ok {
			return c, false
		}
		c.load = true
		c.place = l.place
		c.span += l.place + l.transit
		c.cost += l.price
	}
	c.cost += risk(c.span, w.Objective.Sub(now))
	return c, true
}

// holds reports whether a target is thought to hold what a request names, in a
// version that may serve it.
func (b *Dispatcher) holds(now time.Time, t *target, k residency.Key) bool {
	if t.shelf != nil && t.shelf.Synced() && k.Adapter != "" {
		state, version, _ := t.shelf.Lookup(k)
		return state == residency.Resident && b.current(now, k, version)
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
func (b *Dispatcher) current(now time.Time, k residency.Key, version int) bool {
	r, ok := b.newest[k]
	return !ok || version >= r.version || now.Before(r.heard.Add(versionGrace))
}

// A loading is what a load onto a target would cost and take.
type loading struct {
	price   float64
	place   time.Duration // wait for a place
	transit time.Duration
}

// load returns what a load onto a target would cost and take, false where none
// can be had.
func (b *Dispatcher) load(now time.Time, t *target, k residency.Key, rank func(*target) int) (loading, bool) {
	if k.Adapter == "" || now.Before(t.full) {
		return loading{}, false
	}
	l := loading{price: fetchPrice, transit: b.transitTime(now)}
	if _, atHand := t.hand[k]; atHand {
		l.price, l.transit = handPrice, handTransit
	}
	l.price += homePrice * float64(rank(t))
	if at, ok := t.wished[k]; ok && now.Sub(at) < wishFresh {
		// It is on its way for another request of this host.
		l.price, l.transit = 0, max(0, l.transit-now.Sub(at))
	}
	if t.shelf != nil {
		return own(now, t.shelf, k, l)
	}
	owner, owned := b.owners[t.Name]
	if b.distant(owner.Zone) {
		l.transit += farDelay
	}
	_, model := t.Models[k.Model]
	if space, at := b.exchange.SlotReport(t.mark); now.Sub(at) < placesAge {
		if space.Closed {
			return loading{}, false
		}
		spare := space.Spare - t.asking(now, k)
		l.place = time.Duration(max(0, 1-spare)) * placeSpan
	}
	return l, owned && model && !b.silent(now, t)
}

// asking returns how many other adapters this host asked of the runner's owner
// since that told of its places.
func (t *target) asking(now time.Time, k residency.Key) int {
	n := 0
	for other, at := range t.wished {
		if other != k && now.Sub(at) < toldDelay {
			n++
		}
	}
	return n
}

// own returns what a load onto a runner that this host orders would take.
func own(now time.Time, s *residency.Manager, k residency.Key, l loading) (loading, bool) {
	if s.UnavailableReason(now, k) != "" {
		return loading{}, false
	}
	state, _, due := s.Lookup(k)
	switch state {
	case residency.Loading:
		return loading{transit: max(0, due.Sub(now))}, true
	case residency.Requested:
		l.price = 0
	}
	l.place = s.SlotWait(now)
	return l, true
}

func (b *Dispatcher) ticket(now time.Time, w Request, c *candidate) *Attempt {
	t := c.target
	ticket := &Attempt{
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
	ticket.tokens = max(0, w.Call.InputTokens-t.memory.CachedTokens(w.Call, w.keys))
	t.prefill += ticket.tokens
	t.memory.Add(w.Call, w.keys)
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
			ticket.Loaded = t.shelf.RequestLoad(now, w.key())
		}
		t.shelf.BeginUse(now, w.key())
	case c.load:
		ticket.Owner = b.owners[t.Name]
		t.asked(now, w.key())
	case !b.far(t) && !b.distant(b.owners[t.Name].Zone) && now.Sub(t.present[w.key()]) > proofFresh && !b.silent(now, t):
		ticket.Owner = b.owners[t.Name]
		ticket.Confirm = true
	}
	return ticket
}

// asked notes that the owner of a runner is asked for an adapter.
func (t *target) asked(now time.Time, k residency.Key) {
	if t.wished == nil {
		t.wished = make(map[residency.Key]time.Time)
	}
	for other, at := range t.wished {
		if now.Sub(at) >= wishFresh {
			delete(t.wished, other)
		}
	}
	if _, ok := t.wished[k]; !ok {
		t.wished[k] = now
	}
}

func (t *target) use(k residency.Key) {
	if t.usage == nil {
		t.usage = make(map[residency.Key]*usage)
	}
	u := t.usage[k]
	if u == nil {
		u = &usage{}
		t.usage[k] = u
	}
	u.open++
	u.begun++
}

func (t *target) unuse(k residency.Key) {
	if u := t.usage[k]; u != nil && u.open > 0 {
		u.open--
	}
}
