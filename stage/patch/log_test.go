package patch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// accepted returns the object of a patch that puts a caller named by its number.
func accepted(t require.TestingT, number uint64, name string) patch.StoredPatch {
	p := patch.Patch{Number: number, Base: number - 1, ID: name, Author: "ann", Reason: "test",
		Changes: []patch.Change{patch.PutCaller{Caller: caller.Caller{Name: name, Weight: int(number % 100)}}}}
	data, err := p.MarshalCBOR()
	require.NoError(t, err)
	return patch.StoredPatch{Number: number, Data: data}
}

// history returns n accepted patches and the configuration after each.
func history(t require.TestingT, n int) ([]patch.StoredPatch, []*patch.Config) {
	configs := []*patch.Config{{}}
	var patches []patch.StoredPatch
	for number := uint64(1); number <= uint64(n); number++ {
		a := accepted(t, number, string(rune('a'+number%26)))
		if number%7 == 0 {
			a.Data = []byte("no patch") // written past the tool: changes nothing, keeps its number
		}
		next, _ := configs[number-1].ApplyStored(a)
		require.NotNil(t, next)
		patches, configs = append(patches, a), append(configs, next)
	}
	return patches, configs
}

func enforced(actions []patch.Action) []*patch.Config {
	var out []*patch.Config
	for _, a := range actions {
		if e, ok := a.(patch.Activate); ok {
			out = append(out, e.Config)
		}
	}
	return out
}

// TestLogLikeMap gives a log the patches in any order, twice, with gaps,
// snapshots, listings and restarts, and compares what is in force with a map of
// the configurations by number.
func TestLogLikeMap(t *testing.T) {
	patches, configs := history(t, 250)
	rapid.Check(t, func(t *rapid.T) {
		log := &patch.Log{Host: "entry-1"}
		now, highest, told := start, uint64(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			number := uint64(rapid.IntRange(0, 250).Draw(t, "number"))
			var events []patch.Event
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0: // a run of patches behind the newest, as a listing or watch gives them
				for n := log.LatestConfig().Version; n < min(number, 250); n++ {
					events = append(events, patch.ReceivedPatch{StoredPatch: patches[n]})
				}
			case 1:
				events = append(events, patch.ReceivedPatch{StoredPatch: patches[number%250]})
			case 2:
				events = append(events, patch.SnapshotLoaded{Config: configs[number]})
			case 3:
				events = append(events, patch.SnapshotReceived{Config: configs[number]})
			case 4:
				told = max(told, number)
				events = append(events, patch.PeerVersion{Peer: "entry-2", Version: number})
			case 5:
				events = append(events, patch.Tick{}, patch.StoreUnavailable{})
			case 6: // a restart: a new log, which lists to where its host was
				log = &patch.Log{Host: "entry-1"}
				events = append(events, patch.SnapshotLoaded{Config: configs[highest/2]})
				for n := highest / 2; n < highest; n++ {
					events = append(events, patch.ReceivedPatch{StoredPatch: patches[n]})
				}
				events = append(events, patch.ListingComplete{})
			}
			for _, e := range events {
				for _, a := range log.Step(now, e) {
					switch x := a.(type) {
					case patch.Activate:
						require.GreaterOrEqual(t, x.Config.Version, highest, "went back")
						highest = x.Config.Version
						require.Equal(t, flat(configs[highest]), flat(x.Config))
					case patch.InvalidPatch:
						require.Zero(t, x.Number%7)
					case patch.SaveSnapshot:
						require.Zero(t, x.Config.Version%patch.SnapshotInterval)
						require.Equal(t, flat(configs[x.Config.Version]), flat(x.Config))
					case patch.QueryPeer:
						require.Less(t, x.After, told)
					case patch.ConflictingPatch:
						require.Fail(t, "clash of equal patches")
					}
				}
			}
			if tail, ok := log.PatchesAfter(log.LatestConfig().Version / 2); ok {
				require.Equal(t, len(tail), int(log.LatestConfig().Version-log.LatestConfig().Version/2))
				for i, a := range tail {
					require.Equal(t, patches[int(log.LatestConfig().Version/2)+i], a)
				}
			}
		}
		for _, a := range patches {
			log.Step(now, patch.ReceivedPatch{StoredPatch: a})
		}
		log.Step(now, patch.ListingComplete{})
		require.Equal(t, uint64(250), log.ActiveVersion())
		require.Equal(t, flat(configs[250]), flat(log.LatestConfig()))
	})
}

func TestLogWaitsUntilUpToDate(t *testing.T) {
	patches, configs := history(t, 20)
	step := func(log *patch.Log, e patch.Event) []*patch.Config { return enforced(log.Step(start, e)) }
	t.Run("listing", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.SnapshotLoaded{Config: configs[10]}))
		require.Empty(t, step(&log, patch.ReceivedPatch{StoredPatch: patches[10]}))
		require.Zero(t, log.ActiveVersion())
		require.Equal(t, uint64(11), step(&log, patch.ListingComplete{})[0].Version)
	})
	t.Run("an empty store", func(t *testing.T) {
		var log patch.Log
		require.Len(t, step(&log, patch.ListingComplete{}), 1)
	})
	t.Run("peers while the store can be read", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "p", Version: 10}))
		require.Empty(t, step(&log, patch.SnapshotLoaded{Config: configs[10]}))
	})
	t.Run("peers alone, the highest told", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.StoreUnavailable{}))
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "p", Version: 12}))
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "q", Version: 5}))
		require.Equal(t, []patch.Action{patch.QueryPeer{Peer: "p", After: 0}}, log.Step(start, patch.Tick{}))
		require.Empty(t, step(&log, patch.SnapshotReceived{Config: configs[11]}))
		require.Equal(t, uint64(12), step(&log, patch.ReceivedPatch{StoredPatch: patches[11]})[0].Version)
	})
}

func TestLogGap(t *testing.T) {
	patches, _ := history(t, 20)
	var log patch.Log
	log.Step(start, patch.ListingComplete{})
	require.Equal(t, []patch.Action{patch.ListPatches{After: 0}}, log.Step(start, patch.ReceivedPatch{StoredPatch: patches[2]}))
	require.Empty(t, log.Step(start, patch.ReceivedPatch{StoredPatch: patches[1]}))
	require.Equal(t, []patch.Action{patch.ListPatches{After: 0}}, log.Step(start.Add(time.Second), patch.Tick{}))
	got := enforced(log.Step(start, patch.ReceivedPatch{StoredPatch: patches[0]}))
	require.Len(t, got, 1)
	require.Equal(t, uint64(3), got[0].Version)
}

func TestLogClash(t *testing.T) {
	var log patch.Log
	log.Step(start, patch.ReceivedPatch{StoredPatch: accepted(t, 1, "a")})
	require.Equal(t, []patch.Action{patch.ConflictingPatch{Number: 1}}, log.Step(start, patch.ReceivedPatch{StoredPatch: accepted(t, 1, "b")}))
}

func TestLogSnapshotTurn(t *testing.T) {
	patches, _ := history(t, 2*patch.SnapshotInterval)
	turns := map[time.Time]bool{}
	for _, host := range []string{"entry-1", "entry-2", "entry-3"} {
		log := patch.Log{Host: host}
		log.Step(start, patch.ListingComplete{})
		for _, a := range patches[:patch.SnapshotInterval+1] {
			log.Step(start, patch.ReceivedPatch{StoredPatch: a})
		}
		turn := start
		var actions []patch.Action
		for len(actions) == 0 {
			require.Less(t, turn, start.Add(time.Minute))
			turn = turn.Add(100 * time.Millisecond)
			actions = log.Step(turn, patch.Tick{})
		}
		require.Equal(t, uint64(patch.SnapshotInterval), actions[0].(patch.SaveSnapshot).Config.Version)
		turns[turn] = true
		log.Step(turn, patch.SnapshotSaved{Version: patch.SnapshotInterval})
		require.Empty(t, log.Step(turn.Add(time.Hour), patch.Tick{}))
	}
	require.Len(t, turns, 3, "each host has a turn of its own")
}
