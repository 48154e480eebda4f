package speed

import (
	"math"
	"time"
)

const (
	// longHalfLife and recentHalfLife are the times after which an answer counts half in the two windows.
	longHalfLife   = 15 * time.Second
	recentHalfLife = 800 * time.Millisecond
	// priorRatios is the number of answers at the usual speed that are assumed beside those of the long window.
	priorRatios = 1.5
	// minRecent is the number of recent answers that may take precedence over the long window, and
	// recentRatio the ratio from which they do.
	minRecent   = 2.0
	recentRatio = 1.5
	// firstWeight is the weight of a time to the first byte where pauses of streams are observed too: what
	// was ahead of the request is known only in part.
	firstWeight = 0.3
	// maxRatio is the largest ratio of an observed to an expected time that counts, and the largest slowness.
	// The smallest one is its inverse.
	maxRatio = 8.0
	// maxPace is the largest slowness of the moment that counts, before it is compared with what the target
	// usually tells.
	maxPace = 100.0
	// paceHalfLife is the time after which what a target told counts half in what it usually tells.
	paceHalfLife = 10 * time.Second
	// priorPaces is the number of usual moments that are assumed beside those told.
	priorPaces = 4
	// priorGain is the assumed gain of the figure that targets tell, gainWeight the weight of the newest
	// answer in the gain. A target's figure counts while the gain is positive.
	priorGain  = 0.15
	gainWeight = 0.15
)

// A Target is what is known of the speed of one process of a target.
type Target struct {
	pool    *Pool
	service *Service
	key     uint32
	long    evidence // own observations: logarithms of ratios of observed to usual times
	recent  evidence
	paces   evidence // logarithms of what the target told
	pace    float64  // slowness of the moment at paceAt, as told; 0 if it was never told
	paceAt  time.Time
	gain    float64 // by how much the figure makes the errors of expectations smaller
	backlog evidence
	usual   float64 // what the target usually tells; 0 if it told nothing
	cache   present
	cached  moment
}

// A present is what is learned of a target at one moment.
type present struct {
	own  float64 // own slowness of the target
	pace float64 // slowness of the moment as told last, as a multiple of what the target usually tells
	left float64 // share of its meaning that pace has left; 0 if it doesn't count
}

// now returns what is learned of the target.
func (m *Target) now(now time.Time) *present {
	if at := m.pool.moment(now); m.cached != at {
		m.cache = present{own: m.own(now), pace: m.relative(m.pace)}
		if m.pace > 0 && m.gain+priorGain > 0 {
			age := max(0, now.Sub(m.paceAt))
			m.cache.left = math.Exp(-float64(age) / float64(m.service.usual(now).memory))
		}
		m.cached = at
	}
	return &m.cache
}

// Told reports whether the targets of the service tell the slowness of the moment, so that it is learned what
// they can do.
func (m *Target) Told() bool { return m != nil && m.service.told }

// Tell records the slowness of the moment that the target told, which is not positive if it told none.
func (m *Target) Tell(now time.Time, slowness float64) {
	if !(slowness > 0) {
		return
	}
	slowness = min(max(slowness, 1/maxPace), maxPace)
	m.service.told = true
	m.pool.changes++
	before, age := m.relative(m.pace), now.Sub(m.paceAt)
	m.paces.add(now, paceHalfLife, math.Log(slowness), 1)
	m.usual = math.Exp(m.paces.mean(priorPaces))
	m.service.sawMoment(now, m.relative(slowness), before, age)
	m.hearPace(now, slowness)
}

// hearPace records what the target told, possibly to another host.
func (m *Target) hearPace(at time.Time, slowness float64) {
	if at.After(m.paceAt) {
		m.pace, m.paceAt = slowness, at
	}
}

// relative returns what the target told as a multiple of what it usually tells, or 1 if it told nothing.
func (m *Target) relative(pace float64) float64 {
	if !(pace > 0) {
		return 1
	}
	if m.usual > 0 {
		pace /= m.usual
	}
	return min(max(pace, 1/maxRatio), maxRatio)
}

// moment returns the expected slowness of the moment: what the target told, as far as that still has a
// meaning, and else the mean of the service.
func (m *Target) moment(now time.Time) float64 {
	u, p := m.service.usual(now), m.now(now)
	return p.left*p.pace + (1-p.left)*(1+u.contended*(u.contention-1))
}

// own returns the own slowness of the target.
func (m *Target) own(now time.Time) float64 {
	m.long.fade(now, longHalfLife)
	m.recent.fade(now, recentHalfLife)
	others := m.pool.totals[m.key]
	long, recent := m.long.plus(others.Count, others.Sum), m.recent.plus(others.RecentCount, others.RecentSum)
	slow := long.mean(priorRatios)
	if lately := recent.mean(0); recent.count >= minRecent && math.Abs(lately-slow) > math.Log(recentRatio) {
		slow = lately
	}
	return min(max(math.Exp(slow), 1/maxRatio), maxRatio)
}

// Slowness returns the expected ratio of the target's times to those of Work.Usual.
func (m *Target) Slowness(now time.Time) float64 {
	return min(max(m.service.usual(now).correction*m.now(now).own*m.moment(now), 1/maxRatio), maxRatio*maxRatio)
}

// First records that the first byte of an answer arrived after the time observed where usual is its usual time
// and tokens the length of the prompt that was processed. told is the slowness of the moment that the answer
// told, if any.
func (m *Target) First(now time.Time, observed, usual time.Duration, tokens int, told float64) {
	if !m.Told() {
		return
	}
	own, correction, moment := m.own(now), m.service.usual(now).correction, 1.0
	if told > 0 {
		moment = m.relative(told)
	}
	plain, ok := logRatio(float64(observed), float64(usual)*correction)
	if !ok {
		return
	}
	known := math.Log(own)
	m.pool.changes++
	m.gain += gainWeight * (math.Abs(plain-known) - math.Abs(plain-known-math.Log(moment)) - m.gain)
	if m.gain+priorGain <= 0 {
		moment = 1
	}
	ratio := plain - math.Log(moment)
	streams := m.service.allGaps(now).count > 0
	switch {
	case !streams:
		m.observe(now, ratio, 1)
	case tokens >= longPrompt:
		m.observe(now, ratio, firstWeight)
	default:
		return
	}
	m.service.firsts.add(now, serviceHalfLife, math.Log(correction)+ratio-known, 1)
}

// Streamed records the times between the events of a stream that the target produces.
func (m *Target) Streamed(now time.Time, g Gaps) {
	quick := g.Quick()
	if quick <= 0 || !m.Told() {
		return
	}
	m.pool.changes++
	share := 0.0 // logarithm of the part of the pauses that comes from the target being slower than others
	if m.service.allGaps(now).count >= minGaps {
		ratio, _ := logRatio(float64(quick), float64(m.service.gap(now)))
		m.observe(now, ratio, 1)
		m.pool.changes++
		share = math.Log(m.own(now))
	}
	m.service.gaps.add(now, serviceHalfLife, math.Log(float64(quick)/float64(stepTime))-share, 1)
}

// observe adds the logarithm of a ratio to both windows.
func (m *Target) observe(now time.Time, ratio, weight float64) {
	m.long.add(now, longHalfLife, ratio, weight)
	m.recent.add(now, recentHalfLife, ratio, weight)
}

// report returns what this host tells others of the target.
func (m *Target) report(now time.Time) Report {
	m.long.fade(now, longHalfLife)
	m.recent.fade(now, recentHalfLife)
	r := Report{Target: m.key}
	r.Count, r.Sum = m.long.units()
	r.RecentCount, r.RecentSum = m.recent.units()
	if age := now.Sub(m.paceAt); m.pace > 0 && age < maxPaceAge {
		r.Pace, r.Age = uint(max(1, m.pace*100)), uint(max(0, age.Milliseconds()))
	}
	return r.bounded()
}
