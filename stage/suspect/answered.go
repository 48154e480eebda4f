package suspect

import (
	"time"

	"jacinthstage/stage/quarantine"
)

const (
	// answeredRetention is how long at least a complete answer is remembered, if there
	// is room.
	answeredRetention = time.Minute
	// maxAnswered is the number of requests in one generation of answered.
	maxAnswered = 4096
)

// answered remembers the requests that got a complete answer recently, in two
// generations of which the older one is dropped as a whole. The zero value is ready to
// use.
type answered struct {
	current, previous map[quarantine.Fingerprint]time.Time
	since             time.Time // start of the current generation
}

func (a *answered) add(now time.Time, fp quarantine.Fingerprint) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.since) > answeredRetention {
		a.previous, a.current, a.since = a.current, make(map[quarantine.Fingerprint]time.Time), now
	}
	a.current[fp] = now
}

// recently reports whether the request got a complete answer in the last
// answeredRetention.
func (a *answered) recently(now time.Time, fp quarantine.Fingerprint) bool {
	at, ok := a.current[fp]
	if !ok {
		at, ok = a.previous[fp]
	}
	return ok && now.Sub(at) <= answeredRetention
}
