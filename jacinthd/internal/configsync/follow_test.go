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

// everywhere is the longest that an accepted version takes to be in force.
const everywhere = 4 * time.Second

// A fleet is followers in one process, which reach each other as peers. Its
// hosts may each see a store of their own.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	hosts   map[string]*configsync.Follower
	highest map[string]uint64
	cut     bool // whether peers don't reach each other
	tell    bool // whether hosts that start now tell their versions
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, hosts: map[string]*configsync.Follower{}, highest: map[string]uint64{}}
}

// Fetch implements follow.Peers.
func (f *fleet) Fetch(ctx context.Context, peer string, ask configsync.Request) (configsync.Response, error) {
	f.mu.Lock()
	host, cut := f.hosts[peer], f.cut
	f.mu.Unlock()
	if host == nil || cut {
		return configsync.Response{}, errors.New("no such peer")
	}
	return host.HandleRequest(ctx, ask)
}

// ring returns what a host's Ring is.
func (f *fleet) ring(name string) func() []string {
	if !f.tell {
		return nil
	}
	return func() []string {
		f.mu.Lock()
		defer f.mu.Unlock()
		var others []string
		for other := range f.hosts {
			if other != name {
				others = append(others, other)
			}
		}
		return configsync.SuccessorsOf(name, others)
	}
}

// A speaker is the fleet as one of its hosts reaches it.
type speaker struct {
	*fleet
	name string
}

// Announce implements follow.Peers.
func (f speaker) Announce(_ context.Context, peer string, version uint64) error {
	f.mu.Lock()
	host, cut := f.hosts[peer], f.cut
	f.mu.Unlock()
	if host == nil || cut {
		return errors.New("no such peer")
	}
	host.NotePeerVersion(f.name, version)
	return nil
}

// start runs a host, in place of an earlier one of that name, and returns what stops it.
func (f *fleet) start(name string, s store.Store, seeds ...string) func() {
	host := &configsync.Follower{Host: name, Seeds: seeds, Store: s, Peers: speaker{f, name}, Successors: f.ring(name), Publish: func(c *patch.Config) {
		f.mu.Lock()
		defer f.mu.Unlock()
		require.GreaterOrEqual(f.t, c.Version, f.highest[name], "%s went back", name)
		f.highest[name] = c.Version
		require.Len(f.t, c.Callers, int(c.Version), "%s misses a patch", name)
	}}
	f.mu.Lock()
	f.hosts[name] = host
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
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

// at checks that each host has version in force.
func (f *fleet) at(version uint64) {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, host := range f.hosts {
		require.Equal(f.t, version, host.Version(), name)
	}
}

// propose accepts n patches, each of which puts one caller.
func propose(t *testing.T, s store.Store, n int) uint64 {
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

// within runs the test in a bubble with a store, and stops its hosts at the end.
func within(t *testing.T, test func(t *testing.T, s *memory.Store, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		test(t, &s, newFleet(t))
	})
}

func TestInForceEverywhere(t *testing.T) {
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
			within(t, func(t *testing.T, s *memory.Store, f *fleet) {
				for i := range 9 {
					defer f.start(fmt.Sprintf("entry-%d", i), s)()
				}
				time.Sleep(everywhere)
				f.at(0)
				propose(t, s, 5)
				time.Sleep(everywhere)
				f.at(5)
				for round := range 2 {
					s.SetFaults(k.during)
					time.Sleep(3 * time.Minute)
					s.SetFaults(memory.Faults{})
					version := propose(t, s, 3)
					time.Sleep(everywhere)
					f.at(version)
					require.Equal(t, uint64(8+3*round), version)
				}
			})
		})
	}
}

func TestCompactedWatchListsAgain(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		defer f.start("entry-1", s)()
		time.Sleep(everywhere)
		s.SetFaults(memory.Faults{Outage: true})
		time.Sleep(time.Minute)
		s.SetFaults(memory.Faults{})
		propose(t, s, 3)
		s.Compact()
		time.Sleep(everywhere)
		f.at(3)
	})
}

// TestRestartNeverGoesBack restarts hosts behind a snapshot, with the store up
// and down.
func TestRestartNeverGoesBack(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		stop := f.start("entry-1", s)
		defer f.start("entry-2", s)()
		propose(t, s, patch.SnapshotInterval+7)
		time.Sleep(time.Minute)
		f.at(patch.SnapshotInterval + 7)
		page, err := s.List(t.Context(), archive.SnapshotPrefix, "")
		require.NoError(t, err)
		require.Len(t, page.Objects, 1, "one snapshot by all hosts")
		for _, fault := range []memory.Faults{{}, {Delay: time.Second}, {Outage: true}, {Silent: true}} {
			stop()
			s.SetFaults(fault)
			stop = f.start("entry-1", s, "entry-2", "entry-3")
			time.Sleep(10 * time.Second)
			f.at(patch.SnapshotInterval + 7)
		}
		stop()
	})
}

func TestColdHostReadsLittle(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		stop := f.start("entry-1", s)
		propose(t, s, patch.SnapshotInterval+7)
		time.Sleep(time.Minute)
		stop()
		before := s.Counts()
		defer f.start("entry-1", s)()
		time.Sleep(everywhere)
		f.at(patch.SnapshotInterval + 7)
		after := s.Counts()
		require.Equal(t, memory.Counts{Reads: 3, Watches: 1}, memory.Counts{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches})
	})
}

// TestPeersHandOn cuts one host from the store: peers that tell their version
// keep it up to date, by patches and, from far behind, by a snapshot.
func TestPeersHandOn(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		var own memory.Store
		own.SetFaults(memory.Faults{Outage: true})
		defer f.start("near", s)()
		propose(t, s, 30)
		defer f.start("far", &own, "near")()
		time.Sleep(everywhere)
		f.at(30)
		propose(t, s, 2)
		f.hosts["far"].NotePeerVersion("near", 32)
		time.Sleep(everywhere)
		f.at(32)
		f.cut = true
		propose(t, s, 3*patch.SnapshotInterval)
		time.Sleep(everywhere)
		require.Equal(t, uint64(32), f.hosts["far"].Version())
		f.cut = false
		f.hosts["far"].NotePeerVersion("near", 32+3*patch.SnapshotInterval)
		time.Sleep(everywhere)
		f.at(32 + 3*patch.SnapshotInterval)
	})
}

// TestCallsAfterOutage counts the calls of many hosts in each second of an
// outage and after it.
func TestCallsAfterOutage(t *testing.T) {
	within(t, func(t *testing.T, s *memory.Store, f *fleet) {
		const hosts = 370
		const rate = 1000 // calls a second, half of what the platform allows
		for i := range hosts {
			defer f.start(fmt.Sprintf("entry-%d", i), s)()
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
		propose(t, s, 1)
		time.Sleep(everywhere)
		f.at(1)
	})
}

// TestCallsInAnHour counts calls on the object API at the letter's rate of
// 2,300 patches a day, and the bytes that the watches carry.
func TestCallsInAnHour(t *testing.T) {
	const changes = 2300 / 24 // patches in an hour
	for _, hosts := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			within(t, func(t *testing.T, s *memory.Store, f *fleet) {
				propose(t, s, 2*patch.SnapshotInterval+50) // so that a snapshot falls due in the hour
				for i := range hosts {
					defer f.start(fmt.Sprintf("entry-%d", i), s)()
				}
				time.Sleep(time.Minute)
				hour := s.Counts()
				for range changes {
					var own memory.Counts
					before := s.Counts()
					propose(t, s, 1)
					own = s.Counts()
					hour.Reads, hour.Writes = hour.Reads+own.Reads-before.Reads, hour.Writes+own.Writes-before.Writes
					time.Sleep(time.Hour / changes)
				}
				f.at(2*patch.SnapshotInterval + 50 + changes)
				now := s.Counts()
				reads, writes, watches := now.Reads-hour.Reads, now.Writes-hour.Writes, now.Watches-hour.Watches
				t.Logf("%d hosts, %d patches in an hour: %d reads, %d writes, %d new watches", hosts, changes, reads, writes, watches)
				require.Zero(t, watches)
				require.LessOrEqual(t, reads, 2*hosts+10)
			})
		})
	}
}
