package load

import (
	"fmt"
	"sync"
)

// A runChecker compares the verdicts of answers with what the targets ran. Each
// attempt of a completion has its own tag, so every refusal can be checked. The
// attempts of an issuance share one key, so a key is checked only if all its
// attempts were refused as not run, or one was answered.
type runChecker struct {
	seed uint64 // first part of this run's tags

	mu         sync.Mutex
	tagsIssued int
	byTag      verdicts // by tag
	byKey      verdicts // by idempotency key
}

// verdicts holds the verdicts by tag or key.
type verdicts map[string]verdict

// A verdict summarizes the answers to the attempts with one tag or key.
type verdict struct {
	refused    bool // an attempt was refused as not run
	answered   bool
	mayHaveRun bool // some attempt failed in a way that leaves open whether it ran
}

// newTag returns a tag for an attempt of a completion.
func (c *runChecker) newTag() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tagsIssued++
	return fmt.Sprintf("%d-%d", c.seed, c.tagsIssued)
}

func (c *runChecker) addCompletion(tag string, result outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byTag.add(tag, result)
}

func (c *runChecker) addIssuance(key string, result outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKey.add(key, result)
}

func (v *verdicts) add(id string, result outcome) {
	if *v == nil {
		*v = verdicts{}
	}
	s := (*v)[id]
	switch result.(type) {
	case refused:
		s.refused = true
	case answered:
		s.answered = true
	case notSent:
	case failed, mismatched, duplicated, interrupted:
		s.mayHaveRun = true
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", result))
	}
	(*v)[id] = s
}

// check returns the number of requests that were refused as not run but ran, and
// the number that were answered but never ran. Answered completions can be
// checked only if no engine restarted since before, because an engine's counts
// are lost with its process.
func (c *runChecker) check(before, after targetCounts) (refusedButRan, answeredNotRun int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := map[string]int{}
	for incarnation, counts := range after.engines {
		for tag, n := range counts.RunsByTag {
			ran[tag] += n - before.engines[incarnation].RunsByTag[tag]
		}
	}
	refusedButRan, answeredNotRun = c.byTag.countContradicted(ran)
	if len(after.engines) == 0 || !after.sameEngines(before) {
		answeredNotRun = 0
	}
	if after.hasRegistries {
		refusals, answers := c.byKey.countContradicted(after.runsByKey)
		refusedButRan, answeredNotRun = refusedButRan+refusals, answeredNotRun+answers
	}
	return refusedButRan, answeredNotRun
}

// countContradicted returns the number of verdicts with refusals that ran
// nevertheless, and with answers that did not run.
func (v verdicts) countContradicted(ran map[string]int) (refusedButRan, answeredNotRun int) {
	for id, s := range v {
		switch {
		case s.answered && ran[id] == 0:
			answeredNotRun++
		case s.refused && !s.answered && !s.mayHaveRun && ran[id] > 0:
			refusedButRan++
		}
	}
	return refusedButRan, answeredNotRun
}
