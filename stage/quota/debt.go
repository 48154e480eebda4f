package quota

import (
	"time"

	"jacinthstage/stage/host"
)

// An account that is far from its limit has credit to spare at its collector, but a request would wait
// for it to arrive. The collector therefore allows each host to owe some: it sends at once, and pays
// with the credit that it earns or gets next. What all hosts owe together is limited by the credit
// that the collector has while it allows it, so that they exceed the bound no further than that.

const (
	// allowanceInterval is the time between two reports of an allowance, and allowanceLife how long
	// one counts.
	allowanceInterval = 200 * time.Millisecond
	allowanceLife     = time.Second
	// maxOverbooking is how many times over a collector allows its credit to be owed: seldom do all
	// hosts have a request at the same moment.
	maxOverbooking = 4
	// sparePool is the number of requests that a collector keeps beyond the demand of
	// exchangeTime, where it allows each host to owe one.
	sparePool = 3
	// maxOwing is the number of times over that what the bound leaves may be owed.
	maxOwing = 3
)

// An allowance is what a collector lets each host owe.
type allowance struct {
	start, sequence uint64
	amount          float64
	at              time.Time
}

// allowanceKey identifies the account and the collector of an allowance.
type allowanceKey struct {
	account   uint32
	collector Host
}

// allow returns what each host may owe, as the collector of the account sees it. While requests wait
// for credit that is little.
func (s *state) allow(now time.Time, hosts int, b Bound) float64 {
	if hosts == 0 {
		return 0
	}
	least := debtPart * b.beyond(s.limit) / float64(hosts)
	if s.unmet {
		return least
	}
	pool := s.pool.total(now)
	used := max(0, s.limit.Rate-pool/s.life.Seconds())
	overbooking := min(maxOverbooking, b.window().Seconds()/s.life.Seconds())
	each := max(least, max(1, overbooking)*pool/float64(hosts))
	if lump := s.largestLump(); pool >= sparePool*lump+used*exchangeTime.Seconds() {
		each = max(each, lump)
	}
	// A third of all hosts may owe all of it at once within the bound.
	window := b.window().Seconds()
	return min(each, max(least, maxOwing*(s.limit.Rate*window+b.beyond(s.limit)-used*window)/float64(hosts)))
}

// largestLump returns the largest mean cost of a request of all hosts that the collector knows.
func (s *state) largestLump() float64 {
	largest := s.lump
	for _, n := range s.needs {
		largest = max(largest, n.lump)
	}
	return largest
}

// mayOwe reports whether a request may be sent that lacks credit.
func (k *Keeper) mayOwe(now time.Time, s *state, missing float64) bool {
	collector, ok := k.collector(now, s)
	if !ok {
		return false
	}
	a := k.traffic.allowances[allowanceKey{s.hash, collector}]
	return now.Sub(a.at) <= allowanceLife && s.debt+missing <= a.amount
}

// repay pays what the host owes with the credit that it holds.
func (s *state) repay(now time.Time) {
	if s.debt <= 0 {
		return
	}
	paid := min(s.debt, s.held.total(now))
	s.held.take(paid)
	s.debt -= paid
}

// publish tells all hosts what they may owe, as the collector of the account.
func (k *Keeper) publish(now time.Time, s *state) {
	if now.Sub(s.allowedAt) < allowanceInterval {
		return
	}
	s.allowedAt = now
	k.traffic.sequence++
	k.traffic.hearAllowance(now, Report{
		Account: s.hash, Kind: Allowance, From: HashHost(k.Self), Start: k.Start, Sequence: k.traffic.sequence,
		Amount: toMilli(s.allow(now, len(k.roster.hosts), k.Bound)),
	})
}

// hearAllowance records an allowance if it is newer than the one that is known.
func (t *traffic) hearAllowance(now time.Time, r Report) {
	key := allowanceKey{r.Account, r.From}
	known, ok := t.allowances[key]
	if ok && (r.Start < known.start || r.Start == known.start && r.Sequence <= known.sequence) {
		return
	}
	if t.allowances == nil {
		t.allowances = make(map[allowanceKey]allowance)
	}
	t.allowances[key] = allowance{r.Start, r.Sequence, float64(r.Amount) / milli, now}
}

// takeAllowances returns the allowances to pass on, and forgets old ones.
func (t *traffic) takeAllowances(now time.Time, self Host, route Route) (out []Report) {
	for key, a := range t.allowances {
		if now.Sub(a.at) > host.Memory {
			delete(t.allowances, key)
			continue
		}
		if now.Sub(a.at) <= newsLife && (route.Relays || key.collector == self) {
			out = append(out, Report{Kind: Allowance, Account: key.account, From: key.collector, Start: a.start, Sequence: a.sequence, Amount: toMilli(a.amount)})
		}
	}
	return out
}
