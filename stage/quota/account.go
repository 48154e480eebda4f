package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the mean demand of an account at one host.
	demandMemory = 2 * time.Second
	// exchangeTime is how long it takes a host to get credit from a collector: two ways through
	// two relays each, at one digest every 100 ms.
	exchangeTime = 800 * time.Millisecond
	// shortMemory is how long a collector's word counts that credit is short.
	shortMemory = 700 * time.Millisecond
	// expectedLumps is the least number of requests for which a host holds credit that it expects.
	expectedLumps = 4
	// lumpMemory is the number of requests over which their cost is averaged.
	lumpMemory = 8
	// spareMemory is how long after a request a host can use surplus.
	spareMemory = 10 * time.Second
	// maxShortWaiters is the number of requests of an account that wait for credit on one host while
	// it is short.
	maxShortWaiters = 1
	// lateMemory is how long after a collector's word that credit is short a host keeps credit that
	// came too late for the request that waited for it, if it sees one a second.
	lateMemory = 3 * time.Second
	// creditSteps is the number of parts of its lifetime in which a host tells credit apart.
	creditSteps = 16
)

// state is what one host knows of one account.
type state struct {
	name  string
	hash  uint32
	limit Limit
	life  time.Duration // of credit
	// formerUntil is when credit ends that was earned before the limit was last lowered.
	formerUntil time.Time

	held     balance
	spare    balance   // credit from the collector's surplus, which isn't given back
	earnedAt time.Time // until when this host's part has been earned
	debt     float64   // that it owes for requests that it has sent
	reserved float64   // for requests that are accepted and not sent yet
	waiting  float64   // for requests that wait for credit
	waiters  int       // number of these requests

	demand   float64 // mean of the last demandMemory, in units per second
	demandAt time.Time
	lump     float64 // mean cost of a request

	received   float64 // credit granted so far
	shortAfter time.Duration
	shortAt    time.Time // when a collector said that credit is short

	candidates []Host
	pool       balance // credit that other hosts gave to this one as the collector
	needs      map[Host]*need
	unmet      bool      // requests wait for credit, as far as the collector knows
	allowedAt  time.Time // when the last allowance was published
}

// setLimit sets the limit. A lower one binds a window after all hosts know it: what was earned before
// ends by then.
func (s *state) setLimit(now time.Time, limit Limit, b Bound) {
	lowered := limit.Rate < s.limit.Rate || limit.Burst < s.limit.Burst
	s.limit, s.life = limit, b.life(limit)
	if !lowered {
		return
	}
	s.formerUntil = now.Add(b.window())
	s.held.endBy(s.formerUntil)
	s.spare.endBy(s.formerUntil)
	s.pool.endBy(s.formerUntil)
}

// step returns the time within which credit isn't told apart.
func (s *state) step() time.Duration { return s.life / creditSteps }

// most returns the most credit that there can be at once.
func (s *state) most() float64 { return s.limit.Rate * s.life.Seconds() }

// earn adds what the host has earned since the last call. What was earned more than a lifetime ago
// has lapsed.
func (s *state) earn(now time.Time, part float64) {
	from := s.earnedAt
	s.earnedAt = now
	if from.IsZero() || part == 0 {
		return
	}
	if oldest := now.Add(-s.life); from.Before(oldest) {
		from = oldest
	}
	for step := max(s.step(), time.Millisecond); from.Before(now); from = from.Add(step) {
		duration := min(step, now.Sub(from))
		s.held.add(credit{s.limit.Rate * part * duration.Seconds(), from.Add(s.life)}, s.step())
	}
	s.repay(now)
}

// asked records that a caller has asked for cost units.
func (s *state) asked(now time.Time, cost float64) {
	s.demand = s.demandNow(now) + cost/demandMemory.Seconds()
	s.demandAt = now
	if s.lump == 0 {
		s.lump = cost
	}
	s.lump += (cost - s.lump) / lumpMemory
}

func (s *state) demandNow(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandAt).Seconds()/demandMemory.Seconds())
}

// expected returns the credit for the requests that arrive until this host could get more. It is 0
// where these are too few: what is held for them would lapse.
func (s *state) expected(now time.Time) float64 {
	expected := s.demandNow(now) * exchangeTime.Seconds()
	if expected < expectedLumps*s.lump {
		return 0
	}
	return expected
}

// kept returns the credit that this host doesn't give away. Where credit is short, that includes
// what came too late for the request that waited for it: another one follows. A host that sees
// few requests keeps none that is less than a request needs: it would lapse.
func (s *state) kept(now time.Time) float64 {
	kept, expected := s.needed(now), s.expected(now)
	if now.Sub(s.shortAt) <= lateMemory && s.demandNow(now) >= s.lump && s.usable(now) >= kept+s.lump-parcelRounding {
		kept += s.lump
	}
	return max(0, kept-s.spare.total(now)) + expected
}

// needed returns the part of what this host has for accepted and waiting requests that is of use.
func (s *state) needed(now time.Time) float64 {
	usable, needed := s.usable(now), s.reserved+s.waiting
	if usable < needed && s.expected(now) == 0 {
		return s.whole(usable)
	}
	return needed
}

// whole returns the part of an amount that serves whole requests of the mean cost.
func (s *state) whole(amount float64) float64 {
	if s.lump <= 0 {
		return 0
	}
	return math.Floor((amount+parcelRounding)/s.lump) * s.lump
}

// usable returns the credit that this host can use.
func (s *state) usable(now time.Time) float64 { return s.held.total(now) + s.spare.total(now) }

// spend takes credit for a request.
func (s *state) spend(now time.Time, cost float64) []credit {
	spare := min(cost, s.spare.total(now))
	return append(s.spare.take(spare), s.held.take(cost-spare)...)
}

// isShort reports whether a collector has said lately that the account has used up its quota.
func (s *state) isShort(now time.Time) bool {
	return !s.shortAt.IsZero() && now.Sub(s.shortAt) <= shortMemory
}

// maySoon reports whether a request that lacks credit may get it within ExchangeLimit.
func (s *state) maySoon(now time.Time) bool {
	return !s.isShort(now) || s.waiters < maxShortWaiters
}

// retryAfter returns when there is room for a request that lacks credit.
func (s *state) retryAfter(now time.Time, missing float64) time.Duration {
	after := time.Duration(missing / s.limit.Rate * float64(time.Second))
	if s.isShort(now) {
		after = max(after, s.shortAfter)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// The least and the greatest time after which a caller is told to come back, before the spread that
// Reserve adds.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
