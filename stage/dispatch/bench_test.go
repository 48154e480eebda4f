package dispatch_test

import (
	"fmt"
	"testing"

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
