package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/host"
	"jacinthstage/stage/route"
	"jacinthstage/stage/service"
)

const (
	// hintTime is how long a hint of a reply counts.
	hintTime = time.Second
	// widthPeriod is the time between two looks for adapters that fell idle.
	widthPeriod = 5 * time.Second
)

// paths is what Route needs, immutable once published: for each engine service
// its snapshot, and each runner's owner.
type paths struct {
	services   map[string]*route.Snapshot
	candidates map[string]routed
	regions    map[string]string // of each member of any region
	peers      []host.Identity   // the members of all regions but this host, by name
}

// A routed is a runner that takes work.
type routed struct {
	Candidate
	service string
}

// Route implements Control.
func (l *Loop) Route(job Job) []Candidate {
	p := l.paths.Load()
	snapshot := p.services[job.Service]
	if snapshot == nil {
		return nil
	}
	choices := snapshot.Choose(time.Now(), route.Query{Ref: job.Ref, PrefixHash: job.PrefixHash, Salt: salt(job.ID)})
	candidates := make([]Candidate, 0, len(choices))
	for _, choice := range choices {
		if r, ok := p.candidates[choice.Name]; ok {
			candidates = append(candidates, r.Candidate)
		}
	}
	return candidates
}

func salt(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// RecordHint implements Control. A hint also counts as a request for its adapter.
func (l *Loop) RecordHint(name string, ref adapter.Ref, hint Hint) {
	p := l.paths.Load()
	r, ok := p.candidates[name]
	if !ok {
		return
	}
	p.services[r.service].SetHint(name, route.Hint{
		Waiting: hint.Waiting,
		Running: hint.Running,
		Expires: time.Now().Add(hintTime),
	})
	l.post(observed{service: r.service, ref: ref})
}

// observe counts a request for the width of its adapter's homes.
func (l *Loop) observe(p observed) {
	if t := l.routes[p.service]; t != nil && t.CountRequest(l.now, p.ref) {
		l.dirty = true
	}
}

// narrow lets the adapters that fell idle have fewer homes.
func (l *Loop) narrow() {
	if l.now.Before(l.narrowing) {
		return
	}
	l.narrowing = l.now.Add(widthPeriod)
	for _, t := range l.routes {
		if t.Tick(l.now) {
			l.dirty = true
		}
	}
}

// chart makes what Route needs of the view and the tables of all regions.
func (l *Loop) chart(view *View) *paths {
	p := &paths{services: map[string]*route.Snapshot{}, candidates: map[string]routed{}, regions: map[string]string{}}
	for region, table := range l.tables {
		for _, member := range table.Members {
			p.regions[member.Name] = region
			if member.Name != l.Self.Name {
				p.peers = append(p.peers, member)
			}
		}
	}
	slices.SortFunc(p.peers, func(a, b host.Identity) int { return cmp.Compare(a.Name, b.Name) })
	for name, targets := range view.Targets {
		if _, ok := view.Config.Services[name].Kind().(*service.Engine); !ok {
			continue
		}
		var runners []route.Runner
		for _, t := range targets {
			c, ok := l.candidate(t)
			if !ok {
				continue
			}
			p.candidates[t.Name] = routed{Candidate: c, service: name}
			runners = append(runners, route.Runner{Name: t.Name, Region: t.Region, BatchSize: t.Batch})
		}
		p.services[name] = l.routeTable(name, runners).Snapshot()
	}
	return p
}

// routeTable returns the service's table with its runners as they are now.
func (l *Loop) routeTable(name string, runners []route.Runner) *route.Table {
	t := l.routes[name]
	if t == nil {
		t = &route.Table{Region: l.Region, Policy: l.RoutePolicy}
		l.routes[name] = t
	}
	t.Hosts = len(l.tables[l.Region].Members)
	if !slices.Equal(l.routed[name], runners) {
		l.routed[name] = runners
		t.SetRunners(runners)
	}
	return t
}
