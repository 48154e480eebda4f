package suspect

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trialWaits are the times without a crash or a trial after which one request with a
// refused trait may be sent. Each trial and, up to maxCrashSteps, each crash beyond
// crashLimit leads to the next one, so that a trait that was at three crashes gets three
// trials in the first day.
var trialWaits = []time.Duration{5 * time.Second, 20 * time.Second, 2 * time.Minute, 30 * time.Minute, refusedRetention}

const (
	// maxCrashSteps is the number of trialWaits that crashes alone can skip. Many targets may
	// crash before hosts know of it.
	maxCrashSteps = 3
	// ambiguousFactor multiplies the wait for a request with several refused traits: a
	// request with only one of them tells more.
	ambiguousFactor = 4
	// turnDuration is the time by which a trial is left to the hosts of lower rank. The
	// number of hosts that may start one doubles with each step, so that two hosts seldom
	// start one before they hear of each other's.
	turnDuration = time.Second
)

// SetHosts sets the name of this host and those of all hosts, which take turns in trials.
func (l *List) SetHosts(self string, all []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self, l.hosts = self, all
}

// rank returns the number of other hosts that may try a request with the trait first.
func (l *List) rank(t Trait) int {
	weight := func(host string) uint64 { return xxhash.Sum64String(host + "@" + t.String()) }
	own, n := weight(l.self), 0
	for _, h := range l.hosts {
		if h != l.self && weight(h) < own {
			n++
		}
	}
	return n
}

// trialDue returns the time from which this host may send a request with a refused trait
// to find out whether it crashes targets. factor multiplies the wait.
func (l *List) trialDue(t Trait, factor time.Duration) time.Time {
	r := l.records[t]
	since := r.lastCrash()
	if r.triedAt.After(since) {
		since = r.triedAt
	}
	return since.Add(factor*trialWaits[min(l.trialStep(t), len(trialWaits)-1)] + time.Duration(bits.Len(uint(l.rank(t))))*turnDuration)
}

// trialStep returns the index of the next trial's wait in trialWaits, or a higher one.
func (l *List) trialStep(t Trait) int {
	return max(min(l.refused[t]-crashLimit, maxCrashSteps), l.records[t].trials)
}

// try records that a request with a refused trait is sent.
func (l *List) try(now time.Time, t Trait) {
	r := l.records[t]
	r.trials = l.trialStep(t) + 1
	r.triedAt, r.learned = now, now
}
