package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/retry"
)

// Times of the drawn versions, in ms.
const (
	versionStep      = 10   // between two looks at all hosts and runners
	versionBound     = 5000 // from the ack of a newer version, in which a request may begin on an older one
	versionTouch     = 3000 // from the ack of a version, in which a host in touch learns of it
	versionCopyDelay = 100  // in which a host that isn't cut from the store learns of a change
	versionEntry     = 400  // between two entries of a runner
	versionLatency   = 10   // of a message
	versionOwnerWait = 400  // for which an owner lets the request of another host wait
	versionCheck     = 200  // between two checks whether a request may still begin, see direct.startLimit
	versionDeadline  = 8000 // of a request, from its arrival
	versionTries     = 6    // of a request
)

// A versionFault is a disturbance of a play.
type versionFault struct{ Kind, Which, At, For int }

// The kinds of versionFault.
const (
	hostCut         = iota // a host learns nothing from the store for a time
	hostRestarted          // a host starts anew, and knows only the newest versions
	runnerRestarted        // a runner starts anew, without adapters
	ownerChanged           // another host owns the runners
	versionFaults          // number of kinds
)

// A versionDraw is what a play is made of. Times are in ms.
type versionDraw struct {
	Hosts, Runners, Adapters, End int
	PerSecond                     int   // requests
	Published                     []int // times between publications, which go round the adapters that are hot
	Hot                           int   // adapters of which versions are published
	Load, Run, Queue              int   // time of a load, time of a run, longest wait at a runner
	Lost                          int   // orders in 100 that get no answer and are carried out late, if at all
	Faults                        []versionFault
	Seed                          uint64
}

// A versionHost is a host of a play.
type versionHost struct {
	*dispatch.Dispatcher
	retries           retry.Budgets
	cutFrom, cutUntil int
	learned           map[string][]int // by adapter: when the host learned of each version from 2 on, or of a newer one
}

func (h *versionHost) isCut(ms int) bool { return ms >= h.cutFrom && ms < h.cutUntil }

// learn tells the host of a version. after is 0 if it doesn't know since when.
func (h *versionHost) learn(ms int, adapter string, version, after int) {
	e := catalog.VersionPublished{Model: model, Adapter: adapter, Version: version}
	if after != 0 {
		e.After = at(after)
	}
	for len(h.learned[adapter]) < version-1 {
		h.learned[adapter] = append(h.learned[adapter], ms)
	}
	h.Apply(at(ms), e)
}

// A versionRequest is a request of a play. step is what it does next, nil while the runner has it.
type versionRequest struct {
	host           *versionHost
	adapter        string
	arrived, tries int
	attempt        *dispatch.Attempt
	loading        bool // its adapter is loading, as the runner's owner said
	sent, check    int  // when it was sent, and when it is checked whether it may still begin
	due            int  // when it begins or its run ends
	begun          bool
	step           func()
}

func (q *versionRequest) end(p *versionPlay, result dispatch.Result) {
	q.attempt.Report(at(p.ms), result)
	q.attempt = nil
	p.requests = slices.DeleteFunc(p.requests, func(other *versionRequest) bool { return other == q })
}

// A versionPlay plays hosts, runners, publications of versions and requests in virtual time.
type versionPlay struct {
	versionDraw
	rng           *rand.Rand
	ms            int
	hosts         []*versionHost
	runners       []*versionRunner
	acks          map[string][]int // by adapter: when each version from 2 on was acknowledged
	owner         int
	fence         uint64
	later         map[int][]func() // by ms
	requests      []*versionRequest
	asked, served int // requests
	// reached and refused count the times at which a request reached a runner, and was refused by it.
	reached, refused int
	broken           []string
}

func newVersionPlay(d versionDraw) *versionPlay {
	p := &versionPlay{versionDraw: d, rng: rand.New(rand.NewPCG(d.Seed, 1)), acks: make(map[string][]int), later: make(map[int][]func()), fence: 1}
	for i := range d.Runners {
		p.runners = append(p.runners, &versionRunner{index: i, adapters: make(map[string]*heldAdapter)})
	}
	for i := range d.Hosts {
		p.hosts = append(p.hosts, nil)
		p.startHost(i)
	}
	when := 1000
	for i, gap := range d.Published {
		p.after(when, func() { p.publish(fmt.Sprint("a", i%d.Hot)) })
		when += gap
	}
	for _, f := range d.Faults {
		p.after(f.At, func() { p.inject(f) })
	}
	return p
}

// after has f called in the given number of ms.
func (p *versionPlay) after(in int, f func()) {
	due := (p.ms + in + versionStep - 1) / versionStep * versionStep
	if due <= p.ms {
		due = p.ms + versionStep
	}
	p.later[due] = append(p.later[due], f)
}

func (p *versionPlay) newest(adapter string) int { return 1 + len(p.acks[adapter]) }

// startHost starts a host, anew if it was there before.
func (p *versionPlay) startHost(i int) {
	former := p.hosts[i]
	for _, q := range slices.Clone(p.requests) {
		if q.host == former {
			for _, r := range p.runners {
				r.drop(q)
			}
			q.attempt = nil
			p.requests = slices.DeleteFunc(p.requests, func(other *versionRequest) bool { return other == q })
		}
	}
	h := &versionHost{Dispatcher: newDispatcher(fmt.Sprint("host-", i), "north-a", p.Runners, nil), learned: make(map[string][]int)}
	p.hosts[i] = h
	for _, r := range p.runners {
		h.Apply(at(p.ms), catalog.TargetsChanged{Revision: uint64(p.ms + 2), Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: r.entry()}}})
	}
	for adapter := range p.acks {
		h.learn(p.ms, adapter, p.newest(adapter), 0)
	}
	p.setOwner(p.owner)
}

// setOwner has a host own the runners from now on, under a higher fencing number.
func (p *versionPlay) setOwner(owner int) {
	p.owner = owner
	p.fence++
	owners := make(map[string]dispatch.Owner)
	for _, r := range p.runners {
		owners[fmt.Sprint("runner-", r.index)] = dispatch.Owner{Host: fmt.Sprint("host-", owner), Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "north-a"}
	}
	for i, h := range p.hosts {
		if h == nil {
			continue
		}
		for name := range owners {
			if i != owner {
				h.Release(name)
			}
		}
		h.SetOwners(owners, p.Hosts)
	}
}

func (p *versionPlay) inject(f versionFault) {
	host, r := f.Which%p.Hosts, p.runners[f.Which%p.Runners]
	switch f.Kind {
	case hostCut:
		h := p.hosts[host]
		if h.isCut(p.ms) {
			return
		}
		h.cutFrom, h.cutUntil = p.ms, p.ms+f.For
		p.after(f.For, func() {
			for adapter := range p.acks {
				if newest := p.newest(adapter); newest-1 > len(h.learned[adapter]) {
					h.learn(p.ms, adapter, newest, h.cutFrom-versionCopyDelay)
				}
			}
		})
	case hostRestarted:
		p.startHost(host)
	case runnerRestarted:
		*r = versionRunner{index: r.index, started: p.ms, adapters: make(map[string]*heldAdapter), requests: r.requests}
		for _, q := range slices.Clone(r.requests) {
			r.drop(q)
			q.end(p, dispatch.Failed{Connected: true})
		}
	case ownerChanged:
		p.setOwner(host)
	}
}

// publish publishes the next version of an adapter, which is acknowledged now.
func (p *versionPlay) publish(adapter string) {
	p.acks[adapter] = append(p.acks[adapter], p.ms)
	version, before := p.newest(adapter), p.ms-1-p.rng.IntN(versionCopyDelay)
	for _, h := range p.hosts {
		p.after(p.rng.IntN(versionCopyDelay), func() {
			if !h.isCut(p.ms) {
				h.learn(p.ms, adapter, version, before)
			}
		})
	}
}

// try has a request choose a target.
func (p *versionPlay) try(q *versionRequest) {
	if q.attempt != nil {
		q.attempt.Report(at(p.ms), dispatch.Canceled{})
		q.attempt = nil
	}
	r := request(q.adapter, 100, q.arrived)
	r.Deadline, r.InProgress = at(q.arrived+versionDeadline), q.loading
	send, ok := dispatch.Send{}, q.tries < versionTries
	if ok {
		send, ok = q.host.Pick(at(p.ms), r).(dispatch.Send)
	}
	if !ok {
		p.requests = slices.DeleteFunc(p.requests, func(other *versionRequest) bool { return other == q })
		return
	}
	q.tries++
	q.attempt, q.begun, q.step = send.Attempt, false, nil
	switch {
	case q.attempt.Loaded != nil:
		q.step = func() { p.awaitLoad(q) }
	case q.attempt.Owner.Host != "":
		p.askOwner(q)
	default:
		p.send(q)
	}
}

// awaitLoad sends a request once its adapter is loaded on a runner that its host owns.
func (p *versionPlay) awaitLoad(q *versionRequest) {
	select {
	case <-q.attempt.Loaded:
	default:
		if p.ms < q.arrived+versionDeadline {
			return
		}
	}
	p.waited(q, q.attempt.Ready(at(p.ms)))
}

// waited sends a request that has waited for its adapter, or has it choose again if that isn't loaded.
func (p *versionPlay) waited(q *versionRequest, loaded bool) {
	q.attempt.ResetClock(at(p.ms))
	if loaded {
		p.send(q)
		return
	}
	q.step = func() { p.try(q) }
}

// askOwner asks the owner of a request's runner for the adapter.
func (p *versionPlay) askOwner(q *versionRequest) {
	k, name, owner := residency.Key{Model: model, Adapter: q.adapter}, q.attempt.Target.Name, p.hosts[p.owner]
	answer := func(reply dispatch.OwnerReply) {
		_, q.loading = reply.(dispatch.Loading)
		p.waited(q, q.attempt.OwnerReplied(at(p.ms), reply))
	}
	loaded, reason := owner.RequestLoad(at(p.ms), name, k)
	if loaded == nil {
		answer(dispatch.Denied{Absent: reason == dispatch.NoSlot || reason == residency.OlderInUse})
		return
	}
	until := p.ms + versionOwnerWait
	q.step = func() {
		select {
		case <-loaded:
		default:
			if p.ms < until {
				return
			}
		}
		owner.CancelLoadRequest(name, k)
		switch {
		case owner.Resident(at(p.ms), name, k):
			answer(dispatch.Loaded{})
		case owner.Loading(name, k):
			answer(dispatch.Loading{})
		default:
			answer(dispatch.Denied{Absent: true})
		}
	}
}

// send sends a request to its runner, which refuses it or lets it wait.
func (p *versionPlay) send(q *versionRequest) {
	if !q.attempt.Willing(at(p.ms)) {
		q.step = func() { p.try(q) }
		return
	}
	a, version := q.attempt, q.attempt.Version
	q.step, q.sent, q.check = nil, p.ms, p.ms+versionCheck
	p.after(versionLatency, func() {
		if q.attempt != a {
			return
		}
		var r *versionRunner
		for _, other := range p.runners {
			if fmt.Sprint("runner-", other.index) == a.Target.Name {
				r = other
			}
		}
		p.reached++
		h := r.adapters[q.adapter]
		if !h.takes() || version != 0 && version != h.version {
			p.refused++
			a.Report(at(p.ms), dispatch.Rejected{})
			q.step = func() { p.try(q) }
			if !q.host.retries.Take(at(p.ms), service) {
				q.tries = versionTries
			}
			return
		}
		q.due = p.ms + p.rng.IntN(p.Queue+1)
		r.requests = append(r.requests, q)
	})
}

// begin begins a request on a version and checks that this one may still serve.
func (p *versionPlay) begin(q *versionRequest, version int) {
	q.begun, q.due = true, p.ms+p.Run
	q.attempt.Report(at(p.ms), dispatch.Head{Worked: true})
	acks := p.acks[q.adapter]
	if len(acks) < version || p.ms-acks[version-1] <= versionBound {
		return
	}
	learned := q.host.learned[q.adapter]
	if len(learned) >= version && (learned[version-1] <= acks[version-1]+versionTouch || learned[version-1] <= q.sent) {
		p.broken = append(p.broken, fmt.Sprintf("at %d ms a request for %s, sent at %d, begins on version %d (named %d, known %d), whose successor was acknowledged at %d and known at %d",
			p.ms, q.adapter, q.sent, version, q.attempt.Version, q.attempt.Held, acks[version-1], learned[version-1]))
	}
}

// checkStart ends a request that waits at its runner once it may not begin there any more.
func (p *versionPlay) checkStart(q *versionRequest) {
	if q.begun || p.ms < q.check {
		return
	}
	q.check = p.ms + versionCheck
	last, ok := q.attempt.LastStart()
	if !ok {
		return
	}
	if at(p.ms).Before(last) {
		q.check = min(q.check, int(last.Sub(start)/time.Millisecond))
		return
	}
	for _, r := range p.runners {
		r.drop(q)
	}
	q.step = func() { p.try(q) }
}

// order carries out what the owner has to do on the runners.
func (p *versionPlay) order() {
	owner, fence := p.hosts[p.owner], p.fence
	for _, r := range p.runners {
		owner.Acquire(fmt.Sprint("runner-", r.index), fence, at(p.ms), false)
	}
	tasks, _ := owner.Tasks(at(p.ms))
	for _, task := range tasks {
		name := task.Target.Name
		r := p.runners[slices.IndexFunc(p.runners, func(r *versionRunner) bool { return fmt.Sprint("runner-", r.index) == name })]
		switch a := task.Action.(type) {
		case residency.PollReport:
			p.after(versionLatency, func() { owner.HandleReport(at(p.ms), name, r.report()) })
		case residency.SendOrder:
			if p.rng.IntN(100) < p.Lost {
				process := r.started
				p.after(p.rng.IntN(8000), func() {
					if r.started == process { // an order on its way to a process that ends is lost
						r.execute(p, a.Order)
					}
				})
				continue
			}
			p.after(versionLatency, func() {
				reply := r.execute(p, a.Order)
				p.after(versionLatency, func() { owner.HandleReply(at(p.ms), a.Order, reply) })
			})
		}
	}
}

// tell has runners write their entries, and hosts tell each other what they use.
func (p *versionPlay) tell() {
	for _, r := range p.runners {
		if (p.ms+50*r.index)%versionEntry > 0 {
			continue
		}
		changed := catalog.TargetsChanged{Revision: uint64(p.ms + 3), Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: r.entry()}}}
		for _, h := range p.hosts {
			if !h.isCut(p.ms) {
				h.Apply(at(p.ms), changed)
			}
		}
	}
	owner := p.hosts[p.owner]
	self := func(owner string) string { return owner }
	for i, h := range p.hosts {
		if i == p.owner || (p.ms+30*i)%100 > 0 {
			continue
		}
		report := h.Digest(at(p.ms), fmt.Sprint("host-", p.owner), relay.ToRelay, self)
		report.ReportsToReceiver = true
		owner.MergeDigest(at(p.ms), report)
		h.MergeDigest(at(p.ms), owner.Digest(at(p.ms), fmt.Sprint("host-", i), relay.ToReporter, self))
	}
}

// play plays to the end.
func (p *versionPlay) play() {
	for ; p.ms < p.End || len(p.requests) > 0; p.ms += versionStep {
		for _, f := range p.later[p.ms] {
			f()
		}
		delete(p.later, p.ms)
		p.tell()
		p.order()
		if p.ms < p.End && p.rng.IntN(1000) < p.PerSecond*versionStep {
			p.asked++
			q := &versionRequest{host: p.hosts[p.rng.IntN(p.Hosts)], adapter: fmt.Sprint("a", min(p.rng.IntN(2*p.Adapters), p.Adapters-1-p.rng.IntN(p.Adapters))), arrived: p.ms}
			p.requests = append(p.requests, q)
			q.host.retries.CountRequest(at(p.ms), service)
			p.try(q)
		}
		for _, q := range slices.Clone(p.requests) {
			if q.step != nil {
				q.step()
			} else if q.attempt != nil {
				p.checkStart(q)
			}
		}
		for _, r := range p.runners {
			r.advance(p)
		}
	}
}
