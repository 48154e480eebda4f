package load

import (
	"math"
	"slices"
	"time"

	"jacinthstage/stage/queue"
)

// How a denied host is told to come back.
const (
	soonest = 20 * time.Millisecond
	latest  = time.Second
	grace   = 200 * time.Millisecond // how long a want outlives its time to come back
)

// ahead is how many loads by weight a caller may be ahead of the least served
// one before its loads go after those of others.
const ahead = 1

// spareBurst keeps rounding from holding the last permit back, in loads.
const spareBurst = 0.01

// front is how many wants come back for each permit.
const front = 4

// Burst returns the loads that a grantor counts on the store to accept at once,
// where only the store's rate is known: a second's worth, and at least one load
// beside what a permit's window is worth, without which none could be granted.
func Burst(rate float64) float64 {
	return max(math.Ceil(rate), 1+rate*PermitWindow.Seconds()+spareBurst)
}

// A Grantor grants the permits of one region. The zero value with the exported
// fields set grants once Start was called.
type Grantor struct {
	Rate        float64 // loads a second
	Burst       float64 // loads that the store accepts at once
	MaxInFlight int     // loads in progress

	epoch   uint64
	ready   time.Time // earlier, permits of an earlier grantor may be in use
	until   time.Time // end of this host's lease
	permit  uint64
	reply   uint64
	tokens  float64
	filled  time.Time
	hosts   map[string]*member
	places  []place
	permits map[uint64]grant
	levels  queue.CallerUsage
	rises   time.Time // when to look for the least served caller next
}

type member struct {
	sequence uint64
	sent     uint64    // number of the last reply
	when     time.Time // when it was sent
	place    int
	wants    []want
}

type want struct {
	PendingLoad
	since   time.Time // when it was first told
	again   time.Time // when it was told to come back
	expires time.Time // forgotten unless told again
}

type grant struct {
	host string
	ends time.Time
}

// A place is reserved until it expires, except while its holder is bound.
type place struct {
	host    string
	expires time.Time
	bound   time.Time // the holder does not use it before
}

// Reservations returns how many hosts may have a place. Where the store's burst has
// no room there is none: such hosts then load nothing without the grantor.
func (g *Grantor) Reservations() int {
	spare := g.Burst - g.Rate*PermitWindow.Seconds() - 1
	return max(0, min(int(spare), g.MaxInFlight/2))
}

// share is the rate of one place: all together have half of the store's.
func (g *Grantor) share() float64 { return g.Rate / 2 / float64(max(g.Reservations(), 1)) }

// Start makes this host the grantor of epoch until its lease ends. It waits for
// the permits and places of earlier grantors, unless this is the first one ever.
func (g *Grantor) Start(now time.Time, epoch uint64, lease time.Time, first bool) {
	g.epoch, g.until = epoch, lease
	g.ready = now
	if !first {
		g.ready = now.Add(PermitWindow + MaxLoadTime)
	}
	g.tokens, g.filled = 0, g.ready
	g.hosts = map[string]*member{}
	g.permits = map[uint64]grant{}
	g.levels = queue.CallerUsage{}
	g.places = make([]place, g.Reservations())
	for i := range g.places {
		g.places[i].expires = g.ready
		if !first {
			g.places[i].expires = now.Add(ReservationTTL + MaxLoadTime)
		}
	}
}

// Renew says that this host's lease now ends at lease.
func (g *Grantor) Renew(lease time.Time) { g.until = lease }

// Answer returns the reply to a request. It reports false for one that gets
// none: of another epoch, out of order, or after the end of the lease.
func (g *Grantor) Answer(now time.Time, q Request) (Reply, bool) {
	if q.Epoch != g.epoch || !now.Before(g.until) {
		return Reply{}, false
	}
	m := g.hosts[q.Host]
	if m == nil {
		m = &member{}
		g.hosts[q.Host] = m
	}
	if q.Sequence <= m.sequence {
		return Reply{}, false
	}
	m.sequence = q.Sequence
	g.refill(now)
	g.settle(q)
	g.bind(now, m, q)
	g.assign(now, m, q)
	r := Reply{Epoch: g.epoch, Sequence: q.Sequence, Reservation: m.place}
	if m.place > 0 {
		r.Rate = g.share()
	}
	g.decide(now, m, q, &r)
	g.reply++
	r.Number = g.reply
	m.sent, m.when = g.reply, now
	g.forget(now)
	return r, true
}

// refill adds the tokens of the time since the last call, at the rate that the
// reserved places leave.
func (g *Grantor) refill(now time.Time) {
	for id, p := range g.permits {
		if !now.Before(p.ends) {
			delete(g.permits, id)
		}
	}
	if !now.After(g.filled) {
		return
	}
	rate := g.Rate
	for _, p := range g.places {
		if p.reserved(g.filled, now) {
			rate -= g.share()
		}
	}
	g.tokens = min(g.tokens+rate*now.Sub(g.filled).Seconds(), g.room())
	g.filled = now
}

// room returns the most permits that can be left over.
func (g *Grantor) room() float64 {
	return g.Burst - g.Rate*PermitWindow.Seconds() - float64(len(g.places))
}

// reserved reports whether the place may be in use at any time of the interval.
func (p place) reserved(from, to time.Time) bool {
	return from.Before(p.expires) && p.bound.Before(to)
}

// settle ends the permits that the holder no longer has. One under which no
// load was started is granted again.
func (g *Grantor) settle(q Request) {
	for _, id := range q.Unused {
		if p, ok := g.permits[id]; ok && p.host == q.Host {
			delete(g.permits, id)
			g.tokens++
		}
	}
	held := map[uint64]bool{}
	for _, id := range q.Held {
		held[id] = true
	}
	for id, p := range g.permits {
		if p.host == q.Host && !held[id] {
			delete(g.permits, id)
		}
	}
}

// bind notes that the holder saw the last reply, and so does not use its place
// for Silence after it.
func (g *Grantor) bind(now time.Time, m *member, q Request) {
	if m.place == 0 || q.Seen == 0 || q.Seen != m.sent {
		return
	}
	p := &g.places[m.place-1]
	if until := m.when.Add(GrantorTimeout); until.After(p.bound) && now.Before(until) {
		p.bound = until
	}
}

// assign renews the host's place, takes over one that it had from an earlier
// grantor, or gives it a free one.
func (g *Grantor) assign(now time.Time, m *member, q Request) {
	claimed := q.Reservation > 0 && q.Reservation <= len(g.places)
	switch {
	case m.place > 0:
	case claimed && g.places[q.Reservation-1].host == "":
		m.place = q.Reservation
	default:
		m.place = g.vacant(now)
	}
	if m.place > 0 {
		p := &g.places[m.place-1]
		p.host, p.expires = q.Host, now.Add(ReservationTTL+MaxLoadTime)
	}
}

func (g *Grantor) vacant(now time.Time) int {
	for i := range g.places {
		p := &g.places[i]
		if now.Before(p.expires) {
			continue
		}
		if old := g.hosts[p.host]; old != nil {
			old.place = 0
		}
		*p = place{}
		return i + 1
	}
	return 0
}

// decide grants or denies each want of the request.
func (g *Grantor) decide(now time.Time, m *member, q Request, r *Reply) {
	m.merge(now, q.Pending)
	if !now.Before(g.rises) {
		g.levels.Advance(g.wanting(now))
		g.rises = now.Add(g.seconds(1) / 2)
	}
	for _, w := range q.Pending {
		i := m.find(key{w.Runner, w.Ref})
		if !g.grantable(now, m.wants[i]) {
			after := g.after(now, m.wants[i])
			m.wants[i].again = now.Add(after)
			m.wants[i].expires = now.Add(after + grace)
			r.Denials = append(r.Denials, Denial{Runner: w.Runner, Ref: w.Ref, RetryAfter: after})
			continue
		}
		m.wants = slices.Delete(m.wants, i, i+1)
		g.levels.Charge(w.Caller, w.Weight)
		g.permit++
		g.tokens--
		id := g.epoch<<32 | g.permit
		g.permits[id] = grant{host: q.Host, ends: now.Add(PermitWindow + MaxLoadTime)}
		r.Grants = append(r.Grants, Grant{Permit: id, Runner: w.Runner, Ref: w.Ref})
	}
}

// merge enters wants, each with the time it was first told, and forgets those
// that were not told again in time.
func (m *member) merge(now time.Time, wants []PendingLoad) {
	m.wants = slices.DeleteFunc(m.wants, func(w want) bool { return !now.Before(w.expires) })
	for _, w := range wants {
		expires := now.Add(grace)
		if i := m.find(key{w.Runner, w.Ref}); i >= 0 {
			m.wants[i].PendingLoad, m.wants[i].expires = w, expires
			continue
		}
		m.wants = append(m.wants, want{PendingLoad: w, since: now, expires: expires})
	}
}

func (m *member) find(k key) int {
	return slices.IndexFunc(m.wants, func(w want) bool { return key{w.Runner, w.Ref} == k })
}

// worth orders the wants: the waiting requests, each counting more the longer
// the load has been wanted.
func (w want) worth(now time.Time) float64 {
	return float64(w.Waiting) * (1 + now.Sub(w.since).Seconds())
}

// grantable reports whether w may have a permit now. The wants that are worth
// more and come back before the next permit go first, unless permits are lost
// meanwhile.
func (g *Grantor) grantable(now time.Time, w want) bool {
	if now.Before(g.ready) || g.tokens < 1 || len(g.permits) >= g.MaxInFlight-len(g.places) {
		return false
	}
	next := now.Add(g.seconds(1))
	return g.tokens >= g.room() || float64(g.rank(now, w, next))+1 <= g.tokens
}

// seconds returns how long the store takes for n loads.
func (g *Grantor) seconds(n float64) time.Duration {
	return time.Duration(n / g.Rate * float64(time.Second))
}

// wanting returns the callers that want a load.
func (g *Grantor) wanting(now time.Time) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, m := range g.hosts {
			for _, w := range m.wants {
				if now.Before(w.expires) && !yield(w.Caller) {
					return
				}
			}
		}
	}
}

// before reports whether a goes before b: callers within their share first.
func (g *Grantor) before(now time.Time, a, b want) bool {
	if over := g.levels.Exceeds(a.Caller, ahead); over != g.levels.Exceeds(b.Caller, ahead) {
		return !over
	}
	return a.worth(now) > b.worth(now)
}

// rank returns how many wants are worth more than w and come back by then. It
// counts no further than to those that come back at the latest time.
func (g *Grantor) rank(now time.Time, w want, then time.Time) int {
	most := front + int(g.Burst+g.Rate*latest.Seconds())
	n := 0
	for _, m := range g.hosts {
		for _, other := range m.wants {
			if now.Before(other.expires) && !other.again.After(then) && g.before(now, other, w) {
				n++
			}
			if n > most {
				return n
			}
		}
	}
	return n
}

// after returns when a permit for w may be had. The first few all come back for
// the next permit, so that none is left over when one of them does not.
func (g *Grantor) after(now time.Time, w want) time.Duration {
	rank := g.rank(now, w, now.Add(latest))
	if rank < front {
		rank = 0
	}
	missing := float64(rank) + 1 - g.tokens
	after := g.seconds(max(missing, 0))
	if wait := g.ready.Sub(now); wait > after {
		after = wait
	}
	return min(max(after, soonest), latest)
}

// forget drops the hosts that hold nothing and want nothing.
func (g *Grantor) forget(now time.Time) {
	for name, m := range g.hosts {
		if m.place == 0 && now.After(m.when.Add(ReservationTTL)) {
			delete(g.hosts, name)
		}
	}
}
