package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxReports is the largest number of reports in one digest. What doesn't fit is added up for
	// each pool and rank.
	maxReports = 64
	// minTold is the number of requests that must have found no room, or been refused, for a pool to
	// be told of. It is below minShort, since the parts of all hosts are added up.
	minTold = 0.1
	// countUnit is the part of a request that the counts in reports are multiples of.
	countUnit = 0.01
	// maxReported bounds the numbers in reports, so that their sums over all hosts stay finite.
	maxReported = 1 << 40
)

// A Report is what one host tells others of the requests for a service: their number in the last
// second or so, by pool, rank and account, summed over the hosts that it speaks for.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // hash of the service's name
	Pool    uint8
	Rank    uint8
	Account uint32 // hash of the account's name; 0 if none
	Offered uint64 // requests, in hundredths
	Passed  uint64 // those that weren't refused here, in hundredths
	Work    uint64 // of the offered ones
	Done    uint64 // work of requests that ended
	Recent  uint64 // requests that passed in a shorter time, in hundredths
	Short   uint64 // those of them that found no room in time, in hundredths
}

// Learn takes in the reports of a host, which replace those before. reporter says that the host
// reports to this one.
func (s *State) Learn(now time.Time, from string, reporter bool, all []Report) {
	if len(all) == 0 {
		s.heard.forget(from)
		return
	}
	c := contribution{at: now, reporter: reporter, counts: make(map[key]count, len(all))}
	for _, r := range all[:min(len(all), maxReports)] {
		k := key{pool{r.Service, Pool(r.Pool)}, min(r.Rank, LowestRank), r.Account}
		c.counts[k] = c.counts[k].add(r.count())
	}
	s.heard.set(from, c)
}

func (r Report) count() count {
	return count{
		offered: hundredths(r.Offered), passed: hundredths(min(r.Passed, r.Offered)), work: float64(min(r.Work, maxReported)), done: float64(min(r.Done, maxReported)),
		recent: hundredths(r.Recent), short: hundredths(r.Short),
	}
}

func hundredths(n uint64) float64 { return float64(min(n, maxReported)) * countUnit }

// Forget drops what a host reported.
func (s *State) Forget(from string) { s.heard.forget(from) }

// Reports returns what to tell a host of the pools that are short somewhere: the counts of this
// host and, if all is set, of all others but the receiver, otherwise of those that report to
// this one.
func (s *State) Reports(now time.Time, to string, all bool) []Report {
	if len(s.own) == 0 && len(s.heard.from) == 0 {
		return nil
	}
	s.advance(now)
	short := s.shortPools()
	if len(short) == 0 {
		return nil
	}
	sums := s.heard.passedOn(to, all)
	for k, c := range s.own {
		sums[k] = sums[k].add(c.count)
	}
	for k := range sums {
		if !short[k.pool] {
			delete(sums, k)
		}
	}
	return encode(bound(sums))
}

// shortPools returns the pools for which requests found no room or were refused lately, here or
// at another host.
func (s *State) shortPools() map[pool]bool {
	missed := make(map[pool]float64)
	for k, c := range s.own {
		missed[k.pool] += c.short + c.offered - c.passed
	}
	for k, c := range s.heard.all {
		missed[k.pool] += c.short + c.offered - c.passed
	}
	short := make(map[pool]bool)
	for p, n := range missed {
		if n >= minTold {
			short[p] = true
		}
	}
	return short
}

// bound adds up the smallest counts of each pool and rank until maxReports are left. Counts that
// don't fit even so are dropped.
func bound(sums map[key]count) map[key]count {
	if len(sums) <= maxReports {
		return sums
	}
	keys := make([]key, 0, len(sums))
	for k := range sums {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Compare(sums[b].work, sums[a].work) })
	out := make(map[key]count, maxReports)
	for i, k := range keys {
		counted := sums[k]
		if i >= maxReports/2 {
			k.account = otherAccounts
		}
		if _, known := out[k]; known || len(out) < maxReports {
			out[k] = out[k].add(counted)
		}
	}
	return out
}

func encode(sums map[key]count) []Report {
	out := make([]Report, 0, len(sums))
	for k, c := range sums {
		out = append(out, Report{
			Service: k.service, Pool: uint8(k.kind), Rank: k.rank, Account: k.account,
			Offered: whole(c.offered / countUnit), Passed: whole(c.passed / countUnit), Work: whole(c.work), Done: whole(c.done),
			Recent: whole(c.recent / countUnit), Short: whole(c.short / countUnit),
		})
	}
	return out
}

// whole returns a number that isn't negative as it is reported.
func whole(n float64) uint64 { return uint64(math.Round(min(max(n, 0), maxReported))) }
