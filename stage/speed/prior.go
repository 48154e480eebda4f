package speed

import "time"

// The usual speed of a target of which nothing is known.
const (
	// prefillRate is the number of prompt tokens that a runner processes per millisecond.
	prefillRate = 38.0
	// stepTime is the duration of one batch step, which generates one token for each request in the batch.
	stepTime = 7 * time.Millisecond
	// meanSlotTime is how long a request usually occupies its batch slot on a runner.
	meanSlotTime = 1500 * time.Millisecond
	// batchDelay is what each running request adds to the time to the first token of a new one.
	batchDelay = 4 * time.Millisecond
	// meanServiceTime is how long a target of a plain service usually takes for a request.
	meanServiceTime = 40 * time.Millisecond
	// maxLatency is the longest time that is expected of any target.
	maxLatency = time.Hour
)

// A Work is a request as a target sees it, with what is ahead of it there.
type Work struct {
	Plain   bool // the target is of a plain service: it processes no prompts
	Tokens  int  // prompt tokens to process up to the first token of the answer
	Running int  // requests on the target
	Slots   int  // requests that it processes at once; 0 if unknown
}

// Usual returns the usual time to the first byte of an answer.
func (w Work) Usual() time.Duration {
	if w.Plain {
		latency := meanServiceTime + w.queueWait(meanServiceTime)
		return latency + meanServiceTime*time.Duration(w.Running)/time.Duration(max(1, w.Slots))/2
	}
	return promptTime(w.Tokens) + stepTime + w.queueWait(meanSlotTime) + batchDelay*time.Duration(w.Running)
}

// queueWait returns the wait for a slot, which each request occupies for slotTime.
func (w Work) queueWait(slotTime time.Duration) time.Duration {
	if w.Slots <= 0 || w.Running < w.Slots {
		return 0
	}
	return slotTime * time.Duration(w.Running-w.Slots+1) / time.Duration(w.Slots)
}

// promptTime returns the usual time in which a runner processes prompt tokens.
func promptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

// Slowed returns a time multiplied by a slowness, from 0 to maxLatency.
func Slowed(usual time.Duration, slowness float64) time.Duration {
	return time.Duration(min(max(float64(usual)*slowness, 0), float64(maxLatency)))
}

// MinObserved is the shortest expected time against which an observed one is compared.
const MinObserved = stepTime
