package direct

import (
	"sync"
	"time"

	"jacinthstage/stage/dispatch"
)

// startCheckInterval is the longest time between two checks whether a request that waits at its target
// may still begin there: a newer version may have been published meanwhile.
const startCheckInterval = 200 * time.Millisecond

// A startLimit ends an attempt that has waited at its target until the version of the adapter there
// may serve no more, because a newer one was published too long ago.
type startLimit struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// limitStart checks an attempt from now on. It calls cancel if the request must not begin any more.
func limitStart(attempt *dispatch.Attempt, cancel func()) *startLimit {
	l := &startLimit{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(nextStartCheck(attempt), func() { l.check(attempt, cancel) })
	return l
}

// nextStartCheck returns the time until the next check, 0 or less if the request must not begin any more.
func nextStartCheck(attempt *dispatch.Attempt) time.Duration {
	if last, ok := attempt.LastStart(); ok {
		return min(startCheckInterval, time.Until(last))
	}
	return startCheckInterval
}

func (l *startLimit) check(attempt *dispatch.Attempt, cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	next := nextStartCheck(attempt)
	if next <= 0 {
		l.done = true
		cancel()
		return
	}
	l.timer.Reset(next)
}

// stop ends the checks, once the request has begun. It returns false if the attempt was ended before.
func (l *startLimit) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer.Stop()
	running := !l.done
	l.done = true
	return running
}
