package patch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// storedPatch returns the stored form of a patch that puts a caller with the given
// name. The caller's weight depends on the number.
func storedPatch(t require.TestingT, number uint64, name string) patch.StoredPatch {
	p := patch.Patch{Number: number, Base: number - 1, ID: name, Author: "ann", Reason: "test",
		Changes: []patch.Change{patch.PutCaller{Caller: caller.Caller{Name: name, Weight: int(number % 100)}}}}
	data, err := p.MarshalCBOR()
	require.NoError(t, err)
	return patch.StoredPatch{Number: number, Data: data}
}

// history returns n accepted patches and the n+1 configurations before the first
// and after each of them. Every seventh patch is invalid.
func history(t require.TestingT, n int) ([]patch.StoredPatch, []*patch.Config) {
	configs := []*patch.Config{{}}
	var patches []patch.StoredPatch
	for number := uint64(1); number <= uint64(n); number++ {
		p := storedPatch(t, number, string(rune('a'+number%26)))
		if number%7 == 0 {
			p.Data = []byte("no patch") // not written by jacinthctl: has no effect but uses up its number
		}
		next, _ := configs[number-1].ApplyStored(p)
		require.NotNil(t, next)
		patches, configs = append(patches, p), append(configs, next)
	}
	return patches, configs
}

// activated returns the configurations of the Activate actions.
func activated(actions []patch.Action) []*patch.Config {
	var out []*patch.Config
	for _, a := range actions {
		if x, ok := a.(patch.Activate); ok {
			out = append(out, x.Config)
		}
	}
	return out
}

// TestLogMatchesModel delivers patches to a log in random order, repeatedly and
// with gaps, mixed with snapshots, listings and restarts. It compares each active
// configuration with the expected one of that version and checks that the active
// version never decreases, also across restarts.
func TestLogMatchesModel(t *testing.T) {
	patches, configs := history(t, 250)
	rapid.Check(t, func(t *rapid.T) {
		log := &patch.Log{Host: "entry-1"}
		now, highestActive, highestReported := startTime, uint64(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			number := uint64(rapid.IntRange(0, 250).Draw(t, "number"))
			var events []patch.Event
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0: // consecutive patches that follow the latest version, as in a listing or watch
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
				highestReported = max(highestReported, number)
				events = append(events, patch.PeerVersion{Peer: "entry-2", Version: number})
			case 5:
				events = append(events, patch.Tick{}, patch.StoreUnavailable{})
			case 6: // a restart: a new log, whose listing reaches the version active before
				log = &patch.Log{Host: "entry-1"}
				events = append(events, patch.SnapshotLoaded{Config: configs[highestActive/2]})
				for n := highestActive / 2; n < highestActive; n++ {
					events = append(events, patch.ReceivedPatch{StoredPatch: patches[n]})
				}
				events = append(events, patch.ListingComplete{})
			}
			for _, e := range events {
				for _, a := range log.Step(now, e) {
					switch x := a.(type) {
					case patch.Activate:
						require.GreaterOrEqual(t, x.Config.Version, highestActive, "active version decreased")
						highestActive = x.Config.Version
						require.Equal(t, entriesOf(configs[highestActive]), entriesOf(x.Config))
					case patch.InvalidPatch:
						require.Zero(t, x.Number%7)
					case patch.SaveSnapshot:
						require.Zero(t, x.Config.Version%patch.SnapshotInterval)
						require.Equal(t, entriesOf(configs[x.Config.Version]), entriesOf(x.Config))
					case patch.QueryPeer:
						require.Less(t, x.After, highestReported)
					case patch.ConflictingPatch:
						require.Fail(t, "conflict reported for equal patches")
					}
				}
			}
			if recent, ok := log.PatchesAfter(log.LatestConfig().Version / 2); ok {
				require.Equal(t, len(recent), int(log.LatestConfig().Version-log.LatestConfig().Version/2))
				for i, p := range recent {
					require.Equal(t, patches[int(log.LatestConfig().Version/2)+i], p)
				}
			}
		}
		for _, p := range patches {
			log.Step(now, patch.ReceivedPatch{StoredPatch: p})
		}
		log.Step(now, patch.ListingComplete{})
		require.Equal(t, uint64(250), log.ActiveVersion())
		require.Equal(t, entriesOf(configs[250]), entriesOf(log.LatestConfig()))
	})
}

// TestLogActivatesOnceUpToDate checks that a log activates nothing before a listing
// is complete or, while the store can't be read, before it has reached the highest
// version reported by a peer.
func TestLogActivatesOnceUpToDate(t *testing.T) {
	patches, configs := history(t, 20)
	step := func(log *patch.Log, e patch.Event) []*patch.Config { return activated(log.Step(startTime, e)) }
	t.Run("listing", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.SnapshotLoaded{Config: configs[10]}))
		require.Empty(t, step(&log, patch.ReceivedPatch{StoredPatch: patches[10]}))
		require.Zero(t, log.ActiveVersion())
		require.Equal(t, uint64(11), step(&log, patch.ListingComplete{})[0].Version)
	})
	t.Run("empty store", func(t *testing.T) {
		var log patch.Log
		require.Len(t, step(&log, patch.ListingComplete{}), 1)
	})
	t.Run("peer versions while the store can be read", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "p", Version: 10}))
		require.Empty(t, step(&log, patch.SnapshotLoaded{Config: configs[10]}))
	})
	t.Run("highest version reported by peers while the store can't be read", func(t *testing.T) {
		var log patch.Log
		require.Empty(t, step(&log, patch.StoreUnavailable{}))
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "p", Version: 12}))
		require.Empty(t, step(&log, patch.PeerVersion{Peer: "q", Version: 5}))
		require.Equal(t, []patch.Action{patch.QueryPeer{Peer: "p", After: 0}}, log.Step(startTime, patch.Tick{}))
		require.Empty(t, step(&log, patch.SnapshotReceived{Config: configs[11]}))
		require.Equal(t, uint64(12), step(&log, patch.ReceivedPatch{StoredPatch: patches[11]})[0].Version)
	})
}

// TestLogGap checks that a missing patch causes a listing, at most once per second,
// and that the pending patches apply once it arrives.
func TestLogGap(t *testing.T) {
	patches, _ := history(t, 20)
	var log patch.Log
	log.Step(startTime, patch.ListingComplete{})
	require.Equal(t, []patch.Action{patch.ListPatches{After: 0}}, log.Step(startTime, patch.ReceivedPatch{StoredPatch: patches[2]}))
	require.Empty(t, log.Step(startTime, patch.ReceivedPatch{StoredPatch: patches[1]}))
	require.Equal(t, []patch.Action{patch.ListPatches{After: 0}}, log.Step(startTime.Add(time.Second), patch.Tick{}))
	got := activated(log.Step(startTime, patch.ReceivedPatch{StoredPatch: patches[0]}))
	require.Len(t, got, 1)
	require.Equal(t, uint64(3), got[0].Version)
}

func TestLogConflictingPatch(t *testing.T) {
	var log patch.Log
	log.Step(startTime, patch.ReceivedPatch{StoredPatch: storedPatch(t, 1, "a")})
	require.Equal(t, []patch.Action{patch.ConflictingPatch{Number: 1}}, log.Step(startTime, patch.ReceivedPatch{StoredPatch: storedPatch(t, 1, "b")}))
}

// TestLogSnapshotTimes checks that hosts write a snapshot at different times, all
// within a minute, and none after it exists.
func TestLogSnapshotTimes(t *testing.T) {
	patches, _ := history(t, 2*patch.SnapshotInterval)
	saveTimes := map[time.Time]bool{}
	for _, host := range []string{"entry-1", "entry-2", "entry-3"} {
		log := patch.Log{Host: host}
		log.Step(startTime, patch.ListingComplete{})
		for _, p := range patches[:patch.SnapshotInterval+1] {
			log.Step(startTime, patch.ReceivedPatch{StoredPatch: p})
		}
		saveTime := startTime
		var actions []patch.Action
		for len(actions) == 0 {
			require.Less(t, saveTime, startTime.Add(time.Minute))
			saveTime = saveTime.Add(100 * time.Millisecond)
			actions = log.Step(saveTime, patch.Tick{})
		}
		require.Equal(t, uint64(patch.SnapshotInterval), actions[0].(patch.SaveSnapshot).Config.Version)
		saveTimes[saveTime] = true
		log.Step(saveTime, patch.SnapshotSaved{Version: patch.SnapshotInterval})
		require.Empty(t, log.Step(saveTime.Add(time.Hour), patch.Tick{}))
	}
	require.Len(t, saveTimes, 3, "each host writes at a different time")
}
