package suspect

import (
	"sync"
	"time"

	"jacinthstage/stage/quarantine"
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
	Request quarantine.Fingerprint
	ID      string // that the caller gave to the request

	at time.Time
}

// Attempts holds attempts without an answer until it is known whether the process of
// their target ended. The zero value is empty and ready to use. It is safe for
// concurrent use.
type Attempts struct {
	mu   sync.Mutex
	open map[string][]Attempt // by the ID that a crash of the target would have
}

// Add records an attempt. If there are too many for its target, the oldest is dropped.
func (a *Attempts) Add(now time.Time, crash string, attempt Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = make(map[string][]Attempt)
	}
	a.expire(now)
	attempt.at = now
	kept := append(a.open[crash], attempt)
	a.open[crash] = kept[max(0, len(kept)-attemptsPerTarget):]
}

// Take removes and returns the attempts at a target that has ended.
func (a *Attempts) Take(now time.Time, crash string) []Attempt {
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
		for first < len(all) && now.Sub(all[first].at) > attemptRetention {
			first++
		}
		if first == len(all) {
			delete(a.open, crash)
			continue
		}
		a.open[crash] = all[first:]
	}
}
