package quota

import (
	"slices"
	"time"

	"jacinthstage/stage/host"
)

const (
	// roundInterval is the least time between two rounds in which credit is given away.
	roundInterval = 40 * time.Millisecond
	// aliveInterval is the time between two Alive reports of a host that may be a collector,
	// aliveLife how long one counts, and newsLife how long it is passed on.
	aliveInterval = 300 * time.Millisecond
	aliveLife     = 1500 * time.Millisecond
	newsLife      = 250 * time.Millisecond
	// maxReports is the largest number of reports in one digest, and maxTransit of those that wait
	// to be passed on.
	maxReports = 512
	maxTransit = 4096
	// hopLoss is taken off the validity of credit on each way between two hosts.
	hopLoss = 10 * time.Millisecond
)

// A Route says which reports go into a digest.
type Route struct {
	Passes func(to Host) bool // reports to that host go this way
	Relays bool               // what other hosts said is passed on this way, beside own reports
}

// traffic is the reports that wait to be sent, and the hosts that are there.
type traffic struct {
	transit    []transit
	alive      map[Host]sighting
	allowances map[allowanceKey]allowance
	aliveAt    time.Time // of this host's last Alive report
	sequence   uint64
}

// transit is a report that waits to be sent or passed on.
type transit struct {
	Report
	until time.Time // of its credit, or of itself where it has none
}

// A sighting is the last Alive report of a host.
type sighting struct {
	start, sequence uint64
	at              time.Time
}

// Reports returns what to tell another host. What it returns isn't returned again: the caller
// sends it at most once.
func (k *Keeper) Reports(now time.Time, route Route) (out []Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.accounts) == 0 && len(k.traffic.transit) == 0 {
		return nil
	}
	k.round(now)
	for h, s := range k.traffic.alive {
		if now.Sub(s.at) <= newsLife && (route.Relays || h == HashHost(k.Self)) {
			out = append(out, Report{Kind: Alive, From: h, Start: s.start, Sequence: s.sequence})
		}
	}
	out = append(out, k.traffic.takeAllowances(now, HashHost(k.Self), route)...)
	return append(out, k.traffic.takeTransit(now, route, max(0, maxReports-len(out)))...)
}

// takeTransit removes and returns the reports that go a route.
func (t *traffic) takeTransit(now time.Time, route Route, most int) (out []Report) {
	rest := t.transit[:0]
	for _, r := range t.transit {
		if !now.Before(r.until) {
			continue
		}
		if len(out) >= most || !route.Passes(r.To) {
			rest = append(rest, r)
			continue
		}
		if r.Amount > 0 {
			r.TTL = uint64(r.until.Sub(now).Milliseconds())
		}
		out = append(out, r.Report)
	}
	t.transit = rest
	return out
}

// add adds a report that waits to be sent. Credit without a need is added to that which waits for
// the same host, and ends with what ends first.
func (t *traffic) add(now time.Time, r Report) {
	until := now.Add(needLife)
	if r.Amount > 0 {
		until = now.Add(time.Duration(r.TTL) * time.Millisecond)
	}
	if r.Kind == Need && r.From == 0 {
		for i := range t.transit {
			o := &t.transit[i]
			if o.Kind == Need && o.From == 0 && o.To == r.To && o.Account == r.Account && until.Sub(o.until).Abs() <= newsLife {
				o.Amount += r.Amount
				if until.Before(o.until) {
					o.until = until
				}
				return
			}
		}
	}
	if len(t.transit) < maxTransit {
		t.transit = append(t.transit, transit{r, until})
	}
}

// round gives away what this host doesn't need, and asks for what it does.
func (k *Keeper) round(now time.Time) {
	if now.Sub(k.roundAt) < roundInterval {
		return
	}
	k.roundAt = now
	k.beAlive(now)
	for _, s := range k.accounts {
		s.earn(now, k.roster.part(now))
		k.settle(now, s)
	}
}

// beAlive tells other hosts that this one is there, if it may be a collector.
func (k *Keeper) beAlive(now time.Time) {
	if now.Sub(k.traffic.aliveAt) < aliveInterval {
		return
	}
	self := HashHost(k.Self)
	for _, s := range k.accounts {
		for _, h := range s.candidates {
			if h == self {
				k.traffic.aliveAt = now
				k.traffic.sequence++
				k.traffic.see(now, Report{From: self, Start: k.Start, Sequence: k.traffic.sequence})
				return
			}
		}
	}
}

func (t *traffic) see(now time.Time, r Report) {
	if t.alive == nil {
		t.alive = make(map[Host]sighting)
	}
	known := t.alive[r.From]
	if r.Start > known.start || r.Start == known.start && r.Sequence > known.sequence {
		t.alive[r.From] = sighting{r.Start, r.Sequence, now}
	}
	for h, s := range t.alive {
		if now.Sub(s.at) > host.Memory {
			delete(t.alive, h)
		}
	}
}

// collector returns the host that collects an account's credit, as far as this one knows.
func (k *Keeper) collector(now time.Time, s *state) (Host, bool) {
	for _, h := range s.candidates {
		if seen, ok := k.traffic.alive[h]; ok && now.Sub(seen.at) <= aliveLife {
			return h, true
		}
	}
	return 0, false // credit for a host that isn't there would be lost
}

// settle gives an account's spare credit to the collector, or distributes it as the collector.
func (k *Keeper) settle(now time.Time, s *state) {
	self := HashHost(k.Self)
	collector, ok := k.collector(now, s)
	if !ok {
		return
	}
	own := s.report(now, k)
	spare := s.held.total(now) - s.kept(now)
	if collector == self {
		for _, c := range s.held.takeLast(spare) {
			s.pool.add(c, s.step())
		}
		s.needOf(self).update(now, own)
		for _, r := range s.distribute(now, self) {
			k.traffic.add(now, r)
		}
		k.publish(now, s)
		return
	}
	k.give(now, s, collector, spare)
	if own.Want > 0 || own.Spare > 0 {
		own.To = collector
		k.traffic.add(now, own)
	}
}

// report returns what this host needs.
func (s *state) report(now time.Time, k *Keeper) Report {
	firm := s.reserved + s.waiting - s.usable(now)
	if s.expected(now) == 0 && firm > 0 {
		firm = s.reserved + s.waiting - s.needed(now)
	}
	firm += s.debt
	if s.reserved+s.waiting+s.debt > 0 {
		firm += parcelRounding
	}
	r := Report{
		Account: s.hash, Kind: Need, From: HashHost(k.Self), Start: k.Start, Firm: toMilli(firm), Want: toMilli(firm + s.expected(now)),
		Lump: toMilli(s.lump), Received: toMilli(s.received),
	}
	if now.Sub(s.demandAt) <= spareMemory && s.expected(now) == 0 {
		r.Spare = toMilli(s.lump + firm)
	}
	return r
}

// give gives spare credit to another host that is the collector.
func (k *Keeper) give(now time.Time, s *state, collector Host, spare float64) {
	parts := s.pool.take(s.pool.total(now))
	if least := s.limit.Rate * k.roster.part(now) * s.step().Seconds(); spare >= least {
		parts = append(parts, s.held.takeLast(spare)...)
	}
	for _, c := range parts {
		k.traffic.add(now, Report{Account: s.hash, Kind: Need, To: collector, Amount: toMilli(c.amount), TTL: uint64(c.until.Sub(now).Milliseconds())})
	}
}

// Receive takes in what another host has told, which may be for others.
func (k *Keeper) Receive(now time.Time, all []Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	self := HashHost(k.Self)
	for _, r := range all[:min(len(all), maxReports)] {
		r = r.bounded()
		switch {
		case r.From != 0 && !slices.Contains(k.roster.hosts, r.From):
			// Its sender isn't one of the hosts, or isn't known yet.
		case r.Kind == Alive:
			k.traffic.see(now, r)
		case r.Kind == Allowance && k.byHash[r.Account] == nil:
			// This host knows another configuration.
		case r.Kind == Allowance:
			r.Amount = min(r.Amount, toMilli(k.byHash[r.Account].most()))
			k.traffic.hearAllowance(now, r)
		case r.To != self:
			k.pass(now, r)
		case k.byHash[r.Account] == nil:
			// This host knows another configuration.
		case r.Kind == Need:
			k.byHash[r.Account].collect(now, r)
		case r.Kind == Grant, r.Kind == Surplus:
			k.byHash[r.Account].accept(now, r)
		}
	}
}

// maxAmount is the largest amount in a report that counts, in thousandths of a unit.
const maxAmount = 1 << 50

// bounded returns the report with all its amounts up to maxAmount.
func (r Report) bounded() Report {
	for _, n := range []*uint64{&r.Amount, &r.Firm, &r.Want, &r.Spare, &r.Lump, &r.Received} {
		*n = min(*n, maxAmount)
	}
	return r
}

// pass keeps a report for another host until a digest goes its way.
func (k *Keeper) pass(now time.Time, r Report) {
	if r.Amount > 0 {
		r.TTL -= min(r.TTL, uint64(hopLoss.Milliseconds()))
	}
	k.traffic.add(now, r)
}

// creditOf returns the credit in a report, which lives no longer than any. Its sender may have earned
// it before it learned that the limit was lowered.
func (s *state) creditOf(now time.Time, r Report) credit {
	ttl := min(time.Duration(min(r.TTL, uint64(maxLife.Milliseconds())))*time.Millisecond-hopLoss, s.life)
	until := now.Add(ttl)
	if now.Before(s.formerUntil) && until.After(s.formerUntil) {
		until = s.formerUntil
	}
	return credit{min(float64(r.Amount)/milli, s.most()), until}
}

// collect takes in credit and the need of another host.
func (s *state) collect(now time.Time, r Report) {
	if r.Amount > 0 {
		s.pool.add(s.creditOf(now, r), s.step())
	}
	if r.From != 0 {
		s.needOf(r.From).update(now, r)
	}
}

// accept takes in credit from a collector.
func (s *state) accept(now time.Time, r Report) {
	switch {
	case r.Kind == Surplus:
		s.spare.add(s.creditOf(now, r), 0)
	case r.Amount > 0:
		s.received += float64(r.Amount) / milli
		s.held.add(s.creditOf(now, r), s.step())
		s.repay(now)
	}
	if r.Short > 0 {
		s.shortAt, s.shortAfter = now, time.Duration(min(r.Short, uint64(maxRetryAfter.Milliseconds())))*time.Millisecond
	}
}
