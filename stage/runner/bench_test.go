package runner_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/runner"
)

// BenchmarkStep is one request from its arrival to its end, while others wait
// for adapters that are not resident.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{0, 16, 64} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			r := &runner.Runner{Name: "r", Slots: 1, Batch: 16}
			r.Step(zero, runner.Owned{Epoch: 1, LeaseEnd: zero.Add(time.Hour)})
			r.Step(zero, done(1))
			r.Step(zero, report(1, 1, a))
			for i := range waiting {
				r.Step(zero, arrived(fmt.Sprint("w", i), refOf(fmt.Sprint(i%9+1))))
			}
			n := 0
			for b.Loop() {
				n++
				id := fmt.Sprint(n)
				r.Step(zero, arrived(id, a))
				r.Step(zero, runner.RequestEnded{ID: id, Outcome: runner.Served})
			}
		})
	}
}
