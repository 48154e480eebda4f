package speed

import (
	"math"
	"time"
)

const (
	// backlogMemory is the time after which a target's backlog of prompts counts half in its mean.
	backlogMemory = 2 * time.Second
	// typicalPrompt is the number of prompt tokens that are expected to arrive on a target beside those that
	// are known.
	typicalPrompt = 2500
	// momentsOfStream is the number of different moments that a stream is expected to last.
	momentsOfStream = 2.5
	// othersWeight is the part of the running requests that are expected to be streams with an objective for
	// their pauses, and maxOthersCost the largest cost of what a prompt does to these.
	othersWeight  = 0.4
	maxOthersCost = 2.0
	// minCommon is the number of prompt tokens below which a prompt doesn't slow the streams of others.
	minCommon = 256
)

// A Load is what a target has to do besides a request.
type Load struct {
	Own     int // prompt tokens of the request that the target has to process
	Backlog int // prompt tokens of others that it has to process
	Running int // requests on it
}

// backlogInterval is the time between two backlogs that count in the mean.
const backlogInterval = 20 * time.Millisecond

// NoteBacklog records the backlog of prompts on the target.
func (m *Target) NoteBacklog(now time.Time, tokens int) {
	if now.Sub(m.backlog.at) < backlogInterval {
		return
	}
	m.backlog.add(now, backlogMemory, float64(min(max(tokens, 0), maxCount)), 1)
}

// PauseCost returns the cost of late pauses between the events of streams if a request is sent to the target: those
// of its own stream, if it has an objective for its longest pause, and those of the streams that run there, between
// whose tokens its prompt is processed. The unit is one late answer.
func (m *Target) PauseCost(now time.Time, l Load, objective time.Duration) float64 {
	s := m.service
	theirs := s.pause
	if objective <= 0 && (theirs <= 0 || l.Own < minCommon) {
		return 0
	}
	f := m.forecast(now)
	cost := 0.0
	if objective > 0 {
		cost = f.late(objective, l.Backlog, f.stream)
	}
	if theirs > 0 && l.Own >= minCommon && l.Running > 0 {
		more := f.late(theirs, l.Backlog+l.Own, f.soon) - f.late(theirs, l.Backlog, f.soon)
		cost += min(othersWeight*float64(l.Running)*more, maxOthersCost)
	}
	return cost
}

// A forecast is what is expected of a target's pauses. Moments are usual or contended.
type forecast struct {
	gap       float64 // milliseconds between two events while no prompt is processed
	token     float64 // milliseconds to process a prompt token
	spread    float64 // tokens by which the backlog is exceeded once in e times
	contended float64 // slowness of contended moments
	soon      float64 // probability of a contended moment soon
	stream    float64 // the same during a stream
}

func (m *Target) forecast(now time.Time) forecast {
	u, p := m.service.usual(now), m.now(now)
	f := forecast{
		gap:       float64(u.gap) / float64(time.Millisecond) * p.own,
		token:     u.correction * p.own / prefillRate,
		spread:    typicalPrompt + m.backlog.mean(1),
		contended: max(u.contention, contendedFrom),
		soon:      (1 - p.left) * u.contended,
	}
	if p.pace >= contendedFrom {
		f.soon += p.left
	}
	f.stream = max(f.soon, u.ofStream)
	return f
}

// late returns the probability that a pause exceeds an objective on a target with a backlog of prompt tokens, where
// contended is the probability of a contended moment.
func (f forecast) late(objective time.Duration, backlog int, contended float64) float64 {
	return (1-contended)*f.exceeds(objective, backlog, 1) + contended*f.exceeds(objective, backlog, f.contended)
}

// exceeds returns the probability that a pause exceeds an objective in moments of a given slowness: that the target
// has to process as many more prompt tokens as take the rest of the time.
func (f forecast) exceeds(objective time.Duration, backlog int, slowness float64) float64 {
	room := float64(objective)/float64(time.Millisecond) - f.gap*slowness
	spare := room/(f.token*slowness) - float64(backlog)
	if spare <= 0 {
		return 1
	}
	return math.Exp(-spare / f.spread)
}
