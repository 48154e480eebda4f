package runner

import "time"

// The weight of a new measurement in a running mean.
const (
	meanWeight = 0.1
	// fasterWeight is the weight of a time per token below the mean. A pause of
	// this host or of the engine makes all requests in progress appear slow at
	// once, whereas no request appears faster than the engine is. The mean
	// therefore falls faster than it rises.
	fasterWeight = 0.5
)

// estimates holds the measured rates from which expected waits are computed.
// What has not been measured yet counts as no wait.
type estimates struct {
	load            time.Duration // from sending a load order to its answer
	shareInterval   meanInterval  // between loads for callers within their share
	anyInterval     meanInterval  // between loads for any caller
	token           time.Duration // for each token that a request may generate
	requestInterval time.Duration // between the ends of requests while the batch is full
	lastRequest     time.Time     // the last end of a request, zero if the batch was not full then
}

// A meanInterval is the mean time between two consecutive ends while more work
// was waiting.
type meanInterval struct {
	mean time.Duration
	last time.Time // the last end, zero if no more work was waiting after it
}

// record records an end at now. more reports whether more work is waiting.
func (i *meanInterval) record(now time.Time, more bool) {
	if !i.last.IsZero() {
		updateMean(&i.mean, now.Sub(i.last))
	}
	i.last = time.Time{}
	if more {
		i.last = now
	}
}

// loadEnded records the end of a load. more reports whether another load is
// waiting, and withinShare whether the next one is for a caller within its share.
func (e *estimates) loadEnded(now, sent time.Time, more, withinShare bool) {
	updateMean(&e.load, now.Sub(sent))
	e.anyInterval.record(now, more)
	e.shareInterval.record(now, withinShare)
}

// requestServed records the end of a request. full reports whether all batch
// slots were in use.
func (e *estimates) requestServed(now, admitted time.Time, tokens int, full bool) {
	e.updateToken(now.Sub(admitted) / time.Duration(max(tokens, 1)))
	if full && !e.lastRequest.IsZero() {
		updateMean(&e.requestInterval, now.Sub(e.lastRequest))
	}
	e.lastRequest = time.Time{}
	if full {
		e.lastRequest = now
	}
}

// updateToken records the time per token of a request that ended.
func (e *estimates) updateToken(d time.Duration) {
	if d < e.token {
		moveTowards(&e.token, d, fasterWeight)
		return
	}
	updateMean(&e.token, d)
}

func updateMean(m *time.Duration, d time.Duration) {
	if *m == 0 {
		*m = d
		return
	}
	moveTowards(m, d, meanWeight)
}

func moveTowards(m *time.Duration, d time.Duration, weight float64) {
	*m += time.Duration(weight * float64(d-*m))
}

// runTime returns how long a request with the given number of tokens runs.
func (e *estimates) runTime(tokens int) time.Duration { return e.token * time.Duration(tokens) }

// batchWait returns how long it takes until n batch slots become free.
func (e *estimates) batchWait(n int) time.Duration { return e.requestInterval * time.Duration(n) }

// loadTime returns how long a load takes.
func (e *estimates) loadTime() time.Duration { return e.load }

// loadWait returns how long it takes until n loads end. overShare reports
// whether the caller is over its share of the loads.
func (e *estimates) loadWait(n int, overShare bool) time.Duration {
	between := e.shareInterval.mean
	if overShare {
		between = e.anyInterval.mean
	}
	return between*time.Duration(n-1) + e.load
}
