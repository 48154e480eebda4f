package direct

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
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
	// inbox is the number of events that wait for the control goroutine.
	inbox = 256
)

// An Owner is the control goroutine: it keeps the membership of this host and
// carries out what the shelves of its runners ask for. Its fields must be set.
type Owner struct {
	Self    host.Identity
	Store   Store
	Board   *dispatch.Board
	Courier *Courier
	Peers   *Peers
	Meter   *Meter
	Log     *zap.Logger
	// Fenced says that runners refuse orders with an old fencing number.
	Fenced bool
	// Turn is the least time between the orders of two holders to one runner.
	Turn  time.Duration
	Terms lease.Terms

	events  chan host.Event
	wake    chan struct{}
	stopped chan struct{}
	member  host.Member
	owned   map[string]uint64 // fencing numbers by runner
	until   atomic.Int64      // end of the lease, by the boot clock, in Unix nanoseconds; 0 without one
	runners map[string]bool   // those last told to the membership
}

// Open prepares the Owner. It comes before Run and Wake.
func (o *Owner) Open() {
	o.events = make(chan host.Event, inbox)
	o.wake = make(chan struct{}, 1)
	o.stopped = make(chan struct{})
	o.owned = make(map[string]uint64)
	o.member = host.Member{Region: region, Self: o.Self, Terms: o.Terms, Successors: 1}
}

// Wake asks for a look at the shelves now.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run keeps the membership until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.step(ctx, host.Started{})
	go o.watch(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.events:
			o.step(ctx, e)
		case <-o.wake:
		case <-timer.C:
			o.step(ctx, host.Tick{})
		}
		o.tellRunners(ctx)
		next := o.errands(ctx)
		timer.Reset(min(max(time.Until(next), time.Millisecond), o.nextTick()))
	}
}

// nextTick returns the time until the membership wants a tick.
func (o *Owner) nextTick() time.Duration {
	next := o.member.Next()
	if next.IsZero() {
		return settleEvery
	}
	return min(max(next.Sub(boottime.Now()), time.Millisecond), settleEvery)
}

// Leave gives the lease and the runners up, and waits until that is done or ctx ends.
func (o *Owner) Leave(ctx context.Context) {
	select {
	case o.events <- host.Stop{}:
	case <-ctx.Done():
		return
	}
	select {
	case <-o.stopped:
	case <-ctx.Done():
		o.Log.Warn("lease: not given up in time")
	}
}

func (o *Owner) step(ctx context.Context, event host.Event) {
	for _, action := range o.member.Step(boottime.Now(), event) {
		o.act(ctx, action)
	}
}

func (o *Owner) act(ctx context.Context, action host.Action) {
	switch a := action.(type) {
	case host.Get:
		go o.get(ctx, a)
	case host.List:
		go o.list(ctx, a)
	case host.Put:
		go o.put(ctx, a)
	case host.Delete:
		go o.remove(ctx, a)
	case host.Acquire:
		o.acquire(a)
	case host.Release:
		o.release(a.Runner, "released")
	case host.Handover:
		o.release(a.Runner, "handed over")
		o.post(ctx, host.Drained{Runner: a.Runner})
	case host.Renewed:
		o.until.Store(a.Until.UnixNano())
	case host.Lapsed:
		o.Log.Warn("lease: lapsed", zap.Int("runners", len(o.owned)))
		o.until.Store(0)
	case host.Members:
		o.Log.Info("host: new table of owners", zap.Uint64("version", a.Version), zap.Int("members", len(a.Table.Members)), zap.Int("runners", len(a.Table.Rows)))
		o.members(a.Table)
	case host.Replaced:
		o.Log.Error("lease: another process runs under this name")
		o.until.Store(0)
	case host.Stopped:
		o.Log.Info("lease: given up")
		close(o.stopped)
	default:
		panic("direct: unknown action of the membership")
	}
}

// members tells who owns which runner, and which hosts there are.
func (o *Owner) members(t host.Table) {
	owners := make(map[string]dispatch.Owner, len(t.Rows))
	for _, row := range t.Rows {
		if m, ok := t.Member(row.Owner); ok {
			owners[row.Runner] = dispatch.Owner{Host: m.Name, Address: m.Peer.String()}
		}
	}
	o.Board.Owned(owners, len(t.Members))
	o.Peers.Members(t.Members)
}

// post tells the control goroutine of an event from itself or from another.
func (o *Owner) post(ctx context.Context, e host.Event) {
	go func() {
		select {
		case o.events <- e:
		case <-ctx.Done():
		}
	}()
}

// acquire takes a runner over. The first order waits until the former owner's
// turn is surely over.
func (o *Owner) acquire(a host.Acquire) {
	fence := uint64(a.Epoch)
	if o.owned[a.Runner] == fence {
		return
	}
	from := time.Now()
	if a.From != o.Self.Name {
		from = from.Add(o.turn())
	}
	o.owned[a.Runner] = fence
	o.Log.Info("host: acquired a runner", zap.String("runner", a.Runner), zap.Uint64("fence", fence), zap.String("from", a.From))
	o.Board.Own(a.Runner, fence, from, a.From == "")
	o.Meter.owned.Set(float64(len(o.owned)))
}

// turn returns the time between the orders of two holders. It is longer where
// runners don't refuse an order that comes late.
func (o *Owner) turn() time.Duration {
	if o.Fenced {
		return o.Turn
	}
	return unfencedTurns * o.Turn
}

func (o *Owner) release(runner, why string) {
	if _, ok := o.owned[runner]; !ok {
		return
	}
	o.Log.Info("host: gave a runner up", zap.String("runner", runner), zap.Uint64("fence", o.owned[runner]), zap.String("why", why))
	delete(o.owned, runner)
	o.Board.Disown(runner)
	o.Meter.owned.Set(float64(len(o.owned)))
}

// tellRunners tells the membership which runners there are, where that changed.
func (o *Owner) tellRunners(ctx context.Context) {
	all, revision := o.Board.Runners(time.Now())
	if len(all) == 0 {
		return
	}
	same := len(all) == len(o.runners)
	names := make(map[string]bool, len(all))
	for _, t := range all {
		same = same && o.runners[t.Name]
		names[t.Name] = true
	}
	for name, fence := range o.owned {
		if names[name] {
			o.Board.Own(name, fence, time.Now().Add(o.turn()), false)
		}
	}
	if same {
		return
	}
	o.runners = names
	o.step(ctx, host.Runners{Config: revision, Runners: o.rows(all)})
}

func (o *Owner) rows(all []catalog.Target) []host.Runner {
	// A lease is broken a whole term after its last renewal, when its holder has
	// stopped ordering by itself. So a lost owner's runner may move also where it
	// would not refuse the former owner's orders.
	rows := make([]host.Runner, 0, len(all))
	for _, t := range all {
		rows = append(rows, host.Runner{Name: t.Name, Zone: t.Zone, Fencing: host.Checked{}})
	}
	return rows
}

// Valid reports whether this host's lease is valid, so that it may send orders.
func (o *Owner) Valid() bool { return boottime.Now().UnixNano() < o.until.Load() }

// errands carries out what the shelves ask for, while the lease is valid. It
// returns when to look again.
func (o *Owner) errands(ctx context.Context) time.Time {
	if !o.Valid() {
		return time.Now().Add(settleEvery)
	}
	errands, next := o.Board.Errands(time.Now())
	for _, e := range errands {
		go func() {
			o.Courier.Run(ctx, e)
			o.Wake()
		}()
	}
	return next
}

func (o *Owner) get(ctx context.Context, a host.Get) {
	read := o.Store.Get
	if strings.HasPrefix(a.Key, lease.Prefix(region)) && a.Key != lease.Key(region, o.Self.Name) {
		// Another host's lease is broken at the version that was seen, which fails
		// where that was an old one.
		read = o.Store.GetStale
	}
	object, err := read(ctx, a.Key)
	switch {
	case err == nil:
		o.post(ctx, host.Found{Call: a.Call, Version: object.Version, Value: object.Value})
	case errors.Is(err, store.ErrMissing):
		o.post(ctx, host.Missing{Call: a.Call})
	default:
		o.failed(ctx, a.Call, "read", a.Key, err)
	}
}

func (o *Owner) list(ctx context.Context, a host.List) {
	var objects []host.Object
	after := ""
	for {
		page, err := o.Store.List(ctx, a.Prefix, after)
		if err != nil {
			o.failed(ctx, a.Call, "list", a.Prefix, err)
			return
		}
		for _, object := range page.Objects {
			objects = append(objects, host.Object{Key: object.Key, Version: object.Version, Value: object.Value})
			after = object.Key
		}
		if !page.More {
			o.post(ctx, host.Listed{Call: a.Call, Objects: objects})
			return
		}
	}
}

func (o *Owner) put(ctx context.Context, a host.Put) {
	var object store.Object
	var err error
	if a.Version == 0 {
		object, err = o.Store.Create(ctx, a.Key, a.Value)
	} else {
		object, err = o.Store.Update(ctx, a.Key, a.Version, a.Value)
	}
	if err != nil {
		o.failed(ctx, a.Call, "write", a.Key, err)
		return
	}
	o.post(ctx, host.Wrote{Call: a.Call, Version: object.Version})
}

func (o *Owner) remove(ctx context.Context, a host.Delete) {
	if err := o.Store.Delete(ctx, a.Key, a.Version); err != nil {
		o.failed(ctx, a.Call, "delete", a.Key, err)
		return
	}
	o.post(ctx, host.Deleted{Call: a.Call})
}

func (o *Owner) failed(ctx context.Context, call uint64, what, key string, err error) {
	cause := lease.Unknown
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrMissing):
		cause = lease.Conflict
	case errors.Is(err, store.ErrUnavailable):
		cause = lease.Unavailable
	}
	o.Log.Warn("lease: call on the store failed", zap.String("call", what), zap.String("key", key), zap.Error(err))
	o.post(ctx, host.Failed{Call: call, Cause: cause})
}

// watch follows the table of owners until ctx ends.
func (o *Owner) watch(ctx context.Context) {
	prefix := host.Key("")
	for ctx.Err() == nil {
		page, err := o.Store.List(ctx, prefix, "")
		if err == nil {
			for _, object := range page.Objects {
				o.see(ctx, object)
			}
			err = o.Store.Watch(ctx, prefix, page.Revision, func(c store.Change) {
				if put, ok := c.(store.Put); ok {
					o.see(ctx, put.Object)
				}
			})
		}
		if ctx.Err() == nil {
			o.Log.Warn("host: watch of the owners ended", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(settleEvery):
		}
	}
}

func (o *Owner) see(ctx context.Context, object store.Object) {
	if object.Key != host.Key(region) {
		return
	}
	select {
	case o.events <- host.Watched{Version: object.Version, Value: object.Value}:
	case <-ctx.Done():
	}
}
