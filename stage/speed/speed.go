// Package speed learns what each target can do, and estimates from it when an answer starts and how long
// its stream pauses.
//
// A target's time for a piece of work is the usual time of its service, multiplied by its
// own slowness and by that of the moment. The usual time has a prior and is corrected by what the answers of the
// service's targets show. A target's own slowness changes slowly. It is the mean of the ratios of observed
// to usual times over all hosts, from two windows: a long one, and a recent one that takes precedence where it
// differs strongly, since a target may slow down or recover at once. The slowness of the moment is that
// of other work beside it. A target tells it with its answers, and it soon loses its meaning; how soon
// is learned from what targets tell one after the other. What a target tells counts against what it
// usually tells, and doesn't count while expectations without it are better.
//
// A Pool learns only of services whose targets tell the slowness of the moment. All others have the usual
// times. Times are passed in, and nothing here is safe for concurrent use.
package speed

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Report is what hosts tell others of one process of a target. Numbers add up over hosts, but for the
// last two. The report of a service has its times between events in the place of the long window, and its times to the
// first byte in that of the recent one.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Target      uint32   // see Key
	Count       int      // long window: observed ratios, in 1/countUnit
	Sum         int      // long window: sum of the logarithms of the ratios, in 1/sumUnit
	RecentCount int      // the same of the recent window
	RecentSum   int
	Pace        uint // slowness of the moment that the target told last, in percent; 0 if it told none lately
	Age         uint // milliseconds since it told
}

const (
	countUnit = 10
	sumUnit   = 100
	// maxCount limits the numbers of a report, so that sums over all hosts stay far from the limits of
	// integers whatever a report says.
	maxCount = 1 << 24
	// maxMean is the largest ratio that the mean of a report may stand for. The smallest one is its inverse.
	maxMean = 1000.0
	// maxReports is the number of targets of which one digest reports.
	maxReports = 1024
)

// Key returns the key by which hosts refer to one process of a target.
func Key(target string, started time.Time) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(target)
	_, _ = h.WriteString(started.UTC().Format(time.RFC3339Nano))
	return uint32(h.Sum64())
}

// isZero reports whether a report tells nothing.
func (r Report) isZero() bool { return r.Count == 0 && r.RecentCount == 0 && r.Pace == 0 }

// bounded returns the report with all its numbers in range.
func (r Report) bounded() Report {
	r.Count, r.RecentCount = min(max(r.Count, 0), maxCount), min(max(r.RecentCount, 0), maxCount)
	r.Sum, r.RecentSum = boundedSum(r.Sum, r.Count), boundedSum(r.RecentSum, r.RecentCount)
	r.Pace, r.Age = min(r.Pace, maxPace*100), min(r.Age, maxCount)
	return r
}

// boundedSum limits a sum to what so many ratios can add up to.
func boundedSum(sum, count int) int {
	limit := int(math.Ceil(math.Log(maxMean) * float64(count) * sumUnit / countUnit))
	return min(max(sum, -limit), limit)
}

// add returns the sum of two reports, with the moment that was told last.
func (r Report) add(o Report) Report {
	r.Count, r.Sum = r.Count+o.Count, r.Sum+o.Sum
	r.RecentCount, r.RecentSum = r.RecentCount+o.RecentCount, r.RecentSum+o.RecentSum
	if o.Pace > 0 && (r.Pace == 0 || o.Age < r.Age) {
		r.Pace, r.Age = o.Pace, o.Age
	}
	return r
}

// subtract returns the counts of r without those of its part o.
func (r Report) subtract(o Report) Report {
	r.Count, r.Sum = r.Count-o.Count, r.Sum-o.Sum
	r.RecentCount, r.RecentSum = r.RecentCount-o.RecentCount, r.RecentSum-o.RecentSum
	return r
}
