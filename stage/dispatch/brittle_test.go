package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

const (
	brittleStep    = 10 * time.Millisecond
	brittleSlots   = 6
	brittleWork    = 100 * time.Millisecond
	digestSteps    = 10 // steps between two digests
	tolerated      = 6  // rejections a second beyond which a target falls over
	brittleTargets = 10
	settleTime     = 4 * time.Second
)

// A brittleTarget is a target that lets no request wait, and falls over if it rejects more
// than tolerated requests in a second.
type brittleTarget struct {
	running  int
	held     int         // slots with requests that no host knows of
	rejected []time.Time // in the last second
	falls    int
	downTill time.Time
}

// arrives reports whether the target runs a request that arrives.
func (b *brittleTarget) arrives(now time.Time) bool {
	if b.running+b.held < brittleSlots {
		b.running++
		return true
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) > time.Second {
		b.rejected = b.rejected[1:]
	}
	if len(b.rejected) > tolerated {
		b.falls, b.rejected, b.downTill = b.falls+1, nil, now.Add(3*time.Second)
	}
	return false
}

// A brittleResult is what callers and targets saw from settleTime on.
type brittleResult struct{ falls, served, refused int }

// simulateBrittle lets hosts send to brittle targets, with more requests than these can run. If
// held, requests of hosts that have ended fill each target for some time.
func simulateBrittle(seed uint64, hosts int, load float64, held bool) brittleResult {
	r := rand.New(rand.NewPCG(seed, seed))
	now := start
	targets := make(map[string]*brittleTarget)
	var entries []catalog.Target
	for i := range brittleTargets {
		name := fmt.Sprint("t", i)
		targets[name] = new(brittleTarget)
		entries = append(entries, catalog.Target{Name: name, Service: plain, Zone: "north-a", Slots: brittleSlots, Started: start})
	}
	var names []relay.Host
	for i := range hosts {
		names = append(names, relay.Host{Name: fmt.Sprint("host-", i), Region: "north"})
	}
	var all []*dispatch.Dispatcher
	for i := range hosts {
		d := &dispatch.Dispatcher{Holder: names[i].Name, Zone: "north-a", Regions: regions}
		d.Apply(now, catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: plain}}, catalog.Limits{})})
		d.Apply(now, catalog.TargetsListed{Revision: 1, Targets: entries})
		d.SetHosts(names)
		all = append(all, d)
	}
	type running struct {
		attempt *dispatch.Attempt
		target  *brittleTarget
		due     time.Time
	}
	var open []running
	var out brittleResult
	said := notice.Notice{Brittle: true, Tolerated: tolerated}
	capacity := float64(brittleTargets*brittleSlots) / brittleWork.Seconds()
	for step := range int(14 * time.Second / brittleStep) {
		now = now.Add(brittleStep)
		counts := now.Sub(start) > settleTime
		still := open[:0]
		for _, x := range open {
			if now.Before(x.due) {
				still = append(still, x)
				continue
			}
			x.target.running--
			x.attempt.Heard(now, said, notice.Run)
			x.attempt.Report(now, dispatch.Head{})
			x.attempt.Report(now, dispatch.Completed{})
		}
		open = still
		if step%digestSteps == 0 {
			for i, from := range all {
				digest := from.Digest(now, "", relay.ToRelay, func(string) string { return "" })
				for j, to := range all {
					if i != j {
						to.MergeDigest(now, digest)
					}
				}
			}
		}
		for i := range brittleTargets {
			targets[fmt.Sprint("t", i)].held = heldSlots(held, now.Sub(start)+time.Duration(i)*heldTime/brittleTargets)
		}
		arriving := load * capacity * brittleStep.Seconds()
		for n := int(arriving + r.Float64()); n > 0; n-- {
			request := dispatch.Request{Call: call.Call{ID: "x"}, Service: plain, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second), Exclude: map[string]bool{}}
			served := false
			for range 2 {
				decision, ok := all[r.IntN(hosts)].Pick(now, request).(dispatch.Send)
				if !ok {
					break
				}
				target := targets[decision.Attempt.Target.Name]
				if now.Before(target.downTill) {
					decision.Attempt.Report(now, dispatch.Failed{})
					break
				}
				if served = target.arrives(now); served {
					open = append(open, running{decision.Attempt, target, now.Add(brittleWork/2 + rand.N(brittleWork))})
					break
				}
				decision.Attempt.Heard(now, said, notice.Other)
				decision.Attempt.Report(now, dispatch.Rejected{QueueFull: true})
				request.Exclude[decision.Attempt.Target.Name] = true
			}
			switch {
			case !counts:
			case served:
				out.served++
			default:
				out.refused++
			}
		}
		if now.Sub(start) <= settleTime {
			for _, b := range targets {
				b.falls = 0
			}
		}
	}
	for _, b := range targets {
		out.falls += b.falls
	}
	return out
}

// heldTime is how long the requests of ended hosts fill a target, of each heldInterval.
const (
	heldTime     = 700 * time.Millisecond
	heldInterval = 2500 * time.Millisecond
)

func heldSlots(held bool, at time.Duration) int {
	if held && at%heldInterval < heldTime {
		return brittleSlots
	}
	return 0
}

// TestFilledBrittleTargetsAreSpared guards against hosts that send to a brittle target again at
// once after it has turned a request away, since slots there are theirs (LIMIT).
func TestFilledBrittleTargetsAreSpared(t *testing.T) {
	for _, hosts := range []int{1, 4, 9, 40} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			out := simulateBrittle(uint64(hosts), hosts, 1, true)
			t.Logf("%+v", out)
			require.LessOrEqual(t, out.falls, 2+brittleTargets/10)
			require.Positive(t, out.served)
		})
	}
}

// TestBrittleTargetsAreSpared guards against targets that fall over since they have to turn
// away more requests than they bear, though they have said so (LIMIT): what they have no room
// for is to be refused by the hosts. They must still be used.
func TestBrittleTargetsAreSpared(t *testing.T) {
	for _, hosts := range []int{1, 4, 9, 40} {
		for _, load := range []float64{0.3, 1, 2} {
			t.Run(fmt.Sprint(hosts, " hosts, load ", load), func(t *testing.T) {
				t.Parallel()
				out := simulateBrittle(uint64(hosts), hosts, load, false)
				t.Logf("%+v", out)
				require.LessOrEqual(t, out.falls, 2+brittleTargets/10)
				require.Positive(t, out.served)
			})
		}
	}
}
