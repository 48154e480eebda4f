package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
)

// TestDrawLeavesOut checks that of 30 targets that tell their moments, none is drawn that can't be reached or answers too
// late, though they are most.
func TestDrawLeavesOut(t *testing.T) {
	for name, load := range map[string]relay.TargetLoad{"unreachable": {Unreachable: 2}, "late": {PrefillTokens: 1e6}} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher("host-0", "north-a", 30, nil)
			var hosts []relay.Host
			for i := range 70 {
				hosts = append(hosts, relay.Host{Name: fmt.Sprint("host-", i), Region: "north"})
			}
			d.SetHosts(hosts)
			newAttempt(t, d, request("", 800, 0), 0).Report(at(1), dispatch.Head{Worked: true, Load: call.TargetLoad{Known: true, Slots: 64, Slowdown: 1}})
			digest := relay.Digest{From: "host-1"}
			for i := range 27 {
				l := load
				l.Target = relay.HashTarget(fmt.Sprint("runner-", i))
				digest.Loads = append(digest.Loads, l)
			}
			d.MergeDigest(at(1000), digest)
			for range 100 {
				a := newAttempt(t, d, request("", 800, 1001), 1001)
				require.Contains(t, []string{"runner-27", "runner-28", "runner-29"}, a.Target.Name)
				a.Report(at(1002), dispatch.Canceled{})
			}
		})
	}
}
