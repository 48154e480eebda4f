package patch_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
)

// sizes are the numbers of adapters that the benchmarks run with.
var sizes = []int{3000, 10000, 22000, 44000}

// configOfSize returns a configuration with n adapters. It has one rule per
// adapter, one caller per 20 adapters and one runner per 36 adapters, and is built
// from patches of up to 5,000 changes.
func configOfSize(tb testing.TB, n int) *patch.Config {
	changes := []patch.Change{patch.PutService{Service: service.Service{Name: "draft", Engine: &service.Engine{Model: "base"}}}}
	for i := range n {
		callerName := fmt.Sprintf("caller-%05d", i/20)
		if i%20 == 0 {
			hash := caller.HashToken(callerName)
			changes = append(changes, patch.PutCaller{Caller: caller.Caller{Name: callerName, Tokens: []string{hexHash(hash)}}})
		}
		if i%36 == 0 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 36 / 250), byte(i / 36 % 250)}), 8000)
			r := runner(fmt.Sprintf("runner-%04d", i/36), address.String())
			changes = append(changes, patch.PutTarget{Target: r})
		}
		name := fmt.Sprintf("adapter-%05d", i)
		changes = append(changes, patch.PutAdapter{Adapter: adapter.Adapter{Name: name, Service: "draft", Versions: []string{"v1", "v2"}}},
			patch.PutRule{Rule: rule.Rule{Name: fmt.Sprintf("rule-%05d", i), Caller: callerName, Adapter: name}})
	}
	config := &patch.Config{}
	for len(changes) > 0 {
		count := min(len(changes), 5000)
		next, err := config.Apply(nextPatch(config, changes[:count]...))
		require.NoError(tb, err)
		config, changes = next, changes[count:]
	}
	return config
}

// forEachSize runs a sub-benchmark for each size, with a configuration of that
// size.
func forEachSize(b *testing.B, run func(b *testing.B, n int, c *patch.Config)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n, configOfSize(b, n)) })
	}
}

// BenchmarkMemory reports the heap memory of one configuration that was read from
// its snapshot, as it is on a host.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		snapshot, err := c.Snapshot()
		require.NoError(b, err)
		var config *patch.Config
		for b.Loop() {
			config = nil
			before := heapBytes()
			config, err = snapshot.Config()
			require.NoError(b, err)
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
		}
		runtime.KeepAlive(config)
	})
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply measures Apply for a patch that adds one adapter version and one
// rule.
func BenchmarkApply(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		p := nextPatch(c, patch.PutAdapter{Adapter: adapter.Adapter{Name: "adapter-00001", Service: "draft", Versions: []string{"v1", "v2", "v3"}}},
			patch.PutRule{Rule: rule.Rule{Name: "new", Caller: rule.All, Adapter: "adapter-00002"}})
		b.ReportAllocs()
		for b.Loop() {
			_, err := c.Apply(p)
			require.NoError(b, err)
		}
	})
}

func BenchmarkSnapshotWrite(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		for b.Loop() {
			s, err := c.Snapshot()
			require.NoError(b, err)
			size := 0
			for _, part := range s.Parts {
				size += len(part)
			}
			b.ReportMetric(float64(size)/(1<<10), "KiB")
			b.ReportMetric(float64(len(s.Parts)), "parts")
		}
	})
}

func BenchmarkSnapshotRead(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		s, err := c.Snapshot()
		require.NoError(b, err)
		for b.Loop() {
			_, err := s.Config()
			require.NoError(b, err)
		}
	})
}

// BenchmarkLookup measures the work per request: finding the caller by its token
// and checking that it may use an adapter.
func BenchmarkLookup(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		ref := adapter.Ref{Name: "adapter-00003", Version: "v1"}
		for b.Loop() {
			entry, ok := c.CallerByToken("caller-00000")
			require.True(b, ok && c.Allows(entry.Name, ref))
		}
	})
}

func BenchmarkModels(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ int, c *patch.Config) {
		for b.Loop() {
			require.Len(b, c.Models("caller-00000"), 40)
		}
	})
}
