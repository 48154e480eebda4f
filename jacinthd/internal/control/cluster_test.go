package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/service"
	"jacinthstage/stage/store"
	"jacinthstage/stage/target"
	"jacinthstage/stage/verdict"
)

const (
	region   = "north"
	term     = 3 * time.Second
	renewal  = time.Second
	deadline = 8 * time.Second
)

// A machine is one host: its control loop, and a gate that a pause closes.
type machine struct {
	name   string
	loop   *control.Loop
	cancel context.CancelFunc

	mu     sync.Mutex
	frozen chan struct{} // nil while the host runs
	apart  chan struct{} // closed while the object API can't be reached
	dead   bool
}

// pass holds the caller while the host is paused.
func (m *machine) pass() {
	m.mu.Lock()
	frozen := m.frozen
	m.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (m *machine) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen = make(chan struct{})
	m.loop.Freeze(m.frozen)
}

func (m *machine) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.frozen)
	m.frozen = nil
}

func (m *machine) kill() {
	m.mu.Lock()
	m.dead = true
	m.mu.Unlock()
	m.cancel()
}

func (m *machine) gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

// depart cuts the host off from the object API, or joins it again.
func (m *machine) depart(apart bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if apart {
		close(m.apart)
		return
	}
	m.apart = make(chan struct{})
}

// cut returns a channel that is closed while the host is cut off.
func (m *machine) cut() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apart
}

// gated is the object API as one host reaches it.
type gated struct {
	store.Store
	host *machine
}

// reach fails while the host is cut off, and holds it while it is paused.
func (g gated) reach() error {
	g.host.pass()
	select {
	case <-g.host.cut():
		return store.ErrUnavailable
	default:
		return nil
	}
}

func (g gated) Get(ctx context.Context, key string) (store.Object, error) {
	if err := g.reach(); err != nil {
		return store.Object{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g gated) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := g.reach(); err != nil {
		return store.Object{}, err
	}
	return g.Store.Create(ctx, key, value)
}

func (g gated) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	if err := g.reach(); err != nil {
		return store.Object{}, err
	}
	object, err := g.Store.Update(ctx, key, version, value)
	g.host.pass()
	return object, err
}

func (g gated) Delete(ctx context.Context, key string, version uint64) error {
	if err := g.reach(); err != nil {
		return err
	}
	return g.Store.Delete(ctx, key, version)
}

func (g gated) List(ctx context.Context, prefix, after string) (store.Page, error) {
	if err := g.reach(); err != nil {
		return store.Page{}, err
	}
	return g.Store.List(ctx, prefix, after)
}

func (g gated) Hosts(ctx context.Context) ([]store.Presence, error) {
	if err := g.reach(); err != nil {
		return nil, err
	}
	return g.Store.Hosts(ctx)
}

func (g gated) Watch(ctx context.Context, prefix string, revision uint64, change func(store.Event)) error {
	if err := g.reach(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	apart := g.host.cut()
	go func() {
		select {
		case <-apart:
			cancel()
		case <-ctx.Done():
		}
	}()
	return g.Store.Watch(ctx, prefix, revision, change)
}

// A cluster is some hosts with engines, an object API and callers, in a bubble.
type cluster struct {
	t       *testing.T
	store   *memory.Store
	engines map[netip.AddrPort]*fake
	names   map[netip.AddrPort]string
	config  *patch.Config

	mu       sync.Mutex
	hosts    []*machine
	random   *rand.Rand
	count    int             // numbers for incarnations and requests
	cut      map[string]bool // hosts that the link between hosts doesn't reach
	answered int
	refused  map[verdict.Code]int
	group    sync.WaitGroup
}

func newCluster(t *testing.T, hosts, runners int, fenced bool) *cluster {
	c := &cluster{
		t: t, store: &memory.Store{}, engines: map[netip.AddrPort]*fake{}, names: map[netip.AddrPort]string{},
		random: rand.New(rand.NewPCG(1, 2)), cut: map[string]bool{}, refused: map[verdict.Code]int{},
	}
	c.config = c.configure(runners, fenced)
	for i := range hosts {
		c.start(fmt.Sprintf("entry-%d", i+1))
	}
	time.Sleep(2 * term)
	synctestSettle()
	return c
}

func (c *cluster) configure(runners int, fenced bool) *patch.Config {
	config := &patch.Config{
		Version:  1,
		Services: map[string]service.Service{"drafts": {Name: "drafts", Engine: &service.Engine{Model: "base", Fenced: fenced}}},
		Targets:  map[string]target.Target{},
	}
	for i := range runners {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 9000)
		name := fmt.Sprintf("runner-%d", i+1)
		c.engines[addr] = newFake(fenced)
		c.names[addr] = name
		config.Targets[name] = target.Target{Name: name, Service: "drafts", Address: addr, Region: region, Zone: "a", Slots: 4, Batch: 16}
		c.store.SetPresence(store.Presence{Name: name, State: "live", Kind: "target"})
	}
	return config
}

// start starts a host, or another life of it.
func (c *cluster) start(name string) *machine {
	life := c.number()
	m := &machine{name: name, apart: make(chan struct{})}
	m.loop = &control.Loop{
		Self: host.Identity{Name: name, Incarnation: fmt.Sprint(life), Zone: "a",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 1}), 7000)},
		Region: region, Store: gated{c.store, m}, Engines: engines{c.engines, m}, Link: link{c, m}, Log: zap.NewNop(),
		Terms: lease.Timing{Duration: term, RenewInterval: renewal}, MaxTimeout: deadline, MaxQueue: 64, LoadRate: 8, MaxConcurrentLoads: 8,
	}
	m.loop.Start()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	c.store.SetPresence(store.Presence{Name: name, State: "live", Kind: "host"})
	c.add(m)
	go m.loop.Run(ctx)
	m.loop.Configure(c.config)
	return m
}

// number returns a new number.
func (c *cluster) number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count
}

// add puts a host in the place of its earlier life.
func (c *cluster) add(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.hosts {
		if old.name == m.name {
			c.hosts[i] = m
			return
		}
	}
	c.hosts = append(c.hosts, m)
}

// machines returns the hosts, those that were killed included.
func (c *cluster) machines() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

func (c *cluster) stop() {
	for _, m := range c.machines() {
		m.cancel()
	}
}

func (c *cluster) host(name string) *machine {
	for _, m := range c.machines() {
		if m.name == name {
			return m
		}
	}
	c.t.Fatalf("no host %s", name)
	return nil
}

// owner returns the host that the others route a runner's requests to.
func (c *cluster) owner(runner string) string {
	for _, m := range c.machines() {
		if m.gone() {
			continue
		}
		for _, candidate := range m.loop.Route(control.Job{ID: "x", Service: "drafts", Ref: adapter.Ref{Name: "a0", Version: "v1"}}) {
			if candidate.Runner == runner {
				return candidate.Owner
			}
		}
	}
	return ""
}

// link is the link between hosts as one host reaches it.
type link struct {
	c    *cluster
	host *machine
}

func (l link) Call(ctx context.Context, _ netip.AddrPort, name string, m peer.Message) (peer.Message, error) {
	l.host.pass()
	time.Sleep(engineDelay)
	other := l.c.host(name)
	if other.gone() || l.c.isCut(l.host.name) || l.c.isCut(name) {
		return nil, verdict.Refuse(verdict.Unavailable, "cut")
	}
	switch m := m.(type) {
	case peer.PermitRequest:
		reply, ok := other.loop.Grant(ctx, m.Request)
		if !ok {
			return nil, verdict.Refuse(verdict.Unavailable, "not the grantor")
		}
		return peer.PermitResponse{Reply: reply}, nil
	case peer.Drained:
		other.loop.RecordDrain(m.Runner, uint32(m.Epoch))
		return peer.Ack{}, nil
	default:
		return nil, verdict.Refuse(verdict.Malformed, "unexpected %T", m)
	}
}

func (c *cluster) isCut(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[name]
}

func (c *cluster) sever(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

// traffic sends requests a second for a while, each through a host that lives.
func (c *cluster) traffic(perSecond int, adapters int, span time.Duration) {
	gap := time.Second / time.Duration(perSecond)
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(gap) {
		id, ref, entry, runs := c.draw(adapters)
		if entry.gone() {
			continue
		}
		c.group.Go(func() { c.request(entry, id, ref, runs) })
	}
}

// draw returns a request at random: its ID, adapter, entry host and time on the engine.
func (c *cluster) draw(adapters int) (string, adapter.Ref, *machine, time.Duration) {
	id := fmt.Sprintf("q%d", c.number())
	c.mu.Lock()
	defer c.mu.Unlock()
	zipf := rand.NewZipf(c.random, 1.2, 1, uint64(adapters-1))
	ref := adapter.Ref{Name: fmt.Sprintf("a%d", zipf.Uint64()), Version: "v1"}
	runs := time.Duration(100+c.random.IntN(1500)) * time.Millisecond
	return id, ref, c.hosts[c.random.IntN(len(c.hosts))], runs
}

// request is the path of one request: route, admit at the owner, run, end.
func (c *cluster) request(entry *machine, id string, ref adapter.Ref, runs time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	job := control.Job{ID: id, Ref: ref, Service: "drafts", Caller: "c", Deadline: time.Now().Add(deadline), MaxTokens: 10}
	last := verdict.Unavailable
	for try := range 4 {
		entry.pass()
		for _, candidate := range entry.loop.Route(job) {
			done, code := c.try(ctx, entry, candidate, job, runs)
			if done {
				return
			}
			last = code
		}
		time.Sleep(time.Duration(try) * 300 * time.Millisecond)
	}
	c.refuse(last)
	ran := 0
	for _, f := range c.engines {
		f.mu.Lock()
		ran += f.ran[id]
		f.mu.Unlock()
	}
	require.Zero(c.t, ran, "request %s was refused as not run", id)
}

// try sends the request through one owner. It reports false where the request
// did not run.
func (c *cluster) try(ctx context.Context, entry *machine, candidate control.Candidate, job control.Job, runs time.Duration) (bool, verdict.Code) {
	owner := c.host(candidate.Owner)
	if owner != entry && (owner.gone() || c.isCut(owner.name) || c.isCut(entry.name)) {
		return false, verdict.Unavailable
	}
	owner.pass()
	ticket, err := owner.loop.Admit(ctx, candidate.Runner, job)
	owner.pass()
	if err != nil {
		var refused *verdict.Error
		require.ErrorAs(c.t, err, &refused)
		require.Equal(c.t, verdict.NotRun, refused.Verdict)
		return false, refused.Code
	}
	if !time.Now().Before(ticket.SendBefore) {
		ticket.End(control.Refused{})
		return false, verdict.Unavailable
	}
	return c.run(owner, ticket, candidate, job, runs)
}

// run runs an admitted request on the engine, at the owner.
func (c *cluster) run(owner *machine, ticket *control.Ticket, candidate control.Candidate, job control.Job, runs time.Duration) (bool, verdict.Code) {
	f := c.engines[ticket.Target.Address]
	end, ok := f.begin(job.Ref, job.ID)
	if !ok {
		ticket.End(control.Refused{Absent: true})
		return false, verdict.Unavailable
	}
	select {
	case <-time.After(runs):
		f.finish(job.Ref, job.ID)
		owner.pass()
		ticket.End(control.Served{})
		c.answer()
	case <-end:
		owner.loop.RecordCrash(candidate.Runner, []string{job.ID})
		ticket.End(control.Lost{})
	}
	return true, ""
}

func (c *cluster) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

func (c *cluster) refuse(code verdict.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[code]++
}

// settled returns how many requests were answered and refused since the last call.
func (c *cluster) settled() (answered, refused int) {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	answered = c.answered
	for _, n := range c.refused {
		refused += n
	}
	c.answered = 0
	clear(c.refused)
	return answered, refused
}

// requireSound checks what must hold at any time.
func (c *cluster) requireSound() {
	for addr, f := range c.engines {
		f.mu.Lock()
		require.Zero(c.t, f.evicted, "evictions beneath a request on %s", c.names[addr])
		f.mu.Unlock()
	}
}

// requireOwned checks that each runner has an owner that lives.
func (c *cluster) requireOwned() {
	for _, name := range c.names {
		owner := c.owner(name)
		require.NotEmpty(c.t, owner, "%s has no owner", name)
		require.False(c.t, c.host(owner).gone(), "%s is owned by %s, which is gone", name, owner)
	}
}

// named returns the engine of a runner.
func (c *cluster) named(runner string) *fake {
	return c.engines[c.config.Targets[runner].Address]
}

// loads returns how many loads the engines have begun.
func (c *cluster) loads() int {
	sum := 0
	for _, f := range c.engines {
		f.mu.Lock()
		sum += f.loads
		f.mu.Unlock()
	}
	return sum
}
