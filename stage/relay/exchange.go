package relay

import (
	"maps"
	"time"
)

const (
	// partAge is how long what a host told counts.
	partAge = 1500 * time.Millisecond
	// spaceAge is how long a runner's places are passed on after its owner told of them.
	spaceAge = 3 * time.Second
	// spaceMost is how long they are kept at all, to know that an owner went silent.
	spaceMost = time.Minute
)

// A part is what one host told.
type part struct {
	at    time.Time
	below bool
	loads map[TargetHash]TargetLoad
}

type space struct {
	SlotReport
	from string
	at   time.Time // when the owner told
}

type useKey struct{ owner, runner, model, adapter string }

// A carried use waits to be passed on.
type carried struct {
	open  map[string]stamped // by sender
	begun int
	at    time.Time
}

type stamped struct {
	open int
	at   time.Time
}

// An Exchange adds up what other hosts tell one host. Its zero value is ready.
type Aggregator struct {
	parts  map[string]*part
	total  map[TargetHash]TargetLoad
	spaces map[TargetHash]space
	uses   map[useKey]*carried
}

// Merge takes in a digest. It returns the uses that are meant for holder.
func (x *Aggregator) Merge(now time.Time, holder string, d Digest) []AdapterUse {
	x.open()
	x.Forget(d.From)
	p := &part{at: now, below: d.ReportsToReceiver, loads: make(map[TargetHash]TargetLoad, len(d.Loads))}
	for _, l := range d.Loads {
		p.loads[l.Target] = l
		x.set(x.total[l.Target].add(l))
	}
	x.parts[d.From] = p
	for _, s := range d.SlotReports {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		if at.After(x.spaces[s.Runner].at) {
			x.spaces[s.Runner] = space{SlotReport: s, from: d.From, at: at}
		}
	}
	var mine []AdapterUse
	for _, u := range d.Uses {
		if u.Owner == holder {
			mine = append(mine, u)
			continue
		}
		x.carry(now, d.From, u)
	}
	return mine
}

func (x *Aggregator) open() {
	if x.parts == nil {
		x.parts = make(map[string]*part)
		x.total = make(map[TargetHash]TargetLoad)
		x.spaces = make(map[TargetHash]space)
		x.uses = make(map[useKey]*carried)
	}
}

func (x *Aggregator) set(l TargetLoad) {
	if l.none() {
		delete(x.total, l.Target)
		return
	}
	x.total[l.Target] = l
}

func (x *Aggregator) carry(now time.Time, from string, u AdapterUse) {
	k := useKey{u.Owner, u.Runner, u.Model, u.Adapter}
	c := x.uses[k]
	if c == nil {
		c = &carried{open: make(map[string]stamped)}
		x.uses[k] = c
	}
	c.at = now
	c.begun += u.Started
	c.open[from] = stamped{open: u.InProgress, at: now}
}

// Forget drops what a host told of its requests.
func (x *Aggregator) Forget(from string) {
	p := x.parts[from]
	if p == nil {
		return
	}
	for m, l := range p.loads {
		x.set(x.total[m].less(l))
	}
	delete(x.parts, from)
}

// Expire drops what is too old.
func (x *Aggregator) Expire(now time.Time) {
	for from, p := range x.parts {
		if now.Sub(p.at) > partAge {
			x.Forget(from)
		}
	}
	for m, s := range x.spaces {
		if now.Sub(s.at) > spaceMost {
			delete(x.spaces, m)
		}
	}
	for k, c := range x.uses {
		if now.Sub(c.at) > partAge {
			delete(x.uses, k)
		}
	}
}

// OthersLoad returns what other hosts told of a target.
func (x *Aggregator) OthersLoad(m TargetHash) TargetLoad { return x.total[m] }

// SlotReport returns the places of a runner and when its owner told of them, zero
// where it never did.
func (x *Aggregator) SlotReport(m TargetHash) (SlotReport, time.Time) {
	s := x.spaces[m]
	return s.SlotReport, s.at
}

// ForgetSlotReport forgets the places of a runner, whose owner is another one now.
func (x *Aggregator) ForgetSlotReport(m TargetHash) { delete(x.spaces, m) }

// ReportsHere reports whether a host reports to this one.
func (x *Aggregator) ReportsHere(name string) bool {
	p := x.parts[name]
	return p != nil && p.below
}

// HasReporters reports whether any host reports to this one.
func (x *Aggregator) HasReporters() bool {
	for _, p := range x.parts {
		if p.below {
			return true
		}
	}
	return false
}

// Loads returns what to tell a host of the requests on all targets; own is this
// host's part.
func (x *Aggregator) Loads(to string, path Direction, own []TargetLoad) []TargetLoad {
	sums := make(map[TargetHash]TargetLoad, len(own)+len(x.total))
	if path == ToReporter {
		maps.Copy(sums, x.total)
		if p := x.parts[to]; p != nil {
			for m, l := range p.loads {
				sums[m] = sums[m].less(l)
			}
		}
	}
	for from, p := range x.parts {
		if path == ToReporter || !p.below || from == to {
			continue
		}
		for m, l := range p.loads {
			sums[m] = sums[m].add(l)
		}
	}
	for _, l := range own {
		sums[l.Target] = sums[l.Target].add(l)
	}
	out := make([]TargetLoad, 0, len(sums))
	for _, l := range sums {
		if !l.none() {
			out = append(out, l)
		}
	}
	return out
}

// SlotReports returns what to tell a host of the places of runners that others own.
func (x *Aggregator) SlotReports(now time.Time, to string, path Direction) []SlotReport {
	var out []SlotReport
	for _, s := range x.spaces {
		if s.from == to || path == ToRelay && !x.ReportsHere(s.from) || now.Sub(s.at) > spaceAge {
			continue
		}
		s.Age = uint64(max(0, now.Sub(s.at)).Milliseconds())
		out = append(out, s.SlotReport)
	}
	return out
}

// Uses returns the uses to pass on to a host, which is the next on the way to
// their owners.
func (x *Aggregator) Uses(now time.Time, to string, next func(owner string) string) []AdapterUse {
	var out []AdapterUse
	for k, c := range x.uses {
		if next(k.owner) != to {
			continue
		}
		open := 0
		for from, s := range c.open {
			if now.Sub(s.at) > partAge {
				delete(c.open, from)
				continue
			}
			open += s.open
		}
		out = append(out, AdapterUse{Owner: k.owner, Runner: k.runner, Model: k.model, Adapter: k.adapter, InProgress: open, Started: c.begun})
		c.begun = 0
		if open == 0 {
			delete(x.uses, k)
		}
	}
	return out
}
