package load_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthstage/stage/load"
)

// BenchmarkAnswer measures the grantor's answer to one request, with so many
// hosts that each want two loads.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{9, 50, 185} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			g := &load.Grantor{Rate: rate, Burst: burst, Flight: flight}
			now := time.Unix(1000, 0)
			g.Start(now, 1, now.Add(1000*time.Hour), true)
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprintf("entry-%d", i)
			}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				host := i % hosts
				g.Answer(now, load.Request{
					Host: names[host], Epoch: 1, Sequence: uint64(i + 1),
					Wants: []load.Want{{Runner: "a", Ref: ref(2 * host), Waiting: 1}, {Runner: "b", Ref: ref(2*host + 1), Waiting: 2}},
				})
			}
		})
	}
}
