package dispatch

import (
	"time"

	"jacinthstage/stage/relay"
)

const (
	// failureWeight is the weight of the newest answer in a target's failure rate.
	failureWeight = 0.1
	// failureHalfLife is the time after which a target's failure rate counts half.
	failureHalfLife = 2 * time.Second
	// assumedSuccesses is added to the number of answers of a target when its
	// failure rate is computed, so that one failure among few answers weighs
	// little.
	assumedSuccesses = 2
	// slowdownWeight is the weight of the newest answer in a target's slowdown.
	slowdownWeight = 0.15
	minSlowdown    = 0.7
	maxSlowdown    = 8.0
)

// An outcomeWindow counts the outcomes that this host observed on a target in the
// current second and in the previous one.
type outcomeWindow struct {
	second            int64
	current, previous relay.TargetLoad
}

// advance moves the window to the second of now.
func (o *outcomeWindow) advance(now time.Time) {
	switch second := now.Unix(); second {
	case o.second:
		return
	case o.second + 1:
		o.second, o.previous, o.current = second, o.current, relay.TargetLoad{}
	default:
		o.second, o.previous, o.current = second, relay.TargetLoad{}, relay.TargetLoad{}
	}
}

// recordOutcome adds an answer to the target's failure rate: failure is 1 for a
// failed answer and 0 for any other.
func (t *target) recordOutcome(now time.Time, failure float64) {
	t.failureRate = (1-failureWeight)*t.localFailureRate(now) + failureWeight*failure
	t.ratedAt = now
	t.outcomes.advance(now)
	t.outcomes.current.Done++
	if failure > 0 {
		t.outcomes.current.Failed++
	}
}

// localFailureRate returns the target's failure rate as observed by this host. It
// decays with the time since the last answer.
func (t *target) localFailureRate(now time.Time) float64 {
	return t.failureRate / (1 + now.Sub(t.ratedAt).Seconds()/failureHalfLife.Seconds())
}

// updateSlowdown adds the ratio of an answer's observed to its expected latency to
// the target's slowdown. The estimate is not shared with other hosts, since their
// expectations differ from those of this host.
func (t *target) updateSlowdown(ratio float64) {
	ratio = min(max(ratio, 1/maxSlowdown), maxSlowdown)
	t.slowdown = min(max((1-slowdownWeight)*t.slowdown+slowdownWeight*ratio, minSlowdown), maxSlowdown)
}

// loadReport returns what this host reports of a target to other hosts.
func (d *Dispatcher) loadReport(now time.Time, t *target) relay.TargetLoad {
	t.outcomes.advance(now)
	l := relay.TargetLoad{
		Target: t.hash, InProgress: t.inFlight, PrefillTokens: t.pendingPrefill,
		Done: t.outcomes.current.Done + t.outcomes.previous.Done, Failed: t.outcomes.current.Failed + t.outcomes.previous.Failed,
	}
	if d.connectFailed(now, t) {
		l.Unreachable = 1
	}
	return l
}

// failureRate returns a target's failure rate as observed by this host or by the
// other hosts, whichever is higher.
func (d *Dispatcher) failureRate(now time.Time, t *target) float64 {
	others := d.aggregator.OthersLoad(t.hash)
	local := t.localFailureRate(now)
	if others.Done == 0 {
		return local
	}
	return max(local, float64(others.Failed)/float64(others.Done+assumedSuccesses))
}

// baseFailureRate returns the failure rate of several targets together, as
// observed by other hosts. Failures up to this rate don't count against a target:
// where all fail alike, none is worse than the others.
func (d *Dispatcher) baseFailureRate(all []*target) float64 {
	done, failed := assumedSuccesses, 0
	for _, t := range all {
		l := d.aggregator.OthersLoad(t.hash)
		done += l.Done
		failed += l.Failed
	}
	return float64(failed) / float64(done)
}
