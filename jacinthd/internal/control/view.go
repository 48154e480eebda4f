package control

import (
	"cmp"
	"slices"
	"time"

	"jacinthstage/stage/host"
	"jacinthstage/stage/target"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// View implements Control.
func (l *Loop) View() *View { return l.view.Load() }

// publish publishes a new view and routing state if their contents have changed.
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
		if l.acceptsWork(t.Name) {
			view.Targets[t.Service] = append(view.Targets[t.Service], t)
		}
	}
	for _, targets := range view.Targets {
		slices.SortFunc(targets, func(a, b target.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	l.view.Store(view)
	l.routing.Store(l.buildRouting(view))
}

// updateGauges updates the gauges, at most once per gaugePeriod.
func (l *Loop) updateGauges() {
	if l.now.Before(l.nextGauges) {
		return
	}
	l.nextGauges = l.now.Add(gaugePeriod)
	waiting, running := 0, 0
	for _, o := range l.owned {
		usage := o.runner.Usage()
		waiting += usage.Waiting
		running += usage.Running
	}
	l.Metrics.setGauges(len(l.owned), len(l.tables[l.Region].Members), waiting, running)
}

// candidate returns the runner with its owner. It returns false if the runner has
// no owner, or if this host owns it but admits no work to it.
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
	local := row.Owner == l.Self.Name
	if local {
		o := l.owned[t.Name]
		if o == nil || o.unresponsive || o.handingOver {
			return Candidate{}, false
		}
	}
	return Candidate{
		Runner:      t.Name,
		Owner:       owner.Name,
		Peer:        owner.Peer,
		Local:       local,
		CrossRegion: t.Region != l.Region,
	}, true
}

// RegionOf returns the region that a host is a member of, or an empty string if
// none is known.
func (l *Loop) RegionOf(name string) string { return l.routing.Load().regions[name] }

// Peers returns the members of all regions except this host, sorted by name. The
// slice must not be modified.
func (l *Loop) Peers() []host.Identity { return l.routing.Load().peers }
