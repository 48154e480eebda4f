// Package ownership keeps this host's part in the ownership of runners, and has
// the orders carried out that their shelves ask for.
//
// One goroutine, the Keeper, owns all control state: it drives the membership of
// stage/host against the store, and sends orders only while the host's lease is
// valid by a clock that counts suspension. A Courier makes the calls on runners.
package ownership

import (
	"context"
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

// region is the name under which all hosts share one table of owners.
const region = "all"

const (
	// settleEvery is the time between two looks at what is to be done.
	settleEvery = 500 * time.Millisecond
	// unfencedTurns is how many times longer a turn is at runners that don't check
	// fencing numbers.
	unfencedTurns = 2
	// refreshes is the number of renewals of the lease between two reads of the
	// table of owners, beside those that the watch of it makes.
	refreshes = 20
	// inbox is the number of events that wait for the control goroutine.
	inbox = 256
)

// A Store is the platform's object API.
type Store interface {
	store.Objects
	// GetStale is Get, but may return a former version of an object, and costs less.
	GetStale(ctx context.Context, key string) (store.Object, error)
	// ListAndWatch tells change the present objects whose keys start with prefix, and then
	// each change, until ctx ends.
	ListAndWatch(ctx context.Context, prefix string, change func(store.Event))
}

// A Keeper is the control goroutine: it keeps the membership of this host and
// carries out what the shelves of its runners ask for. Its fields must be set.
type Controller struct {
	Self    host.Identity
	Regions map[string]string // region of each availability zone
	Store   Store
	Board   *dispatch.Dispatcher
	Client  *RunnerClient
	Log     *zap.Logger
	// OnMembers is called with the hosts of each new table, Owned with the number of
	// runners that this host owns.
	OnMembers func([]host.Identity)
	OnOwned   func(runners int)
	// Fenced says that runners refuse orders with an old fencing number.
	Fenced bool
	// OrderGap is the least time between the orders of two holders to one runner.
	OrderGap time.Duration
	Terms    lease.Timing

	events  chan host.Event
	wake    chan struct{}
	stopped chan struct{}
	member  host.Member
	owned   map[string]uint64 // fencing numbers by runner
	until   atomic.Int64      // end of the lease, by the boot clock, in Unix nanoseconds; 0 without one
	runners map[string]bool   // those last told to the membership
}

// Init prepares the Keeper. It comes before Run and Wake.
func (k *Controller) Init() {
	k.events = make(chan host.Event, inbox)
	k.wake = make(chan struct{}, 1)
	k.stopped = make(chan struct{})
	k.owned = make(map[string]uint64)
	k.member = host.Member{Region: region, Self: k.Self, LeaseTiming: k.Terms, ObservedSuccessors: 1, RenewalsPerRefresh: refreshes, Regions: k.Regions}
}

// Wake asks for a look at the shelves now.
func (k *Controller) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the membership until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	k.step(ctx, host.Started{})
	go k.Store.ListAndWatch(ctx, host.Key(""), func(c store.Event) {
		if put, ok := c.(store.Put); ok {
			k.see(ctx, put.Object)
		}
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-k.events:
			k.step(ctx, e)
		case <-k.wake:
		case <-timer.C:
			k.step(ctx, host.Tick{})
		}
		k.tellRunners(ctx)
		next := k.errands(ctx)
		timer.Reset(min(max(time.Until(next), time.Millisecond), k.nextTick()))
	}
}

// nextTick returns the time until the membership wants a tick.
func (k *Controller) nextTick() time.Duration {
	next := k.member.NextTick()
	if next.IsZero() {
		return settleEvery
	}
	return min(max(next.Sub(boottime.Now()), time.Millisecond), settleEvery)
}

// Leave gives the lease and the runners up, and waits until that is done or ctx ends.
func (k *Controller) Leave(ctx context.Context) {
	select {
	case k.events <- host.Stop{}:
	case <-ctx.Done():
		return
	}
	select {
	case <-k.stopped:
	case <-ctx.Done():
		k.Log.Warn("lease: not given up in time")
	}
}

func (k *Controller) step(ctx context.Context, event host.Event) {
	for _, action := range k.member.Step(boottime.Now(), event) {
		k.act(ctx, action)
	}
}

func (k *Controller) act(ctx context.Context, action host.Action) {
	switch a := action.(type) {
	case host.Get:
		k.get(ctx, a)
	case host.List:
		k.carry(ctx, "list", a.Prefix, func() (host.Event, error) { return storecall.List(ctx, k.Store, a) })
	case host.Put:
		k.carry(ctx, "write", a.Key, func() (host.Event, error) { return storecall.Put(ctx, k.Store, a) })
	case host.Delete:
		k.carry(ctx, "delete", a.Key, func() (host.Event, error) { return storecall.Delete(ctx, k.Store, a) })
	case host.Acquire:
		k.acquire(a)
	case host.Release:
		k.release(a.Runner, "released")
	case host.Handover:
		k.release(a.Runner, "handed over")
		k.post(ctx, host.Drained{Runner: a.Runner})
	case host.Renewed:
		k.until.Store(a.Until.UnixNano())
	case host.Expired:
		k.Log.Warn("lease: lapsed", zap.Int("runners", len(k.owned)))
		k.until.Store(0)
	case host.TableChanged:
		k.Log.Info("host: new table of owners", zap.Uint64("version", a.Version), zap.Int("members", len(a.Table.Members)), zap.Int("runners", len(a.Table.Rows)))
		k.table(a.Table)
	case host.Replaced:
		k.Log.Error("lease: another process runs under this name")
		k.until.Store(0)
	case host.Stopped:
		k.Log.Info("lease: given up")
		close(k.stopped)
	default:
		panic("ownership: unknown action of the membership")
	}
}

// table tells who owns which runner, and which hosts there are.
func (k *Controller) table(t host.Table) {
	owners := make(map[string]dispatch.Owner, len(t.Rows))
	for _, row := range t.Rows {
		if m, ok := t.Member(row.Owner); ok {
			owners[row.Runner] = dispatch.Owner{Host: m.Name, Address: m.Peer, Zone: m.Zone}
		}
	}
	k.Board.SetOwners(owners, len(t.Members))
	k.OnMembers(t.Members)
}

// post tells the control goroutine of an event from itself or from another.
func (k *Controller) post(ctx context.Context, e host.Event) {
	go func() {
		select {
		case k.events <- e:
		case <-ctx.Done():
		}
	}()
}

// acquire takes a runner over. The first order waits until the former owner's
// turn is surely over.
func (k *Controller) acquire(a host.Acquire) {
	fence := uint64(a.Epoch)
	if k.owned[a.Runner] == fence {
		return
	}
	from := time.Now()
	if a.PreviousOwner != k.Self.Name {
		from = from.Add(k.turn())
	}
	k.owned[a.Runner] = fence
	k.Log.Info("host: acquired a runner", zap.String("runner", a.Runner), zap.Uint64("fence", fence), zap.String("from", a.PreviousOwner))
	k.Board.Acquire(a.Runner, fence, from, a.PreviousOwner == "")
	k.OnOwned(len(k.owned))
}

// turn returns the time between the orders of two holders. It is longer where
// runners don't refuse an order that comes late.
func (k *Controller) turn() time.Duration {
	if k.Fenced {
		return k.OrderGap
	}
	return unfencedTurns * k.OrderGap
}

func (k *Controller) release(runner, why string) {
	if _, ok := k.owned[runner]; !ok {
		return
	}
	k.Log.Info("host: gave a runner up", zap.String("runner", runner), zap.Uint64("fence", k.owned[runner]), zap.String("why", why))
	delete(k.owned, runner)
	k.Board.Release(runner)
	k.OnOwned(len(k.owned))
}

// tellRunners tells the membership which runners there are, where that changed.
func (k *Controller) tellRunners(ctx context.Context) {
	all, revision := k.Board.Runners(time.Now())
	if len(all) == 0 {
		return
	}
	same := len(all) == len(k.runners)
	names := make(map[string]bool, len(all))
	for _, t := range all {
		same = same && k.runners[t.Name]
		names[t.Name] = true
	}
	for name, fence := range k.owned {
		if names[name] {
			k.Board.Acquire(name, fence, time.Now().Add(k.turn()), false)
		}
	}
	if same {
		return
	}
	k.runners = names
	k.step(ctx, host.RunnersConfigured{Version: revision, Runners: k.rows(all)})
}

func (k *Controller) rows(all []catalog.Target) []host.Runner {
	// A lease is broken a whole term after its last renewal, when its holder has
	// stopped ordering by itself. So a lost owner's runner may move also where it
	// would not refuse the former owner's orders.
	rows := make([]host.Runner, 0, len(all))
	for _, t := range all {
		rows = append(rows, host.Runner{Name: t.Name, Zone: t.Zone, Fencing: host.ChecksFencing{}})
	}
	return rows
}

// Valid reports whether this host's lease is valid, so that it may send orders.
func (k *Controller) Valid() bool { return boottime.Now().UnixNano() < k.until.Load() }

// errands carries out what the shelves ask for, while the lease is valid. It
// returns when to look again.
func (k *Controller) errands(ctx context.Context) time.Time {
	if !k.Valid() {
		return time.Now().Add(settleEvery)
	}
	errands, next := k.Board.Tasks(time.Now())
	for _, e := range errands {
		go func() {
			k.Client.Execute(ctx, e)
			k.Wake()
		}()
	}
	return next
}
