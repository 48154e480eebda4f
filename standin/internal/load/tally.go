package load

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = int64(10 * time.Minute / time.Microsecond) // of a histogram, in microseconds
	figures = 3                                          // significant figures of a histogram
)

// A tally counts outcomes. Its zero value is ready.
type tally struct {
	mu     sync.Mutex
	counts Report
	stalls *hdrhistogram.Histogram
	firsts *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
}

func (t *tally) sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
}

func (t *tally) resent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Resent++
}

func (t *tally) code(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts.Codes == nil {
		t.counts.Codes = map[string]int{}
	}
	t.counts.Codes[code]++
}

// token records the time before a token of a stream, from the one before or,
// for the first, from the sending.
func (t *tally) token(index int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index == 0 {
		record(&t.firsts, wait)
		return
	}
	record(&t.gaps, wait)
}

// end counts how a request ended.
func (t *tally) end(last outcome) {
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
	case wrong:
		t.counts.Wrong++
	case doubled:
		t.counts.Doubled++
	case cut, unreached:
		t.counts.Lost++
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", last))
	}
}

func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	ended := c.Answered + c.Refused + c.Failed + c.Wrong + c.Doubled + c.Lost
	return fmt.Sprintf("load: sent %d, in progress %d, answered %d, refused %d, failed %d, resent %d, wrong %d, lost %d",
		c.Sent, c.Sent-ended, c.Answered, c.Refused, c.Failed, c.Resent, c.Wrong, c.Lost)
}

// report returns the counts with those of the targets between before and after.
func (t *tally) report(before, after usage) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.counts
	r.Codes = maps.Clone(r.Codes)
	r.P50, r.P95, r.P99 = at(t.stalls, 50), at(t.stalls, 95), at(t.stalls, 99)
	r.First = Spread{at(t.firsts, 50), at(t.firsts, 95), at(t.firsts, 99)}
	r.Gap = Spread{at(t.gaps, 50), at(t.gaps, 95), at(t.gaps, 99)}
	after.add(&r, before)
	return r
}

func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(1, longest, figures)
	}
	_ = (*h).RecordValue(min(d.Microseconds(), longest))
}

// at returns a percentile in milliseconds.
func at(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h == nil {
		return 0
	}
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
