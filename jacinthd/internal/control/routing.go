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
	// hintTTL is how long a hint is used after it was received.
	hintTTL = time.Second
	// shrinkPeriod is the time between two checks for idle adapters.
	shrinkPeriod = 5 * time.Second
)

// routingState is the state that Route reads: the snapshot of each engine service
// and the owner of each runner. It is immutable once published.
type routingState struct {
	services   map[string]*route.Snapshot
	candidates map[string]routedRunner
	regions    map[string]string // region of each host that is a member of one
	peers      []host.Identity   // the members of all regions except this host, sorted by name
}

// A routedRunner is a runner that accepts work.
type routedRunner struct {
	Candidate
	service string
}

// Route implements Control.
func (l *Loop) Route(job Job) []Candidate {
	state := l.routing.Load()
	snapshot := state.services[job.Service]
	if snapshot == nil {
		return nil
	}
	choices := snapshot.Choose(time.Now(), route.Query{Ref: job.Ref, PrefixHash: job.PrefixHash, Salt: hashID(job.ID)})
	candidates := make([]Candidate, 0, len(choices))
	for _, choice := range choices {
		if r, ok := state.candidates[choice.Name]; ok {
			candidates = append(candidates, r.Candidate)
		}
	}
	return candidates
}

// hashID returns the salt of a routing query for the job with this ID.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// RecordHint implements Control. A hint also counts as a request for its adapter.
func (l *Loop) RecordHint(name string, ref adapter.Ref, hint Hint) {
	state := l.routing.Load()
	r, ok := state.candidates[name]
	if !ok {
		return
	}
	state.services[r.service].SetHint(name, route.Hint{
		Waiting: hint.Waiting,
		Running: hint.Running,
		Expires: time.Now().Add(hintTTL),
	})
	l.send(requestRouted{service: r.service, ref: ref})
}

// countRequest counts a request towards the rate that determines how many preferred
// runners its adapter has.
func (l *Loop) countRequest(m requestRouted) {
	if t := l.routeTables[m.service]; t != nil && t.CountRequest(l.now, m.ref) {
		l.dirty = true
	}
}

// shrinkPreferred reduces the number of preferred runners of idle adapters, at most
// once per shrinkPeriod.
func (l *Loop) shrinkPreferred() {
	if l.now.Before(l.nextShrink) {
		return
	}
	l.nextShrink = l.now.Add(shrinkPeriod)
	for _, t := range l.routeTables {
		if t.Tick(l.now) {
			l.dirty = true
		}
	}
}

// buildRouting builds the routing state from the view and the assignment tables of
// all regions.
func (l *Loop) buildRouting(view *View) *routingState {
	state := &routingState{services: map[string]*route.Snapshot{}, candidates: map[string]routedRunner{}, regions: map[string]string{}}
	for region, table := range l.tables {
		for _, member := range table.Members {
			state.regions[member.Name] = region
			if member.Name != l.Self.Name {
				state.peers = append(state.peers, member)
			}
		}
	}
	slices.SortFunc(state.peers, func(a, b host.Identity) int { return cmp.Compare(a.Name, b.Name) })
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
			state.candidates[t.Name] = routedRunner{Candidate: c, service: name}
			runners = append(runners, route.Runner{Name: t.Name, Region: t.Region, BatchSize: t.Batch})
		}
		state.services[name] = l.routeTable(name, runners).Snapshot()
	}
	return state
}

// routeTable returns the route table of a service, updated with its current runners
// and the number of hosts in this region.
func (l *Loop) routeTable(name string, runners []route.Runner) *route.Table {
	t := l.routeTables[name]
	if t == nil {
		t = &route.Table{Region: l.Region, Policy: l.RoutePolicy}
		l.routeTables[name] = t
	}
	t.Hosts = len(l.tables[l.Region].Members)
	if !slices.Equal(l.routeRunners[name], runners) {
		l.routeRunners[name] = runners
		t.SetRunners(runners)
	}
	return t
}
