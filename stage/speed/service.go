package speed

import (
	"math"
	"time"
)

const (
	// serviceHalfLife is the time after which an observation of a service's usual times counts half.
	serviceHalfLife = 20 * time.Second
	// priorAnswers is the number of answers at the prior speed that are assumed beside those observed.
	priorAnswers = 3
	// minGaps is the number of streams that must have ended before the pauses of another are compared with
	// theirs.
	minGaps = 4
	// longPrompt is the number of tokens from which the first byte of an answer shows how fast prompts are
	// processed. Other delays dominate before shorter ones.
	longPrompt = 2000
	// contendedFrom is the slowness from which a moment counts as contended.
	contendedFrom = 1.4
	// priorMemory is the time in which what a target tells of the moment loses two thirds of its meaning, as
	// long as nothing was observed. The learned time is from minMemory to maxMemory.
	priorMemory = 300 * time.Millisecond
	minMemory   = 30 * time.Millisecond
	maxMemory   = 3 * time.Second
	// maxPairAge is the longest time between two moments that show how one persists.
	maxPairAge = time.Second
)

// A Service is what is learned of the targets of one service together.
type Service struct {
	pool       *Pool
	key        uint32
	told       bool     // a target told the slowness of a moment
	gaps       evidence // own observations: logarithm of the time between events while no prompt is processed, in stepTime
	firsts     evidence // own observations: logarithm of the ratio of the time to the first byte to the usual one
	contended  evidence // 1 for each contended moment, 0 for any other
	contention evidence // slowness of contended moments
	persisted  evidence // how much of a contended moment was left at a later one
	pairAge    evidence // seconds between these
	pause      time.Duration
	pauseAt    time.Time
	cache      usualSpeed
	cached     moment
}

// A usualSpeed is what is learned of a service at one moment.
type usualSpeed struct {
	correction float64       // ratio of this service's usual times to those of the prior
	gap        time.Duration // usual time between two events of a stream while no prompt is processed
	contended  float64       // share of contended moments
	contention float64       // their mean slowness
	ofStream   float64       // probability of a contended moment during a stream
	memory     time.Duration // time in which what a target tells of the moment loses two thirds of its meaning
}

// usual returns what is learned of the service.
func (s *Service) usual(now time.Time) *usualSpeed {
	if at := s.pool.moment(now); s.cached != at {
		s.cache, s.cached = s.compute(now), at
	}
	return &s.cache
}

func (s *Service) compute(now time.Time) usualSpeed {
	u := usualSpeed{correction: s.correction(now), gap: s.gap(now), memory: s.memory()}
	u.contended, u.contention = s.contended.mean(priorAnswers), max(1, s.contention.mean(0))
	u.ofStream = 1 - math.Pow(1-u.contended, momentsOfStream)
	return u
}

// allGaps returns what all hosts observed of the times between events.
func (s *Service) allGaps(now time.Time) evidence {
	s.gaps.fade(now, serviceHalfLife)
	others := s.pool.totals[s.key]
	return s.gaps.plus(others.Count, others.Sum)
}

// correction returns the ratio of this service's usual times to those of the prior.
func (s *Service) correction(now time.Time) float64 {
	s.firsts.fade(now, serviceHalfLife)
	others := s.pool.totals[s.key]
	firsts := s.firsts.plus(others.RecentCount, others.RecentSum)
	return math.Exp(firsts.mean(priorAnswers))
}

// gap returns the usual time between two events of a stream while no prompt is processed.
func (s *Service) gap(now time.Time) time.Duration {
	gaps := s.allGaps(now)
	return time.Duration(math.Exp(gaps.mean(0)) * float64(stepTime))
}

// report returns what this host tells others of the service.
func (s *Service) report(now time.Time) Report {
	s.gaps.fade(now, serviceHalfLife)
	s.firsts.fade(now, serviceHalfLife)
	r := Report{Target: s.key}
	r.Count, r.Sum = s.gaps.units()
	r.RecentCount, r.RecentSum = s.firsts.units()
	return r.bounded()
}

// memory returns the time in which what a target tells of the moment loses two thirds of its meaning.
func (s *Service) memory() time.Duration {
	if s.persisted.count < minGaps {
		return priorMemory
	}
	left := min(max(s.persisted.mean(0), 0.01), 0.99)
	seconds := s.pairAge.mean(0) / -math.Log(left)
	return min(max(time.Duration(seconds*float64(time.Second)), minMemory), maxMemory)
}

// sawMoment records the slowness of a moment, and the one that the same target told before.
func (s *Service) sawMoment(now time.Time, slowness, before float64, age time.Duration) {
	share := 0.0
	if slowness >= contendedFrom {
		share = 1
		s.contention.add(now, serviceHalfLife, slowness, 1)
	}
	s.contended.add(now, serviceHalfLife, share, 1)
	if before >= contendedFrom && age > 0 && age < maxPairAge {
		s.persisted.add(now, serviceHalfLife, min(max((slowness-1)/(before-1), 0), 1), 1)
		s.pairAge.add(now, serviceHalfLife, age.Seconds(), 1)
	}
}

// pauseObjectiveAge is how long the strictest objective for pauses counts after a request with it.
const pauseObjectiveAge = 10 * time.Second

// notePause records the objective for the longest pause of a stream of the service.
func (s *Service) notePause(now time.Time, objective time.Duration) {
	if objective > 0 && (objective <= s.pause || now.Sub(s.pauseAt) > pauseObjectiveAge) {
		s.pause, s.pauseAt = objective, now
	}
}
