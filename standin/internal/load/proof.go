package load

import (
	"fmt"
	"sync"
)

// A proof compares what the answers said of a request's running with what the
// targets ran. Each try of a completion has a mark of its own, so each refusal
// is checked; tries of an issuance share their key, so a key is checked where
// all its tries were refused as not run, or one was answered.
type runChecker struct {
	seed uint64 // begins this run's marks

	mu         sync.Mutex
	tagsIssued int
	byTag      verdicts // by mark
	byKey      verdicts // by idempotency key
}

// verdicts are what the answers to one request's tries said.
type verdicts map[string]verdict

// verdict is what the answers so far said.
type verdict struct {
	refused    bool // as not run
	answered   bool
	mayHaveRun bool // some try may have run
}

// newTag returns a new mark.
func (p *runChecker) newTag() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tagsIssued++
	return fmt.Sprintf("%d-%d", p.seed, p.tagsIssued)
}

func (p *runChecker) addCompletion(mark string, last outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byTag.add(mark, last)
}

func (p *runChecker) addIssuance(key string, last outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byKey.add(key, last)
}

func (v *verdicts) add(name string, last outcome) {
	if *v == nil {
		*v = verdicts{}
	}
	s := (*v)[name]
	switch last.(type) {
	case refused:
		s.refused = true
	case answered:
		s.answered = true
	case notSent:
	case failed, mismatched, duplicated, interrupted:
		s.mayHaveRun = true
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", last))
	}
	(*v)[name] = s
}

// check returns the number of requests that were refused as not run and ran,
// and of those that were answered and never ran. The second is known only where
// no engine was started again since before, as its counts end with it.
func (p *runChecker) check(before, after targetCounts) (ranRefused, unran int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := map[string]int{}
	for name, counts := range after.engines {
		for mark, times := range counts.RunsByTag {
			ran[mark] += times - before.engines[name].RunsByTag[mark]
		}
	}
	ranRefused, unran = p.byTag.countContradicted(ran)
	if len(after.engines) == 0 || !after.sameEngines(before) {
		unran = 0
	}
	if after.hasRegistries {
		refusals, answers := p.byKey.countContradicted(after.runsByKey)
		ranRefused, unran = ranRefused+refusals, unran+answers
	}
	return ranRefused, unran
}

// countContradicted returns how many were refused and ran, and were answered and did not run.
func (v verdicts) countContradicted(ran map[string]int) (ranRefused, unran int) {
	for name, s := range v {
		switch {
		case s.answered && ran[name] == 0:
			unran++
		case s.refused && !s.answered && !s.mayHaveRun && ran[name] > 0:
			ranRefused++
		}
	}
	return ranRefused, unran
}
