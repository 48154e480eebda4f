package engine

import "time"

// runSteps runs steps until no request is running or queued.
func (e *Engine) runSteps() {
	for {
		duration, more := e.fillBatch(time.Now())
		if !more {
			return
		}
		time.Sleep(duration)
		e.finishStep(time.Now())
	}
}

// fillBatch moves queued requests into free batch slots and returns the
// duration of the next step, or false if no request is running.
func (e *Engine) fillBatch(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortExpired(now)
	for len(e.running) < e.Batch && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	e.counts.Steps++
	e.counts.BatchSlotsUsed += len(e.running)
	return time.Duration(float64(e.StepTime) * (1 + stepGrowth*float64(len(e.running)-1))), true
}

// finishStep ends a step, in which each running request generated one token.
func (e *Engine) finishStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortExpired(now)
	ended := false
	for _, r := range append([]*request{}, e.running...) {
		r.generated++
		if r.generated < r.Tokens {
			r.notify()
			continue
		}
		e.finish(r, done)
		ended = true
	}
	if ended {
		e.recordReport()
	}
}

// abortExpired aborts the requests whose deadline has passed.
func (e *Engine) abortExpired(now time.Time) {
	expired := false
	for _, r := range append(append([]*request{}, e.running...), e.queue...) {
		if !r.Deadline.IsZero() && now.After(r.Deadline) {
			e.finish(r, aborted)
			expired = true
		}
	}
	if expired {
		e.recordReport()
	}
}
