package speed

import (
	"slices"
	"time"
)

const (
	// maxGaps is the number of gaps of a stream that are kept.
	maxGaps = 8
	// fewestGaps is the number from which a stream shows how fast its target works.
	fewestGaps = 4
)

// Gaps are the times between the events of one stream. The zero value is ready to use.
type Gaps struct {
	all [maxGaps]time.Duration
	n   int
}

// Add adds the time between two events. It returns true once, when enough are known.
func (g *Gaps) Add(d time.Duration) (full bool) {
	if g.n == maxGaps {
		return false
	}
	g.all[g.n] = d
	g.n++
	return g.n == maxGaps
}

// Full reports whether Add has returned true.
func (g *Gaps) Full() bool { return g.n == maxGaps }

// Quick returns the time that one in four gaps doesn't exceed: there, no prompt is processed between the events.
// It returns 0 if the stream had too few events.
func (g *Gaps) Quick() time.Duration {
	if g.n < fewestGaps {
		return 0
	}
	sorted := g.all
	slices.Sort(sorted[:g.n])
	return sorted[g.n/4]
}
