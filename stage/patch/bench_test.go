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

var sizes = []int{3000, 10000, 22000, 44000}

// sized returns a configuration of n adapters, with a rule for each, a caller
// for 20 and a runner for 36 of them, in patches of 5,000 changes.
func sized(tb testing.TB, n int) *patch.Config {
	changes := []patch.Change{patch.PutService{Service: service.Service{Name: "draft", Engine: &service.Engine{Model: "base"}}}}
	for i := range n {
		who := fmt.Sprintf("caller-%05d", i/20)
		if i%20 == 0 {
			digest := caller.HashToken(who)
			changes = append(changes, patch.PutCaller{Caller: caller.Caller{Name: who, Tokens: []string{hexOf(digest)}}})
		}
		if i%36 == 0 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 36 / 250), byte(i / 36 % 250)}), 8000)
			x := runner(fmt.Sprintf("runner-%04d", i/36), address.String())
			changes = append(changes, patch.PutTarget{Target: x})
		}
		name := fmt.Sprintf("adapter-%05d", i)
		changes = append(changes, patch.PutAdapter{Adapter: adapter.Adapter{Name: name, Service: "draft", Versions: []string{"v1", "v2"}}},
			patch.PutRule{Rule: rule.Rule{Name: fmt.Sprintf("rule-%05d", i), Caller: who, Adapter: name}})
	}
	config := &patch.Config{}
	for len(changes) > 0 {
		some := min(len(changes), 5000)
		next, err := config.Apply(next(config, changes[:some]...))
		require.NoError(tb, err)
		config, changes = next, changes[some:]
	}
	return config
}

// through has each size run by name.
func through(b *testing.B, run func(b *testing.B, n int, c *patch.Config)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n, sized(b, n)) })
	}
}

// BenchmarkMemory reports the heap that one configuration takes, as a host
// holds it: read from its snapshot.
func BenchmarkMemory(b *testing.B) {
	through(b, func(b *testing.B, _ int, c *patch.Config) {
		snapshot, err := c.Snapshot()
		require.NoError(b, err)
		var kept *patch.Config
		for b.Loop() {
			kept = nil
			before := heap()
			kept, err = snapshot.Config()
			require.NoError(b, err)
			b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
		}
		runtime.KeepAlive(kept)
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply applies a patch that puts one adapter version and one rule.
func BenchmarkApply(b *testing.B) {
	through(b, func(b *testing.B, _ int, c *patch.Config) {
		p := next(c, patch.PutAdapter{Adapter: adapter.Adapter{Name: "adapter-00001", Service: "draft", Versions: []string{"v1", "v2", "v3"}}},
			patch.PutRule{Rule: rule.Rule{Name: "new", Caller: rule.All, Adapter: "adapter-00002"}})
		b.ReportAllocs()
		for b.Loop() {
			_, err := c.Apply(p)
			require.NoError(b, err)
		}
	})
}

func BenchmarkSnapshotWrite(b *testing.B) {
	through(b, func(b *testing.B, _ int, c *patch.Config) {
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
	through(b, func(b *testing.B, _ int, c *patch.Config) {
		s, err := c.Snapshot()
		require.NoError(b, err)
		for b.Loop() {
			_, err := s.Config()
			require.NoError(b, err)
		}
	})
}

// BenchmarkLookup finds the caller of a token and whether it may use an adapter.
func BenchmarkLookup(b *testing.B) {
	through(b, func(b *testing.B, _ int, c *patch.Config) {
		ref := adapter.Ref{Name: "adapter-00003", Version: "v1"}
		for b.Loop() {
			who, ok := c.CallerByToken("caller-00000")
			require.True(b, ok && c.Allows(who.Name, ref))
		}
	})
}

func BenchmarkModels(b *testing.B) {
	through(b, func(b *testing.B, _ int, c *patch.Config) {
		for b.Loop() {
			require.Len(b, c.Models("caller-00000"), 40)
		}
	})
}
