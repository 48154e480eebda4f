package trial

import (
	"container/heap"
	"strconv"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/load"
	"jacinthstage/stage/route"
	"jacinthstage/stage/runner"
)

// forever is longer than any trial.
const forever = 1000 * time.Hour

// grantorLease is how long after the loss of the granting host another one starts
// to grant.
const grantorLease = 10 * time.Second

// hintDuration is how long a load hint is valid.
const hintDuration = time.Second

// A simulation is the state of one trial with one policy.
type simulation struct {
	deployment      Deployment
	policy          Policy
	now             time.Time
	events          schedule
	store           *store
	hosts           []*host
	owners          []*owner
	activeOwners    int // number of owners in the routing tables
	grantors        []*load.Grantor
	grantorIndex    int // index of the host that grants; -1 if none does
	grantorDelay    time.Duration
	retryRefused    bool // resend refused requests once
	partitionedHost int  // index of the host that can't reach the grantor; -1 for none
	pending         map[string]*pendingRequest
	measures        measures
}

// A pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	*request
	choices   []route.Candidate
	next      int
	entry     *host
	admission runner.Admit
	retryAt   time.Time // retry time named by the first refusal that has one
}

// A host routes requests and requests loads for the runners that it owns.
type host struct {
	sim      *simulation
	index    int
	table    route.Table
	holder   load.Holder
	nextTick time.Time
	owned    map[string]*owner
}

// An owner combines the state that a host keeps of a runner with the runner's
// engine.
type owner struct {
	sim      *simulation
	host     *host
	runner   runner.Runner
	engine   *engine
	nextTick time.Time
}

// An event is a function call at a virtual time. Events at the same time run in
// the order of seq.
type event struct {
	at   time.Time
	seq  int
	call func()
}

// A schedule is a heap of events, with the earliest first.
type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulation returns a simulation of a site. The extra runners are not in the
// routing tables at first.
func newSimulation(d Deployment, p Policy, extra int) *simulation {
	sim := &simulation{deployment: d, policy: p, now: startTime, partitionedHost: -1, pending: map[string]*pendingRequest{}}
	sim.store = &store{sim: sim, refilled: startTime}
	sim.measures.init(d)
	routing, _ := corePolicies(p)
	for i := range d.Hosts {
		h := &host{sim: sim, index: i, owned: map[string]*owner{}}
		h.table = route.Table{Region: "near", Policy: routing, Hosts: d.Hosts}
		h.holder.Host = "h" + strconv.Itoa(i)
		sim.hosts = append(sim.hosts, h)
		sim.grantors = append(sim.grantors, &load.Grantor{Rate: d.LoadRate, Burst: d.LoadRate, MaxInFlight: d.FullSpeedLoads})
	}
	for i := range d.Runners + extra {
		sim.addOwner(i)
	}
	sim.activeOwners = d.Runners
	sim.updateTables()
	sim.electGrantor(0, 1)
	return sim
}

// addOwner adds runner i with its engine, owned by one of the hosts in turn.
func (sim *simulation) addOwner(i int) {
	_, policy := corePolicies(sim.policy)
	h := sim.hosts[i%len(sim.hosts)]
	o := &owner{sim: sim, host: h}
	o.runner = runner.Runner{
		Name:   "r" + strconv.Itoa(i),
		Slots:  sim.deployment.Slots,
		Batch:  sim.deployment.Batch,
		Fenced: true,
		Policy: policy,
	}
	o.engine = &engine{sim: sim, owner: o, resident: map[adapter.Ref]bool{}}
	h.owned[o.runner.Name] = o
	sim.owners = append(sim.owners, o)
	o.step(runner.Owned{Epoch: 1, LeaseEnd: startTime.Add(forever)})
}

// updateTables sets the active runners in every host's routing table.
func (sim *simulation) updateTables() {
	var runners []route.Runner
	for _, o := range sim.owners[:sim.activeOwners] {
		runners = append(runners, route.Runner{Name: o.runner.Name, Region: "near", BatchSize: sim.deployment.Batch})
	}
	for _, h := range sim.hosts {
		h.table.SetRunners(runners)
	}
}

// electGrantor makes host i the granting host.
func (sim *simulation) electGrantor(i int, epoch uint64) {
	sim.grantorIndex = i
	sim.grantors[i].Start(sim.now, epoch, sim.now.Add(forever), epoch == 1)
	for _, h := range sim.hosts {
		h.step(load.Elected{Epoch: epoch})
	}
}

// after schedules call for d from now.
func (sim *simulation) after(d time.Duration, call func()) { sim.at(sim.now.Add(d), call) }

// at schedules call for t, or for now if t has passed.
func (sim *simulation) at(t time.Time, call func()) {
	if t.Before(sim.now) {
		t = sim.now
	}
	sim.measures.events++
	heap.Push(&sim.events, event{at: t, seq: sim.measures.events, call: call})
}

// run processes all events up to end.
func (sim *simulation) run(end time.Time) {
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.call()
	}
}

// arrive delivers a request to the entry host that its salt picks, as a load
// balancer would, and routes it.
func (sim *simulation) arrive(q *request) {
	h := sim.hosts[q.salt%uint64(len(sim.hosts))]
	h.table.CountRequest(sim.now, q.ref)
	pr := &pendingRequest{request: q, entry: h}
	pr.choices = h.table.Snapshot().Choose(sim.now, route.Query{Ref: q.ref, Salt: q.salt})
	sim.pending[q.id] = pr
	sim.measures.offered++
	sim.sendToNextChoice(pr)
}

// sendToNextChoice sends a request to the owner of the next chosen runner.
func (sim *simulation) sendToNextChoice(pr *pendingRequest) {
	name := pr.choices[pr.next].Name
	pr.next++
	for _, h := range sim.hosts {
		if o := h.owned[name]; o != nil {
			sim.after(MessageDelay, func() { o.step(pr.arrivedEvent()) })
		}
	}
}

func (pr *pendingRequest) arrivedEvent() runner.RequestArrived {
	return runner.RequestArrived{
		ID: pr.id, Ref: pr.ref, Caller: pr.caller, Deadline: pr.deadline, MaxTokens: pr.tokens,
	}
}

// handleRefusal sends a refused request to its next choice. Without one, or past its
// deadline, the request ends as refused.
func (sim *simulation) handleRefusal(id string, retryAt time.Time) {
	pr := sim.pending[id]
	if pr == nil {
		return
	}
	if pr.retryAt.IsZero() {
		pr.retryAt = retryAt // the first refusal that names a time counts
	}
	if pr.next < len(pr.choices) && sim.now.Before(pr.deadline) {
		sim.sendToNextChoice(pr)
		return
	}
	delete(sim.pending, id)
	sim.measures.refused++
	if sim.retryRefused && !pr.retryAt.IsZero() && !pr.retried {
		sim.at(pr.retryAt, func() { sim.resend(pr.request) })
	}
}

// resend sends a refused request again as a new request with a new deadline of
// the same length.
func (sim *simulation) resend(q *request) {
	next := *q
	next.id += "r"
	next.at, next.deadline = sim.now, sim.now.Add(sim.deployment.Deadline)
	next.retried = true
	sim.measures.retried++
	sim.arrive(&next)
}

// firstToken records that an engine generated the first token of a request.
func (sim *simulation) firstToken(q *request) { sim.measures.recordFirstToken(sim.now, q) }

// finish records that an engine has served a request.
func (sim *simulation) finish(q *request, e *engine) {
	pr := sim.pending[q.id]
	delete(sim.pending, q.id)
	sim.measures.recordServed(sim.now, pr)
	pr.entry.table.RecordServiceTime(sim.now.Sub(pr.at) - pr.admission.Stall)
	sim.after(MessageDelay, func() { e.owner.step(runner.RequestEnded{ID: q.id, Outcome: runner.Served}) })
}

// loseRequest records that a request was lost in an engine restart.
func (sim *simulation) loseRequest(q *request) {
	delete(sim.pending, q.id)
	sim.measures.lost++
}

// step passes one event to the runner state and executes the resulting actions.
func (o *owner) step(e runner.Event) {
	sim := o.sim
	for _, a := range o.runner.Step(sim.now, e) {
		o.act(a)
	}
	if t := o.runner.Next(); !t.IsZero() && (o.nextTick.IsZero() || t.Before(o.nextTick) || !sim.now.Before(o.nextTick)) {
		o.nextTick = t
		sim.at(t, func() { o.tick(t) })
	}
	if _, ok := sim.policy.(LeastLoaded); ok {
		o.publishLoad(sim.hosts, forever)
	}
}

func (o *owner) tick(t time.Time) {
	if o.nextTick.Equal(t) {
		o.nextTick = time.Time{}
		o.step(runner.Tick{})
	}
}

// publishLoad stores a hint with the runner's load at hosts; it is valid for the
// given duration.
func (o *owner) publishLoad(hosts []*host, validFor time.Duration) {
	u := o.runner.Usage()
	for _, h := range hosts {
		h.table.Snapshot().SetHint(o.runner.Name, route.Hint{
			Waiting: u.Waiting, Running: u.Running, Expires: o.sim.now.Add(validFor),
		})
	}
}

func (o *owner) act(a runner.Action) {
	sim := o.sim
	switch x := a.(type) {
	case runner.Admit:
		sim.after(MessageDelay, func() { o.admit(x) })
	case runner.Refuse:
		if pr := sim.pending[x.ID]; pr != nil {
			o.publishLoad([]*host{pr.entry}, hintDuration)
		}
		sim.after(MessageDelay, func() { sim.handleRefusal(x.ID, x.Err.RetryAt) })
	case runner.Order:
		sim.after(MessageDelay, func() { o.engine.order(x) })
	case runner.RequestPermit:
		o.host.step(load.PermitRequested{PendingLoad: load.PendingLoad{
			Runner: o.runner.Name, Ref: x.Ref, Waiting: x.Waiting, Caller: x.Caller, Weight: x.Weight,
		}})
	case runner.ReturnPermit:
		o.host.step(load.PermitReturned{Runner: o.runner.Name, Ref: x.Ref, Used: x.Used})
	case runner.RequestReport:
		report := o.engine.report()
		sim.after(2*MessageDelay, func() { o.step(runner.ReportReceived{Report: report}) })
	}
}

// admit passes an admitted request to the engine. If the adapter is not resident
// there, the request is refused.
func (o *owner) admit(a runner.Admit) {
	pr := o.sim.pending[a.ID]
	pr.admission = a
	o.publishLoad([]*host{pr.entry}, hintDuration)
	if !o.engine.admit(pr.request) {
		o.sim.measures.absent++
		o.step(runner.RequestEnded{ID: a.ID, Outcome: runner.Absent})
		o.sim.handleRefusal(a.ID, time.Time{})
		return
	}
	o.sim.measures.recordAdmission(o.sim.now, pr, o)
}

// step passes one event to the host's holder and executes the resulting actions.
func (h *host) step(e load.Event) {
	sim := h.sim
	for _, a := range h.holder.Step(sim.now, e) {
		h.act(a)
	}
	if t := h.holder.Next(); !t.IsZero() && (h.nextTick.IsZero() || t.Before(h.nextTick) || !sim.now.Before(h.nextTick)) {
		h.nextTick = t
		sim.at(t, func() {
			if h.nextTick.Equal(t) {
				h.nextTick = time.Time{}
				h.step(load.Tick{})
			}
		})
	}
}

func (h *host) act(a load.Action) {
	sim := h.sim
	switch x := a.(type) {
	case load.SendRequest:
		sim.measures.grantorMessages++
		sim.after(MessageDelay+sim.grantorDelay, func() { h.sendToGrantor(x.Request) })
	case load.PermitGranted:
		h.owned[x.Runner].step(runner.PermitGranted{Ref: x.Ref, Expires: x.Expires})
	case load.PermitDenied:
		h.owned[x.Runner].step(runner.PermitDenied{Ref: x.Ref, RetryAt: x.RetryAt})
	}
}

// sendToGrantor delivers a load request to the granting host and schedules the
// delivery of its reply.
func (h *host) sendToGrantor(q load.Request) {
	sim := h.sim
	if sim.grantorIndex < 0 || h.index == sim.partitionedHost {
		return
	}
	reply, ok := sim.grantors[sim.grantorIndex].Answer(sim.now, q)
	if !ok {
		return
	}
	sim.after(MessageDelay+sim.grantorDelay, func() { h.step(load.ReplyReceived{Reply: reply}) })
}
