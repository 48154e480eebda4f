package runner

import "time"

// smooth is the part of a new measurement in a running mean.
const smooth = 0.1

// A pace is the measured rates that expected waits are worked out from. What
// was not measured yet counts as no wait.
type pace struct {
	loading time.Duration // from a load's order to its answer
	between time.Duration // between the ends of loads, while more were wanted
	token   time.Duration // for each token that a request may generate
	ends    time.Duration // between the ends of requests
	loadEnd time.Time
	jobEnd  time.Time
}

// load takes the end of a load; more says that another is wanted.
func (p *pace) load(now, sent time.Time, more bool) {
	mean(&p.loading, now.Sub(sent))
	if !p.loadEnd.IsZero() {
		mean(&p.between, now.Sub(p.loadEnd))
	}
	p.loadEnd = time.Time{}
	if more {
		p.loadEnd = now
	}
}

// serve takes the end of a request; full says that all places were in use.
func (p *pace) serve(now, admitted time.Time, tokens int, full bool) {
	mean(&p.token, now.Sub(admitted)/time.Duration(max(tokens, 1)))
	if full && !p.jobEnd.IsZero() {
		mean(&p.ends, now.Sub(p.jobEnd))
	}
	p.jobEnd = time.Time{}
	if full {
		p.jobEnd = now
	}
}

func mean(m *time.Duration, d time.Duration) {
	if *m == 0 {
		*m = d
		return
	}
	*m += time.Duration(smooth * float64(d-*m))
}

// service returns how long a request runs.
func (p *pace) service(tokens int) time.Duration { return p.token * time.Duration(tokens) }

// places returns how long it takes until n places come free.
func (p *pace) places(n int) time.Duration { return p.ends * time.Duration(n) }

func (p *pace) loadTime() time.Duration { return p.loading }

// loads returns how long it takes until n loads end.
func (p *pace) loads(n int) time.Duration {
	return p.between*time.Duration(n-1) + p.loading
}
