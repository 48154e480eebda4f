package direct

import (
	"time"

	"jacinthstage/stage/dispatch"
)

// startCheckInterval is the longest time between two checks whether a request that waits at its target
// may still begin there: a newer version may have been published meanwhile.
const startCheckInterval = 200 * time.Millisecond

// limitStart returns a watchdog that calls cancel once the request must not begin at its target any
// more, because a newer version of its adapter was published too long ago.
func (req *callerRequest) limitStart(attempt *dispatch.Attempt, cancel func()) *watchdog {
	w := &watchdog{}
	if req.call.Adapter != "" {
		w.start(nextStartCheck(attempt), func() { checkStart(w, attempt, cancel) })
	}
	return w
}

// nextStartCheck returns the time until the next check, 0 or less if the request must not begin any more.
func nextStartCheck(attempt *dispatch.Attempt) time.Duration {
	if last, ok := attempt.LastStart(); ok {
		return min(startCheckInterval, time.Until(last))
	}
	return startCheckInterval
}

// checkStart cancels the attempt if the request must not begin any more. Otherwise checkStart runs again
// later.
func checkStart(w *watchdog, attempt *dispatch.Attempt, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	next := nextStartCheck(attempt)
	if next > 0 {
		w.timer.Reset(next)
		return
	}
	w.done = true
	cancel()
}
