package load

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecorded        = int64(10 * time.Minute / time.Microsecond) // largest recorded duration, in microseconds
	significantFigures = 3                                          // precision of the histograms
)

// A stats counts outcomes and records durations. The zero value is ready for use.
type stats struct {
	mu          sync.Mutex
	counts      Report
	stalls      *hdrhistogram.Histogram
	firstTokens *hdrhistogram.Histogram
	tokenGaps   *hdrhistogram.Histogram
}

func (s *stats) countSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Sent++
}

func (s *stats) countResent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Resent++
}

func (s *stats) countCode(code string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Codes == nil {
		s.counts.Codes = map[string]int{}
	}
	s.counts.Codes[code]++
}

// recordToken records the time before a token of a stream: since the previous
// token or, for the first one, since the request was sent.
func (s *stats) recordToken(index int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index == 0 {
		record(&s.firstTokens, wait)
		return
	}
	record(&s.tokenGaps, wait)
}

// countOutcome records the final outcome of a request.
func (s *stats) countOutcome(result outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o := result.(type) {
	case answered:
		s.counts.Answered++
		if o.stall >= 0 {
			record(&s.stalls, o.stall)
		}
	case refused:
		s.counts.Refused++
	case failed:
		s.counts.Failed++
	case mismatched:
		s.counts.Mismatched++
	case duplicated:
		s.counts.Duplicated++
	case interrupted, notSent:
		s.counts.Lost++
	default:
		panic(fmt.Sprintf("load: unknown outcome %T", result))
	}
}

// progressLine returns the progress so far as one line of text.
func (s *stats) progressLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	ended := c.Answered + c.Refused + c.Failed + c.Mismatched + c.Duplicated + c.Lost
	return fmt.Sprintf("load: sent %d, in progress %d, answered %d, refused %d, failed %d, resent %d, wrong %d, lost %d",
		c.Sent, c.Sent-ended, c.Answered, c.Refused, c.Failed, c.Resent, c.Mismatched, c.Lost)
}

// report returns the statistics together with what the targets counted between
// before and after.
func (s *stats) report(before, after targetCounts) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.counts
	r.Codes = maps.Clone(r.Codes)
	r.StallP50, r.StallP95, r.StallP99 = percentileMs(s.stalls, 50), percentileMs(s.stalls, 95), percentileMs(s.stalls, 99)
	r.FirstToken = Percentiles{percentileMs(s.firstTokens, 50), percentileMs(s.firstTokens, 95), percentileMs(s.firstTokens, 99)}
	r.TokenGap = Percentiles{percentileMs(s.tokenGaps, 50), percentileMs(s.tokenGaps, 95), percentileMs(s.tokenGaps, 99)}
	after.addDelta(&r, before)
	return r
}

func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(1, maxRecorded, significantFigures)
	}
	_ = (*h).RecordValue(min(d.Microseconds(), maxRecorded))
}

// percentileMs returns a percentile of h in milliseconds, or 0 if h is nil.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h == nil {
		return 0
	}
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
