package engine

import "time"

// run makes steps until there is nothing to run.
func (e *Engine) run() {
	for {
		wait, more := e.fill(time.Now())
		if !more {
			return
		}
		time.Sleep(wait)
		e.advance(time.Now())
	}
}

// fill moves requests from the queue into free places and returns the time of
// the step. It returns false where nothing runs.
func (e *Engine) fill(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	for len(e.running) < e.Batch && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	e.counts.Steps++
	e.counts.Filled += len(e.running)
	return time.Duration(float64(e.Token) * (1 + growth*float64(len(e.running)-1))), true
}

// advance ends a step: each running request has one more token.
func (e *Engine) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	ended := false
	for _, r := range append([]*request{}, e.running...) {
		r.tokens++
		if r.tokens < r.Tokens {
			r.change()
			continue
		}
		e.finish(r, done)
		ended = true
	}
	if ended {
		e.record()
	}
}

func (e *Engine) expire(now time.Time) {
	expired := false
	for _, r := range append(append([]*request{}, e.running...), e.queue...) {
		if !r.Deadline.IsZero() && now.After(r.Deadline) {
			e.finish(r, broken)
			expired = true
		}
	}
	if expired {
		e.record()
	}
}
