package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

// drawnInt returns a number that a sound host or target hardly sends, or a usual one.
func drawnInt(t *rapid.T, label string) int {
	return rapid.SampledFrom([]int{0, 1, -1, 7, 1 << 20, math.MaxInt32, math.MinInt32, 1 << 62, math.MaxInt64, math.MinInt64}).Draw(t, label)
}

func drawnUint(t *rapid.T, label string) uint64 { return uint64(drawnInt(t, label)) }

// drawnDigest returns a digest about the targets of newDispatcher whose numbers make no sense.
func drawnDigest(t *rapid.T) relay.Digest {
	name := rapid.SampledFrom([]string{"runner-0", "runner-1", "plain-0", "none"}).Draw(t, "target")
	hash := relay.HashTarget(name)
	return relay.Digest{
		From: rapid.SampledFrom([]string{"", "owner", "other"}).Draw(t, "from"), ConfigVersion: drawnUint(t, "config"),
		Loads: []relay.TargetLoad{{
			Target: hash, InProgress: drawnInt(t, "running"), PrefillTokens: drawnInt(t, "tokens"), Unreachable: drawnInt(t, "unreachable"),
			Done: drawnInt(t, "done"), Failed: drawnInt(t, "failed"),
		}},
		SlotReports: []relay.SlotReport{{Runner: hash, Spare: drawnInt(t, "spare"), Closed: rapid.Bool().Draw(t, "closed"), Age: drawnUint(t, "age")}},
		Uses:        []relay.AdapterUse{{Owner: "self", Runner: name, Model: model, Adapter: "a", InProgress: drawnInt(t, "uses"), Started: drawnInt(t, "started")}},
		Notices: []notice.Report{{
			Target: uint32(hash), Started: start.UnixMilli(), Limit: float64(drawnInt(t, "limit")), Age: drawnUint(t, "limit age"), Quiet: drawnUint(t, "quiet"),
			Brittle: rapid.Bool().Draw(t, "brittle"), Tolerated: drawnUint(t, "tolerated"), Heard: drawnUint(t, "heard"), Full: drawnUint(t, "full"),
		}},
	}
}

// TestExtremeNumbersEndNothing guards against a message of another host, or an answer of a target,
// whose numbers make the process panic (a report of another system).
func TestExtremeNumbersEndNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher("self", "north-a", 2, map[int][]string{0: {"a"}})
		var hosts []relay.Host
		for i := range rapid.IntRange(0, 3).Draw(t, "hosts") {
			hosts = append(hosts, relay.Host{Name: fmt.Sprint("host-", i), Region: "north"})
		}
		d.SetHosts(hosts)
		d.Apply(start, catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: catalog.Target{
			Name: "plain-1", Service: plain, Zone: "north-a", Slots: drawnInt(t, "slots"), Started: start,
		}}}})
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "advance")) * time.Millisecond)
			if rapid.Bool().Draw(t, "digest") {
				d.MergeDigest(now, drawnDigest(t))
			}
			r := request("a", drawnInt(t, "input"), int(now.Sub(start).Milliseconds()))
			if rapid.Bool().Draw(t, "plain") {
				r = dispatch.Request{Call: call.Call{ID: "x"}, Service: plain, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}
			}
			if send, ok := d.Pick(now, r).(dispatch.Send); ok {
				send.Attempt.Heard(now, notice.Notice{
					Limit: math.Abs(float64(drawnInt(t, "said limit"))), Quiet: time.Duration(drawnInt(t, "said quiet")),
					Brittle: rapid.Bool().Draw(t, "said brittle"), Tolerated: drawnInt(t, "said tolerated"),
				}, notice.Run)
				load := call.TargetLoad{Known: true, Running: drawnInt(t, "said running"), Waiting: drawnInt(t, "said waiting"), Slots: drawnInt(t, "said slots")}
				send.Attempt.Report(now, dispatch.Head{Load: load})
				result := rapid.SampledFrom([]dispatch.Result{dispatch.Completed{}, dispatch.Rejected{QueueFull: true}, dispatch.Rejected{}, dispatch.Failed{}}).Draw(t, "result")
				send.Attempt.Report(now, result)
			}
			d.Digest(now, "owner", relay.ToRelay, func(string) string { return "" })
			d.Sweep(now)
			d.SlotUsage(now)
		}
	})
}
