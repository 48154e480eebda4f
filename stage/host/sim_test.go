package host_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
)

const region = "west"

// noise are the faults of the calls between hosts and the object API.
type noise struct {
	delay   time.Duration // most time one way
	lost    float64       // share of calls that don't arrive, and of watch events
	mute    float64       // share of calls whose answer is lost
	doubled float64       // share of answers that come twice
}

// world runs Members against a naive object store on one made-up clock.
type world struct {
	t       require.TestingT
	now     time.Time
	rand    *rand.Rand
	noise   noise
	outage  bool
	frozen  bool          // writes are refused
	planned bool          // no runner may be released undrained
	quiet   bool          // no checks on the way, for benchmarks
	spent   time.Duration // processor time in Step, as the benchmarks measure it
	yields  bool          // the nodes started give runners away before they have drained them
	queue   moments
	seq     int

	objects map[string]host.Object
	nodes   map[string]*node
	owners  map[string]string // "runner epoch" to the life that was told to own it
	config  uint64
	wanted  []host.Runner
	serial  int // of the names of new hosts
	reads   int
	writes  int
	deletes int
	puts    int // of the table, whether they took effect or not
	tables  int // writes of the table that took effect
}

// node is one process.
type node struct {
	name    string
	member  *host.Member
	paused  bool
	dead    bool
	stopped bool
	tick    time.Time
	waiting []host.Event
	until   time.Time
	holds   map[string]*hold
	drain   time.Duration
	yields  bool          // gives runners away before it has drained them
	mute    bool          // its deletes get lost
	deaf    bool          // its watch went silent
	reports []host.Action // all but calls
}

type hold struct {
	epoch   uint32
	drained bool
	serial  int
}

type moment struct {
	at  time.Time
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	if m[i].at.Equal(m[j].at) {
		return m[i].seq < m[j].seq
	}
	return m[i].at.Before(m[j].at)
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func newWorld(t require.TestingT, seed uint64) *world {
	return &world{
		t:       t,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		noise:   noise{delay: 5 * time.Millisecond},
		objects: make(map[string]host.Object),
		nodes:   make(map[string]*node),
		owners:  make(map[string]string),
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, moment{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		m := heap.Pop(&w.queue).(moment)
		w.now = m.at
		m.do()
	}
	w.now = end
}

func (w *world) hop() time.Duration {
	return time.Duration(w.rand.Int64N(int64(w.noise.delay) + 1))
}

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// start begins a process; incarnation tells it from earlier ones of the name.
func (w *world) start(name, zone, incarnation string) *node {
	n := &node{name: name, holds: make(map[string]*hold), drain: 300 * time.Millisecond, yields: w.yields}
	n.member = &host.Member{
		Region: region,
		Self: host.Identity{
			Name: name, Incarnation: incarnation, Zone: zone,
			Peer: netip.MustParseAddrPort("127.0.0.1:4000"),
		},
	}
	w.nodes[name] = n
	w.step(n, host.Started{})
	return n
}

// crew starts hosts named a, b, c, ... in zones z0 and z1 and gives them the runners.
func (w *world) crew(hosts int, runners []host.Runner) {
	w.config, w.wanted = 1, runners
	for i := range hosts {
		n := w.start(fmt.Sprintf("h%03d", i), fmt.Sprintf("z%d", i%2), "1")
		w.step(n, host.RunnersConfigured{Version: 1, Runners: runners})
	}
}

// all tells an event to every live process.
func (w *world) all(e host.Event) {
	if r, ok := e.(host.RunnersConfigured); ok {
		w.wanted = r.Runners
	}
	for _, n := range w.sorted() {
		w.deliver(n, e)
	}
}

func (w *world) sorted() []*node {
	nodes := make([]*node, 0, len(w.nodes))
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(x, y *node) int { return strings.Compare(x.name, y.name) })
	return nodes
}

func (w *world) kill(n *node) { n.dead = true }

func (w *world) pause(n *node, d time.Duration) {
	n.paused = true
	w.after(d, func() {
		n.paused = false
		waiting := n.waiting
		n.waiting = nil
		for _, e := range waiting {
			w.deliver(n, e)
		}
		w.deliver(n, host.Tick{})
	})
}

func (w *world) deliver(n *node, e host.Event) {
	switch {
	case n.dead || n.stopped:
	case n.paused:
		n.waiting = append(n.waiting, e)
	default:
		w.step(n, e)
	}
}

func (w *world) step(n *node, e host.Event) {
	began := time.Now()
	actions := n.member.Step(w.now, e)
	w.spent += time.Since(began)
	for _, a := range actions {
		w.act(n, a)
	}
	if !w.quiet {
		w.exclusive()
	}
	next := n.member.NextTick()
	if next.IsZero() || next.Equal(n.tick) {
		return
	}
	n.tick = next
	w.after(next.Sub(w.now), func() {
		if n.tick.Equal(next) {
			n.tick = time.Time{}
			w.deliver(n, host.Tick{})
		}
	})
}

func (w *world) act(n *node, a host.Action) {
	switch a := a.(type) {
	case host.Get:
		w.reads++
		w.call(n, a.CallID, func() host.Event { return w.get(a) })
	case host.List:
		w.reads++
		w.call(n, a.CallID, func() host.Event { return host.Listed{CallID: a.CallID, Objects: w.list(a.Prefix)} })
	case host.Put:
		w.writes++
		if a.Key == host.Key(region) {
			w.puts++
		}
		w.call(n, a.CallID, func() host.Event { return w.put(a) })
	case host.Delete:
		w.writes++
		w.deletes++
		if n.mute {
			return
		}
		w.call(n, a.CallID, func() host.Event { return w.remove(a) })
	default:
		n.reports = append(n.reports, a)
		w.report(n, a)
	}
}

func (w *world) report(n *node, a host.Action) {
	switch a := a.(type) {
	case host.Acquire:
		w.acquire(n, a)
	case host.Release:
		require.True(w.t, !w.planned || n.holds[a.Runner].drained, "%s cut off %s", a.Runner, n.name)
		delete(n.holds, a.Runner)
	case host.Handover:
		h := n.holds[a.Runner]
		h.serial++
		serial := h.serial
		give := func(e host.Event) func() {
			return func() {
				if n.holds[a.Runner] == h && h.serial == serial && !n.dead {
					h.drained = true
					w.deliver(n, e)
				}
			}
		}
		if n.yields {
			w.after(n.drain/100, give(host.AdmissionStopped{Runner: a.Runner}))
		}
		w.after(n.drain, give(host.Drained{Runner: a.Runner}))
	case host.Renewed:
		n.until = a.Until
	case host.Expired:
		n.until = time.Time{}
	case host.Stopped:
		n.stopped = true
	}
}

// acquire checks that an epoch of a runner is one life's alone.
func (w *world) acquire(n *node, a host.Acquire) {
	table, _ := n.member.Table()
	self, _ := table.Member(n.name)
	life := fmt.Sprint(n.name, " ", self.Incarnation, " ", self.Generation)
	key := fmt.Sprint(a.Runner, " ", a.Epoch)
	if first, ok := w.owners[key]; ok {
		require.Equal(w.t, first, life, "two owners of %s", key)
	}
	w.owners[key] = life
	serial := 0
	if h := n.holds[a.Runner]; h != nil {
		require.LessOrEqual(w.t, h.epoch, a.Epoch)
		serial = h.serial + 1
	}
	n.holds[a.Runner] = &hold{epoch: a.Epoch, serial: serial}
}

// exclusive checks that no two processes hold a runner under valid leases, and
// that no two hold one whose engine ignores fencing numbers, valid or not.
func (w *world) exclusive() {
	leased := make(map[string]string)
	unfenced := make(map[string]string)
	for _, n := range w.nodes {
		if n.dead || n.stopped {
			continue
		}
		for runner, h := range n.holds {
			if h.drained {
				continue
			}
			if w.now.Before(n.until) {
				require.Empty(w.t, leased[runner], "%s held by %s and %s", runner, leased[runner], n.name)
				leased[runner] = n.name
			}
			if strings.HasPrefix(runner, "u") {
				require.Empty(w.t, unfenced[runner], "%s held by %s and %s", runner, unfenced[runner], n.name)
				unfenced[runner] = n.name
			}
		}
	}
}

// call carries a call to the store and its answer back, with faults.
func (w *world) call(n *node, number uint64, do func() host.Event) {
	if w.chance(w.noise.lost) {
		return
	}
	w.after(w.hop(), func() {
		if w.outage {
			w.answer(n, host.Failed{CallID: number, Cause: lease.Unavailable})
			return
		}
		w.answer(n, do())
	})
}

func (w *world) answer(n *node, e host.Event) {
	if w.chance(w.noise.mute) {
		return
	}
	w.after(w.hop(), func() { w.deliver(n, e) })
	if w.chance(w.noise.doubled) {
		w.after(w.hop(), func() { w.deliver(n, e) })
	}
}

func (w *world) get(a host.Get) host.Event {
	o, ok := w.objects[a.Key]
	if !ok {
		return host.Missing{CallID: a.CallID}
	}
	return host.Found{CallID: a.CallID, Version: o.Version, Value: o.Value}
}

func (w *world) list(prefix string) []host.Object {
	var objects []host.Object
	for key, o := range w.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(x, y host.Object) int { return strings.Compare(x.Key, y.Key) })
	return objects
}

func (w *world) put(a host.Put) host.Event {
	if w.frozen {
		return host.Failed{CallID: a.CallID, Cause: lease.Unavailable}
	}
	if w.objects[a.Key].Version != a.Version {
		return host.Failed{CallID: a.CallID, Cause: lease.Conflict}
	}
	w.seq++
	o := host.Object{Key: a.Key, Version: uint64(w.seq), Value: a.Value}
	if a.Key == host.Key(region) {
		w.tables++
		if !w.quiet {
			w.grows(o)
		}
		w.show(o)
	}
	w.objects[a.Key] = o
	return host.Wrote{CallID: a.CallID, Version: o.Version}
}

// grows checks that a new table's epochs only grow, and that each change of an
// owner has a new epoch.
func (w *world) grows(o host.Object) {
	former, next := w.table(), decode(w.t, o.Value)
	require.GreaterOrEqual(w.t, next.MaxEpoch, former.MaxEpoch)
	require.GreaterOrEqual(w.t, next.ConfigVersion, former.ConfigVersion)
	for _, row := range next.Rows {
		before, ok := former.Row(row.Runner)
		if !ok {
			require.True(w.t, row.Owner == "" || row.Epoch > former.MaxEpoch)
			continue
		}
		require.GreaterOrEqual(w.t, row.Epoch, before.Epoch)
		if row.Owner != before.Owner && row.Owner != "" {
			require.Greater(w.t, row.Epoch, before.Epoch)
		}
	}
}

// show tells the watchers of a table.
func (w *world) show(o host.Object) {
	for _, n := range w.sorted() {
		if !n.deaf && !w.chance(w.noise.lost) {
			w.after(w.hop(), func() { w.deliver(n, host.TableWatched{Version: o.Version, Value: o.Value}) })
		}
	}
}

func (w *world) remove(a host.Delete) host.Event {
	if w.frozen {
		return host.Failed{CallID: a.CallID, Cause: lease.Unavailable}
	}
	if o, ok := w.objects[a.Key]; !ok || o.Version != a.Version {
		return host.Failed{CallID: a.CallID, Cause: lease.Conflict}
	}
	delete(w.objects, a.Key)
	return host.Deleted{CallID: a.CallID}
}

func decode(t require.TestingT, value []byte) host.Table {
	table, err := host.Decode(value)
	require.NoError(t, err)
	return table
}

func (w *world) table() host.Table {
	o, ok := w.objects[host.Key(region)]
	if !ok {
		return host.Table{}
	}
	return decode(w.t, o.Value)
}

// served checks that the members are the live hosts and that each runner is
// held by its owner in the table, one of them, and by no other.
func (w *world) served() {
	table := w.table()
	var live []string
	for _, n := range w.sorted() {
		if !n.dead && !n.stopped {
			live = append(live, n.name)
		}
	}
	var members []string
	for _, m := range table.Members {
		members = append(members, m.Name)
	}
	require.Equal(w.t, live, members)
	for _, row := range table.Rows {
		if row.Removed && row.Owner == "" {
			require.False(w.t, row.Drained, "kept for the requests of a lost owner alone")
			continue
		}
		require.Contains(w.t, live, row.Owner, "owner of %s", row.Runner)
		for _, name := range live {
			h := w.nodes[name].holds[row.Runner]
			if name != row.Owner {
				require.Nil(w.t, h, "%s held by %s", row.Runner, name)
				continue
			}
			require.NotNil(w.t, h, "%s not held by %s", row.Runner, name)
			require.Equal(w.t, row.Epoch, h.epoch)
			require.False(w.t, h.drained)
			require.Empty(w.t, row.NextOwner)
		}
	}
	require.Contains(w.t, live, table.Grantor.Name)
}

// runners returns fenced runners f0... and unfenced runners u0... in two zones.
func runners(fenced, unfenced int) []host.Runner {
	var all []host.Runner
	for i := range fenced {
		all = append(all, host.Runner{Name: fmt.Sprintf("f%03d", i), Zone: fmt.Sprintf("z%d", i%2), Fencing: host.ChecksFencing{}})
	}
	for i := range unfenced {
		all = append(all, host.Runner{Name: fmt.Sprintf("u%03d", i), Zone: fmt.Sprintf("z%d", i%2), Fencing: host.IgnoresFencing{}})
	}
	return all
}
