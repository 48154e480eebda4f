package load

import (
	"fmt"
	"sync"
)

// A proof compares what the answers said of a request's running with what the
// targets ran. Each try of a completion has a mark of its own, so each refusal
// is checked; tries of an issuance share their key, so a key is checked where
// all its tries were refused as not run, or one was answered.
type proof struct {
	seed uint64 // begins this run's marks

	mu    sync.Mutex
	made  int
	marks verdicts // by mark
	keys  verdicts // by idempotency key
}

// verdicts are what the answers to one request's tries said.
type verdicts map[string]said

// said is what the answers so far said.
type said struct {
	refused  bool // as not run
	answered bool
	open     bool // some try may have run
}

// mark returns a new mark.
func (p *proof) mark() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made++
	return fmt.Sprintf("%d-%d", p.seed, p.made)
}

func (p *proof) completion(mark string, last outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.marks.add(mark, last)
}

func (p *proof) issuance(key string, last outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys.add(key, last)
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
	case unreached:
	case failed, wrong, doubled, cut:
		s.open = true
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", last))
	}
	(*v)[name] = s
}

// check returns the number of requests that were refused as not run and ran,
// and of those that were answered and never ran. The second is known only where
// no engine was started again since before, as its counts end with it.
func (p *proof) check(before, after usage) (ranRefused, unran int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := map[string]int{}
	for name, counts := range after.engines {
		for mark, times := range counts.Marks {
			ran[mark] += times - before.engines[name].Marks[mark]
		}
	}
	ranRefused, unran = p.marks.count(ran)
	if len(after.engines) == 0 || !after.same(before) {
		unran = 0
	}
	if after.registries {
		refusals, answers := p.keys.count(after.calls)
		ranRefused, unran = ranRefused+refusals, unran+answers
	}
	return ranRefused, unran
}

// count returns how many were refused and ran, and were answered and did not run.
func (v verdicts) count(ran map[string]int) (ranRefused, unran int) {
	for name, s := range v {
		switch {
		case s.answered && ran[name] == 0:
			unran++
		case s.refused && !s.answered && !s.open && ran[name] > 0:
			ranRefused++
		}
	}
	return ranRefused, unran
}
