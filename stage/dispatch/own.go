package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/residency"
)

// Acquire says that this host orders a runner from a moment on, under a fencing
// number; fresh says that the runner had no owner before.
func (b *Dispatcher) Acquire(name string, fence uint64, from time.Time, fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[name]
	if t == nil || t.shelf != nil && t.shelf.Fence == fence && !t.shelf.Lost() {
		return
	}
	b.disown(t)
	t.shelf = &residency.Manager{
		Target: name, Holder: b.Holder, Fence: fence, Slots: b.slots(t.Service), NotBefore: from, FirstOwner: fresh,
		LoadTime: transitFirst,
	}
	t.shelf.ReserveSlots(b.late[name])
	if b.owned == nil {
		b.owned = make(map[string]*target)
	}
	b.owned[name] = t
	for k, r := range b.newest {
		t.shelf.SetNewest(k, r.version)
	}
}

// Release says that this host orders a runner no longer.
func (b *Dispatcher) Release(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.owned[name]; t != nil {
		b.disown(t)
	}
}

func (b *Dispatcher) disown(t *target) {
	if t.shelf != nil {
		t.shelf.Close()
		t.shelf = nil
		delete(b.owned, t.Name)
	}
}

func (b *Dispatcher) slots(service string) int {
	if engine := b.engine(service); engine != nil {
		return engine.Slots
	}
	return 0
}

// An Errand is what a shelf wants done at its runner.
type Task struct {
	Target catalog.Target
	Action residency.Action
}

// Tasks returns what is to be done at the runners that this host owns, and
// when to ask again.
func (b *Dispatcher) Tasks(now time.Time) ([]Task, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Task
	next := now.Add(time.Second)
	for _, t := range b.owned {
		if t.State != catalog.Ready {
			continue
		}
		b.base(now, t)
		action, again := t.shelf.Next(now)
		if action != nil {
			out = append(out, Task{Target: t.Target, Action: action})
		}
		if again.Before(next) {
			next = again
		}
	}
	return out, next
}

// base tells a shelf which model to load onto its runner if that is empty. The
// loads of all hosts together stay below the rate of the weight store.
func (b *Dispatcher) base(now time.Time, t *target) {
	if !t.shelf.Empty() {
		return
	}
	engine := b.engine(t.Service)
	if engine == nil || now.Before(b.nextBase) {
		t.shelf.Base = ""
		return
	}
	model, ok := b.wanted(t.Service, engine)
	if !ok {
		return
	}
	t.shelf.Base, t.shelf.BaseLoadTime = model.Name, model.LoadTime
	if engine.LoadRate > 0 {
		hosts := max(1, b.hosts)
		b.nextBase = now.Add(time.Duration(float64(hosts) / engine.LoadRate * float64(time.Second)))
	}
}

// wanted returns the model of a service that is asked for most for each runner
// that holds it.
func (b *Dispatcher) wanted(service string, engine *catalog.Engine) (catalog.Model, bool) {
	holders := make(map[string]int)
	for _, t := range b.services[service] {
		for name := range t.Models {
			holders[name]++
		}
	}
	best, found, most := catalog.Model{}, false, 0.0
	for name, m := range engine.Models {
		need := (b.demand[name] + 1) / float64(holders[name]+1)
		if !found || need > most || need == most && name < best.Name {
			best, found, most = m, true, need
		}
	}
	return best, found
}

// ask counts a request for a model; past requests count less and less.
func (b *Dispatcher) ask(model string) {
	if b.demand == nil {
		b.demand = make(map[string]float64)
	}
	for name := range b.demand {
		b.demand[name] *= demandDecay
	}
	b.demand[model]++
}

// demandDecay is what is left of past demand after each request.
const demandDecay = 0.998

// RequestLoad asks for an adapter on a runner that this host owns, for another host.
// The channel is closed once it is there or the wait ended; nil says that this
// host can't have it loaded, and why.
func (b *Dispatcher) RequestLoad(now time.Time, name string, k residency.Key) (arrived <-chan struct{}, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.owned[name]
	switch {
	case t == nil:
		return nil, "not the owner"
	case !t.usable(now):
		return nil, "runner not in use"
	}
	if reason := t.shelf.UnavailableReason(now, k); reason != "" {
		return nil, reason
	}
	if state, _, _ := t.shelf.Lookup(k); state == residency.Absent && t.shelf.SlotWait(now) > placeMost {
		return nil, NoSlot
	}
	return t.shelf.RequestLoad(now, k), ""
}

// NoSlot is the reason of a Wish for an adapter that would wait too long for a place.
const NoSlot = "no place"

// placeMost is how long another host's wish may wait for a place.
const placeMost = 250 * time.Millisecond

// CancelLoadRequest ends a wait that Wish began.
func (b *Dispatcher) CancelLoadRequest(name string, k residency.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.owned[name]; t != nil {
		t.shelf.CancelLoadRequest(k)
	}
}

// Resident reports whether a runner that this host owns holds an adapter.
func (b *Dispatcher) Resident(now time.Time, name string, k residency.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.owned[name]
	if t == nil {
		return false
	}
	state, version, _ := t.shelf.Lookup(k)
	return state == residency.Resident && b.current(now, k, version)
}

// Loading reports whether an adapter is on its way to a runner that this host owns.
func (b *Dispatcher) Loading(name string, k residency.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.owned[name]
	if t == nil {
		return false
	}
	state, _, _ := t.shelf.Lookup(k)
	return state == residency.Loading
}

// HandleReply takes a runner's reply to an order.
func (b *Dispatcher) HandleReply(now time.Time, name string, reply call.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.owned[name]; t != nil {
		t.shelf.HandleReply(now, reply)
	}
}

// HandleReport takes a runner's report, nil where none came.
func (b *Dispatcher) HandleReport(now time.Time, name string, r *call.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.owned[name]
	switch {
	case t == nil:
	case r == nil:
		t.shelf.HandleReportFailure(now)
	default:
		t.shelf.HandleReport(now, *r)
	}
}

// Runners returns the targets of services that run models, and the revision of
// the platform's store as of which they are.
func (b *Dispatcher) Runners(now time.Time) ([]catalog.Target, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.config == nil {
		// Which targets are runners isn't known; it is not that there are none.
		return nil, 0
	}
	var out []catalog.Target
	for _, t := range b.targets {
		listed := t.gone.IsZero() || now.Before(t.gone)
		if b.engine(t.Service) != nil && t.State == catalog.Ready && listed {
			out = append(out, t.Target)
		}
	}
	return out, b.revision
}

// SlotUsage returns how the places of the runners that this host owns are used.
func (b *Dispatcher) SlotUsage(now time.Time) map[string]residency.SlotUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]residency.SlotUsage)
	for name, t := range b.owned {
		if t.usable(now) {
			out[name] = t.shelf.SlotUsage(now)
		}
	}
	return out
}
