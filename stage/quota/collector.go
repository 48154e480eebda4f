package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// needLife is how long the need that a host reported counts.
	needLife = 500 * time.Millisecond
	// grantLoss is the time after which a grant that its host hasn't confirmed counts as lost.
	grantLoss = 1500 * time.Millisecond
	// needRetention is how long a collector remembers a host.
	needRetention = 10 * time.Second
	// shortInterval is the least time between two reports to one host that credit is short.
	shortInterval = 250 * time.Millisecond
	// minGrantLife is how long credit must be valid yet for a grant: it lapses on its way otherwise.
	minGrantLife = 300 * time.Millisecond
	// reservePart is the part of credit's lifetime whose earnings a collector keeps for requests that
	// wait, and spareInterval the least time between two reports of surplus to one host.
	reservePart   = 0.6
	spareInterval = 800 * time.Millisecond
)

// A need is what a collector knows of one host.
type need struct {
	host     Host
	start    uint64
	firm     float64 // credit for requests that wait
	want     float64 // the same, with that for requests that it expects
	spare    float64
	lump     float64   // mean cost of a request
	at       time.Time // of its last report
	received float64   // by its last report
	open     []grant   // grants that it hasn't confirmed
	servedAt time.Time // when it last got credit for a request that waits
	spareAt  time.Time // when it last got surplus
	toldAt   time.Time // when it was last told that credit is short
}

// A grant is credit on its way to a host.
type grant struct {
	amount float64
	at     time.Time
}

// update records a report.
func (n *need) update(now time.Time, r Report) {
	received := float64(r.Received) / milli
	if n.start != r.Start {
		*n = need{host: n.host, start: r.Start, received: received, servedAt: n.servedAt, spareAt: n.spareAt}
	}
	n.confirm(received - n.received)
	n.at, n.received = now, received
	n.firm, n.want = float64(r.Firm)/milli, float64(r.Want)/milli
	n.spare, n.lump = float64(r.Spare)/milli, float64(r.Lump)/milli
}

// confirm removes an amount from the open grants, the oldest first.
func (n *need) confirm(amount float64) {
	for amount > 0 && len(n.open) > 0 {
		part := min(amount, n.open[0].amount)
		n.open[0].amount -= part
		amount -= part
		if n.open[0].amount < 1/float64(milli) {
			n.open = n.open[1:]
		}
	}
}

// onWay returns the credit that is on its way to the host.
func (n *need) onWay(now time.Time) (sum float64) {
	for len(n.open) > 0 && now.Sub(n.open[0].at) > grantLoss {
		n.open = n.open[1:]
	}
	for _, g := range n.open {
		sum += g.amount
	}
	return sum
}

// lumps returns the part of an amount that may be granted out of what is available: all of it, or
// all but some requests. Less than what a request needs is of no use.
func (n *need) lumps(amount, available float64) float64 {
	if amount <= available {
		return amount
	}
	if n.lump <= 0 {
		return 0
	}
	return max(0, amount-math.Ceil((amount-available)/n.lump)*n.lump)
}

// distribute hands out the pool, and returns the grants: first for requests that wait, then for
// those that hosts expect. What is beyond that is surplus. Hosts take turns.
func (s *state) distribute(now time.Time, self Host) (out []Report) {
	s.forgetNeeds(now)
	s.pool.total(now.Add(minGrantLife))
	order := make([]*need, 0, len(s.needs))
	for _, n := range s.needs {
		if now.Sub(n.at) <= needLife {
			order = append(order, n)
		}
	}
	slices.SortFunc(order, func(x, y *need) int { return cmp.Or(x.servedAt.Compare(y.servedAt), cmp.Compare(x.host, y.host)) })
	out, enough := s.serveWaiting(now, self, order)
	s.unmet = !enough
	if !enough {
		return out
	}
	for _, n := range order {
		missing := max(0, n.want-n.onWay(now))
		out = append(out, s.grant(now, self, n, n.lumps(missing, s.pool.total(now)), Grant)...)
	}
	return append(out, s.giveSurplus(now, self, order)...)
}

// serveWaiting grants credit for the requests that wait. If it doesn't suffice for a host whose turn
// it is, it is kept for that host, and the others are told that credit is short.
func (s *state) serveWaiting(now time.Time, self Host, order []*need) (out []Report, enough bool) {
	unmet := 0.0
	for _, n := range order {
		missing := max(0, n.firm-n.onWay(now))
		if missing == 0 {
			continue
		}
		part := 0.0
		if unmet == 0 {
			part = n.lumps(missing, s.pool.total(now))
		}
		if part > 0 {
			n.servedAt = now
			out = append(out, s.grant(now, self, n, part, Grant)...)
		}
		if part == missing {
			continue
		}
		unmet += missing - part
		after := time.Duration((unmet - s.pool.total(now)) / s.limit.Rate * float64(time.Second))
		out = append(out, s.tellShort(now, self, n, after)...)
	}
	return out, unmet == 0
}

// tellShort tells a host when credit for its requests is expected.
func (s *state) tellShort(now time.Time, self Host, n *need, after time.Duration) []Report {
	if now.Sub(n.toldAt) <= shortInterval {
		return nil
	}
	n.toldAt = now
	if n.host == self {
		s.shortAt, s.shortAfter = now, after
		return nil
	}
	return []Report{{Account: s.hash, Kind: Grant, From: self, To: n.host, Short: uint64(max(1, after.Milliseconds()))}}
}

// giveSurplus gives hosts credit for their next request, out of what is beyond the reserve.
func (s *state) giveSurplus(now time.Time, self Host, order []*need) (out []Report) {
	slices.SortStableFunc(order, func(x, y *need) int { return x.spareAt.Compare(y.spareAt) })
	beyond := s.pool.total(now) - s.limit.Rate*reservePart*s.life.Seconds()
	for _, n := range order {
		if n.spare <= 0 || n.spare > beyond || now.Sub(n.spareAt) <= spareInterval {
			continue
		}
		n.spareAt = now
		beyond -= n.spare
		out = append(out, s.grant(now, self, n, n.spare, Surplus)...)
	}
	return out
}

// grant takes credit from the pool for a host.
func (s *state) grant(now time.Time, self Host, n *need, amount float64, kind Kind) (out []Report) {
	for _, c := range s.pool.takeLasting(now.Add(exchangeTime), amount) {
		switch {
		case n.host == self && kind == Surplus:
			s.spare.add(c, 0)
			continue
		case n.host == self:
			s.held.add(c, 0)
			continue
		}
		if kind == Grant {
			n.open = append(n.open, grant{c.amount, now})
		}
		out = append(out, Report{Account: s.hash, Kind: kind, From: self, To: n.host, Amount: toMilli(c.amount), TTL: uint64(c.until.Sub(now).Milliseconds())})
	}
	return out
}

func (s *state) forgetNeeds(now time.Time) {
	for h, n := range s.needs {
		if now.Sub(n.at) > needRetention {
			delete(s.needs, h)
		}
	}
}

// needOf returns what is known of a host.
func (s *state) needOf(h Host) *need {
	if s.needs == nil {
		s.needs = make(map[Host]*need)
	}
	if s.needs[h] == nil {
		s.needs[h] = &need{host: h}
	}
	return s.needs[h]
}
