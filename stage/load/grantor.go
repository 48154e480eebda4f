package load

import (
	"math"
	"slices"
	"time"

	"jacinthstage/stage/queue"
)

// When a denied load is to be requested again.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	retryGrace    = 200 * time.Millisecond // how long a pending load is kept after its retry time
)

// loadSlack is how many loads by weight a caller may be ahead of the least
// served one before its loads are ordered after those of other callers.
const loadSlack = 1

// roundingSlack, in loads, keeps rounding errors from withholding the last permit.
const roundingSlack = 0.01

// retriesPerPermit is how many pending loads retry for each permit that becomes available.
const retriesPerPermit = 4

// Burst returns how many loads a grantor assumes that the store accepts at once,
// when only the rate of the store is known. This is one second's worth of loads,
// and at least one load more than the store starts within PermitWindow: with
// less, no permit could be granted.
func Burst(rate float64) float64 {
	return max(math.Ceil(rate), 1+rate*PermitWindow.Seconds()+roundingSlack)
}

// A Grantor grants the permits of one region. The zero value with the exported
// fields set grants permits once Start was called.
type Grantor struct {
	Rate        float64 // loads per second
	Burst       float64 // loads that the store accepts at once
	MaxInFlight int     // maximum number of loads in progress

	epoch        uint64
	ready        time.Time // before then, permits of an earlier grantor may be in use
	leaseEnd     time.Time // end of this host's lease
	lastPermit   uint64
	lastReply    uint64
	tokens       float64
	refilled     time.Time
	hosts        map[string]*hostState
	reservations []reservation
	permits      map[uint64]activePermit
	levels       queue.CallerUsage
	nextAdvance  time.Time // when to advance levels to the least served caller next
}

// A hostState is what the grantor knows about a host.
type hostState struct {
	sequence    uint64
	lastReply   uint64    // number of the last reply
	repliedAt   time.Time // when the last reply was sent
	reservation int
	pending     []pendingLoad
}

type pendingLoad struct {
	PendingLoad
	since   time.Time // when it was first requested
	retryAt time.Time // when the host may request it again, as sent in the denial
	expires time.Time // when it is removed unless requested again
}

type activePermit struct {
	host string
	ends time.Time
}

// A reservation counts against the rate until it expires, except while its host
// is known not to use it.
type reservation struct {
	host        string
	expires     time.Time
	unusedUntil time.Time // the host does not use the reservation before then
}

// Reservations returns how many hosts may have a reservation. It returns 0 if the
// store's burst leaves no capacity for any: the hosts then load nothing without
// the grantor.
func (g *Grantor) Reservations() int {
	spare := g.Burst - g.Rate*PermitWindow.Seconds() - 1
	return max(0, min(int(spare), g.MaxInFlight/2))
}

// reservationRate returns the rate of one reservation. All reservations together
// have half of the store's rate.
func (g *Grantor) reservationRate() float64 { return g.Rate / 2 / float64(max(g.Reservations(), 1)) }

// Start makes this host the grantor of epoch until its lease ends. The grantor
// waits for the permits and reservations of earlier grantors to end, unless it
// is the first one ever.
func (g *Grantor) Start(now time.Time, epoch uint64, lease time.Time, first bool) {
	g.epoch, g.leaseEnd = epoch, lease
	g.ready = now
	if !first {
		g.ready = now.Add(PermitWindow + MaxLoadTime)
	}
	g.tokens, g.refilled = 0, g.ready
	g.hosts = map[string]*hostState{}
	g.permits = map[uint64]activePermit{}
	g.levels = queue.CallerUsage{}
	g.reservations = make([]reservation, g.Reservations())
	for i := range g.reservations {
		g.reservations[i].expires = g.ready
		if !first {
			g.reservations[i].expires = now.Add(ReservationTTL + MaxLoadTime)
		}
	}
}

// Renew sets the end of this host's lease.
func (g *Grantor) Renew(lease time.Time) { g.leaseEnd = lease }

// Answer returns the reply to a request. It returns false for a request that gets
// no reply: one of another epoch, out of order, or after the end of the lease.
func (g *Grantor) Answer(now time.Time, q Request) (Reply, bool) {
	if q.Epoch != g.epoch || !now.Before(g.leaseEnd) {
		return Reply{}, false
	}
	h := g.hosts[q.Host]
	if h == nil {
		h = &hostState{}
		g.hosts[q.Host] = h
	}
	if q.Sequence <= h.sequence {
		return Reply{}, false
	}
	h.sequence = q.Sequence
	g.refill(now)
	g.endPermits(q)
	g.confirmReply(now, h, q)
	g.assignReservation(now, h, q)
	r := Reply{Epoch: g.epoch, Sequence: q.Sequence, Reservation: h.reservation}
	if h.reservation > 0 {
		r.Rate = g.reservationRate()
	}
	g.decide(now, h, q, &r)
	g.lastReply++
	r.Number = g.lastReply
	h.lastReply, h.repliedAt = g.lastReply, now
	g.forgetHosts(now)
	return r, true
}

// refill adds the tokens for the time since the last call, at the rate that the
// reservations in use leave.
func (g *Grantor) refill(now time.Time) {
	for id, p := range g.permits {
		if !now.Before(p.ends) {
			delete(g.permits, id)
		}
	}
	if !now.After(g.refilled) {
		return
	}
	rate := g.Rate
	for _, r := range g.reservations {
		if r.usable(g.refilled, now) {
			rate -= g.reservationRate()
		}
	}
	g.tokens = min(g.tokens+rate*now.Sub(g.refilled).Seconds(), g.maxTokens())
	g.refilled = now
}

// maxTokens returns the maximum number of unused tokens.
func (g *Grantor) maxTokens() float64 {
	return g.Burst - g.Rate*PermitWindow.Seconds() - float64(len(g.reservations))
}

// usable reports whether the reservation may be in use at any time of the interval.
func (r reservation) usable(from, to time.Time) bool {
	return from.Before(r.expires) && r.unusedUntil.Before(to)
}

// endPermits ends the permits that the host no longer has. The token of a permit
// under which no load was started becomes available again.
func (g *Grantor) endPermits(q Request) {
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

// confirmReply records that the host received the last reply and therefore does
// not use its reservation for GrantorTimeout after it.
func (g *Grantor) confirmReply(now time.Time, h *hostState, q Request) {
	if h.reservation == 0 || q.Seen == 0 || q.Seen != h.lastReply {
		return
	}
	r := &g.reservations[h.reservation-1]
	if until := h.repliedAt.Add(GrantorTimeout); until.After(r.unusedUntil) && now.Before(until) {
		r.unusedUntil = until
	}
}

// assignReservation renews the host's reservation, takes over one that it had
// from an earlier grantor, or gives it a free one.
func (g *Grantor) assignReservation(now time.Time, h *hostState, q Request) {
	claimed := q.Reservation > 0 && q.Reservation <= len(g.reservations)
	switch {
	case h.reservation > 0:
	case claimed && g.reservations[q.Reservation-1].host == "":
		h.reservation = q.Reservation
	default:
		h.reservation = g.freeReservation(now)
	}
	if h.reservation > 0 {
		r := &g.reservations[h.reservation-1]
		r.host, r.expires = q.Host, now.Add(ReservationTTL+MaxLoadTime)
	}
}

// freeReservation frees the first expired reservation and returns its index, from
// 1, or 0 if none has expired.
func (g *Grantor) freeReservation(now time.Time) int {
	for i := range g.reservations {
		r := &g.reservations[i]
		if now.Before(r.expires) {
			continue
		}
		if old := g.hosts[r.host]; old != nil {
			old.reservation = 0
		}
		*r = reservation{}
		return i + 1
	}
	return 0
}

// decide grants or denies each pending load of the request.
func (g *Grantor) decide(now time.Time, h *hostState, q Request, r *Reply) {
	h.mergePending(now, q.Pending)
	if !now.Before(g.nextAdvance) {
		g.levels.Advance(g.waitingCallers(now))
		g.nextAdvance = now.Add(g.durationOf(1) / 2)
	}
	for _, p := range q.Pending {
		i := h.find(key{p.Runner, p.Ref})
		if !g.grantable(now, h.pending[i]) {
			delay := g.retryDelay(now, h.pending[i])
			h.pending[i].retryAt = now.Add(delay)
			h.pending[i].expires = now.Add(delay + retryGrace)
			r.Denials = append(r.Denials, Denial{Runner: p.Runner, Ref: p.Ref, RetryAfter: delay})
			continue
		}
		h.pending = slices.Delete(h.pending, i, i+1)
		g.levels.Charge(p.Caller, p.Weight)
		g.lastPermit++
		g.tokens--
		id := g.epoch<<32 | g.lastPermit
		g.permits[id] = activePermit{host: q.Host, ends: now.Add(PermitWindow + MaxLoadTime)}
		r.Grants = append(r.Grants, Grant{Permit: id, Runner: p.Runner, Ref: p.Ref})
	}
}

// mergePending adds or updates the pending loads of a request and removes those
// that were not requested again in time. An updated load keeps the time at which
// it was first requested.
func (h *hostState) mergePending(now time.Time, pending []PendingLoad) {
	h.pending = slices.DeleteFunc(h.pending, func(p pendingLoad) bool { return !now.Before(p.expires) })
	for _, p := range pending {
		expires := now.Add(retryGrace)
		if i := h.find(key{p.Runner, p.Ref}); i >= 0 {
			h.pending[i].PendingLoad, h.pending[i].expires = p, expires
			continue
		}
		h.pending = append(h.pending, pendingLoad{PendingLoad: p, since: now, expires: expires})
	}
}

func (h *hostState) find(k key) int {
	return slices.IndexFunc(h.pending, func(p pendingLoad) bool { return key{p.Runner, p.Ref} == k })
}

// score returns the priority of a pending load: the number of waiting requests,
// each of which counts more the longer the load has been pending.
func (p pendingLoad) score(now time.Time) float64 {
	return float64(p.Waiting) * (1 + now.Sub(p.since).Seconds())
}

// grantable reports whether p may have a permit now. Pending loads that precede
// p and retry before the next permit becomes available are served first, unless
// tokens are lost meanwhile because the bucket is full.
func (g *Grantor) grantable(now time.Time, p pendingLoad) bool {
	if now.Before(g.ready) || g.tokens < 1 || len(g.permits) >= g.MaxInFlight-len(g.reservations) {
		return false
	}
	next := now.Add(g.durationOf(1))
	return g.tokens >= g.maxTokens() || float64(g.rank(now, p, next))+1 <= g.tokens
}

// durationOf returns how long the store takes for n loads at its rate.
func (g *Grantor) durationOf(n float64) time.Duration {
	return time.Duration(n / g.Rate * float64(time.Second))
}

// waitingCallers returns the callers of all pending loads.
func (g *Grantor) waitingCallers(now time.Time) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, h := range g.hosts {
			for _, p := range h.pending {
				if now.Before(p.expires) && !yield(p.Caller) {
					return
				}
			}
		}
	}
}

// before reports whether a precedes b. Loads of callers within their share come
// first.
func (g *Grantor) before(now time.Time, a, b pendingLoad) bool {
	if overShare := g.levels.Exceeds(a.Caller, loadSlack); overShare != g.levels.Exceeds(b.Caller, loadSlack) {
		return !overShare
	}
	return a.score(now) > b.score(now)
}

// rank returns how many pending loads precede p and are requested again by
// until. It stops counting once the result implies the maximum retry delay.
func (g *Grantor) rank(now time.Time, p pendingLoad, until time.Time) int {
	limit := retriesPerPermit + int(g.Burst+g.Rate*maxRetryDelay.Seconds())
	n := 0
	for _, h := range g.hosts {
		for _, other := range h.pending {
			if now.Before(other.expires) && !other.retryAt.After(until) && g.before(now, other, p) {
				n++
			}
			if n > limit {
				return n
			}
		}
	}
	return n
}

// retryDelay returns the delay after which a permit for p may be available. The first
// retriesPerPermit loads all retry for the next permit, so that it is not left
// unused when one of them does not retry.
func (g *Grantor) retryDelay(now time.Time, p pendingLoad) time.Duration {
	rank := g.rank(now, p, now.Add(maxRetryDelay))
	if rank < retriesPerPermit {
		rank = 0
	}
	missing := float64(rank) + 1 - g.tokens
	delay := g.durationOf(max(missing, 0))
	if wait := g.ready.Sub(now); wait > delay {
		delay = wait
	}
	return min(max(delay, minRetryDelay), maxRetryDelay)
}

// forgetHosts removes the hosts that hold no reservation and have sent no request
// for ReservationTTL.
func (g *Grantor) forgetHosts(now time.Time) {
	for name, h := range g.hosts {
		if h.reservation == 0 && now.After(h.repliedAt.Add(ReservationTTL)) {
			delete(g.hosts, name)
		}
	}
}
