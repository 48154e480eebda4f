package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/dispatch"
)

// BenchmarkPick measures Pick for an adapter that is loaded on one runner (hit) and
// for one that is loaded on none (miss).
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 60, 600} {
		adapters := make(map[int][]string)
		for i := range n {
			for j := range 8 {
				adapters[i] = append(adapters[i], fmt.Sprintf("a%d", 8*i+j))
			}
		}
		for name, adapter := range map[string]string{"hit": "a5", "miss": "none"} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				d := newDispatcher("host-0", "north-a", n, adapters)
				for b.Loop() {
					if s, ok := d.Pick(at(0), request(adapter, 800, 0)).(dispatch.Send); ok {
						s.Attempt.Report(at(1), dispatch.Canceled{})
					}
				}
			})
		}
	}
}

// BenchmarkPickTold measures Pick at 300 targets that tell the slowness of the moment, and at as many that don't.
func BenchmarkPickTold(b *testing.B) {
	for name, told := range map[string]float64{"told": 1, "untold": 0} {
		b.Run(name, func(b *testing.B) {
			adapters := make(map[int][]string)
			for i := range 300 {
				adapters[i] = []string{fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i/8)}
			}
			d := newDispatcher("host-0", "north-a", 300, adapters)
			for i := range 300 {
				s, ok := d.Pick(at(0), request(fmt.Sprintf("a%d", i), 800, 0)).(dispatch.Send)
				if ok {
					s.Attempt.Report(at(1), dispatch.Head{Worked: true, Load: call.TargetLoad{Known: true, Slots: 64, Slowdown: told}})
					s.Attempt.Report(at(1), dispatch.Completed{})
				}
			}
			r := request("b5", 800, 0)
			r.Pause = 500 * time.Millisecond
			for ms := 2; b.Loop(); ms++ {
				r.Objective, r.Deadline = at(ms+1000), at(ms+6000)
				if s, ok := d.Pick(at(ms), r).(dispatch.Send); ok {
					s.Attempt.Report(at(ms), dispatch.Canceled{})
				}
			}
		})
	}
}
