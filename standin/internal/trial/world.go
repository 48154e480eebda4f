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

// far is a time that no trial reaches.
const far = 1000 * time.Hour

// grantorLease is how long after the loss of the granting host another starts.
const grantorLease = 10 * time.Second

// hintLasts is how long a load hint counts.
const hintLasts = time.Second

// A world is one trial in progress.
type world struct {
	deployment Deployment
	policy     Policy
	now        time.Time
	events     schedule
	store      *store
	hosts      []*host
	owners     []*owner
	live       int // owners in the routing tables
	grantors   []*load.Grantor
	granting   int // the host that grants; -1 while none does
	slow       time.Duration
	returns    bool // refused requests come back once, when told to
	cut        int  // the host that can't reach the grantor; -1 for none
	callers    map[string]*flight
	measures   measures
}

// A flight is a request that was not yet answered.
type flight struct {
	*request
	choices []route.Candidate
	next    int
	entry   *host
	admit   runner.Admit
	again   time.Time // when the first choice said to come back
}

type host struct {
	world  *world
	index  int
	table  route.Table
	holder load.Holder
	wake   time.Time
	owned  map[string]*owner
}

// An owner is a runner's aggregate with its engine.
type owner struct {
	world  *world
	host   *host
	runner runner.Runner
	engine *engine
	wake   time.Time
}

type event struct {
	at   time.Time
	n    int
	call func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].n < s[j].n
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

func build(d Deployment, p Policy, extra int) *world {
	w := &world{deployment: d, policy: p, now: begin, cut: -1, callers: map[string]*flight{}}
	w.store = &store{world: w, filled: begin}
	w.measures.start(d)
	routing, _ := parts(p)
	for i := range d.Hosts {
		h := &host{world: w, index: i, owned: map[string]*owner{}}
		h.table = route.Table{Region: "near", Policy: routing, Hosts: d.Hosts}
		h.holder.Host = "h" + strconv.Itoa(i)
		w.hosts = append(w.hosts, h)
		w.grantors = append(w.grantors, &load.Grantor{Rate: d.Rate, Burst: d.Rate, MaxInFlight: d.Flight})
	}
	for i := range d.Runners + extra {
		w.own(i)
	}
	w.live = d.Runners
	w.retable()
	w.elect(0, 1)
	return w
}

func (w *world) own(i int) {
	_, policy := parts(w.policy)
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
	o.step(runner.Owned{Epoch: 1, LeaseEnd: begin.Add(far)})
}

// retable gives every host the runners in force.
func (w *world) retable() {
	var list []route.Runner
	for _, o := range w.owners[:w.live] {
		list = append(list, route.Runner{Name: o.runner.Name, Region: "near", BatchSize: w.deployment.Batch})
	}
	for _, h := range w.hosts {
		h.table.SetRunners(list)
	}
}

func (w *world) elect(i int, epoch uint64) {
	w.granting = i
	w.grantors[i].Start(w.now, epoch, w.now.Add(far), epoch == 1)
	for _, h := range w.hosts {
		h.step(load.Elected{Epoch: epoch})
	}
}

func (w *world) after(d time.Duration, call func()) { w.at(w.now.Add(d), call) }

// at schedules call for t, or for now where t has passed.
func (w *world) at(t time.Time, call func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.measures.events++
	heap.Push(&w.events, event{at: t, n: w.measures.events, call: call})
}

// run carries out all events up to end.
func (w *world) run(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.call()
	}
}

// arrive takes a request at a host that the balancer picked.
func (w *world) arrive(q *request) {
	h := w.hosts[q.salt%uint64(len(w.hosts))]
	h.table.CountRequest(w.now, q.ref)
	f := &flight{request: q, entry: h}
	f.choices = h.table.Snapshot().Choose(w.now, route.Query{Ref: q.ref, Salt: q.salt})
	w.callers[q.id] = f
	w.measures.offered++
	w.try(f)
}

// try sends a request to the owner of its next choice.
func (w *world) try(f *flight) {
	name := f.choices[f.next].Name
	f.next++
	for _, h := range w.hosts {
		if o := h.owned[name]; o != nil {
			w.after(Delay, func() { o.step(f.arrived()) })
		}
	}
}

func (f *flight) arrived() runner.RequestArrived {
	return runner.RequestArrived{
		ID: f.id, Ref: f.ref, Caller: f.caller, Deadline: f.deadline, MaxTokens: f.tokens,
	}
}

// refused tries the next choice of a request, or ends it.
func (w *world) refused(id string, again time.Time) {
	f := w.callers[id]
	if f == nil {
		return
	}
	if f.again.IsZero() {
		f.again = again // of the first choice, where the request comes back to
	}
	if f.next < len(f.choices) && w.now.Before(f.deadline) {
		w.try(f)
		return
	}
	delete(w.callers, id)
	w.measures.refusals++
	if w.returns && !f.again.IsZero() && !f.returned {
		w.at(f.again, func() { w.comeBack(f.request) })
	}
}

// comeBack sends a refused request again, when it was told to, as a new one
// with as much time as it had at first.
func (w *world) comeBack(q *request) {
	next := *q
	next.id += "r"
	next.at, next.deadline = w.now, w.now.Add(w.deployment.Deadline)
	next.returned = true
	w.measures.returned++
	w.arrive(&next)
}

func (w *world) began(q *request) { w.measures.begin(w.now, q) }

func (w *world) served(q *request, e *engine) {
	f := w.callers[q.id]
	delete(w.callers, q.id)
	w.measures.serve(w.now, f)
	f.entry.table.RecordServiceTime(w.now.Sub(f.at) - f.admit.Stall)
	w.after(Delay, func() { e.owner.step(runner.RequestEnded{ID: q.id, Outcome: runner.Served}) })
}

func (w *world) broken(q *request) {
	delete(w.callers, q.id)
	w.measures.broken++
}

// step gives an owner's runner one event and carries its actions out.
func (o *owner) step(e runner.Event) {
	w := o.world
	for _, a := range o.runner.Step(w.now, e) {
		o.act(a)
	}
	if t := o.runner.Next(); !t.IsZero() && (o.wake.IsZero() || t.Before(o.wake) || !w.now.Before(o.wake)) {
		o.wake = t
		w.at(t, func() { o.tick(t) })
	}
	if _, known := w.policy.(Least); known {
		o.tell(w.hosts, far)
	}
}

func (o *owner) tick(t time.Time) {
	if o.wake.Equal(t) {
		o.wake = time.Time{}
		o.step(runner.Tick{})
	}
}

// tell notes the runner's load at hosts.
func (o *owner) tell(hosts []*host, lasts time.Duration) {
	u := o.runner.Usage()
	for _, h := range hosts {
		h.table.Snapshot().SetHint(o.runner.Name, route.Hint{
			Waiting: u.Waiting, Running: u.Running, Expires: o.world.now.Add(lasts),
		})
	}
}

func (o *owner) act(a runner.Action) {
	w := o.world
	switch x := a.(type) {
	case runner.Admit:
		w.after(Delay, func() { o.admit(x) })
	case runner.Refuse:
		if f := w.callers[x.ID]; f != nil {
			o.tell([]*host{f.entry}, hintLasts)
		}
		w.after(Delay, func() { w.refused(x.ID, x.Err.RetryAt) })
	case runner.Order:
		w.after(Delay, func() { o.engine.order(x) })
	case runner.RequestPermit:
		o.host.step(load.PermitRequested{PendingLoad: load.PendingLoad{
			Runner: o.runner.Name, Ref: x.Ref, Waiting: x.Waiting, Caller: x.Caller, Weight: x.Weight,
		}})
	case runner.ReturnPermit:
		o.host.step(load.PermitReturned{Runner: o.runner.Name, Ref: x.Ref, Used: x.Used})
	case runner.RequestReport:
		rep := o.engine.report()
		w.after(2*Delay, func() { o.step(runner.ReportReceived{Report: rep}) })
	}
}

func (o *owner) admit(a runner.Admit) {
	f := o.world.callers[a.ID]
	f.admit = a
	o.tell([]*host{f.entry}, hintLasts)
	if !o.engine.admit(f.request) {
		o.world.measures.absent++
		o.step(runner.RequestEnded{ID: a.ID, Outcome: runner.Absent})
		o.world.refused(a.ID, time.Time{})
		return
	}
	o.world.measures.admit(o.world.now, f, o)
}

// step gives a host's holder one event and carries its actions out.
func (h *host) step(e load.Event) {
	w := h.world
	for _, a := range h.holder.Step(w.now, e) {
		h.act(a)
	}
	if t := h.holder.Next(); !t.IsZero() && (h.wake.IsZero() || t.Before(h.wake) || !w.now.Before(h.wake)) {
		h.wake = t
		w.at(t, func() {
			if h.wake.Equal(t) {
				h.wake = time.Time{}
				h.step(load.Tick{})
			}
		})
	}
}

func (h *host) act(a load.Action) {
	w := h.world
	switch x := a.(type) {
	case load.SendRequest:
		w.measures.asks++
		w.after(Delay+w.slow, func() { h.ask(x.Request) })
	case load.PermitGranted:
		h.owned[x.Runner].step(runner.PermitGranted{Ref: x.Ref, Expires: x.Expires})
	case load.PermitDenied:
		h.owned[x.Runner].step(runner.PermitDenied{Ref: x.Ref, RetryAt: x.RetryAt})
	}
}

// ask brings a request to the granting host and its reply back.
func (h *host) ask(q load.Request) {
	w := h.world
	if w.granting < 0 || h.index == w.cut {
		return
	}
	reply, ok := w.grantors[w.granting].Answer(w.now, q)
	if !ok {
		return
	}
	w.after(Delay+w.slow, func() { h.step(load.ReplyReceived{Reply: reply}) })
}
