package suspect

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// attemptRetention is how long an attempt without an answer is kept. The list of
	// targets shows the end of a silent process within some seconds.
	attemptRetention = 10 * time.Second
	// attemptsPerTarget is the maximum number of attempts that are kept for one target.
	attemptsPerTarget = 64
)

// An Attempt is one attempt at a request that got no answer.
type Attempt struct {
	Request Request
	ID      string     // that the caller gave to the request
	Caller  netip.Addr // that sent it
	Path    string
	At      time.Time // when the host gave the attempt up
}

// Attempts holds attempts without an answer until it is known whether the process of
// their target ended. The zero value is empty and ready to use. It is safe for
// concurrent use.
type Attempts struct {
	mu   sync.Mutex
	open map[Crash][]Attempt // by the crash that the end of the target would be
}

// Add records an attempt. If there are too many for its target, the oldest is dropped.
func (a *Attempts) Add(now time.Time, crash Crash, attempt Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = make(map[Crash][]Attempt)
	}
	a.expire(now)
	attempt.At = now
	kept := append(a.open[crash], attempt)
	a.open[crash] = kept[max(0, len(kept)-attemptsPerTarget):]
}

// Take removes and returns the attempts at a target that has ended.
func (a *Attempts) Take(now time.Time, crash Crash) []Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	taken := a.open[crash]
	delete(a.open, crash)
	return taken
}

// expire drops the attempts that are too old.
func (a *Attempts) expire(now time.Time) {
	for crash, all := range a.open {
		first := 0
		for first < len(all) && now.Sub(all[first].At) > attemptRetention {
			first++
		}
		if first == len(all) {
			delete(a.open, crash)
			continue
		}
		a.open[crash] = all[first:]
	}
}
