package relay

import (
	"maps"
	"time"
)

const (
	// contributionTTL is how long the report of a host counts.
	contributionTTL = 1500 * time.Millisecond
	// slotReportTTL is how long a runner's slot report is passed on after its owner
	// sent it.
	slotReportTTL = 3 * time.Second
	// slotReportRetention is how long a slot report is kept at all, to detect that
	// an owner went silent.
	slotReportRetention = time.Minute
)

// A contribution is the load that one host reported.
type contribution struct {
	at       time.Time
	reporter bool // the host reports to this one
	loads    map[TargetHash]TargetLoad
}

type receivedSlotReport struct {
	SlotReport
	from string
	at   time.Time // when the owner reported
}

type useKey struct{ owner, runner, model, adapter string }

// A pendingUse waits to be passed on.
type pendingUse struct {
	inProgress map[string]timedCount // by sender
	started    int
	at         time.Time
}

type timedCount struct {
	count int
	at    time.Time
}

// An Aggregator adds up what other hosts report to one host. Its zero value is
// ready to use.
type Aggregator struct {
	contributions map[string]*contribution // by host
	totals        map[TargetHash]TargetLoad
	slotReports   map[TargetHash]receivedSlotReport
	uses          map[useKey]*pendingUse
}

// Merge merges a digest, which replaces the load that its sender reported before.
// It returns the uses that are addressed to holder.
func (a *Aggregator) Merge(now time.Time, holder string, d Digest) []AdapterUse {
	a.mergeLoads(now, d)
	return a.MergeReports(now, holder, d)
}

func (a *Aggregator) mergeLoads(now time.Time, d Digest) {
	a.ensureMaps()
	a.Forget(d.From)
	c := &contribution{at: now, reporter: d.ReportsToReceiver, loads: make(map[TargetHash]TargetLoad, len(d.Loads))}
	for _, l := range d.Loads {
		l = l.bounded()
		c.loads[l.Target] = l
		a.setTotal(a.totals[l.Target].add(l))
	}
	a.contributions[d.From] = c
}

// MergeReports merges the slot reports and uses of a digest, but not its loads. It
// returns the uses that are addressed to holder.
func (a *Aggregator) MergeReports(now time.Time, holder string, d Digest) []AdapterUse {
	a.ensureMaps()
	for _, s := range d.SlotReports {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		if at.After(a.slotReports[s.Runner].at) {
			a.slotReports[s.Runner] = receivedSlotReport{SlotReport: s, from: d.From, at: at}
		}
	}
	var addressed []AdapterUse
	for _, u := range d.Uses {
		if u.Owner == holder {
			addressed = append(addressed, u)
			continue
		}
		a.addUse(now, d.From, u)
	}
	return addressed
}

func (a *Aggregator) ensureMaps() {
	if a.contributions == nil {
		a.contributions = make(map[string]*contribution)
		a.totals = make(map[TargetHash]TargetLoad)
		a.slotReports = make(map[TargetHash]receivedSlotReport)
		a.uses = make(map[useKey]*pendingUse)
	}
}

func (a *Aggregator) setTotal(l TargetLoad) {
	if l.isZero() {
		delete(a.totals, l.Target)
		return
	}
	a.totals[l.Target] = l
}

// addUse records a use that is to be passed on towards its owner.
func (a *Aggregator) addUse(now time.Time, from string, u AdapterUse) {
	k := useKey{u.Owner, u.Runner, u.Model, u.Adapter}
	p := a.uses[k]
	if p == nil {
		p = &pendingUse{inProgress: make(map[string]timedCount)}
		a.uses[k] = p
	}
	p.at = now
	p.started += u.Started
	p.inProgress[from] = timedCount{count: u.InProgress, at: now}
}

// Forget drops the load that a host reported.
func (a *Aggregator) Forget(from string) {
	c := a.contributions[from]
	if c == nil {
		return
	}
	for h, l := range c.loads {
		a.setTotal(a.totals[h].subtract(l))
	}
	delete(a.contributions, from)
}

// Expire drops the reports that are too old.
func (a *Aggregator) Expire(now time.Time) {
	for from, c := range a.contributions {
		if now.Sub(c.at) > contributionTTL {
			a.Forget(from)
		}
	}
	for h, s := range a.slotReports {
		if now.Sub(s.at) > slotReportRetention {
			delete(a.slotReports, h)
		}
	}
	for k, p := range a.uses {
		if now.Sub(p.at) > contributionTTL {
			delete(a.uses, k)
		}
	}
}

// OthersLoad returns the load that other hosts reported for a target.
func (a *Aggregator) OthersLoad(h TargetHash) TargetLoad { return a.totals[h] }

// SlotReport returns the last slot report of a runner and the time at which its
// owner sent it, which is zero if it never did.
func (a *Aggregator) SlotReport(h TargetHash) (SlotReport, time.Time) {
	s := a.slotReports[h]
	return s.SlotReport, s.at
}

// ForgetSlotReport drops the slot report of a runner that has a new owner.
func (a *Aggregator) ForgetSlotReport(h TargetHash) { delete(a.slotReports, h) }

// ReportsHere reports whether the named host reports to this one.
func (a *Aggregator) ReportsHere(name string) bool {
	c := a.contributions[name]
	return c != nil && c.reporter
}

// HasReporters reports whether any host reports to this one.
func (a *Aggregator) HasReporters() bool {
	for _, c := range a.contributions {
		if c.reporter {
			return true
		}
	}
	return false
}

// Loads returns the loads of all targets to report to a host. The argument own is
// the load of this host.
func (a *Aggregator) Loads(to string, direction Direction, own []TargetLoad) []TargetLoad {
	sums := make(map[TargetHash]TargetLoad, len(own)+len(a.totals))
	if direction == ToReporter {
		maps.Copy(sums, a.totals)
		if c := a.contributions[to]; c != nil {
			for h, l := range c.loads {
				sums[h] = sums[h].subtract(l)
			}
		}
	}
	for from, c := range a.contributions {
		if direction == ToReporter || !c.reporter || from == to {
			continue
		}
		for h, l := range c.loads {
			sums[h] = sums[h].add(l)
		}
	}
	for _, l := range own {
		sums[l.Target] = sums[l.Target].add(l)
	}
	out := make([]TargetLoad, 0, len(sums))
	for _, l := range sums {
		if !l.isZero() {
			out = append(out, l)
		}
	}
	return out
}

// SlotReports returns the slot reports to pass on to a host, which are of runners
// that other hosts own.
func (a *Aggregator) SlotReports(now time.Time, to string, direction Direction) []SlotReport {
	var out []SlotReport
	for _, s := range a.slotReports {
		if s.from == to || direction == ToRelay && !a.ReportsHere(s.from) || now.Sub(s.at) > slotReportTTL {
			continue
		}
		s.Age = uint64(max(0, now.Sub(s.at)).Milliseconds())
		out = append(out, s.SlotReport)
	}
	return out
}

// Uses returns the uses to pass on to a host, where next returns the next host on
// the way to an owner.
func (a *Aggregator) Uses(now time.Time, to string, next func(owner string) string) []AdapterUse {
	var out []AdapterUse
	for k, p := range a.uses {
		if next(k.owner) != to {
			continue
		}
		inProgress := 0
		for from, t := range p.inProgress {
			if now.Sub(t.at) > contributionTTL {
				delete(p.inProgress, from)
				continue
			}
			inProgress += t.count
		}
		out = append(out, AdapterUse{Owner: k.owner, Runner: k.runner, Model: k.model, Adapter: k.adapter, InProgress: inProgress, Started: p.started})
		p.started = 0
		if inProgress == 0 {
			delete(a.uses, k)
		}
	}
	return out
}
