// Package ownership maintains this host's membership, which assigns each runner to
// one owner, and sends load and unload orders to the runners that this host owns.
//
// One goroutine, that of the Controller, owns all control state. It runs the
// membership of package host against the store, and sends orders only while the
// host's lease is valid by the clock of package boottime, which also counts the
// time in which the machine is suspended. A RunnerClient makes the calls to runners.
package ownership

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/jacinthd/internal/storecall"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/store"
)

// sharedRegion is the region name under which all hosts share one assignment table.
const sharedRegion = "all"

const (
	// pollInterval is the maximum time between two checks for pending work.
	pollInterval = 500 * time.Millisecond
	// unfencedGapFactor multiplies the order gap if runners don't check fencing
	// numbers.
	unfencedGapFactor = 2
	// renewalsPerTableRead is the number of lease renewals between two reads of the
	// assignment table. The watch of the table causes further reads.
	renewalsPerTableRead = 20
	// epochBits is the number of bits of a fencing number that hold the epoch of the
	// runner's assignment; the era of the store is above them.
	epochBits = 32
	// eventBuffer is the number of events that can be queued for the control
	// goroutine.
	eventBuffer = 256
)

// A Store provides access to the platform's object API.
type Store interface {
	store.Objects
	// GetStale is a cheaper Get that may return an old version of an object.
	GetStale(ctx context.Context, key string) (store.Object, error)
	// ListAndWatch calls change for each existing object whose key starts with prefix,
	// and then for each change to such objects, until ctx ends.
	ListAndWatch(ctx context.Context, prefix string, change func(store.Event))
	// Era returns the highest era that the store has named. It rises when the store has
	// come back from a copy some seconds old.
	Era() uint64
}

// A Controller maintains the membership of this host and sends the orders that the
// runners owned by it need. All exported fields must be set.
type Controller struct {
	Self       host.Identity
	Regions    map[string]string // region of each availability zone
	Store      Store
	Dispatcher *dispatch.Dispatcher
	Client     *RunnerClient
	Log        *zap.Logger
	// OnMembers is called with the hosts of each new assignment table.
	OnMembers func([]host.Identity)
	// OnRestored, if set, is called when the store has come back from an older copy.
	OnRestored func()
	// OnOwned is called with the number of runners that this host owns, after each
	// change of ownership.
	OnOwned func(runners int)
	// Fenced says whether runners refuse orders with an old fencing number.
	Fenced bool
	// OrderGap is the minimum time between the orders of two successive owners to
	// one runner.
	OrderGap    time.Duration
	LeaseTiming lease.Timing

	events       chan host.Event
	wake         chan struct{}
	stopped      chan struct{}
	member       host.Member
	owned        map[string]uint64 // fencing numbers by runner
	era          atomic.Uint64     // of the store, as the membership knows it
	leaseEnd     atomic.Int64      // end of the lease on the boot clock, in Unix nanoseconds; 0 without a valid lease
	knownRunners map[string]bool   // runners last passed to the membership
}

// Init initializes the Controller. It must be called before any other method.
func (c *Controller) Init() {
	c.events = make(chan host.Event, eventBuffer)
	c.wake = make(chan struct{}, 1)
	c.stopped = make(chan struct{})
	c.owned = make(map[string]uint64)
	c.member = host.Member{Region: sharedRegion, Self: c.Self, LeaseTiming: c.LeaseTiming, ObservedSuccessors: 1, RenewalsPerRefresh: renewalsPerTableRead, Regions: c.Regions, CautiousStart: !c.Fenced}
}

// Wake triggers an immediate check of whether runners need orders.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run maintains the membership and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.step(ctx, host.Started{})
	go c.Store.ListAndWatch(ctx, host.Key(""), func(change store.Event) {
		if put, ok := change.(store.Put); ok {
			c.handleObject(ctx, put.Object)
		}
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.step(ctx, e)
		case <-c.wake:
		case <-timer.C:
			c.step(ctx, host.Tick{})
		}
		c.updateRunners(ctx)
		next := c.runTasks(ctx)
		timer.Reset(min(max(time.Until(next), time.Millisecond), c.nextTick()))
	}
}

// nextTick returns the time until the membership needs a tick, at most pollInterval.
func (c *Controller) nextTick() time.Duration {
	next := c.member.NextTick()
	if next.IsZero() {
		return pollInterval
	}
	return min(max(next.Sub(boottime.Now()), time.Millisecond), pollInterval)
}

// Leave releases the lease and all runners, and waits until this is done or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	select {
	case c.events <- host.Stop{}:
	case <-ctx.Done():
		return
	}
	select {
	case <-c.stopped:
	case <-ctx.Done():
		c.Log.Warn("lease: not released in time")
	}
}

// step passes an event to the membership and executes the resulting actions.
func (c *Controller) step(ctx context.Context, event host.Event) {
	if era := c.Store.Era(); era > c.era.Load() {
		c.observeEra(ctx, era)
	}
	for _, action := range c.member.Step(boottime.Now(), event) {
		c.act(ctx, action)
	}
}

// observeEra passes a new era of the store to the membership, before any answer of it.
func (c *Controller) observeEra(ctx context.Context, era uint64) {
	before := c.era.Load()
	c.Log.Warn("host: the store is in a new era", zap.Uint64("era", era), zap.Uint64("before", before), zap.Int("runners", len(c.owned)))
	for _, action := range c.member.Step(boottime.Now(), host.EraChanged{Era: era}) {
		c.act(ctx, action)
	}
	c.era.Store(era)
	if c.OnRestored != nil {
		c.OnRestored()
	}
}

func (c *Controller) act(ctx context.Context, action host.Action) {
	switch a := action.(type) {
	case host.Get:
		c.get(ctx, a)
	case host.List:
		c.callStore(ctx, "list", a.Prefix, func() (host.Event, error) { return storecall.List(ctx, c.Store, a) })
	case host.Put:
		c.callStore(ctx, "write", a.Key, func() (host.Event, error) { return storecall.Put(ctx, c.Store, a) })
	case host.Delete:
		c.callStore(ctx, "delete", a.Key, func() (host.Event, error) { return storecall.Delete(ctx, c.Store, a) })
	case host.Acquire:
		c.acquire(a)
	case host.Release:
		c.release(a.Runner, "released")
	case host.Handover:
		c.release(a.Runner, "handed over")
		c.post(ctx, host.Drained{Runner: a.Runner})
	case host.Renewed:
		c.leaseEnd.Store(a.Until.UnixNano())
	case host.Expired:
		c.Log.Warn("lease: expired", zap.Int("runners", len(c.owned)))
		c.leaseEnd.Store(0)
	case host.TableChanged:
		c.Log.Info("host: new assignment table", zap.Uint64("version", a.Version), zap.Int("members", len(a.Table.Members)), zap.Int("runners", len(a.Table.Rows)))
		c.publishTable(a.Table)
	case host.Replaced:
		c.Log.Error("lease: another process runs under this host's name")
		c.leaseEnd.Store(0)
	case host.Stopped:
		c.Log.Info("lease: released")
		close(c.stopped)
	default:
		panic(fmt.Sprintf("ownership: unknown action %T of the membership", a))
	}
}

// publishTable passes a new assignment table to the Dispatcher, and its hosts to
// OnMembers.
func (c *Controller) publishTable(t host.Table) {
	owners := make(map[string]dispatch.Owner, len(t.Rows))
	for _, row := range t.Rows {
		if m, ok := t.Member(row.Owner); ok {
			owners[row.Runner] = dispatch.Owner{Host: m.Name, Address: m.Peer, Zone: m.Zone}
		}
	}
	c.Dispatcher.SetOwners(owners, len(t.Members))
	c.OnMembers(t.Members)
}

// post queues an event for the control goroutine without blocking. It may be called
// from the control goroutine itself.
func (c *Controller) post(ctx context.Context, e host.Event) {
	go func() {
		select {
		case c.events <- e:
		case <-ctx.Done():
		}
	}()
}

// acquire starts the ownership of a runner. Unless this host was the previous owner,
// the first order waits until a previous owner can no longer send any.
func (c *Controller) acquire(a host.Acquire) {
	fence := a.Era<<epochBits | uint64(a.Epoch)
	if c.owned[a.Runner] == fence {
		return
	}
	from := time.Now()
	if a.PreviousOwner != c.Self.Name {
		from = from.Add(c.orderGap())
	}
	c.owned[a.Runner] = fence
	c.Log.Info("host: runner acquired", zap.String("runner", a.Runner), zap.Uint64("fence", fence), zap.String("from", a.PreviousOwner))
	c.Dispatcher.Acquire(a.Runner, fence, from, a.PreviousOwner == "")
	c.OnOwned(len(c.owned))
}

// orderGap returns the minimum time between the orders of two successive owners. It
// is longer if runners don't refuse late orders of the previous owner.
func (c *Controller) orderGap() time.Duration {
	if c.Fenced {
		return c.OrderGap
	}
	return unfencedGapFactor * c.OrderGap
}

func (c *Controller) release(runner, why string) {
	if _, ok := c.owned[runner]; !ok {
		return
	}
	c.Log.Info("host: runner released", zap.String("runner", runner), zap.Uint64("fence", c.owned[runner]), zap.String("why", why))
	delete(c.owned, runner)
	c.Dispatcher.Release(runner)
	c.OnOwned(len(c.owned))
}

// updateRunners passes the list of runners to the membership if it changed. It also
// repeats Dispatcher.Acquire for the owned runners in the list. This has an effect on
// a runner that was missing from the list for a while, or on which another holder was
// seen.
func (c *Controller) updateRunners(ctx context.Context) {
	all, revision := c.Dispatcher.Runners(time.Now())
	if len(all) == 0 {
		return
	}
	unchanged := len(all) == len(c.knownRunners)
	names := make(map[string]bool, len(all))
	for _, t := range all {
		unchanged = unchanged && c.knownRunners[t.Name]
		names[t.Name] = true
	}
	for name, fence := range c.owned {
		if names[name] {
			c.Dispatcher.Acquire(name, fence, time.Now().Add(c.orderGap()), false)
		}
	}
	if unchanged {
		return
	}
	c.knownRunners = names
	c.step(ctx, host.RunnersConfigured{Version: revision, Runners: c.runnerRows(all)})
}

// runnerRows returns the runners in the form in which the membership assigns them.
func (c *Controller) runnerRows(all []catalog.Target) []host.Runner {
	// A lease is revoked at the earliest a full lease duration after its last renewal.
	// By then its holder has stopped sending orders on its own. The runner of a failed
	// owner may therefore move to another one even if it would not refuse the previous
	// owner's orders.
	rows := make([]host.Runner, 0, len(all))
	for _, t := range all {
		rows = append(rows, host.Runner{Name: t.Name, Zone: t.Zone, Fencing: host.ChecksFencing{}})
	}
	return rows
}

// Valid reports whether this host's lease is valid, so that it may send orders. A lease of
// an earlier era of the store is not. It may be called by any goroutine.
func (c *Controller) Valid() bool {
	return boottime.Now().UnixNano() < c.leaseEnd.Load() && c.Store.Era() == c.era.Load()
}

// runTasks starts the calls to runners that are due, if the lease is valid. It
// returns the time of the next check.
func (c *Controller) runTasks(ctx context.Context) time.Time {
	if !c.Valid() {
		return time.Now().Add(pollInterval)
	}
	tasks, next := c.Dispatcher.Tasks(time.Now())
	for _, task := range tasks {
		go func() {
			c.Client.Execute(ctx, task)
			c.Wake()
		}()
	}
	return next
}
