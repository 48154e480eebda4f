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
	region        = "north"
	leaseDuration = 3 * time.Second
	renewInterval = time.Second
	deadline      = 8 * time.Second
)

// A testHost is one host of a cluster, with its control loop and the faults injected
// into it.
type testHost struct {
	name   string
	loop   *control.Loop
	cancel context.CancelFunc

	mu     sync.Mutex
	paused chan struct{} // nil while the host runs; closed when it resumes
	cutOff chan struct{} // closed while the host can't reach the object API
	dead   bool
}

// waitWhilePaused blocks while the host is paused.
func (m *testHost) waitWhilePaused() {
	m.mu.Lock()
	paused := m.paused
	m.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (m *testHost) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = make(chan struct{})
	m.loop.Freeze(m.paused)
}

func (m *testHost) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.paused)
	m.paused = nil
}

func (m *testHost) kill() {
	m.mu.Lock()
	m.dead = true
	m.mu.Unlock()
	m.cancel()
}

func (m *testHost) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

// setCutOff cuts the host off from the object API, or ends the cut.
func (m *testHost) setCutOff(cutOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cutOff {
		close(m.cutOff)
		return
	}
	m.cutOff = make(chan struct{})
}

// cutOffChan returns a channel that is closed while the host is cut off from the
// object API.
func (m *testHost) cutOffChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff
}

// hostStore is the object API as one host sees it, with the host's faults.
type hostStore struct {
	store.Store
	host *testHost
}

// checkAccess blocks while the host is paused, and fails while it is cut off.
func (g hostStore) checkAccess() error {
	g.host.waitWhilePaused()
	select {
	case <-g.host.cutOffChan():
		return store.ErrUnavailable
	default:
		return nil
	}
}

func (g hostStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := g.checkAccess(); err != nil {
		return store.Object{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g hostStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := g.checkAccess(); err != nil {
		return store.Object{}, err
	}
	return g.Store.Create(ctx, key, value)
}

func (g hostStore) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	if err := g.checkAccess(); err != nil {
		return store.Object{}, err
	}
	object, err := g.Store.Update(ctx, key, version, value)
	g.host.waitWhilePaused()
	return object, err
}

func (g hostStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := g.checkAccess(); err != nil {
		return err
	}
	return g.Store.Delete(ctx, key, version)
}

func (g hostStore) List(ctx context.Context, prefix, after string) (store.Page, error) {
	if err := g.checkAccess(); err != nil {
		return store.Page{}, err
	}
	return g.Store.List(ctx, prefix, after)
}

func (g hostStore) Hosts(ctx context.Context) ([]store.Presence, error) {
	if err := g.checkAccess(); err != nil {
		return nil, err
	}
	return g.Store.Hosts(ctx)
}

func (g hostStore) Watch(ctx context.Context, prefix string, revision uint64, change func(store.Event)) error {
	if err := g.checkAccess(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cutOff := g.host.cutOffChan()
	go func() {
		select {
		case <-cutOff:
			cancel()
		case <-ctx.Done():
		}
	}()
	return g.Store.Watch(ctx, prefix, revision, change)
}

// A cluster consists of hosts, engines, an object API and callers. It runs in a
// synctest bubble.
type cluster struct {
	t       *testing.T
	store   *memory.Store
	engines map[netip.AddrPort]*fakeEngine
	names   map[netip.AddrPort]string
	config  *patch.Config

	mu       sync.Mutex
	hosts    []*testHost
	rng      *rand.Rand
	count    int             // last number given to an incarnation or a request
	linkDown map[string]bool // hosts that other hosts can't reach and that can't reach others
	answered int
	refused  map[verdict.Code]int
	group    sync.WaitGroup
}

func newCluster(t *testing.T, hosts, runners int, fenced bool) *cluster {
	c := &cluster{
		t: t, store: &memory.Store{}, engines: map[netip.AddrPort]*fakeEngine{}, names: map[netip.AddrPort]string{},
		rng: rand.New(rand.NewPCG(1, 2)), linkDown: map[string]bool{}, refused: map[verdict.Code]int{},
	}
	c.config = c.configure(runners, fenced)
	for i := range hosts {
		c.startHost(fmt.Sprintf("entry-%d", i+1))
	}
	time.Sleep(2 * leaseDuration)
	waitIdle()
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
		c.engines[addr] = newFakeEngine(fenced)
		c.names[addr] = name
		config.Targets[name] = target.Target{Name: name, Service: "drafts", Address: addr, Region: region, Zone: "a", Slots: 4, Batch: 16}
		c.store.SetPresence(store.Presence{Name: name, State: "live", Kind: "target"})
	}
	return config
}

// startHost starts a host, or a new incarnation of it.
func (c *cluster) startHost(name string) *testHost {
	incarnation := c.nextNumber()
	m := &testHost{name: name, cutOff: make(chan struct{})}
	m.loop = &control.Loop{
		Self: host.Identity{Name: name, Incarnation: fmt.Sprint(incarnation), Zone: "a",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 1}), 7000)},
		Region: region, Store: hostStore{c.store, m}, Engines: engines{c.engines, m}, Link: link{c, m}, Log: zap.NewNop(),
		LeaseTiming: lease.Timing{Duration: leaseDuration, RenewInterval: renewInterval}, MaxTimeout: deadline, MaxQueue: 64, LoadRate: 8, MaxConcurrentLoads: 8,
	}
	m.loop.Start()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	c.store.SetPresence(store.Presence{Name: name, State: "live", Kind: "host"})
	c.replaceHost(m)
	go m.loop.Run(ctx)
	m.loop.Configure(c.config)
	return m
}

// nextNumber returns a new number.
func (c *cluster) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count
}

// replaceHost adds a host, in place of its previous incarnation if there is one.
func (c *cluster) replaceHost(m *testHost) {
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

// allHosts returns all hosts, including those that were killed.
func (c *cluster) allHosts() []*testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

func (c *cluster) stopAll() {
	for _, m := range c.allHosts() {
		m.cancel()
	}
}

func (c *cluster) host(name string) *testHost {
	for _, m := range c.allHosts() {
		if m.name == name {
			return m
		}
	}
	c.t.Fatalf("no host %s", name)
	return nil
}

// owner returns the host to which the running hosts route a runner's requests, or
// an empty string if there is none.
func (c *cluster) owner(runner string) string {
	for _, m := range c.allHosts() {
		if m.isDead() {
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

// link is the link between hosts as one host sees it, with its faults.
type link struct {
	c    *cluster
	host *testHost
}

func (l link) Call(ctx context.Context, _ netip.AddrPort, name string, m peer.Message) (peer.Message, error) {
	l.host.waitWhilePaused()
	time.Sleep(engineDelay)
	other := l.c.host(name)
	if other.isDead() || l.c.isLinkDown(l.host.name) || l.c.isLinkDown(name) {
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

func (c *cluster) isLinkDown(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linkDown[name]
}

// setLinkDown cuts the link between a host and all others, or ends the cut.
func (c *cluster) setLinkDown(name string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkDown[name] = down
}

// sendTraffic sends perSecond requests per second for a duration, each through a
// random host. Requests drawn for a killed host are skipped.
func (c *cluster) sendTraffic(perSecond int, adapters int, duration time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		id, ref, entry, runs := c.randomRequest(adapters)
		if entry.isDead() {
			continue
		}
		c.group.Go(func() { c.sendRequest(entry, id, ref, runs) })
	}
}

// randomRequest returns a random request: its ID, adapter, entry host and running
// time on the engine.
func (c *cluster) randomRequest(adapters int) (string, adapter.Ref, *testHost, time.Duration) {
	id := fmt.Sprintf("q%d", c.nextNumber())
	c.mu.Lock()
	defer c.mu.Unlock()
	zipf := rand.NewZipf(c.rng, 1.2, 1, uint64(adapters-1))
	ref := adapter.Ref{Name: fmt.Sprintf("a%d", zipf.Uint64()), Version: "v1"}
	runs := time.Duration(100+c.rng.IntN(1500)) * time.Millisecond
	return id, ref, c.hosts[c.rng.IntN(len(c.hosts))], runs
}

// sendRequest sends one request: it routes it, has it admitted by the owner, runs it
// on the engine and ends its ticket.
func (c *cluster) sendRequest(entry *testHost, id string, ref adapter.Ref, runs time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	job := control.Job{ID: id, Ref: ref, Service: "drafts", Caller: "c", Deadline: time.Now().Add(deadline), MaxTokens: 10}
	last := verdict.Unavailable
	for try := range 4 {
		entry.waitWhilePaused()
		for _, candidate := range entry.loop.Route(job) {
			done, code := c.tryOwner(ctx, entry, candidate, job, runs)
			if done {
				return
			}
			last = code
		}
		time.Sleep(time.Duration(try) * 300 * time.Millisecond)
	}
	c.countRefused(last)
	ran := 0
	for _, f := range c.engines {
		f.mu.Lock()
		ran += f.runs[id]
		f.mu.Unlock()
	}
	require.Zero(c.t, ran, "request %s was refused as not run", id)
}

// tryOwner sends the request through one owner. It returns false and the reason if
// the request did not run.
func (c *cluster) tryOwner(ctx context.Context, entry *testHost, candidate control.Candidate, job control.Job, runs time.Duration) (bool, verdict.Code) {
	owner := c.host(candidate.Owner)
	if owner != entry && (owner.isDead() || c.isLinkDown(owner.name) || c.isLinkDown(entry.name)) {
		return false, verdict.Unavailable
	}
	owner.waitWhilePaused()
	ticket, err := owner.loop.Admit(ctx, candidate.Runner, job)
	owner.waitWhilePaused()
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
	return c.runOnEngine(owner, ticket, candidate, job, runs)
}

// runOnEngine runs an admitted request on the engine, on behalf of the owner.
func (c *cluster) runOnEngine(owner *testHost, ticket *control.Ticket, candidate control.Candidate, job control.Job, runs time.Duration) (bool, verdict.Code) {
	f := c.engines[ticket.Target.Address]
	end, ok := f.begin(job.Ref, job.ID)
	if !ok {
		ticket.End(control.Refused{Absent: true})
		return false, verdict.Unavailable
	}
	select {
	case <-time.After(runs):
		f.finish(job.Ref, job.ID)
		owner.waitWhilePaused()
		ticket.End(control.Served{})
		c.countAnswered()
	case <-end:
		owner.loop.RecordCrash(candidate.Runner, []string{job.ID})
		ticket.End(control.Lost{})
	}
	return true, ""
}

func (c *cluster) countAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

func (c *cluster) countRefused(code verdict.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[code]++
}

// waitAndTakeCounts waits for all requests, and returns how many were answered and
// refused since the last call.
func (c *cluster) waitAndTakeCounts() (answered, refused int) {
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

// requireNoEvictionInUse checks that no adapter was evicted while a request ran on
// it. This must hold at any time.
func (c *cluster) requireNoEvictionInUse() {
	for addr, f := range c.engines {
		f.mu.Lock()
		require.Zero(c.t, f.evictedInUse, "evictions of adapters in use on %s", c.names[addr])
		f.mu.Unlock()
	}
}

// requireOwned checks that each runner has an owner that has not been killed.
func (c *cluster) requireOwned() {
	for _, name := range c.names {
		owner := c.owner(name)
		require.NotEmpty(c.t, owner, "%s has no owner", name)
		require.False(c.t, c.host(owner).isDead(), "%s is owned by %s, which was killed", name, owner)
	}
}

// engineOf returns the engine of a runner.
func (c *cluster) engineOf(runner string) *fakeEngine {
	return c.engines[c.config.Targets[runner].Address]
}

// loads returns how many loads the engines have started.
func (c *cluster) loads() int {
	sum := 0
	for _, f := range c.engines {
		f.mu.Lock()
		sum += f.loads
		f.mu.Unlock()
	}
	return sum
}
