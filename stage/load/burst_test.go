package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/load"
)

// A grantor grants at any rate, however slow the store.
func TestGrantsAtAnyRate(t *testing.T) {
	for _, perSecond := range []float64{0.1, 0.6, 1, 1.4, 2, 2.8, 4, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			g := &load.Grantor{Rate: perSecond, Burst: load.Burst(perSecond), MaxInFlight: 3}
			now := time.Unix(1000, 0)
			g.Start(now, 1, now.Add(time.Hour), true)
			granted := 0
			for i := range 200 {
				now = now.Add(time.Duration(float64(time.Second) / perSecond / 10))
				reply, ok := g.Answer(now, load.Request{Host: "h", Epoch: 1, Sequence: uint64(i + 1), Pending: []load.PendingLoad{{Runner: "r", Ref: ref(granted), Waiting: 1}}})
				require.True(t, ok)
				granted += len(reply.Grants)
			}
			// Places keep half of the rate at most; the first second fills the bucket.
			require.GreaterOrEqual(t, granted, 9, "permits in the time of 20 loads")
		})
	}
}
