package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/host"
	"jacinthstage/stage/lease"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// startSingleHost starts one host that owns all runners, on the real clock.
func startSingleHost(b *testing.B, runners, adapters int) *control.Loop {
	config := &patch.Config{
		Version:  1,
		Services: map[string]service.Service{"drafts": {Name: "drafts", Engine: &service.Engine{Model: "base", Fenced: true}}},
		Targets:  map[string]target.Target{},
		Adapters: map[string]adapter.Adapter{},
	}
	all := map[netip.AddrPort]*fakeEngine{}
	for i := range runners {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 9000)
		name := fmt.Sprintf("runner-%d", i)
		all[addr] = newFakeEngine(true)
		all[addr].slots = 8
		config.Targets[name] = target.Target{Name: name, Service: "drafts", Address: addr, Region: region, Zone: "a", Slots: 8, Batch: 16}
	}
	for i := range adapters {
		name := fmt.Sprintf("a%d", i)
		config.Adapters[name] = adapter.Adapter{Name: name, Service: "drafts", Versions: []string{"v1"}}
	}
	m := &testHost{name: "entry-1", cutOff: make(chan struct{})}
	m.loop = &control.Loop{
		Self:   host.Identity{Name: "entry-1", Incarnation: "1", Zone: "a"},
		Region: region, Store: &memory.Store{}, Engines: engines{all, m}, Log: zap.NewNop(),
		LeaseTiming: lease.Timing{Duration: 2 * time.Second, RenewInterval: 500 * time.Millisecond}, MaxTimeout: deadline, MaxQueue: 64, LoadRate: 1000, MaxConcurrentLoads: 1000,
	}
	m.loop.Start()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go m.loop.Run(ctx)
	m.loop.Configure(config)
	for len(m.loop.Route(control.Job{ID: "x", Service: "drafts", Ref: adapter.Ref{Name: "a0", Version: "v1"}})) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return m.loop
}

// BenchmarkAdmit measures the cost of one request in this package: routing,
// admission with a resident adapter, and the end of its ticket.
func BenchmarkAdmit(b *testing.B) {
	for _, runners := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := startSingleHost(b, runners, 100)
			job := control.Job{ID: "warm", Service: "drafts", Ref: adapter.Ref{Name: "a0", Version: "v1"}, Caller: "c", MaxTokens: 10}
			job.Deadline = time.Now().Add(time.Minute)
			serveJob(b, loop, job)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				job.ID = fmt.Sprint(i)
				serveJob(b, loop, job)
			}
		})
	}
}

// serveJob routes, admits and ends one job.
func serveJob(b *testing.B, loop *control.Loop, job control.Job) {
	candidate := loop.Route(job)[0]
	ticket, err := loop.Admit(context.Background(), candidate.Runner, job)
	if err != nil {
		b.Fatal(err)
	}
	ticket.End(control.Served{})
}

// BenchmarkRoute measures only the choice of runners, for each adapter in turn.
func BenchmarkRoute(b *testing.B) {
	for _, runners := range []int{20, 150, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := startSingleHost(b, runners, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ref := adapter.Ref{Name: fmt.Sprintf("a%d", i%100), Version: "v1"}
				loop.Route(control.Job{ID: "x", Service: "drafts", Ref: ref})
			}
		})
	}
}

// BenchmarkConfigure measures the time until a new configuration is in force, in
// which the control goroutine rebuilds the view and the routes.
func BenchmarkConfigure(b *testing.B) {
	for _, runners := range []int{20, 150, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := startSingleHost(b, runners, 22000)
			config := *loop.View().Config
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				next := config
				config.Version++
				next.Version = config.Version
				loop.Configure(&next)
				for loop.View().Config.Version < next.Version {
					time.Sleep(10 * time.Microsecond)
				}
			}
		})
	}
}
