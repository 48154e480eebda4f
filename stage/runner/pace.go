package runner

import "time"

// The part of a new measurement in a running mean.
const (
	smooth = 0.1
	// quicken is the part of a token time below the mean. A pause of this host or of
	// the engine makes all requests in progress seem slow at once, while none seems
	// faster than the engine is: so the mean comes down sooner than it goes up.
	quicken = 0.5
)

// A pace is the measured rates that expected waits are worked out from. What
// was not measured yet counts as no wait.
type pace struct {
	loading time.Duration // from a load's order to its answer
	within  interval      // between loads for callers within their share
	all     interval      // between loads for any caller
	token   time.Duration // for each token that a request may generate
	ends    time.Duration // between the ends of requests
	jobEnd  time.Time
}

// An interval is the mean time between two ends while more was wanted.
type interval struct {
	mean time.Duration
	last time.Time // the last end, zero where no more was wanted after it
}

func (i *interval) end(now time.Time, more bool) {
	if !i.last.IsZero() {
		mean(&i.mean, now.Sub(i.last))
	}
	i.last = time.Time{}
	if more {
		i.last = now
	}
}

// load takes the end of a load: whether another is wanted, and whether one is
// for a caller within its share.
func (p *pace) load(now, sent time.Time, more, within bool) {
	mean(&p.loading, now.Sub(sent))
	p.all.end(now, more)
	p.within.end(now, within)
}

// serve takes the end of a request; full says that all places were in use.
func (p *pace) serve(now, admitted time.Time, tokens int, full bool) {
	p.pacing(now.Sub(admitted) / time.Duration(max(tokens, 1)))
	if full && !p.jobEnd.IsZero() {
		mean(&p.ends, now.Sub(p.jobEnd))
	}
	p.jobEnd = time.Time{}
	if full {
		p.jobEnd = now
	}
}

// pacing takes the time for a token of a request that ended.
func (p *pace) pacing(d time.Duration) {
	if d < p.token {
		move(&p.token, d, quicken)
		return
	}
	mean(&p.token, d)
}

func mean(m *time.Duration, d time.Duration) {
	if *m == 0 {
		*m = d
		return
	}
	move(m, d, smooth)
}

func move(m *time.Duration, d time.Duration, part float64) {
	*m += time.Duration(part * float64(d-*m))
}

// service returns how long a request runs.
func (p *pace) service(tokens int) time.Duration { return p.token * time.Duration(tokens) }

// places returns how long it takes until n places come free.
func (p *pace) places(n int) time.Duration { return p.ends * time.Duration(n) }

func (p *pace) loadTime() time.Duration { return p.loading }

// loads returns how long it takes until n loads end, for a caller that is over
// its share or within it.
func (p *pace) loads(n int, over bool) time.Duration {
	between := p.within.mean
	if over {
		between = p.all.mean
	}
	return between*time.Duration(n-1) + p.loading
}
