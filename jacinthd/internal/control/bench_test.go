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

// lone starts one host that owns all its runners, on the real clock.
func lone(b *testing.B, runners, adapters int) *control.Loop {
	config := &patch.Config{
		Version:  1,
		Services: map[string]service.Service{"drafts": {Name: "drafts", Engine: &service.Engine{Model: "base", Fenced: true}}},
		Targets:  map[string]target.Target{},
		Adapters: map[string]adapter.Adapter{},
	}
	all := map[netip.AddrPort]*fake{}
	for i := range runners {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 9000)
		name := fmt.Sprintf("runner-%d", i)
		all[addr] = newFake(true)
		all[addr].slots = 8
		config.Targets[name] = target.Target{Name: name, Service: "drafts", Address: addr, Region: region, Zone: "a", Slots: 8, Batch: 16}
	}
	for i := range adapters {
		name := fmt.Sprintf("a%d", i)
		config.Adapters[name] = adapter.Adapter{Name: name, Service: "drafts", Versions: []string{"v1"}}
	}
	m := &machine{name: "entry-1", apart: make(chan struct{})}
	m.loop = &control.Loop{
		Self:   host.Identity{Name: "entry-1", Incarnation: "1", Zone: "a"},
		Region: region, Store: &memory.Store{}, Engines: engines{all, m}, Log: zap.NewNop(),
		Terms: lease.Timing{Duration: 2 * time.Second, RenewInterval: 500 * time.Millisecond}, MaxTimeout: deadline, MaxQueue: 64, LoadRate: 1000, MaxConcurrentLoads: 1000,
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

// BenchmarkAdmit measures the control goroutine's part of one request: routing,
// admission of a resident adapter and the end of its ticket.
func BenchmarkAdmit(b *testing.B) {
	for _, runners := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := lone(b, runners, 100)
			job := control.Job{ID: "warm", Service: "drafts", Ref: adapter.Ref{Name: "a0", Version: "v1"}, Caller: "c", MaxTokens: 10}
			job.Deadline = time.Now().Add(time.Minute)
			serve(b, loop, job)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				job.ID = fmt.Sprint(i)
				serve(b, loop, job)
			}
		})
	}
}

func serve(b *testing.B, loop *control.Loop, job control.Job) {
	candidate := loop.Route(job)[0]
	ticket, err := loop.Admit(context.Background(), candidate.Runner, job)
	if err != nil {
		b.Fatal(err)
	}
	ticket.End(control.Served{})
}

// BenchmarkRoute measures the choice of runners alone, over adapters in turn.
func BenchmarkRoute(b *testing.B) {
	for _, runners := range []int{20, 150, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := lone(b, runners, 100)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ref := adapter.Ref{Name: fmt.Sprintf("a%d", i%100), Version: "v1"}
				loop.Route(control.Job{ID: "x", Service: "drafts", Ref: ref})
			}
		})
	}
}

// BenchmarkConfigure measures what a new configuration costs the control
// goroutine: the view and the routes made anew.
func BenchmarkConfigure(b *testing.B) {
	for _, runners := range []int{20, 150, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			loop := lone(b, runners, 22000)
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
