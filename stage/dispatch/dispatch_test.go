package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	model   = "base"
	service = "draft"
	plain   = "registry"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// newDispatcher returns the dispatcher of a host that knows n runners in its own
// zone, each with the model and the given adapters, and two targets of a plain
// service. All runners are owned by the host "owner".
func newDispatcher(host, zone string, n int, adapters map[int][]string) *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{Holder: host, Zone: zone, Regions: regions}
	engine := &catalog.Engine{Slots: 2, PrefixCacheTokens: 100000, LoadRate: 4, Models: map[string]catalog.Model{model: {Name: model, LoadTime: 600 * time.Millisecond}}}
	d.Apply(start, catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: service, Engine: engine}, {Name: plain}}, catalog.Limits{})})
	owners := make(map[string]dispatch.Owner)
	var all []catalog.Target
	for i := range n {
		t := runner(i, zone, adapters[i]...)
		owners[t.Name] = dispatch.Owner{Host: "owner", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: zone}
		all = append(all, t)
	}
	for i := range 2 {
		all = append(all, catalog.Target{Name: fmt.Sprint("plain-", i), Service: plain, Zone: zone, Slots: 6})
	}
	d.Apply(start, catalog.TargetsListed{Revision: 1, Targets: all})
	d.SetOwners(owners, 3)
	return d
}

// runner returns the entry of a runner that holds the model and the given adapters.
func runner(i int, zone string, adapters ...string) catalog.Target {
	resident := catalog.ResidentModel{Version: 1, Adapters: map[string]int{}}
	for _, a := range adapters {
		resident.Adapters[a] = 1
	}
	return catalog.Target{
		Name: fmt.Sprint("runner-", i), Service: service, Zone: zone, Slots: 64,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		Models:  map[string]catalog.ResidentModel{model: resident},
	}
}

// request returns a request that arrives at the given time, with a latency
// objective of one second and a deadline after six.
func request(adapter string, input int, ms int) dispatch.Request {
	return dispatch.Request{
		Call:    call.Call{ID: "x", Model: model, Adapter: adapter, InputTokens: input},
		Service: service, Objective: at(ms + 1000), Deadline: at(ms + 6000),
	}
}

// newAttempt requires that a request is sent to a target and returns the attempt.
func newAttempt(t *testing.T, d *dispatch.Dispatcher, r dispatch.Request, ms int) *dispatch.Attempt {
	decision := d.Pick(at(ms), r)
	require.IsType(t, dispatch.Send{}, decision)
	return decision.(dispatch.Send).Attempt
}

// requireRefused requires that a request is refused.
func requireRefused(t *testing.T, d *dispatch.Dispatcher, r dispatch.Request, ms int) dispatch.Refuse {
	decision := d.Pick(at(ms), r)
	require.IsType(t, dispatch.Refuse{}, decision)
	return decision.(dispatch.Refuse)
}

// TestPickRunnerWithAdapter checks that a request goes to the runner that holds
// its adapter.
func TestPickRunnerWithAdapter(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 6, map[int][]string{4: {"a7"}})
	a := newAttempt(t, d, request("a7", 800, 0), 0)
	require.Equal(t, "runner-4", a.Target.Name)
	require.True(t, a.Confirm, "the owner confirms that the adapter is still loaded")
	require.True(t, a.OwnerReplied(at(1), dispatch.NoAnswer{}), "a missing confirmation does not stop the request")
	a.Report(at(5), dispatch.Head{})
	require.Empty(t, newAttempt(t, d, request("a7", 800, 6), 6).Owner.Host, "the adapter was found loaded recently")
}

// TestHostsPreferSameRunner checks that hosts which each see one request for the
// same rare adapter request its load on the same runner, so that it is loaded
// only once.
func TestHostsPreferSameRunner(t *testing.T) {
	for i := range 20 {
		adapter := fmt.Sprint("rare-", i)
		one := newAttempt(t, newDispatcher("host-0", "north-a", 12, nil), request(adapter, 800, 0), 0)
		two := newAttempt(t, newDispatcher("host-1", "north-a", 12, nil), request(adapter, 800, 0), 0)
		require.Equal(t, one.Target.Name, two.Target.Name)
		require.Equal(t, "owner", one.Owner.Host)
	}
}

// TestPopularAdapterUsesMoreRunners checks that an adapter is loaded onto further
// runners while the runner that holds it has long prompts to process, but not
// onto all of them.
func TestPopularAdapterUsesMoreRunners(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 6, map[int][]string{0: {"hot"}})
	used := make(map[string]bool)
	for range 8 {
		used[newAttempt(t, d, request("hot", 9000, 0), 0).Target.Name] = true
	}
	require.Greater(t, len(used), 1)
	require.LessOrEqual(t, len(used), 4)
}

// TestLoadOfOtherHosts checks that requests move to another runner when other
// hosts report load on the first one, and move back once a later digest no longer
// reports it.
func TestLoadOfOtherHosts(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"hot"}, 1: {"hot"}})
	first := newAttempt(t, d, request("hot", 100, 0), 0)
	first.Report(at(1), dispatch.Completed{})
	d.MergeDigest(at(10), relay.Digest{From: "host-1", Loads: []relay.TargetLoad{{Target: relay.HashTarget(first.Target.Name), InProgress: 9, PrefillTokens: 40000}}})
	require.NotEqual(t, first.Target.Name, newAttempt(t, d, request("hot", 100, 20), 20).Target.Name)
	d.MergeDigest(at(30), relay.Digest{From: "host-1"})
	require.Equal(t, first.Target.Name, newAttempt(t, d, request("hot", 100, 40), 40).Target.Name, "a digest without the load ends it")
}

// TestNoAdapterSlot checks that a request for an adapter that is not loaded is
// refused at once, with a retry delay, while requests already wait for adapter
// slots on all runners.
func TestNoAdapterSlot(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 3, nil)
	var spaces []relay.SlotReport
	for i := range 3 {
		spaces = append(spaces, relay.SlotReport{Runner: relay.HashTarget(fmt.Sprint("runner-", i)), Spare: -3})
	}
	d.MergeDigest(at(0), relay.Digest{From: "owner", SlotReports: spaces})
	refusal := requireRefused(t, d, request("rare", 800, 10), 10)
	require.Equal(t, "no place for the adapter", refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	spaces[1].Spare = 1
	d.MergeDigest(at(20), relay.Digest{From: "owner", SlotReports: spaces})
	require.Equal(t, "runner-1", newAttempt(t, d, request("rare", 800, 30), 30).Target.Name)
}

// TestFailedTargetIsEjected checks that a target whose connection broke is
// ejected for a while and then gets one probe at a time.
func TestFailedTargetIsEjected(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	a := newAttempt(t, d, request("a", 100, 0), 0)
	failing := a.Target.Name
	a.Report(at(5), dispatch.Failed{Connected: true})
	for range 5 {
		require.NotEqual(t, failing, newAttempt(t, d, request("a", 100, 10), 10).Target.Name)
	}
	for range 30 {
		newAttempt(t, d, request("a", 2000, 3000), 3000)
	}
	require.Equal(t, 1, inFlight(d, failing), "one probe at a time")
}

// inFlight returns the number of requests in progress on a target that the
// dispatcher reports to other hosts.
func inFlight(d *dispatch.Dispatcher, name string) int {
	for _, a := range d.Digest(at(3000), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
		if a.Target == relay.HashTarget(name) {
			return a.InProgress
		}
	}
	return 0
}

// TestAllTargetsEjected checks that a request is sent to an ejected target rather
// than refused where all targets are ejected.
func TestAllTargetsEjected(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	for ms := range 5 {
		newAttempt(t, d, request("a", 100, ms), ms).Report(at(ms), dispatch.Failed{Connected: true})
	}
}

// TestShortTimeouts checks that a request that times out early does not eject a
// target that answers other requests, while a request that took much longer than
// expected does.
func TestShortTimeouts(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	a := newAttempt(t, d, request("a", 100, 0), 0)
	a.Report(at(400), dispatch.Canceled{TimedOut: true})
	require.Equal(t, a.Target.Name, newAttempt(t, d, request("a", 100, 401), 401).Target.Name)
	slow := newAttempt(t, d, request("a", 100, 402), 402)
	slow.Report(at(5000), dispatch.Canceled{TimedOut: true})
	require.NotEqual(t, slow.Target.Name, newAttempt(t, d, request("a", 100, 5001), 5001).Target.Name)
}

// TestDrainingTarget checks that a draining target gets no requests, and that a
// target whose entry was removed is used for a short time only.
func TestDrainingTarget(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	d.Apply(at(10), catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "runner-0"}}})
	newAttempt(t, d, request("a", 100, 20), 20)
	requireRefused(t, d, request("a", 100, 3000), 3000)
	draining := runner(0, "north-a", "a")
	draining.State = catalog.Draining
	d.Apply(at(3100), catalog.TargetsChanged{Revision: 3, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: draining}}})
	requireRefused(t, d, request("a", 100, 3200), 3200)
}

// TestNewVersion checks that the previous version of an adapter serves for a
// grace period and only the new version after that.
func TestNewVersion(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	d.Apply(at(0), published(2, 0))
	a := newAttempt(t, d, request("a", 100, 1000), 1000)
	require.Zero(t, a.Version)
	require.True(t, a.Confirm)
	a = newAttempt(t, d, request("a", 100, 4000), 4000)
	require.Equal(t, 2, a.Version)
	require.NotEmpty(t, a.Owner.Host)
	require.False(t, a.Confirm, "the new version has to be loaded")
}

// TestOwnedRunner checks that a request on a runner of this host waits for the
// load itself, and that other hosts can request the load from this host.
func TestOwnedRunner(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	d.Acquire("runner-0", 3, start, false)
	tasks, _ := d.Tasks(at(0))
	require.Len(t, tasks, 1)
	require.Equal(t, residency.PollReport{}, tasks[0].Action)
	d.HandleReport(at(1), "runner-0", &call.Report{Models: []call.ResidentModel{{Model: model, Version: 1}}})

	a := newAttempt(t, d, request("a", 100, 10), 10)
	require.NotNil(t, a.Loaded)
	loaded, reason := d.RequestLoad(at(11), "runner-0", residency.Key{Model: model, Adapter: "a"})
	require.Empty(t, reason)
	tasks, _ = d.Tasks(at(12))
	require.Len(t, tasks, 1)
	d.HandleReply(at(13), tasks[0].Action.(residency.SendOrder).Order, call.Applied)
	for _, c := range []<-chan struct{}{loaded, a.Loaded} {
		select {
		case <-c:
		default:
			t.Fatal("still waiting for the load")
		}
	}
	require.True(t, a.Ready(at(14)))
	require.True(t, d.Resident(at(14), "runner-0", residency.Key{Model: model, Adapter: "a"}))

	d.Release("runner-0")
	_, reason = d.RequestLoad(at(20), "runner-0", residency.Key{Model: model, Adapter: "a"})
	require.Equal(t, "not the owner", reason)
}

// TestModelLoadRate checks that the loads of base models that one host orders
// keep to its share of the weight store's load rate.
func TestModelLoadRate(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, nil)
	for i := range 2 {
		name := fmt.Sprint("runner-", i)
		d.Acquire(name, 3, start, false)
	}
	d.Tasks(at(0))
	for i := range 2 {
		d.HandleReport(at(1), fmt.Sprint("runner-", i), &call.Report{})
	}
	first, _ := d.Tasks(at(2))
	require.Len(t, first, 1)
	later, _ := d.Tasks(at(2 + 3*1000/4))
	require.Len(t, later, 1)
	require.NotEqual(t, first[0].Target.Name, later[0].Target.Name)
}

// TestPlainServiceLeastLoaded checks that a request of a plain service goes to
// the target with the fewest requests in progress.
func TestPlainServiceLeastLoaded(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 0, nil)
	r := dispatch.Request{Call: call.Call{ID: "x"}, Service: plain, Objective: at(300), Deadline: at(1500)}
	one, two := newAttempt(t, d, r, 0), newAttempt(t, d, r, 0)
	require.NotEqual(t, one.Target.Name, two.Target.Name)
	r.Exclude = map[string]bool{one.Target.Name: true, two.Target.Name: true}
	require.Equal(t, "no target", requireRefused(t, d, r, 1).Reason)
}

// TestOwnerWithoutAnswer checks that no load is requested for a while on a runner
// whose owner did not answer a load request, while other runners are used.
func TestOwnerWithoutAnswer(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, nil)
	first := newAttempt(t, d, request("a", 100, 0), 0)
	require.False(t, first.OwnerReplied(at(800), dispatch.NoAnswer{}))
	first.Report(at(800), dispatch.Canceled{})
	second := newAttempt(t, d, request("a", 100, 800), 800)
	require.NotEqual(t, first.Target.Name, second.Target.Name)
	second.Report(at(801), dispatch.Canceled{})
	again := newAttempt(t, d, request("a", 100, 4000), 4000)
	require.Equal(t, first.Target.Name, again.Target.Name)
}

// TestOwnerWithoutDigests checks that no load is requested from an owner that
// stopped sending digests, before any request has waited for it in vain.
func TestOwnerWithoutDigests(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	report := relay.Digest{From: "owner", SlotReports: []relay.SlotReport{{Runner: relay.HashTarget("runner-0"), Spare: 1}}}
	d.MergeDigest(at(0), report)
	newAttempt(t, d, request("a", 100, 500), 500).Report(at(501), dispatch.Canceled{})
	require.Equal(t, "no adapter", requireRefused(t, d, request("a", 100, 3000), 3000).Reason)
	d.MergeDigest(at(3100), report)
	newAttempt(t, d, request("a", 100, 3101), 3101)
}

// TestOwnerWithoutState checks that a request goes to the runner whose entry
// lists its adapter even if the owner has no information about it, as after a
// restart of all hosts. It must not go there if the owner knows that the adapter
// is not loaded.
func TestOwnerWithoutState(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	a := newAttempt(t, d, request("a", 100, 0), 0)
	require.True(t, a.Confirm)
	require.True(t, a.OwnerReplied(at(1), dispatch.Denied{}))
	a.Report(at(5), dispatch.Completed{})
	a = newAttempt(t, d, request("a", 100, 10), 10)
	require.False(t, a.OwnerReplied(at(11), dispatch.Denied{Absent: true}))
	a.Report(at(11), dispatch.Canceled{})
	require.False(t, newAttempt(t, d, request("a", 100, 1000), 1000).Confirm, "the adapter has to be loaded")
}

// TestNewerConfigElsewhere checks that a newer configuration on another host
// triggers a read only after a delay, since the update usually is on its way
// already, and then again after each further delay.
func TestNewerConfigElsewhere(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	newer := relay.Digest{From: "host-1", ConfigVersion: 2}
	require.False(t, d.MergeDigest(at(0), relay.Digest{From: "host-1", ConfigVersion: 1}))
	require.False(t, d.MergeDigest(at(10), newer))
	require.False(t, d.MergeDigest(at(1000), newer))
	require.True(t, d.MergeDigest(at(1300), newer))
	require.False(t, d.MergeDigest(at(1400), newer))
	require.True(t, d.MergeDigest(at(2600), newer))
	d.Apply(at(2700), catalog.ConfigUpdated{Config: catalog.NewConfig(2, nil, nil, catalog.Limits{})})
	require.False(t, d.MergeDigest(at(9000), newer))
	newer.ConfigVersion = 3
	require.False(t, d.MergeDigest(at(9001), newer))
}

// TestRequestInProgressIsNotRefused checks that a request whose runner failed
// continues even if it has to wait for its adapter beyond its latency objective.
func TestRequestInProgressIsNotRefused(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	r := request("a", 100, 0)
	r.Objective = at(100)
	requireRefused(t, d, r, 50)
	r.InProgress = true
	newAttempt(t, d, r, 50)
}

// TestUnreachableTargets checks that after many runners crashed at once, a host
// does not try to connect to each of those that other hosts could not reach. A
// single other host may itself be cut off and does not count, and a recent answer
// to this host takes precedence.
func TestUnreachableTargets(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	a := newAttempt(t, d, request("a", 100, 0), 0)
	first := a.Target.Name
	a.Report(at(1), dispatch.Head{})
	a.Report(at(1), dispatch.Completed{})
	lost := func(ms, hosts int) {
		d.MergeDigest(at(ms), relay.Digest{From: "relay", Loads: []relay.TargetLoad{{Target: relay.HashTarget(first), Unreachable: hosts}}})
	}
	target := func(ms int) string {
		a := newAttempt(t, d, request("a", 100, ms), ms)
		a.Report(at(ms), dispatch.Canceled{})
		return a.Target.Name
	}
	lost(100, 5)
	require.Equal(t, first, target(110), "the target answered a moment ago")
	lost(900, 1)
	require.Equal(t, first, target(910))
	lost(1000, 2)
	require.NotEqual(t, first, target(1010))
	lost(1100, 0)
	require.Equal(t, first, target(1110))
}

// TestConnectFailureIsReported checks that a host reports a failure to connect to a target from
// when another target has answered it, until it can connect again. A host that is cut off from
// all targets must not count against them at the other hosts.
func TestConnectFailureIsReported(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"b"}})
	lost := func(ms int) int {
		n := 0
		for _, l := range d.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
			n += l.Unreachable
		}
		return n
	}
	newAttempt(t, d, request("a", 100, 0), 0).Report(at(600), dispatch.Failed{})
	require.Zero(t, lost(650), "the host itself may be cut off")
	newAttempt(t, d, request("b", 100, 660), 660).Report(at(690), dispatch.Head{})
	require.Equal(t, 1, lost(700))
	a := newAttempt(t, d, request("a", 100, 1700), 1700)
	require.Equal(t, 1, lost(1710))
	a.Report(at(1720), dispatch.Head{Indirect: true})
	require.Equal(t, 1, lost(1730), "another host has reached it")
	a.Report(at(1800), dispatch.Head{})
	require.Zero(t, lost(1810))
}

// TestCutHostBlamesNoTarget guards against the failures of a host that is cut off from all
// targets counting against these, there and at the other hosts.
func TestCutHostBlamesNoTarget(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 3, map[int][]string{0: {"a"}, 1: {"a"}, 2: {"a"}})
	for i := range 3 {
		newAttempt(t, d, request("a", 100, i), i).Report(at(300+i), dispatch.Failed{})
	}
	d.SetCut(at(310), true)
	for i := range 6 {
		newAttempt(t, d, request("a", 100, 320), 320+i).Report(at(620+i), dispatch.Failed{})
		newAttempt(t, d, request("a", 100, 320), 320+i).Report(at(620+i), dispatch.Canceled{TimedOut: true})
	}
	for _, l := range d.Digest(at(700), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
		require.Zero(t, l.Unreachable+l.Failed)
	}
	d.SetCut(at(800), false)
	used := make(map[string]bool)
	for i := range 3 {
		used[newAttempt(t, d, request("a", 20000, 801), 801+i).Target.Name] = true
	}
	require.Len(t, used, 3, "none is ejected")
}

// TestCrashedRunnersGetNoLoads checks that no load is requested on crashed
// runners before their owners report that loads are possible: after the crash
// their entries still list the model and their adapter slots look free.
func TestCrashedRunnersGetNoLoads(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, nil)
	report := func(ms int, closed ...bool) {
		digest := relay.Digest{From: "owner"}
		for i, c := range closed {
			digest.SlotReports = append(digest.SlotReports, relay.SlotReport{Runner: relay.HashTarget(fmt.Sprint("runner-", i)), Spare: 8, Closed: c})
		}
		d.MergeDigest(at(ms), digest)
	}
	report(0, true, false)
	for i := range 5 {
		a := newAttempt(t, d, request(fmt.Sprint("a", i), 100, 10), 10)
		require.Equal(t, "runner-1", a.Target.Name)
		a.Report(at(11), dispatch.Canceled{})
	}
	report(20, true, true)
	require.Equal(t, "no adapter", requireRefused(t, d, request("a", 100, 30), 30).Reason)
	report(40, false, true)
	require.Equal(t, "runner-0", newAttempt(t, d, request("a", 100, 50), 50).Target.Name)
}

// TestSlowLoadIsAwaited checks that a request whose adapter is loading asks the
// same owner again and is not refused. At a cold start all loads are slow, and
// one more load on another runner would slow all of them down.
func TestSlowLoadIsAwaited(t *testing.T) {
	for i := range 10 {
		d := newDispatcher("host-0", "north-a", 6, nil)
		r := request(fmt.Sprint("a", i), 100, 0)
		a := newAttempt(t, d, r, 0)
		require.False(t, a.OwnerReplied(at(700), dispatch.Loading{}))
		a.Report(at(700), dispatch.Canceled{})
		r.InProgress = true
		again := newAttempt(t, d, r, 700)
		require.Equal(t, a.Target.Name, again.Target.Name)
		require.Equal(t, "owner", again.Owner.Host)
		require.False(t, again.OwnerReplied(at(1400), dispatch.Loading{}))
		again.Report(at(1400), dispatch.Canceled{})
		third := newAttempt(t, d, r, 1400)
		require.Equal(t, a.Target.Name, third.Target.Name)
	}
}

// TestFailuresReportedByOtherHosts checks that a request avoids a runner that
// fails for other hosts, and stays where all runners fail alike. With many hosts,
// each of them sends few requests to any one runner and so sees few of its
// failures.
func TestFailuresReportedByOtherHosts(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	target := func(ms int) string {
		a := newAttempt(t, d, request("a", 6000, ms), ms)
		a.Report(at(ms), dispatch.Canceled{})
		return a.Target.Name
	}
	first := target(0)
	report := func(ms int, all bool) {
		digest := relay.Digest{From: "relay"}
		for i := range 2 {
			name := fmt.Sprint("runner-", i)
			l := relay.TargetLoad{Target: relay.HashTarget(name), Done: 10}
			if all || name == first {
				l.Failed = 6
			}
			digest.Loads = append(digest.Loads, l)
		}
		d.MergeDigest(at(ms), digest)
	}
	report(10, false)
	require.NotEqual(t, first, target(20))
	report(30, true)
	require.Equal(t, first, target(40))
}

// TestReportedOutcomes checks that a host reports the outcomes that it saw on a
// target in the last two seconds.
func TestReportedOutcomes(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	report := func(ms int) relay.TargetLoad {
		for _, l := range d.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
			if l.Target == relay.HashTarget("runner-0") {
				return l
			}
		}
		return relay.TargetLoad{}
	}
	a := newAttempt(t, d, request("a", 100, 0), 0)
	a.Report(at(10), dispatch.Head{})
	a.Report(at(20), dispatch.Completed{Failed: true})
	newAttempt(t, d, request("a", 100, 100), 100).Report(at(120), dispatch.Canceled{})
	require.Equal(t, 1, report(200).Done)
	require.Equal(t, 1, report(200).Failed)
	require.Equal(t, 1, report(1200).Failed)
	require.Zero(t, report(2200).Done)
}

// TestRestartedRunner checks that the owner of a runner that restarts under the
// same name reserves slots for the orders to the previous incarnation that may
// still take effect.
func TestRestartedRunner(t *testing.T) {
	d := newDispatcher("owner", "north-a", 1, nil)
	spare := func(ms int) int {
		digest := d.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" })
		require.Len(t, digest.SlotReports, 1)
		return digest.SlotReports[0].Spare
	}
	content := call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{{Model: model, Version: 1}}}
	own := func(ms int, fence uint64) {
		d.Acquire("runner-0", fence, at(ms), false)
		d.Tasks(at(ms))
		d.HandleReport(at(ms), "runner-0", &content)
	}
	own(0, 1)
	_, reason := d.RequestLoad(at(10), "runner-0", residency.Key{Model: model, Adapter: "late"})
	require.Empty(t, reason)
	tasks, _ := d.Tasks(at(11))
	require.Len(t, tasks, 1)

	restarted := runner(0, "north-a")
	restarted.Started = at(500)
	d.Apply(at(600), catalog.TargetsChanged{Revision: 9, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "runner-0"}}})
	d.Sweep(at(5000))
	d.Apply(at(6000), catalog.TargetsChanged{Revision: 10, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: restarted}}})
	own(6000, 2)
	require.Equal(t, 1, spare(6001), "one of two slots is reserved")
	d.Tasks(at(14_000))
	require.Equal(t, 2, spare(14_000))
}

// TestReadyTakesNoOrder guards against an Attempt.Ready that advances the state
// of the runner and so consumes an order that Tasks has to return.
func TestReadyTakesNoOrder(t *testing.T) {
	d := newDispatcher("owner", "north-a", 1, nil)
	d.Acquire("runner-0", 1, at(0), false)
	d.Tasks(at(0))
	d.HandleReport(at(0), "runner-0", &call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	one := newAttempt(t, d, request("one", 100, 10), 10)
	tasks, _ := d.Tasks(at(10))
	require.Len(t, tasks, 1)
	two := newAttempt(t, d, request("two", 100, 11), 11)
	d.HandleReply(at(12), tasks[0].Action.(residency.SendOrder).Order, call.Applied)
	<-one.Loaded
	require.True(t, one.Ready(at(100)))
	tasks, _ = d.Tasks(at(14))
	require.Len(t, tasks, 1)
	require.Equal(t, "two", tasks[0].Action.(residency.SendOrder).Order.Adapter)
	require.False(t, two.Ready(at(100)))
}

// TestApplyReturnsEndedTargets checks that a target whose entry is removed, or replaced
// by that of another process, counts as ended once, and that one that was draining
// does not.
func TestApplyReturnsEndedTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	target := func(name string, started int64, state catalog.State) catalog.Target {
		return catalog.Target{Name: name, Service: "s", Started: time.UnixMilli(started), State: state}
	}
	listed := func(all ...catalog.Target) catalog.Event { return catalog.TargetsListed{Revision: 1, Targets: all} }
	update := func(t catalog.Target) catalog.Event {
		return catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: t}}}
	}
	removal := catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "a"}}}
	for _, c := range []struct {
		name  string
		state catalog.State
		event catalog.Event
		ended int
	}{
		{"removed", catalog.Ready, removal, 1},
		{"not listed any more", catalog.Ready, listed(target("b", 1, catalog.Ready)), 1},
		{"another process", catalog.Ready, update(target("a", 2, catalog.Ready)), 1},
		{"same process", catalog.Ready, update(target("a", 1, catalog.Draining)), 0},
		{"removed after draining", catalog.Draining, removal, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d dispatch.Dispatcher
			require.Empty(t, d.Apply(now, listed(target("a", 1, c.state), target("b", 1, catalog.Ready))))
			ended := d.Apply(now, c.event)
			require.Len(t, ended, c.ended)
			require.Empty(t, d.Apply(now, c.event), "it ends once")
		})
	}
}

// TestReplyToOrderOfFormerOwnership guards against a reply to an order that this host sent before it gave up the
// runner and owned it again: it says nothing of the order that it has sent since.
func TestReplyToOrderOfFormerOwnership(t *testing.T) {
	d := newDispatcher("owner", "north-a", 1, nil)
	order := func(ms int, fence uint64, adapter string) (*dispatch.Attempt, call.Order) {
		d.Acquire("runner-0", fence, at(ms), false)
		d.Tasks(at(ms))
		d.HandleReport(at(ms), "runner-0", &call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{{Model: model, Version: 1}}})
		a := newAttempt(t, d, request(adapter, 100, ms), ms)
		tasks, _ := d.Tasks(at(ms))
		require.Len(t, tasks, 1)
		o := tasks[0].Action.(residency.SendOrder).Order
		require.Equal(t, adapter, o.Adapter)
		return a, o
	}
	_, former := order(0, 1, "one")
	d.Release("runner-0")
	second, present := order(100, 2, "two")
	d.HandleReply(at(200), former, call.Applied)
	require.False(t, second.Ready(at(201)), "the reply was that to the order of one")
	d.HandleReply(at(202), present, call.Applied)
	require.True(t, second.Ready(at(203)))
}
