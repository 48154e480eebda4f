package admission

import (
	"slices"
	"time"
)

const (
	// minShort is the number of requests that must lately have found no room, or been refused, for
	// a pool to count as short.
	minShort = 4
	// growth is the part by which more work passes than lately ended, if all requests that passed
	// found room. It falls to zero where toleratedShort of them find none, and further to -growth.
	growth         = 0.3
	toleratedShort = 0.05
	// minRoom is the least part of the demand that passes, so that room which comes free is found.
	minRoom = 0.1
	// minRankShare is what each rank has at least, as a part of the share that the whole demand has.
	minRankShare = 1.0 / 3
)

// A level is what passes of the demand for a pool.
type level struct {
	at     time.Time
	room   float64         // part of the demand that has room; 1 if the pool isn't short
	shares map[key]float64 // for each rank and account while it is short
}

// share returns the probability with which a request passes.
func (l level) share(k key) float64 {
	if l.room >= 1 {
		return 1
	}
	if share, ok := l.shares[k]; ok {
		return share
	}
	return 1 // an account that hasn't asked lately
}

// level returns what passes of the demand for a pool.
func (s *State) level(now time.Time, p pool) level {
	l, ok := s.levels[p]
	if ok && now.Sub(l.at) < shareAge {
		return l
	}
	if s.levels == nil {
		s.levels = make(map[pool]level)
	}
	s.advance(now)
	l = levelOf(s.demand(p))
	l.at = now
	s.levels[p] = l
	return l
}

// demand returns the counts of a pool over all hosts.
func (s *State) demand(p pool) map[key]count {
	sums := make(map[key]count)
	for k, c := range s.own {
		if k.pool == p {
			sums[k] = sums[k].add(c.count)
		}
	}
	for k, c := range s.heard.all {
		if k.pool == p {
			sums[k] = sums[k].add(c)
		}
	}
	return sums
}

func levelOf(demand map[key]count) level {
	total := count{}
	for _, c := range demand {
		total = total.add(c)
	}
	room := total.room()
	if room >= 1 {
		return level{room: 1}
	}
	return level{room: room, shares: sharesOf(demand, room*total.work)}
}

// room returns the part of the demand that has room: as much work as lately ended, which is all that
// the pool can do while it is short, and somewhat more or less to find out whether it can do more.
// What has found room counts as well, since work ends only after it has been started for a while.
func (c count) room() float64 {
	refused := max(0, c.offered-c.passed)
	if c.short+refused < minShort || c.passed <= 0 || c.work <= 0 {
		return 1
	}
	short := min(c.short/max(c.recent, 1), 1)
	step := max(1-short/toleratedShort, -1)
	ended := c.done / c.work * (1 + growth*step)
	found := c.passed * (1 - short) / c.offered * (1 + growth*max(step, 0))
	return min(max(ended, found, minRoom), 1)
}

// sharesOf divides room, in work, among the ranks and accounts.
func sharesOf(demand map[key]count, room float64) map[key]float64 {
	ranks := make(map[uint8]float64)
	total := 0.0
	for k, c := range demand {
		ranks[k.rank] += c.work
		total += c.work
	}
	shares := make(map[key]float64, len(demand))
	if total <= 0 {
		return shares
	}
	minimum := minRankShare * room / total
	rest := room - minimum*total
	for rank := range uint8(LowestRank + 1) {
		more := min(rest, (1-minimum)*ranks[rank])
		rest -= more
		divide(shares, demand, rank, minimum*ranks[rank]+more)
	}
	return shares
}

// divide sets the shares of the accounts of a rank that has room for so much work: each gets all
// that it asks for, or as much as any other (max-min).
func divide(shares map[key]float64, demand map[key]count, rank uint8, room float64) {
	var keys []key
	for k := range demand {
		if k.rank == rank {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		switch {
		case demand[a].work < demand[b].work:
			return -1
		case demand[a].work > demand[b].work:
			return 1
		}
		return int(int64(a.account) - int64(b.account))
	})
	for i, k := range keys {
		equal := room / float64(len(keys)-i)
		work := demand[k].work
		shares[k] = 1
		if work > equal {
			shares[k] = equal / work
		}
		room -= min(work, equal)
	}
}
