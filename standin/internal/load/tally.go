package load

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecorded        = int64(10 * time.Minute / time.Microsecond) // of a histogram, in microseconds
	significantFigures = 3                                          // significant figures of a histogram
)

// A tally counts outcomes. Its zero value is ready.
type stats struct {
	mu     sync.Mutex
	counts Report
	stalls *hdrhistogram.Histogram
	firsts *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
}

func (t *stats) countSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
}

func (t *stats) countResent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Resent++
}

func (t *stats) countCode(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts.Codes == nil {
		t.counts.Codes = map[string]int{}
	}
	t.counts.Codes[code]++
}

// recordToken records the time before a token of a stream, from the one before or,
// for the first, from the sending.
func (t *stats) recordToken(index int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index == 0 {
		record(&t.firsts, wait)
		return
	}
	record(&t.gaps, wait)
}

// countOutcome counts how a request ended.
func (t *stats) countOutcome(last outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch o := last.(type) {
	case answered:
		t.counts.Answered++
		if o.stall >= 0 {
			record(&t.stalls, o.stall)
		}
	case refused:
		t.counts.Refused++
	case failed:
		t.counts.Failed++
	case mismatched:
		t.counts.Mismatched++
	case duplicated:
		t.counts.Duplicated++
	case interrupted, notSent:
		t.counts.Lost++
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", last))
	}
}

func (t *stats) progressLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	ended := c.Answered + c.Refused + c.Failed + c.Mismatched + c.Duplicated + c.Lost
	return fmt.Sprintf("load: sent %d, in progress %d, answered %d, refused %d, failed %d, resent %d, wrong %d, lost %d",
		c.Sent, c.Sent-ended, c.Answered, c.Refused, c.Failed, c.Resent, c.Mismatched, c.Lost)
}

// report returns the counts with those of the targets between before and after.
func (t *stats) report(before, after targetCounts) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.counts
	r.Codes = maps.Clone(r.Codes)
	r.StallP50, r.StallP95, r.StallP99 = percentileMs(t.stalls, 50), percentileMs(t.stalls, 95), percentileMs(t.stalls, 99)
	r.FirstToken = Percentiles{percentileMs(t.firsts, 50), percentileMs(t.firsts, 95), percentileMs(t.firsts, 99)}
	r.TokenGap = Percentiles{percentileMs(t.gaps, 50), percentileMs(t.gaps, 95), percentileMs(t.gaps, 99)}
	after.addDelta(&r, before)
	return r
}

func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(1, maxRecorded, significantFigures)
	}
	_ = (*h).RecordValue(min(d.Microseconds(), maxRecorded))
}

// percentileMs returns a percentile in milliseconds.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h == nil {
		return 0
	}
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
