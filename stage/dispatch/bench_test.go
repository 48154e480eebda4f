package dispatch_test

import (
	"fmt"
	"testing"

	"jacinthstage/stage/dispatch"
)

// BenchmarkPick chooses a target for a hit and for a miss.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 60, 600} {
		hold := make(map[int][]string)
		for i := range n {
			for j := range 8 {
				hold[i] = append(hold[i], fmt.Sprintf("a%d", 8*i+j))
			}
		}
		for name, adapter := range map[string]string{"hit": "a5", "miss": "none"} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				one := board("host-0", "north-a", n, hold)
				for b.Loop() {
					if s, ok := one.Pick(at(0), want(adapter, 800, 0)).(dispatch.Send); ok {
						s.Attempt.Report(at(1), dispatch.Canceled{})
					}
				}
			})
		}
	}
}
