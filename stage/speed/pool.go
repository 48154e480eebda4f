package speed

import "time"

const (
	// contributionAge is how long the reports of another host count.
	contributionAge = 3 * time.Second
	// maxPaceAge is the age up to which hosts tell each other what a target told of the moment.
	maxPaceAge = 2 * time.Second
	// reportInterval is the time between two reports to the same host.
	reportInterval = 190 * time.Millisecond
)

// A Pool is what one host knows of the speed of all targets. The zero value is ready to use.
type Pool struct {
	services      map[string]*Service
	targets       map[uint32]*Target
	contributions map[string]*contribution // by host
	totals        map[uint32]Report        // sums of the contributions
	reported      map[string]time.Time     // last report, by receiver
	changes       uint64                   // observations and reports
}

// A moment identifies what was known at a time.
type moment struct {
	at      int64
	changes uint64
}

// moment returns the moment at which estimates are made.
func (p *Pool) moment(now time.Time) moment { return moment{now.UnixNano(), p.changes} }

// A contribution is what one host reported.
type contribution struct {
	at       time.Time
	reporter bool // the host reports to this one
	reports  map[uint32]Report
}

// Target returns what is known of a process of a target of a service.
func (p *Pool) Target(service, target string, started time.Time) *Target {
	if p.targets == nil {
		p.targets = make(map[uint32]*Target)
		p.services = make(map[string]*Service)
	}
	k := Key(target, started)
	if m := p.targets[k]; m != nil && m.service == p.services[service] {
		return m
	}
	if p.services[service] == nil {
		p.services[service] = &Service{pool: p, key: Key("service "+service, time.Time{})}
	}
	m := &Target{pool: p, service: p.services[service], key: k}
	p.targets[k] = m
	return m
}

// NotePause records the objective for the longest pause of a stream of a service, if it has one.
func (p *Pool) NotePause(now time.Time, service string, objective time.Duration) {
	if s := p.services[service]; s != nil {
		s.notePause(now, objective)
	}
}

// Forget drops what this host knows of a target that is gone.
func (p *Pool) Forget(m *Target) {
	if p.targets[m.key] == m {
		delete(p.targets, m.key)
	}
}

// Merge takes in the reports of another host, which replace its earlier ones. reporter says that the host
// reports to this one and so passes on nothing of others.
func (p *Pool) Merge(now time.Time, from string, reporter bool, all []Report) {
	if len(all) == 0 {
		return
	}
	p.changes++
	p.drop(from)
	if p.contributions == nil {
		p.contributions = make(map[string]*contribution)
		p.totals = make(map[uint32]Report)
	}
	c := &contribution{at: now, reporter: reporter, reports: make(map[uint32]Report, len(all))}
	p.contributions[from] = c
	for _, r := range all[:min(len(all), maxReports)] {
		r = r.bounded()
		if _, twice := c.reports[r.Target]; twice {
			continue
		}
		c.reports[r.Target] = r
		p.totals[r.Target] = p.totals[r.Target].add(counts(r))
		p.hear(now, r)
	}
}

// hear records the moment of a report.
func (p *Pool) hear(now time.Time, r Report) {
	m := p.targets[r.Target]
	if m == nil {
		return
	}
	if age := time.Duration(r.Age) * time.Millisecond; r.Pace > 0 && age < maxPaceAge {
		m.service.told = true
		m.hearPace(now.Add(-age), float64(r.Pace)/100)
	}
}

// counts returns a report without its moment, which doesn't add up.
func counts(r Report) Report {
	r.Pace, r.Age = 0, 0
	return r
}

// drop removes the reports of a host.
func (p *Pool) drop(from string) {
	c := p.contributions[from]
	if c == nil {
		return
	}
	for k, r := range c.reports {
		rest := p.totals[k].subtract(counts(r))
		if rest.isZero() {
			delete(p.totals, k)
			continue
		}
		p.totals[k] = rest
	}
	delete(p.contributions, from)
}

// Reports returns what to tell another host at the time now: what this host observed and, on behalf of hosts that
// don't report to the receiver themselves, what these did. toReporter says that the receiver reports to this host
// and hears of others only from it. It returns nothing if there is nothing to tell, or the receiver was told just
// before.
func (p *Pool) Reports(now time.Time, to string, toReporter bool) []Report {
	p.expire(now)
	if now.Sub(p.reported[to]) < reportInterval {
		return nil
	}
	var out []Report
	add := func(r Report) {
		r = r.add(p.ofOthers(r.Target, to, toReporter))
		if !r.isZero() && len(out) < maxReports {
			out = append(out, r)
		}
	}
	for _, s := range p.services {
		if s.told {
			add(s.report(now))
		}
	}
	for _, m := range p.targets {
		if m.Told() {
			add(m.report(now))
		}
	}
	if len(out) > 0 {
		p.noteReported(now, to)
	}
	return out
}

// ofOthers returns what to pass on of a target.
func (p *Pool) ofOthers(target uint32, to string, toReporter bool) Report {
	if toReporter {
		sum := p.totals[target]
		if c := p.contributions[to]; c != nil {
			sum = sum.subtract(counts(c.reports[target]))
		}
		return sum
	}
	var sum Report
	for from, c := range p.contributions {
		if c.reporter && from != to {
			sum = sum.add(counts(c.reports[target]))
		}
	}
	return sum
}

func (p *Pool) noteReported(now time.Time, to string) {
	if p.reported == nil {
		p.reported = make(map[string]time.Time)
	}
	for other, at := range p.reported {
		if now.Sub(at) > contributionAge {
			delete(p.reported, other)
		}
	}
	p.reported[to] = now
}

// expire drops the reports that are too old.
func (p *Pool) expire(now time.Time) {
	for from, c := range p.contributions {
		if now.Sub(c.at) > contributionAge {
			p.changes++
			p.drop(from)
		}
	}
}
