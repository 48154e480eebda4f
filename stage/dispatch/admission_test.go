package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
	"jacinthstage/stage/admission"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/relay"
)

// contend gives the dispatcher a configuration with client accounts.
func contend(d *dispatch.Dispatcher, version uint64) {
	services := make([]catalog.Service, 0)
	for _, s := range d.Config().Services {
		services = append(services, s)
	}
	config := catalog.NewConfig(version, nil, services, catalog.Limits{})
	config.Accounts, _ = account.New([]account.Entry{{Account: account.Account{Name: "pressing"}}, {Account: account.Account{Name: "calm"}}})
	d.Apply(start, catalog.ConfigUpdated{Config: config})
}

// refusedByAdmission sends a request of an account each millisecond from a time and until another, and
// counts those that others go before. change, if not nil, changes each of them.
func refusedByAdmission(d *dispatch.Dispatcher, account string, input, from, until int, change func(*dispatch.Request)) int {
	refused := 0
	for ms := from; ms < until; ms++ {
		r := request("", input, ms)
		r.Account = account
		if change != nil {
			change(&r)
		}
		if c, ok := d.Pick(at(ms), r).(dispatch.Refuse); ok && c.Admission {
			refused++
		}
	}
	return refused
}

// TestAccountsShareShortSlots checks that an account which takes all slots is refused before another
// one, at a second host as well, and only where accounts are configured.
func TestAccountsShareShortSlots(t *testing.T) {
	for _, contended := range []bool{true, false} {
		d, other := newDispatcher("host-0", "north-a", 1, nil), newDispatcher("host-1", "north-a", 1, nil)
		if contended {
			contend(d, 2)
			contend(other, 2)
		}
		require.Zero(t, refusedByAdmission(d, "pressing", 100, 0, 60, nil), "there are slots")
		require.Empty(t, d.Admissions(at(60), "host-1", relay.ToRelay))
		refused := refusedByAdmission(d, "pressing", 100, 60, 300, nil)
		reports := d.Admissions(at(300), "host-1", relay.ToRelay)
		other.LearnAdmissions(at(300), "host-0", true, reports)
		there := refusedByAdmission(other, "pressing", 100, 300, 350, nil)
		if !contended {
			require.Zero(t, refused+there)
			require.Empty(t, reports)
			continue
		}
		require.Positive(t, refused)
		require.Positive(t, there)
		require.Zero(t, refusedByAdmission(d, "calm", 100, 350, 353, nil))
		require.Zero(t, refusedByAdmission(other, "calm", 100, 350, 353, nil))
		changes, _ := d.AdmissionChanges(at(353))
		require.NotEmpty(t, changes)
		require.Equal(t, []string{"pressing"}, changes[0].Accounts)
	}
}

// TestAdmittedRequestIsNotDecidedAgain checks that the further attempts of a request aren't refused
// for others.
func TestAdmittedRequestIsNotDecidedAgain(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	contend(d, 2)
	require.Positive(t, refusedByAdmission(d, "pressing", 100, 0, 300, nil))
	require.Zero(t, refusedByAdmission(d, "pressing", 100, 300, 350, func(r *dispatch.Request) { r.Admitted = true }))
	require.Zero(t, refusedByAdmission(d, "pressing", 100, 300, 350, func(r *dispatch.Request) { r.InProgress = true }))
}

// TestLatePromptsAreNotRefused checks that requests which are late for another reason than a lack of
// slots aren't refused: others would be no earlier.
func TestLatePromptsAreNotRefused(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 4, nil)
	contend(d, 2)
	require.Zero(t, refusedByAdmission(d, "pressing", 60000, 0, 120, nil))
}

// TestWaitForRoom checks that a request whose adapter has no place waits for one in the line of its
// service, where requests differ in who goes first, and not for long.
func TestWaitForRoom(t *testing.T) {
	for _, contended := range []bool{true, false} {
		d := newDispatcher("host-0", "north-a", 1, nil)
		if contended {
			contend(d, 2)
		}
		hash := relay.HashTarget("runner-0")
		d.MergeDigest(at(0), relay.Digest{From: "owner", SlotReports: []relay.SlotReport{{Runner: hash, Spare: 0}}})
		r := request("a1", 100, 1)
		refusal := requireRefused(t, d, r, 1)
		w, next, ok := d.WaitForRoom(at(1), r, refusal, nil)
		require.Equal(t, contended, ok)
		if !contended {
			continue
		}
		require.True(t, next.After(at(1)) && next.Before(at(50)))
		d.MergeDigest(at(20), relay.Digest{From: "owner", SlotReports: []relay.SlotReport{{Runner: hash, Spare: 1}}})
		require.IsType(t, dispatch.Send{}, d.Pick(next, r))
		_, _, ok = d.WaitForRoom(at(200), r, refusal, w)
		require.False(t, ok, "it would be late")
		d.EndWait(r.Service, w)
		d.EndWait(r.Service, nil)
	}
}

// TestRanksSharePlaces checks that the least urgent requests give way where adapters find no place, and
// that the urgent ones still get what there is.
func TestRanksSharePlaces(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	contend(d, 2)
	adapter, priority := "", 2
	ask := func(r *dispatch.Request) { r.Call.Adapter, r.Priority = adapter, priority }
	refused := 0
	for ms := 0; ms < 400; ms++ {
		if ms%50 == 0 {
			d.MergeDigest(at(ms), relay.Digest{From: "owner", SlotReports: []relay.SlotReport{{Runner: relay.HashTarget("runner-0"), Spare: 0}}})
		}
		adapter, priority = fmt.Sprint("a", ms%40), 2
		refused += refusedByAdmission(d, "", 100, ms, ms+1, ask)
		if priority = 0; ms%20 == 0 {
			require.Zero(t, refusedByAdmission(d, "", 100, ms, ms+1, ask), ms)
		}
	}
	require.Greater(t, refused, 100)
	changes, _ := d.AdmissionChanges(at(400))
	require.Len(t, changes, 1)
	require.Equal(t, admission.Places, changes[0].Pool)
	require.Equal(t, 2, changes[0].Rank)
}

// TestNoObjectiveIsNotShort checks that requests whose objective has passed, or which have none, don't
// make a service short while it has slots.
func TestNoObjectiveIsNotShort(t *testing.T) {
	d := newDispatcher("host-0", "north-a", 1, nil)
	contend(d, 2)
	require.Zero(t, refusedByAdmission(d, "pressing", 100, 0, 120, func(r *dispatch.Request) { r.Objective = at(0) }))
}
