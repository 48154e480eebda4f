package dispatch

import (
	"time"

	"jacinthstage/stage/relay"
)

const (
	// failureWeight is the weight of the newest answer in a target's share of failures.
	failureWeight = 0.1
	// failureAge is the time in which a target's share of failures halves.
	failureAge = 2 * time.Second
	// failureDoubt is the number of answers without a failure that every target is
	// thought to have given, so that one failure says little.
	failureDoubt = 2
	// paceWeight is the weight of the newest answer in a target's pace.
	paceWeight = 0.15
	paceLeast  = 0.7
	paceMost   = 8.0
)

// A tally counts what this host saw of a target in the present second and in the
// one before.
type tally struct {
	second       int64
	now, earlier relay.TargetLoad
}

func (c *tally) turn(now time.Time) {
	switch second := now.Unix(); second {
	case c.second:
		return
	case c.second + 1:
		c.second, c.earlier, c.now = second, c.now, relay.TargetLoad{}
	default:
		c.second, c.earlier, c.now = second, relay.TargetLoad{}, relay.TargetLoad{}
	}
}

// rate takes an answer into the target's share of failures: 1 is a failure.
func (t *target) rate(now time.Time, share float64) {
	t.failures = (1-failureWeight)*t.failing(now) + failureWeight*share
	t.rated = now
	t.seen.turn(now)
	t.seen.now.Done++
	if share > 0 {
		t.seen.now.Failed++
	}
}

// failing returns the target's share of failures as this host saw it. What is
// long ago counts less.
func (t *target) failing(now time.Time) float64 {
	return t.failures / (1 + now.Sub(t.rated).Seconds()/failureAge.Seconds())
}

// learn takes in how much slower than expected an answer began. It stays with this
// host: what others expected differs from what this one would have.
func (t *target) learn(ratio float64) {
	ratio = min(max(ratio, 1/paceMost), paceMost)
	t.pace = min(max((1-paceWeight)*t.pace+paceWeight*ratio, paceLeast), paceMost)
}

// share returns what this host tells others of a target.
func (t *target) share(now time.Time) relay.TargetLoad {
	t.seen.turn(now)
	l := relay.TargetLoad{
		Target: t.mark, InProgress: t.open, PrefillTokens: t.prefill,
		Done: t.seen.now.Done + t.seen.earlier.Done, Failed: t.seen.now.Failed + t.seen.earlier.Failed,
	}
	if t.unreached(now) {
		l.Unreachable = 1
	}
	return l
}

// failing returns a target's share of failures as this host or the others see it.
func (b *Dispatcher) failing(now time.Time, t *target) float64 {
	others := b.exchange.OthersLoad(t.mark)
	own := t.failing(now)
	if others.Done == 0 {
		return own
	}
	return max(own, float64(others.Failed)/float64(others.Done+failureDoubt))
}

// usual returns the share of failures of all targets together, as other hosts
// see it: where all fail alike, none is worse than the others.
func (b *Dispatcher) usual(all []*target) float64 {
	done, failed := failureDoubt, 0
	for _, t := range all {
		l := b.exchange.OthersLoad(t.mark)
		done += l.Done
		failed += l.Failed
	}
	return float64(failed) / float64(done)
}
