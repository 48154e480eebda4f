package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
)

const (
	// readRate is how many prompt tokens a runner reads in a millisecond.
	readRate = 38.0
	// stepTime is the time of one step of a batch, in which each of its requests
	// gets a token.
	stepTime = 7 * time.Millisecond
	// meanRun is how long a request usually holds its place on a runner.
	meanRun = 1500 * time.Millisecond
	// meanRead is the time that a runner still reads the prompt of a request of
	// another host, on average over the requests that run.
	meanRead = 25 * time.Millisecond
	// meanWork is how long a plain service works on a request.
	meanWork = 40 * time.Millisecond
	// nearDelay and farDelay are what a request loses on its way to another zone
	// and to another region, there and back.
	nearDelay = 3 * time.Millisecond
	farDelay  = 65 * time.Millisecond
	// farPrice is what a byte between regions costs, in waiting time for each KB.
	farPrice = 4 * time.Millisecond
	// loadAge is the time in which what a target said of its load halves.
	loadAge = 2 * time.Second
)

// distance returns what a request loses on its way to a target, with the price
// of the bytes that cross regions.
func (b *Board) distance(t *target, size int) time.Duration {
	switch {
	case t.Zone == b.Zone:
		return 0
	case b.region(t.Zone) == b.region(b.Zone):
		return nearDelay
	default:
		return farDelay + time.Duration(size/1024)*farPrice
	}
}

// running estimates how many requests of all hosts a target has.
func (t *target) running(now time.Time) int {
	if !t.heard.Known {
		return t.open
	}
	others := float64(t.heard.Running + t.heard.Waiting - t.opened)
	if others <= 0 {
		return t.open
	}
	age := now.Sub(t.at).Seconds() / loadAge.Seconds()
	return t.open + int(others/(1+age)+0.5)
}

// queue estimates the wait for a place on a target whose requests hold one for
// span.
func (t *target) queue(running int, span time.Duration) time.Duration {
	if t.Slots <= 0 || running < t.Slots {
		return 0
	}
	return span * time.Duration(running-t.Slots+1) / time.Duration(t.Slots)
}

// expected estimates the time until a target answers, loads aside.
func (b *Board) expected(now time.Time, t *target, w Want) time.Duration {
	running := t.running(now)
	var span time.Duration
	if w.engine() {
		others := time.Duration(max(0, running-t.open))
		cached := t.memory.Cached(w.Call, w.keys)
		span = others*meanRead + reading(t.prefill) + reading(max(0, w.Call.Input-cached)) + stepTime
		span += t.queue(running, meanRun)
	} else {
		span = meanWork + t.queue(running, meanWork)
		span += meanWork * time.Duration(running) / time.Duration(max(1, t.Slots)) / 2
	}
	span = time.Duration(float64(span) * t.pace)
	return span + b.distance(t, w.Size)
}

// reading returns the time that a runner takes to read tokens of prompts.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// usable reports whether new requests may go to a target.
func (t *target) usable(now time.Time) bool {
	if t.State != catalog.Ready || !t.gone.IsZero() && now.After(t.gone) {
		return false
	}
	return t.shunned.IsZero() || now.After(t.shunned) && !t.trial
}

// hear takes in what a target said of its load.
func (t *target) hear(now time.Time, l call.Load) {
	if l.Known {
		t.heard, t.at, t.opened = l, now, t.open
	}
}
