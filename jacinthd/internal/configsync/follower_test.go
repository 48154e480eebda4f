package configsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/jacinthd/internal/configsync"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

// propagationLimit is the longest time until an accepted version is in force on all
// hosts.
const propagationLimit = 4 * time.Second

// A cluster is a set of followers in one process that call each other as peers.
// Each host may use a store of its own.
type cluster struct {
	t           *testing.T
	mu          sync.Mutex
	hosts       map[string]*configsync.Follower
	highest     map[string]uint64
	partitioned bool // whether calls between peers fail
	announce    bool // whether hosts started from now on announce their versions
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, hosts: map[string]*configsync.Follower{}, highest: map[string]uint64{}}
}

// Fetch implements configsync.Peers.
func (c *cluster) Fetch(ctx context.Context, peer string, request configsync.Request) (configsync.Response, error) {
	c.mu.Lock()
	host, partitioned := c.hosts[peer], c.partitioned
	c.mu.Unlock()
	if host == nil || partitioned {
		return configsync.Response{}, errors.New("no such peer")
	}
	return host.HandleRequest(ctx, request)
}

// successors returns the Successors function of a host.
func (c *cluster) successors(name string) func() []string {
	if !c.announce {
		return nil
	}
	return func() []string {
		c.mu.Lock()
		defer c.mu.Unlock()
		var others []string
		for other := range c.hosts {
			if other != name {
				others = append(others, other)
			}
		}
		return configsync.SuccessorsOf(name, others)
	}
}

// A clusterPeers implements configsync.Peers for one host of the cluster.
type clusterPeers struct {
	*cluster
	name string
}

// Announce implements configsync.Peers.
func (p clusterPeers) Announce(_ context.Context, peer string, version uint64) error {
	p.mu.Lock()
	host, partitioned := p.hosts[peer], p.partitioned
	p.mu.Unlock()
	if host == nil || partitioned {
		return errors.New("no such peer")
	}
	host.NotePeerVersion(p.name, version)
	return nil
}

// start runs a host, which replaces an earlier one of that name, and returns the
// function that stops it.
func (c *cluster) start(name string, s store.Store, seeds ...string) func() {
	host := &configsync.Follower{Host: name, Seeds: seeds, Store: s, Peers: clusterPeers{c, name}, Successors: c.successors(name), Publish: func(config *patch.Config) {
		c.mu.Lock()
		defer c.mu.Unlock()
		require.GreaterOrEqual(c.t, config.Version, c.highest[name], "%s went back", name)
		c.highest[name] = config.Version
		require.Len(c.t, config.Callers, int(config.Version), "%s misses a patch", name)
	}}
	c.mu.Lock()
	c.hosts[name] = host
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = host.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// requireVersion checks that version is in force on every host.
func (c *cluster) requireVersion(version uint64) {
	c.t.Helper()
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, host := range c.hosts {
		require.Equal(c.t, version, host.Version(), name)
	}
}

// addPatches stores n accepted patches, each of which adds one caller, and returns
// the last one's number.
func addPatches(t *testing.T, s store.Store, n int) uint64 {
	config, err := archive.Read(t.Context(), s)
	require.NoError(t, err)
	number := config.Version
	for range n {
		number++
		name := fmt.Sprintf("c%d", number)
		data, err := patch.Patch{Number: number, Base: number - 1, ID: name, Author: "ann", Reason: "test",
			Changes: []patch.Change{patch.PutCaller{Caller: caller.Caller{Name: name}}}}.MarshalCBOR()
		require.NoError(t, err)
		_, err = s.Create(t.Context(), archive.PatchKey(number), data)
		require.NoError(t, err)
	}
	return number
}

// withCluster runs a test in a synctest bubble with a store and an empty cluster,
// whose hosts stop when the test ends.
func withCluster(t *testing.T, test func(t *testing.T, s *memory.Store, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		test(t, &s, newCluster(t))
	})
}

// TestPropagation checks that a new version comes into force on all hosts in time,
// also after a fault of the store.
func TestPropagation(t *testing.T) {
	faults := []struct {
		name   string
		during memory.Faults
	}{
		{"no fault", memory.Faults{}},
		{"outage", memory.Faults{Outage: true}},
		{"silent", memory.Faults{Silent: true}},
		{"slow", memory.Faults{Delay: 1500 * time.Millisecond}},
	}
	for _, k := range faults {
		t.Run(k.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
				for i := range 9 {
					defer c.start(fmt.Sprintf("entry-%d", i), s)()
				}
				time.Sleep(propagationLimit)
				c.requireVersion(0)
				addPatches(t, s, 5)
				time.Sleep(propagationLimit)
				c.requireVersion(5)
				for round := range 2 {
					s.SetFaults(k.during)
					time.Sleep(3 * time.Minute)
					s.SetFaults(memory.Faults{})
					version := addPatches(t, s, 3)
					time.Sleep(propagationLimit)
					c.requireVersion(version)
					require.Equal(t, uint64(8+3*round), version)
				}
			})
		})
	}
}

// TestCompactedWatch checks that a host lists the patches again if the revision at
// which its watch stopped has been compacted.
func TestCompactedWatch(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		defer c.start("entry-1", s)()
		time.Sleep(propagationLimit)
		s.SetFaults(memory.Faults{Outage: true})
		time.Sleep(time.Minute)
		s.SetFaults(memory.Faults{})
		addPatches(t, s, 3)
		s.Compact()
		time.Sleep(propagationLimit)
		c.requireVersion(3)
	})
}

// TestRestart restarts a host after a snapshot, with the store available and
// faulty, and checks that it never publishes an older version than before.
func TestRestart(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		stop := c.start("entry-1", s)
		defer c.start("entry-2", s)()
		addPatches(t, s, patch.SnapshotInterval+7)
		time.Sleep(time.Minute)
		c.requireVersion(patch.SnapshotInterval + 7)
		page, err := s.List(t.Context(), archive.SnapshotPrefix, "")
		require.NoError(t, err)
		require.Len(t, page.Objects, 1, "all hosts together write one snapshot")
		for _, fault := range []memory.Faults{{}, {Delay: time.Second}, {Outage: true}, {Silent: true}} {
			stop()
			s.SetFaults(fault)
			stop = c.start("entry-1", s, "entry-2", "entry-3")
			time.Sleep(10 * time.Second)
			c.requireVersion(patch.SnapshotInterval + 7)
		}
		stop()
	})
}

// TestColdStartReads checks that a host that starts after a snapshot needs only three
// reads and one watch.
func TestColdStartReads(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		stop := c.start("entry-1", s)
		addPatches(t, s, patch.SnapshotInterval+7)
		time.Sleep(time.Minute)
		stop()
		before := s.Counts()
		defer c.start("entry-1", s)()
		time.Sleep(propagationLimit)
		c.requireVersion(patch.SnapshotInterval + 7)
		after := s.Counts()
		require.Equal(t, memory.Counts{Reads: 3, Watches: 1}, memory.Counts{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches})
	})
}

// TestUpdatesFromPeers checks that a host without access to the store is kept up to
// date by peers that announce their version: with patches, or with a snapshot if it
// is far behind.
func TestUpdatesFromPeers(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		var unavailable memory.Store
		unavailable.SetFaults(memory.Faults{Outage: true})
		defer c.start("near", s)()
		addPatches(t, s, 30)
		defer c.start("far", &unavailable, "near")()
		time.Sleep(propagationLimit)
		c.requireVersion(30)
		addPatches(t, s, 2)
		c.hosts["far"].NotePeerVersion("near", 32)
		time.Sleep(propagationLimit)
		c.requireVersion(32)
		c.partitioned = true
		addPatches(t, s, 3*patch.SnapshotInterval)
		time.Sleep(propagationLimit)
		require.Equal(t, uint64(32), c.hosts["far"].Version())
		c.partitioned = false
		c.hosts["far"].NotePeerVersion("near", 32+3*patch.SnapshotInterval)
		time.Sleep(propagationLimit)
		c.requireVersion(32 + 3*patch.SnapshotInterval)
	})
}

// TestCallRateAfterOutage checks that many hosts together stay within the rate limit
// of the store in each second during and after an outage.
func TestCallRateAfterOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
		const hosts = 370
		const rate = 1000 // calls per second, half of the platform's limit
		for i := range hosts {
			defer c.start(fmt.Sprintf("entry-%d", i), s)()
		}
		time.Sleep(time.Minute)
		s.SetFaults(memory.Faults{Outage: true})
		last := s.Counts()
		for second := range 40 {
			if second == 30 {
				s.SetFaults(memory.Faults{})
			}
			time.Sleep(time.Second)
			now := s.Counts()
			calls := now.Reads + now.Watches - last.Reads - last.Watches
			require.Less(t, calls, rate, "second %d", second)
			last = now
		}
		addPatches(t, s, 1)
		time.Sleep(propagationLimit)
		c.requireVersion(1)
	})
}

// TestCallsPerHour checks the number of object API calls in an hour at the expected
// rate of 2,300 patches a day.
func TestCallsPerHour(t *testing.T) {
	const changes = 2300 / 24 // patches per hour
	for _, hosts := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *memory.Store, c *cluster) {
				addPatches(t, s, 2*patch.SnapshotInterval+50) // so that a snapshot becomes due within the hour
				for i := range hosts {
					defer c.start(fmt.Sprintf("entry-%d", i), s)()
				}
				time.Sleep(time.Minute)
				start := s.Counts() // plus the calls of addPatches below, which aren't the hosts'
				for range changes {
					before := s.Counts()
					addPatches(t, s, 1)
					after := s.Counts()
					start.Reads, start.Writes = start.Reads+after.Reads-before.Reads, start.Writes+after.Writes-before.Writes
					time.Sleep(time.Hour / changes)
				}
				c.requireVersion(2*patch.SnapshotInterval + 50 + changes)
				now := s.Counts()
				reads, writes, watches := now.Reads-start.Reads, now.Writes-start.Writes, now.Watches-start.Watches
				t.Logf("%d hosts, %d patches in an hour: %d reads, %d writes, %d new watches", hosts, changes, reads, writes, watches)
				require.Zero(t, watches)
				require.LessOrEqual(t, reads, 2*hosts+10)
			})
		})
	}
}
