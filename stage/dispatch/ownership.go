package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/residency"
)

// Acquire makes this host the owner of a runner, under a fencing number. Orders
// may be sent from the given time on; firstOwner says that the runner had no owner
// before.
func (d *Dispatcher) Acquire(name string, fence uint64, from time.Time, firstOwner bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil || t.residency != nil && t.residency.Fence == fence && !t.residency.Lost() {
		return
	}
	d.releaseTarget(t)
	t.residency = &residency.Manager{
		Target: name, Holder: d.Holder, Fence: fence, Slots: d.slotCapacity(t.Service), NotBefore: from, FirstOwner: firstOwner,
		LoadTime: initialLoadTime,
	}
	t.residency.ReserveSlots(d.pendingLoads[name])
	if d.owned == nil {
		d.owned = make(map[string]*target)
	}
	d.owned[name] = t
	for k, newest := range d.versions.AllNewest() {
		t.residency.SetNewest(k, newest)
	}
}

// Release ends this host's ownership of a runner.
func (d *Dispatcher) Release(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.owned[name]; t != nil {
		d.releaseTarget(t)
	}
}

func (d *Dispatcher) releaseTarget(t *target) {
	if t.residency != nil {
		t.residency.Close()
		t.residency = nil
		delete(d.owned, t.Name)
	}
}

// slotCapacity returns the number of adapters that a runner of a service holds
// at once.
func (d *Dispatcher) slotCapacity(service string) int {
	if engine := d.engine(service); engine != nil {
		return engine.Slots
	}
	return 0
}

// A Task is an action to carry out on a runner that this host owns.
type Task struct {
	Target catalog.Target
	Action residency.Action
}

// Tasks returns the actions to carry out now on the runners that this host owns,
// and the time of the next call. Nothing is loaded on a runner that is leaving, and no
// request waits for it.
func (d *Dispatcher) Tasks(now time.Time) ([]Task, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Task
	next := now.Add(time.Second)
	for _, t := range d.owned {
		if t.State != catalog.Ready || t.process.isLeaving() {
			t.residency.EndWaits()
			continue
		}
		d.assignModel(now, t)
		action, again := t.residency.Next(now)
		if action != nil {
			out = append(out, Task{Target: t.Target, Action: action})
		}
		if again.Before(next) {
			next = again
		}
	}
	return out, next
}

// assignModel selects the base model to load onto an empty runner. All hosts
// together keep below the load rate of the weight store.
func (d *Dispatcher) assignModel(now time.Time, t *target) {
	if !t.residency.Empty() {
		return
	}
	engine := d.engine(t.Service)
	if engine == nil || now.Before(d.nextModelLoad) {
		t.residency.Base = ""
		return
	}
	model, ok := d.mostNeededModel(t.Service, engine)
	if !ok {
		return
	}
	t.residency.Base, t.residency.BaseLoadTime = model.Name, model.LoadTime
	if engine.LoadRate > 0 {
		hosts := max(1, d.hostCount)
		d.nextModelLoad = now.Add(time.Duration(float64(hosts) / engine.LoadRate * float64(time.Second)))
	}
}

// mostNeededModel returns the model of a service with the highest demand per
// runner that holds it.
func (d *Dispatcher) mostNeededModel(service string, engine *catalog.Engine) (catalog.Model, bool) {
	holders := make(map[string]int)
	for _, t := range d.services[service] {
		for name := range t.Models {
			holders[name]++
		}
	}
	best, found, highest := catalog.Model{}, false, 0.0
	for name, m := range engine.Models {
		need := (d.demandByModel[name] + 1) / float64(holders[name]+1)
		if !found || need > highest || need == highest && name < best.Name {
			best, found, highest = m, true, need
		}
	}
	return best, found
}

// countDemand counts a request for a model and decays the counts of earlier
// requests.
func (d *Dispatcher) countDemand(model string) {
	if d.demandByModel == nil {
		d.demandByModel = make(map[string]float64)
	}
	for name := range d.demandByModel {
		d.demandByModel[name] *= demandDecay
	}
	d.demandByModel[model]++
}

// demandDecay is the factor by which each request reduces the demand counted
// before.
const demandDecay = 0.998

// RequestLoad requests an adapter on a runner that this host owns, on behalf of
// another host. The returned channel is closed once the adapter is loaded or the
// wait ended. If this host can't have the adapter loaded, the channel is nil and
// reason says why.
func (d *Dispatcher) RequestLoad(now time.Time, name string, k residency.Key) (loaded <-chan struct{}, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.owned[name]
	switch {
	case t == nil:
		return nil, "not the owner"
	case !t.usable(now):
		return nil, "runner not in use"
	case d.cut:
		return nil, "runner not reached"
	}
	reason = t.residency.UnavailableReason(now, k)
	if (reason == "" || reason == residency.OlderInUse) && d.serves(now, t, k) {
		return t.residency.Keep(now, k), ""
	}
	if reason != "" {
		return nil, reason
	}
	if state, _, _ := t.residency.Lookup(k); state == residency.Absent && t.residency.SlotWait(now) > maxPeerSlotWait {
		return nil, NoSlot
	}
	return t.residency.RequestLoad(now, k), ""
}

// NoSlot is the reason for which RequestLoad refuses an adapter that would wait
// too long for a slot.
const NoSlot = "no place"

// maxPeerSlotWait is how long a load request of another host may wait for an
// adapter slot.
const maxPeerSlotWait = 250 * time.Millisecond

// CancelLoadRequest ends a wait that RequestLoad began.
func (d *Dispatcher) CancelLoadRequest(name string, k residency.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.owned[name]; t != nil {
		t.residency.CancelLoadRequest(k)
	}
}

// Resident reports whether a runner that this host owns holds an adapter in a
// version that may serve new requests.
func (d *Dispatcher) Resident(now time.Time, name string, k residency.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.owned[name]
	if t == nil {
		return false
	}
	return d.serves(now, t, k)
}

// peerStartTime is the time within which a request of another host is taken to begin.
const peerStartTime = time.Second

// serves reports whether a runner that this host owns holds an adapter in a version that may serve
// new requests of other hosts. They aren't told which one it is, so they name the newest unless all
// older ones will do.
func (d *Dispatcher) serves(now time.Time, t *target, k residency.Key) bool {
	state, held, _ := t.residency.Lookup(k)
	return state == residency.Resident && (d.isNewest(k, held) || d.versions.Accepts(now, now.Add(peerStartTime), k, 0))
}

// Loading reports whether a runner that this host owns is loading an adapter.
func (d *Dispatcher) Loading(name string, k residency.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.owned[name]
	if t == nil {
		return false
	}
	state, _, _ := t.residency.Lookup(k)
	return state == residency.Loading
}

// HandleReply processes a runner's reply to an order. One to an order of an earlier ownership of
// the runner is ignored.
func (d *Dispatcher) HandleReply(now time.Time, o call.Order, reply call.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.owned[o.Target]; t != nil && t.residency.Fence == o.Fence {
		t.residency.HandleReply(now, reply)
	}
}

// HandleReport processes a runner's report, which is nil if the runner did not
// return one.
func (d *Dispatcher) HandleReport(now time.Time, name string, r *call.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.owned[name]
	switch {
	case t == nil:
	case r == nil:
		t.residency.HandleReportFailure(now)
	default:
		t.residency.HandleReport(now, *r)
	}
}

// Runners returns the ready targets of services that run models, and the revision
// of the platform's store that they reflect. Before the first configuration it
// returns nil and revision 0.
func (d *Dispatcher) Runners(now time.Time) ([]catalog.Target, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config == nil {
		// Without a configuration it is unknown which targets are runners. A
		// revision would claim that there are none.
		return nil, 0
	}
	var out []catalog.Target
	for _, t := range d.targets {
		listed := t.expiresAt.IsZero() || now.Before(t.expiresAt)
		if d.engine(t.Service) != nil && t.State == catalog.Ready && listed {
			out = append(out, t.Target)
		}
	}
	return out, d.revision
}

// SlotUsage returns the use of the adapter slots of the runners that this host
// owns, by runner.
func (d *Dispatcher) SlotUsage(now time.Time) map[string]residency.SlotUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]residency.SlotUsage)
	for name, t := range d.owned {
		if t.usable(now) {
			out[name] = t.residency.SlotUsage(now)
		}
	}
	return out
}
