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

// unreachableTime is a time that no trial reaches.
const unreachableTime = 1000 * time.Hour

// grantorLease is how long after the loss of the granting host another starts.
const grantorLease = 10 * time.Second

// hintDuration is how long a load hint counts.
const hintDuration = time.Second

// A world is one trial in progress.
type simulation struct {
	deployment      Deployment
	policy          Policy
	now             time.Time
	events          schedule
	store           *store
	hosts           []*host
	owners          []*owner
	activeOwners    int // owners in the routing tables
	grantors        []*load.Grantor
	grantorIndex    int // the host that grants; -1 while none does
	grantorDelay    time.Duration
	retryRefused    bool // refused requests come back once, when told to
	partitionedHost int  // the host that can't reach the grantor; -1 for none
	pending         map[string]*pendingRequest
	measures        measures
}

// A flight is a request that was not yet answered.
type pendingRequest struct {
	*request
	choices   []route.Choice
	next      int
	entry     *host
	admission runner.Admit
	retryAt   time.Time // when the first choice said to come back
}

type host struct {
	world    *simulation
	index    int
	table    route.Table
	holder   load.Holder
	nextTick time.Time
	owned    map[string]*owner
}

// An owner is a runner's aggregate with its engine.
type owner struct {
	world    *simulation
	host     *host
	runner   runner.Runner
	engine   *engine
	nextTick time.Time
}

type event struct {
	at   time.Time
	seq  int
	call func()
}

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

func newSimulation(d Deployment, p Policy, extra int) *simulation {
	w := &simulation{deployment: d, policy: p, now: startTime, partitionedHost: -1, pending: map[string]*pendingRequest{}}
	w.store = &store{world: w, refilled: startTime}
	w.measures.init(d)
	routing, _ := corePolicies(p)
	for i := range d.Hosts {
		h := &host{world: w, index: i, owned: map[string]*owner{}}
		h.table = route.Table{Region: "near", Policy: routing, Hosts: d.Hosts}
		h.holder.Host = "h" + strconv.Itoa(i)
		w.hosts = append(w.hosts, h)
		w.grantors = append(w.grantors, &load.Grantor{Rate: d.LoadRate, Burst: d.LoadRate, Flight: d.FullSpeedLoads})
	}
	for i := range d.Runners + extra {
		w.addOwner(i)
	}
	w.activeOwners = d.Runners
	w.updateTables()
	w.electGrantor(0, 1)
	return w
}

func (w *simulation) addOwner(i int) {
	_, policy := corePolicies(w.policy)
	h := w.hosts[i%len(w.hosts)]
	o := &owner{world: w, host: h}
	o.runner = runner.Runner{
		Name:   "r" + strconv.Itoa(i),
		Slots:  w.deployment.Slots,
		Batch:  w.deployment.Batch,
		Fenced: true,
		Policy: policy,
	}
	o.engine = &engine{world: w, owner: o, resident: map[adapter.Ref]bool{}}
	h.owned[o.runner.Name] = o
	w.owners = append(w.owners, o)
	o.step(runner.Owned{Epoch: 1, Lease: startTime.Add(unreachableTime)})
}

// updateTables gives every host the runners in force.
func (w *simulation) updateTables() {
	var list []route.Runner
	for _, o := range w.owners[:w.activeOwners] {
		list = append(list, route.Runner{Name: o.runner.Name, Region: "near", Batch: w.deployment.Batch})
	}
	for _, h := range w.hosts {
		h.table.Set(list)
	}
}

func (w *simulation) electGrantor(i int, epoch uint64) {
	w.grantorIndex = i
	w.grantors[i].Start(w.now, epoch, w.now.Add(unreachableTime), epoch == 1)
	for _, h := range w.hosts {
		h.step(load.Elected{Epoch: epoch})
	}
}

func (w *simulation) after(d time.Duration, call func()) { w.at(w.now.Add(d), call) }

// at schedules call for t, or for now where t has passed.
func (w *simulation) at(t time.Time, call func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.measures.events++
	heap.Push(&w.events, event{at: t, seq: w.measures.events, call: call})
}

// run carries out all events up to end.
func (w *simulation) run(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.call()
	}
}

// arrive takes a request at a host that the balancer picked.
func (w *simulation) arrive(q *request) {
	h := w.hosts[q.salt%uint64(len(w.hosts))]
	h.table.Observe(w.now, q.ref)
	f := &pendingRequest{request: q, entry: h}
	f.choices = h.table.Snapshot().Choose(w.now, route.Query{Ref: q.ref, Salt: q.salt})
	w.pending[q.id] = f
	w.measures.offered++
	w.sendToNextChoice(f)
}

// sendToNextChoice sends a request to the owner of its next choice.
func (w *simulation) sendToNextChoice(f *pendingRequest) {
	name := f.choices[f.next].Name
	f.next++
	for _, h := range w.hosts {
		if o := h.owned[name]; o != nil {
			w.after(MessageDelay, func() { o.step(f.arrivedEvent()) })
		}
	}
}

func (f *pendingRequest) arrivedEvent() runner.Arrived {
	return runner.Arrived{
		ID: f.id, Ref: f.ref, Caller: f.caller, Deadline: f.deadline, Tokens: f.tokens,
	}
}

// handleRefusal tries the next choice of a request, or ends it.
func (w *simulation) handleRefusal(id string, again time.Time) {
	f := w.pending[id]
	if f == nil {
		return
	}
	if f.retryAt.IsZero() {
		f.retryAt = again // of the first choice, where the request comes back to
	}
	if f.next < len(f.choices) && w.now.Before(f.deadline) {
		w.sendToNextChoice(f)
		return
	}
	delete(w.pending, id)
	w.measures.refused++
	if w.retryRefused && !f.retryAt.IsZero() && !f.retried {
		w.at(f.retryAt, func() { w.resend(f.request) })
	}
}

// resend sends a refused request again, when it was told to, as a new one
// with as much time as it had at first.
func (w *simulation) resend(q *request) {
	next := *q
	next.id += "r"
	next.at, next.deadline = w.now, w.now.Add(w.deployment.Deadline)
	next.retried = true
	w.measures.retried++
	w.arrive(&next)
}

func (w *simulation) firstToken(q *request) { w.measures.recordFirstToken(w.now, q) }

func (w *simulation) finish(q *request, e *engine) {
	f := w.pending[q.id]
	delete(w.pending, q.id)
	w.measures.recordServed(w.now, f)
	f.entry.table.Served(w.now.Sub(f.at) - f.admission.Stall)
	w.after(MessageDelay, func() { e.owner.step(runner.Ended{ID: q.id, Outcome: runner.Served}) })
}

func (w *simulation) loseRequest(q *request) {
	delete(w.pending, q.id)
	w.measures.lost++
}

// step gives an owner's runner one event and carries its actions out.
func (o *owner) step(e runner.Event) {
	w := o.world
	for _, a := range o.runner.Step(w.now, e) {
		o.act(a)
	}
	if t := o.runner.Next(); !t.IsZero() && (o.nextTick.IsZero() || t.Before(o.nextTick) || !w.now.Before(o.nextTick)) {
		o.nextTick = t
		w.at(t, func() { o.tick(t) })
	}
	if _, known := w.policy.(LeastLoaded); known {
		o.publishLoad(w.hosts, unreachableTime)
	}
}

func (o *owner) tick(t time.Time) {
	if o.nextTick.Equal(t) {
		o.nextTick = time.Time{}
		o.step(runner.Tick{})
	}
}

// publishLoad notes the runner's load at hosts.
func (o *owner) publishLoad(hosts []*host, lasts time.Duration) {
	u := o.runner.Usage()
	for _, h := range hosts {
		h.table.Snapshot().Note(o.runner.Name, route.Hint{
			Waiting: u.Waiting, Running: u.Running, Until: o.world.now.Add(lasts),
		})
	}
}

func (o *owner) act(a runner.Action) {
	w := o.world
	switch x := a.(type) {
	case runner.Admit:
		w.after(MessageDelay, func() { o.admit(x) })
	case runner.Refuse:
		if f := w.pending[x.ID]; f != nil {
			o.publishLoad([]*host{f.entry}, hintDuration)
		}
		w.after(MessageDelay, func() { w.handleRefusal(x.ID, x.Err.Again) })
	case runner.Order:
		w.after(MessageDelay, func() { o.engine.order(x) })
	case runner.Ask:
		o.host.step(load.Asked{Want: load.Want{
			Runner: o.runner.Name, Ref: x.Ref, Waiting: x.Waiting, Caller: x.Caller, Weight: x.Weight,
		}})
	case runner.Yield:
		o.host.step(load.Yielded{Runner: o.runner.Name, Ref: x.Ref, Used: x.Used})
	case runner.AskReport:
		rep := o.engine.report()
		w.after(2*MessageDelay, func() { o.step(runner.Reported{Report: rep}) })
	}
}

func (o *owner) admit(a runner.Admit) {
	f := o.world.pending[a.ID]
	f.admission = a
	o.publishLoad([]*host{f.entry}, hintDuration)
	if !o.engine.admit(f.request) {
		o.world.measures.absent++
		o.step(runner.Ended{ID: a.ID, Outcome: runner.Absent})
		o.world.handleRefusal(a.ID, time.Time{})
		return
	}
	o.world.measures.recordAdmission(o.world.now, f, o)
}

// step gives a host's holder one event and carries its actions out.
func (h *host) step(e load.Event) {
	w := h.world
	for _, a := range h.holder.Step(w.now, e) {
		h.act(a)
	}
	if t := h.holder.Next(); !t.IsZero() && (h.nextTick.IsZero() || t.Before(h.nextTick) || !w.now.Before(h.nextTick)) {
		h.nextTick = t
		w.at(t, func() {
			if h.nextTick.Equal(t) {
				h.nextTick = time.Time{}
				h.step(load.Tick{})
			}
		})
	}
}

func (h *host) act(a load.Action) {
	w := h.world
	switch x := a.(type) {
	case load.Send:
		w.measures.grantorMessages++
		w.after(MessageDelay+w.grantorDelay, func() { h.sendToGrantor(x.Request) })
	case load.Granted:
		h.owned[x.Runner].step(runner.Granted{Ref: x.Ref, Before: x.Before})
	case load.Denied:
		h.owned[x.Runner].step(runner.Denied{Ref: x.Ref, Again: x.Again})
	}
}

// sendToGrantor brings a request to the granting host and its reply back.
func (h *host) sendToGrantor(q load.Request) {
	w := h.world
	if w.grantorIndex < 0 || h.index == w.partitionedHost {
		return
	}
	reply, ok := w.grantors[w.grantorIndex].Answer(w.now, q)
	if !ok {
		return
	}
	w.after(MessageDelay+w.grantorDelay, func() { h.step(load.Replied{Reply: reply}) })
}
