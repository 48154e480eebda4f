package control

import (
	"cmp"
	"slices"
	"time"

	"jacinthstage/stage/host"
	"jacinthstage/stage/target"
)

// gaugePeriod is the time between two settings of the gauges.
const gaugePeriod = time.Second

// View implements Control.
func (l *Loop) View() *View { return l.view.Load() }

// publish makes a new view where something that it shows has changed.
func (l *Loop) publish() {
	if !l.dirty {
		return
	}
	l.dirty = false
	view := &View{
		Config:  l.config,
		Ready:   l.config.Version > 0 && !l.stopping,
		Targets: map[string][]target.Target{},
	}
	for _, t := range l.config.Targets {
		if l.fit(t.Name) {
			view.Targets[t.Service] = append(view.Targets[t.Service], t)
		}
	}
	for _, all := range view.Targets {
		slices.SortFunc(all, func(a, b target.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	l.view.Store(view)
	l.paths.Store(l.chart(view))
}

// gauges sets the metrics of what the host holds, now and then.
func (l *Loop) gauges() {
	if l.now.Before(l.gauging) {
		return
	}
	l.gauging = l.now.Add(gaugePeriod)
	waiting, running := 0, 0
	for _, o := range l.owned {
		usage := o.runner.Usage()
		waiting += usage.Waiting
		running += usage.Running
	}
	l.Metrics.state(len(l.owned), len(l.tables[l.Region].Members), waiting, running)
}

// candidate returns the runner with its owner, false where it has none that takes work.
func (l *Loop) candidate(t target.Target) (Candidate, bool) {
	table := l.tables[t.Region]
	row, ok := table.Row(t.Name)
	if !ok {
		return Candidate{}, false
	}
	owner, ok := table.Member(row.Owner)
	if !ok {
		return Candidate{}, false
	}
	here := row.Owner == l.Self.Name
	if here {
		o := l.owned[t.Name]
		if o == nil || o.silent || o.handing {
			return Candidate{}, false
		}
	}
	return Candidate{
		Runner:      t.Name,
		Owner:       owner.Name,
		Peer:        owner.Peer,
		Local:       here,
		CrossRegion: t.Region != l.Region,
	}, true
}

// RegionOf returns the region that a host is a member of, empty where none is known.
func (l *Loop) RegionOf(name string) string { return l.paths.Load().regions[name] }

// Peers returns the other hosts that are members of any region, by name. The
// slice must not be changed.
func (l *Loop) Peers() []host.Identity { return l.paths.Load().peers }
