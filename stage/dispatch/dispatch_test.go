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

// board returns the board of a host that knows n runners of one zone, each with
// the model and the adapters that hold lists, and two targets of a plain service.
func board(host, zone string, n int, hold map[int][]string) *dispatch.Dispatcher {
	b := &dispatch.Dispatcher{Holder: host, Zone: zone, Regions: regions}
	engine := &catalog.Engine{Slots: 2, PrefixCacheTokens: 100000, LoadRate: 4, Models: map[string]catalog.Model{model: {Name: model, LoadTime: 600 * time.Millisecond}}}
	b.Apply(start, catalog.ConfigUpdated{Config: catalog.NewConfig(1, nil, []catalog.Service{{Name: service, Engine: engine}, {Name: plain}}, catalog.Limits{})})
	owners := make(map[string]dispatch.Owner)
	var all []catalog.Target
	for i := range n {
		t := runner(i, zone, hold[i]...)
		owners[t.Name] = dispatch.Owner{Host: "owner", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: zone}
		all = append(all, t)
	}
	for i := range 2 {
		all = append(all, catalog.Target{Name: fmt.Sprint("plain-", i), Service: plain, Zone: zone, Slots: 6})
	}
	b.Apply(start, catalog.TargetsListed{Revision: 1, Targets: all})
	b.SetOwners(owners, 3)
	return b
}

func runner(i int, zone string, adapters ...string) catalog.Target {
	held := catalog.ResidentModel{Version: 1, Adapters: map[string]int{}}
	for _, a := range adapters {
		held.Adapters[a] = 1
	}
	return catalog.Target{
		Name: fmt.Sprint("runner-", i), Service: service, Zone: zone, Slots: 64,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		Models:  map[string]catalog.ResidentModel{model: held},
	}
}

func want(adapter string, input int, ms int) dispatch.Request {
	return dispatch.Request{
		Call:    call.Call{ID: "x", Model: model, Adapter: adapter, InputTokens: input},
		Service: service, Objective: at(ms + 1000), Deadline: at(ms + 6000),
	}
}

func ticket(t *testing.T, b *dispatch.Dispatcher, w dispatch.Request, ms int) *dispatch.Attempt {
	choice := b.Pick(at(ms), w)
	require.IsType(t, dispatch.Send{}, choice)
	return choice.(dispatch.Send).Attempt
}

func refused(t *testing.T, b *dispatch.Dispatcher, w dispatch.Request, ms int) dispatch.Refuse {
	choice := b.Pick(at(ms), w)
	require.IsType(t, dispatch.Refuse{}, choice)
	return choice.(dispatch.Refuse)
}

// TestHitGoesWhereTheAdapterIs: a request goes to the runner that holds its adapter.
func TestHitGoesWhereTheAdapterIs(t *testing.T) {
	b := board("host-0", "north-a", 6, map[int][]string{4: {"a7"}})
	k := ticket(t, b, want("a7", 800, 0), 0)
	require.Equal(t, "runner-4", k.Target.Name)
	require.True(t, k.Confirm, "its owner says whether it is still there")
	require.True(t, k.OwnerReplied(at(1), dispatch.NoAnswer{}), "an owner that does not answer stops no request")
	k.Report(at(5), dispatch.Head{})
	require.Empty(t, ticket(t, b, want("a7", 800, 6), 6).Owner.Host, "it was there a moment ago")
}

// TestRareAdapterHasOneHome: hosts that see one request each for the same rare
// adapter ask for it on the same runner, so that it is fetched once.
func TestRareAdapterHasOneHome(t *testing.T) {
	for i := range 20 {
		adapter := fmt.Sprint("rare-", i)
		one := ticket(t, board("host-0", "north-a", 12, nil), want(adapter, 800, 0), 0)
		two := ticket(t, board("host-1", "north-a", 12, nil), want(adapter, 800, 0), 0)
		require.Equal(t, one.Target.Name, two.Target.Name)
		require.Equal(t, "owner", one.Owner.Host)
	}
}

// TestPopularAdapterSpreads: an adapter whose runner has long prompts to read is
// asked for on a second one.
func TestPopularAdapterSpreads(t *testing.T) {
	b := board("host-0", "north-a", 6, map[int][]string{0: {"hot"}})
	used := make(map[string]bool)
	for range 8 {
		used[ticket(t, b, want("hot", 9000, 0), 0).Target.Name] = true
	}
	require.Greater(t, len(used), 1)
	require.LessOrEqual(t, len(used), 4)
}

// TestOthersLoadCounts: what another host tells of its requests moves a request
// to the next runner.
func TestOthersLoadCounts(t *testing.T) {
	b := board("host-0", "north-a", 2, map[int][]string{0: {"hot"}, 1: {"hot"}})
	first := ticket(t, b, want("hot", 100, 0), 0)
	first.Report(at(1), dispatch.Completed{})
	b.MergeDigest(at(10), relay.Digest{From: "host-1", Loads: []relay.TargetLoad{{Target: relay.HashTarget(first.Target.Name), InProgress: 9, PrefillTokens: 40000}}})
	require.NotEqual(t, first.Target.Name, ticket(t, b, want("hot", 100, 20), 20).Target.Name)
	b.MergeDigest(at(30), relay.Digest{From: "host-1"})
	require.Equal(t, first.Target.Name, ticket(t, b, want("hot", 100, 40), 40).Target.Name, "a digest that leaves it out ends it")
}

// TestPlacesTakenRefusesAtOnce: with every place in use by other adapters, a
// request for a rare one is refused at once, with when to come back.
func TestPlacesTakenRefusesAtOnce(t *testing.T) {
	b := board("host-0", "north-a", 3, nil)
	var spaces []relay.SlotReport
	for i := range 3 {
		spaces = append(spaces, relay.SlotReport{Runner: relay.HashTarget(fmt.Sprint("runner-", i)), Spare: -3})
	}
	b.MergeDigest(at(0), relay.Digest{From: "owner", SlotReports: spaces})
	r := refused(t, b, want("rare", 800, 10), 10)
	require.Equal(t, "no place for the adapter", r.Reason)
	require.Positive(t, r.RetryAfter)
	spaces[1].Spare = 1
	b.MergeDigest(at(20), relay.Digest{From: "owner", SlotReports: spaces})
	require.Equal(t, "runner-1", ticket(t, b, want("rare", 800, 30), 30).Target.Name)
}

// TestFailedTargetIsShunned: a target that broke off is left alone for a while,
// then tried with one request.
func TestFailedTargetIsShunned(t *testing.T) {
	b := board("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	k := ticket(t, b, want("a", 100, 0), 0)
	bad := k.Target.Name
	k.Report(at(5), dispatch.Failed{Connected: true})
	for range 5 {
		require.NotEqual(t, bad, ticket(t, b, want("a", 100, 10), 10).Target.Name)
	}
	for range 30 {
		ticket(t, b, want("a", 2000, 3000), 3000)
	}
	require.Equal(t, 1, open(b, bad), "one trial at a time")
}

// open returns the requests in progress on a target, as the board tells others.
func open(b *dispatch.Dispatcher, name string) int {
	for _, a := range b.Digest(at(3000), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
		if a.Target == relay.HashTarget(name) {
			return a.InProgress
		}
	}
	return 0
}

// TestAllShunned: where every target failed of late, one of them is used rather
// than none.
func TestAllShunned(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	for ms := range 5 {
		ticket(t, b, want("a", 100, ms), ms).Report(at(ms), dispatch.Failed{Connected: true})
	}
}

// TestShortTimeouts: requests with little time shun no target that answers others.
func TestShortTimeouts(t *testing.T) {
	b := board("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	k := ticket(t, b, want("a", 100, 0), 0)
	k.Report(at(400), dispatch.Canceled{TimedOut: true})
	require.Equal(t, k.Target.Name, ticket(t, b, want("a", 100, 401), 401).Target.Name)
	slow := ticket(t, b, want("a", 100, 402), 402)
	slow.Report(at(5000), dispatch.Canceled{TimedOut: true})
	require.NotEqual(t, slow.Target.Name, ticket(t, b, want("a", 100, 5001), 5001).Target.Name)
}

// TestDrainingGetsNothing: a target that leaves gets no request, and one whose
// entry went stays for a moment only.
func TestDrainingGetsNothing(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	b.Apply(at(10), catalog.TargetsChanged{Revision: 2, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "runner-0"}}})
	ticket(t, b, want("a", 100, 20), 20)
	refused(t, b, want("a", 100, 3000), 3000)
	leaving := runner(0, "north-a", "a")
	leaving.State = catalog.Draining
	b.Apply(at(3100), catalog.TargetsChanged{Revision: 3, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: leaving}}})
	refused(t, b, want("a", 100, 3200), 3200)
}

// TestNewVersion: the former version of an adapter serves for a while, then
// only the new one may.
func TestNewVersion(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	b.Apply(at(0), catalog.VersionPublished{Model: model, Adapter: "a", Version: 2})
	k := ticket(t, b, want("a", 100, 1000), 1000)
	require.Zero(t, k.Version)
	require.True(t, k.Confirm)
	k = ticket(t, b, want("a", 100, 4000), 4000)
	require.Equal(t, 2, k.Version)
	require.NotEmpty(t, k.Owner.Host)
	require.False(t, k.Confirm, "the new version has to be loaded")
}

// TestOwnRunner: the owner of a runner waits for the load itself, and others ask it.
func TestOwnRunner(t *testing.T) {
	b := board("host-0", "north-a", 1, nil)
	b.Acquire("runner-0", 3, start, false)
	errands, _ := b.Tasks(at(0))
	require.Len(t, errands, 1)
	require.Equal(t, residency.PollReport{}, errands[0].Action)
	b.HandleReport(at(1), "runner-0", &call.Report{Models: []call.ResidentModel{{Model: model, Version: 1}}})

	k := ticket(t, b, want("a", 100, 10), 10)
	require.NotNil(t, k.Loaded)
	arrived, reason := b.RequestLoad(at(11), "runner-0", residency.Key{Model: model, Adapter: "a"})
	require.Empty(t, reason)
	errands, _ = b.Tasks(at(12))
	require.Len(t, errands, 1)
	b.HandleReply(at(13), "runner-0", call.Applied)
	for _, c := range []<-chan struct{}{arrived, k.Loaded} {
		select {
		case <-c:
		default:
			t.Fatal("the wait goes on")
		}
	}
	require.True(t, k.Ready())
	require.True(t, b.Resident(at(14), "runner-0", residency.Key{Model: model, Adapter: "a"}))

	b.Release("runner-0")
	_, reason = b.RequestLoad(at(20), "runner-0", residency.Key{Model: model, Adapter: "a"})
	require.Equal(t, "not the owner", reason)
}

// TestEmptyRunnersLoadInTurn: the loads of models that one host orders keep to its
// part of the weight store's rate.
func TestEmptyRunnersLoadInTurn(t *testing.T) {
	b := board("host-0", "north-a", 2, nil)
	for i := range 2 {
		name := fmt.Sprint("runner-", i)
		b.Acquire(name, 3, start, false)
	}
	b.Tasks(at(0))
	for i := range 2 {
		b.HandleReport(at(1), fmt.Sprint("runner-", i), &call.Report{})
	}
	first, _ := b.Tasks(at(2))
	require.Len(t, first, 1)
	later, _ := b.Tasks(at(2 + 3*1000/4))
	require.Len(t, later, 1)
	require.NotEqual(t, first[0].Target.Name, later[0].Target.Name)
}

// TestPlainServiceSpreads: requests of a plain service go to the target with the
// fewest in progress.
func TestPlainServiceSpreads(t *testing.T) {
	b := board("host-0", "north-a", 0, nil)
	w := dispatch.Request{Call: call.Call{ID: "x"}, Service: plain, Objective: at(300), Deadline: at(1500)}
	one, two := ticket(t, b, w, 0), ticket(t, b, w, 0)
	require.NotEqual(t, one.Target.Name, two.Target.Name)
	w.Exclude = map[string]bool{one.Target.Name: true, two.Target.Name: true}
	require.Equal(t, "no target", refused(t, b, w, 1).Reason)
}

// TestSilentOwner: a runner whose owner did not answer a wish is asked for no
// load for a while; other runners are.
func TestSilentOwner(t *testing.T) {
	b := board("host-0", "north-a", 2, nil)
	first := ticket(t, b, want("a", 100, 0), 0)
	require.False(t, first.OwnerReplied(at(800), dispatch.NoAnswer{}))
	first.Report(at(800), dispatch.Canceled{})
	second := ticket(t, b, want("a", 100, 800), 800)
	require.NotEqual(t, first.Target.Name, second.Target.Name)
	second.Report(at(801), dispatch.Canceled{})
	again := ticket(t, b, want("a", 100, 4000), 4000)
	require.Equal(t, first.Target.Name, again.Target.Name)
}

// TestOwnerWithoutDigests: no load is asked of an owner that went silent, before
// any request has waited for it in vain.
func TestOwnerWithoutDigests(t *testing.T) {
	b := board("host-0", "north-a", 1, nil)
	told := relay.Digest{From: "owner", SlotReports: []relay.SlotReport{{Runner: relay.HashTarget("runner-0"), Spare: 1}}}
	b.MergeDigest(at(0), told)
	ticket(t, b, want("a", 100, 500), 500).Report(at(501), dispatch.Canceled{})
	require.Equal(t, "no adapter", refused(t, b, want("a", 100, 3000), 3000).Reason)
	b.MergeDigest(at(3100), told)
	ticket(t, b, want("a", 100, 3101), 3101)
}

// TestOwnerThatKnowsNothing: after a restart of all hosts an owner does not know
// yet what its runner holds; a request for what its entry shows goes there all
// the same. Where the owner knows that the adapter has gone, it does not.
func TestOwnerThatKnowsNothing(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	k := ticket(t, b, want("a", 100, 0), 0)
	require.True(t, k.Confirm)
	require.True(t, k.OwnerReplied(at(1), dispatch.Denied{}))
	k.Report(at(5), dispatch.Completed{})
	k = ticket(t, b, want("a", 100, 10), 10)
	require.False(t, k.OwnerReplied(at(11), dispatch.Denied{Absent: true}))
	k.Report(at(11), dispatch.Canceled{})
	require.False(t, ticket(t, b, want("a", 100, 1000), 1000).Confirm, "it has to be loaded")
}

// TestBehind: a newer configuration elsewhere is waited for a moment, since it
// usually is on its way, and then asked for now and again.
func TestBehind(t *testing.T) {
	b := board("host-0", "north-a", 1, nil)
	newer := relay.Digest{From: "host-1", ConfigVersion: 2}
	require.False(t, b.MergeDigest(at(0), relay.Digest{From: "host-1", ConfigVersion: 1}))
	require.False(t, b.MergeDigest(at(10), newer))
	require.False(t, b.MergeDigest(at(1000), newer))
	require.True(t, b.MergeDigest(at(1300), newer))
	require.False(t, b.MergeDigest(at(1400), newer))
	require.True(t, b.MergeDigest(at(2600), newer))
	b.Apply(at(2700), catalog.ConfigUpdated{Config: catalog.NewConfig(2, nil, nil, catalog.Limits{})})
	require.False(t, b.MergeDigest(at(9000), newer))
	newer.ConfigVersion = 3
	require.False(t, b.MergeDigest(at(9001), newer))
}

// TestBrokenRequestIsNotRefused: a request whose runner broke off goes on also
// where it has to wait for its adapter beyond its aim.
func TestBrokenRequestIsNotRefused(t *testing.T) {
	b := board("host-0", "north-a", 1, nil)
	w := want("a", 100, 0)
	w.Objective = at(100)
	refused(t, b, w, 50)
	w.InProgress = true
	ticket(t, b, w, 50)
}

// TestManyRunnersCrash: where many runners crash at once, a host doesn't wait for
// a connection to each of them that others could not open. One host alone may be
// cut off, and an answer that this host had just now goes before all that.
func TestManyRunnersCrash(t *testing.T) {
	b := board("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	k := ticket(t, b, want("a", 100, 0), 0)
	first := k.Target.Name
	k.Report(at(1), dispatch.Head{})
	k.Report(at(1), dispatch.Completed{})
	lost := func(ms, hosts int) {
		b.MergeDigest(at(ms), relay.Digest{From: "relay", Loads: []relay.TargetLoad{{Target: relay.HashTarget(first), Unreachable: hosts}}})
	}
	target := func(ms int) string {
		k := ticket(t, b, want("a", 100, ms), ms)
		k.Report(at(ms), dispatch.Canceled{})
		return k.Target.Name
	}
	lost(100, 5)
	require.Equal(t, first, target(110), "it has just answered")
	lost(900, 1)
	require.Equal(t, first, target(910))
	lost(1000, 2)
	require.NotEqual(t, first, target(1010))
	lost(1100, 0)
	require.Equal(t, first, target(1110))
}

// TestUnreachedIsTold: a host tells others where it could not connect, until it
// could again.
func TestUnreachedIsTold(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	lost := func(ms int) int {
		n := 0
		for _, l := range b.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
			n += l.Unreachable
		}
		return n
	}
	ticket(t, b, want("a", 100, 0), 0).Report(at(600), dispatch.Failed{})
	require.Equal(t, 1, lost(700))
	k := ticket(t, b, want("a", 100, 1700), 1700)
	require.Equal(t, 1, lost(1710))
	k.Report(at(1800), dispatch.Head{})
	require.Zero(t, lost(1810))
}

// TestCrashedRunnersAskNobody: after many runners crashed, their entries still
// show the model and their places look free; no load is asked of them before
// their owners say that it can be had.
func TestCrashedRunnersAskNobody(t *testing.T) {
	b := board("host-0", "north-a", 2, nil)
	tell := func(ms int, closed ...bool) {
		d := relay.Digest{From: "owner"}
		for i, c := range closed {
			d.SlotReports = append(d.SlotReports, relay.SlotReport{Runner: relay.HashTarget(fmt.Sprint("runner-", i)), Spare: 8, Closed: c})
		}
		b.MergeDigest(at(ms), d)
	}
	tell(0, true, false)
	for i := range 5 {
		k := ticket(t, b, want(fmt.Sprint("a", i), 100, 10), 10)
		require.Equal(t, "runner-1", k.Target.Name)
		k.Report(at(11), dispatch.Canceled{})
	}
	tell(20, true, true)
	require.Equal(t, "no adapter", refused(t, b, want("a", 100, 30), 30).Reason)
	tell(40, false, true)
	require.Equal(t, "runner-0", ticket(t, b, want("a", 100, 50), 50).Target.Name)
}

// TestSlowLoadsAreWaitedFor: at a cold start all loads are slow. A request whose
// adapter is on its way asks the same owner again, and isn't refused; one more
// load elsewhere would make all of them slower.
func TestSlowLoadsAreWaitedFor(t *testing.T) {
	for i := range 10 {
		b := board("host-0", "north-a", 6, nil)
		w := want(fmt.Sprint("a", i), 100, 0)
		k := ticket(t, b, w, 0)
		require.False(t, k.OwnerReplied(at(700), dispatch.Loading{}))
		k.Report(at(700), dispatch.Canceled{})
		w.InProgress = true
		again := ticket(t, b, w, 700)
		require.Equal(t, k.Target.Name, again.Target.Name)
		require.Equal(t, "owner", again.Owner.Host)
		require.False(t, again.OwnerReplied(at(1400), dispatch.Loading{}))
		again.Report(at(1400), dispatch.Canceled{})
		third := ticket(t, b, w, 1400)
		require.Equal(t, k.Target.Name, third.Target.Name)
	}
}

// TestOthersSeeARunnerFail: with many hosts each meets one runner rarely. Where
// others see it fail, a request goes to the next one; where all runners fail
// alike, it stays.
func TestOthersSeeARunnerFail(t *testing.T) {
	b := board("host-0", "north-a", 2, map[int][]string{0: {"a"}, 1: {"a"}})
	target := func(ms int) string {
		k := ticket(t, b, want("a", 6000, ms), ms)
		k.Report(at(ms), dispatch.Canceled{})
		return k.Target.Name
	}
	first := target(0)
	tell := func(ms int, all bool) {
		d := relay.Digest{From: "relay"}
		for i := range 2 {
			name := fmt.Sprint("runner-", i)
			l := relay.TargetLoad{Target: relay.HashTarget(name), Done: 10}
			if all || name == first {
				l.Failed = 6
			}
			d.Loads = append(d.Loads, l)
		}
		b.MergeDigest(at(ms), d)
	}
	tell(10, false)
	require.NotEqual(t, first, target(20))
	tell(30, true)
	require.Equal(t, first, target(40))
}

// TestTold: a host tells what it saw of a target in the last two seconds.
func TestTold(t *testing.T) {
	b := board("host-0", "north-a", 1, map[int][]string{0: {"a"}})
	told := func(ms int) relay.TargetLoad {
		for _, l := range b.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" }).Loads {
			if l.Target == relay.HashTarget("runner-0") {
				return l
			}
		}
		return relay.TargetLoad{}
	}
	k := ticket(t, b, want("a", 100, 0), 0)
	k.Report(at(10), dispatch.Head{})
	k.Report(at(20), dispatch.Completed{Failed: true})
	ticket(t, b, want("a", 100, 100), 100).Report(at(120), dispatch.Canceled{})
	require.Equal(t, 1, told(200).Done)
	require.Equal(t, 1, told(200).Failed)
	require.Equal(t, 1, told(1200).Failed)
	require.Zero(t, told(2200).Done)
}

// TestRebornRunner: the owner of a runner that starts again under its name keeps
// in mind which of its orders may still be on their way.
func TestRebornRunner(t *testing.T) {
	b := board("owner", "north-a", 1, nil)
	spare := func(ms int) int {
		d := b.Digest(at(ms), "host-1", relay.ToRelay, func(string) string { return "" })
		require.Len(t, d.SlotReports, 1)
		return d.SlotReports[0].Spare
	}
	content := call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{{Model: model, Version: 1}}}
	own := func(ms int, fence uint64) {
		b.Acquire("runner-0", fence, at(ms), false)
		b.Tasks(at(ms))
		b.HandleReport(at(ms), "runner-0", &content)
	}
	own(0, 1)
	_, reason := b.RequestLoad(at(10), "runner-0", residency.Key{Model: model, Adapter: "late"})
	require.Empty(t, reason)
	errands, _ := b.Tasks(at(11))
	require.Len(t, errands, 1)

	reborn := runner(0, "north-a")
	reborn.Started = at(500)
	b.Apply(at(600), catalog.TargetsChanged{Revision: 9, Changes: []catalog.TargetChange{catalog.TargetRemoved{Name: "runner-0"}}})
	b.Sweep(at(5000))
	b.Apply(at(6000), catalog.TargetsChanged{Revision: 10, Changes: []catalog.TargetChange{catalog.TargetUpdated{Target: reborn}}})
	own(6000, 2)
	require.Equal(t, 1, spare(6001), "one of two places is reserved")
	b.Tasks(at(14_000))
	require.Equal(t, 2, spare(14_000))
}

// TestReadyOrdersNothing: a request that looks whether its adapter has come takes
// no order away from its runner.
func TestReadyOrdersNothing(t *testing.T) {
	b := board("owner", "north-a", 1, nil)
	b.Acquire("runner-0", 1, at(0), false)
	b.Tasks(at(0))
	b.HandleReport(at(0), "runner-0", &call.Report{AcceptedOrders: 3, Models: []call.ResidentModel{{Model: model, Version: 1}}})
	one := ticket(t, b, want("one", 100, 10), 10)
	errands, _ := b.Tasks(at(10))
	require.Len(t, errands, 1)
	two := ticket(t, b, want("two", 100, 11), 11)
	b.HandleReply(at(12), "runner-0", call.Applied)
	<-one.Loaded
	require.True(t, one.Ready())
	errands, _ = b.Tasks(at(14))
	require.Len(t, errands, 1)
	require.Equal(t, "two", errands[0].Action.(residency.SendOrder).Order.Adapter)
	require.False(t, two.Ready())
}
