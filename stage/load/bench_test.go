package load_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/load"
)

// BenchmarkAnswer is one request at a grantor, with two wants from each host.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{9, 90, 370} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			g := grantor(true)
			now, n := zero, 0
			for b.Loop() {
				n++
				now = now.Add(time.Second / time.Duration(hosts))
				q := load.Request{Host: fmt.Sprint("h", n%hosts), Epoch: 1, Sequence: uint64(n)}
				for k := range 2 {
					q.Pending = append(q.Pending, load.PendingLoad{Runner: "r", Ref: ref(n%hosts*2 + k), Waiting: 1 + k, Caller: fmt.Sprint("c", n%10)})
				}
				g.Renew(now.Add(time.Minute))
				g.Answer(now, q)
			}
		})
	}
}
