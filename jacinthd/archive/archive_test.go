package archive_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/jacinthd/store/memory"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

func proposal(base uint64, id string) patch.Patch {
	return patch.Patch{Number: base + 1, Base: base, ID: id, Author: "author of " + id, Reason: "test",
		Changes: []patch.Change{patch.PutCaller{Caller: caller.Caller{Name: "c" + id}}}}
}

func TestPropose(t *testing.T) {
	cases := []struct {
		name   string
		faults memory.Faults
	}{
		{"sound", memory.Faults{}},
		{"answer lost", memory.Faults{LoseAnswers: 1}},
		{"answers lost twice", memory.Faults{LoseAnswers: 2}},
		{"writes dropped", memory.Faults{DropWrites: 2}},
		{"slow", memory.Faults{Delay: time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s memory.Store
				s.SetFaults(c.faults)
				require.NoError(t, archive.Propose(t.Context(), &s, proposal(0, "a")))
				require.NoError(t, archive.Propose(t.Context(), &s, proposal(0, "a")), "sent again")
				var lost *archive.ConflictError
				require.ErrorAs(t, archive.Propose(t.Context(), &s, proposal(0, "b")), &lost)
				require.Equal(t, archive.ConflictError{Number: 1, Author: "author of a", ID: "a"}, *lost)
				config, err := archive.Read(t.Context(), &s)
				require.NoError(t, err)
				require.Equal(t, uint64(1), config.Version)
				require.Contains(t, config.Callers, "ca")
			})
		})
	}
}

func TestProposeRefuses(t *testing.T) {
	var s memory.Store
	p := proposal(0, "a")
	p.Changes = []patch.Change{patch.RemoveCaller{Name: "none"}}
	var refusal *patch.Refusal
	require.ErrorAs(t, archive.Propose(t.Context(), &s, p), &refusal)
	require.ErrorAs(t, archive.Propose(t.Context(), &s, proposal(3, "a")), &refusal)
	require.Zero(t, s.Counts().Writes)
}

func TestProposeUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.SetFaults(memory.Faults{DropWrites: math.MaxInt})
		require.ErrorIs(t, archive.Propose(ctx, &s, proposal(0, "a")), archive.ErrUnknownOutcome)
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.SetFaults(memory.Faults{Outage: true})
		err := archive.Propose(ctx, &s, proposal(0, "a"))
		require.ErrorIs(t, err, store.ErrUnavailable)
		require.NotErrorIs(t, err, archive.ErrUnknownOutcome)
	})
}

// The operations of the configuration as porcupine sees them: a proposal with
// its base, or a read of the version.
type (
	proposed struct{ base uint64 }
	read     struct{}
	result   struct {
		accepted, unknown bool
		version           uint64
	}
)

// log is the configuration under one lock: a version that a proposal on it raises.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, got := state.(uint64), output.(result)
		switch x := input.(type) {
		case proposed:
			switch {
			case got.accepted:
				return x.base == version, version + 1
			case got.unknown && x.base == version:
				return true, version + 1
			default:
				return x.base != version || got.unknown, version
			}
		default:
			return got.version == version, version
		}
	},
}

// TestOperatorsAtOnce has operators send patches against the same versions
// while answers are lost, and checks the history for linearizability.
func TestOperatorsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operators, rounds = 3, 12
		var s memory.Store
		var mu sync.Mutex
		var history []porcupine.Operation
		begin := time.Now()
		record := func(client int, input any, call int64, output result) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: int64(time.Since(begin)) + 1})
		}
		var group sync.WaitGroup
		for client := range operators {
			group.Go(func() {
				for round := range rounds {
					call := int64(time.Since(begin))
					config, err := archive.Read(t.Context(), &s)
					require.NoError(t, err)
					record(client, read{}, call, result{version: config.Version})
					s.SetFaults(memory.Faults{LoseAnswers: (client + round) % 3, DropWrites: round % 2, Delay: time.Duration(client+round) * time.Millisecond})
					p := proposal(config.Version, fmt.Sprintf("%d-%d", client, round))
					call = int64(time.Since(begin))
					err = archive.Propose(t.Context(), &s, p)
					var lost *archive.ConflictError
					require.True(t, err == nil || errors.As(err, &lost), "%v", err)
					record(client, proposed{config.Version}, call, result{accepted: err == nil})
				}
			})
		}
		group.Wait()
		require.True(t, porcupine.CheckOperations(model, history))
		config, err := archive.Read(t.Context(), &s)
		require.NoError(t, err)
		accepted := uint64(0)
		for _, o := range history {
			if o.Output.(result).accepted {
				accepted++
			}
		}
		require.Equal(t, accepted, config.Version)
		require.Len(t, config.Callers, int(accepted))
	})
}

func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s memory.Store
		ctx := t.Context()
		var configs []*patch.Config
		for n := range uint64(5) {
			require.NoError(t, archive.Propose(ctx, &s, proposal(n, fmt.Sprint(n))))
			config, err := archive.Read(ctx, &s)
			require.NoError(t, err)
			configs = append(configs, config)
		}
		// Hosts that write the same snapshot at once, and lost answers, leave one whole.
		var group sync.WaitGroup
		s.SetFaults(memory.Faults{LoseAnswers: 2})
		for range 3 {
			group.Go(func() { require.NoError(t, archive.SaveSnapshot(ctx, &s, configs[2])) })
		}
		group.Wait()
		got, err := archive.LatestSnapshot(ctx, &s)
		require.NoError(t, err)
		require.Equal(t, configs[2].Callers, got.Callers)
		// The newest that is whole counts, and old ones go.
		require.NoError(t, archive.SaveSnapshot(ctx, &s, configs[3]))
		require.NoError(t, archive.SaveSnapshot(ctx, &s, configs[4]))
		page, err := s.List(ctx, archive.SnapshotPrefix, "")
		require.NoError(t, err)
		require.Len(t, page.Objects, 2)
		part, err := s.List(ctx, "part/", "")
		require.NoError(t, err)
		require.Len(t, part.Objects, 2)
		require.NoError(t, s.Delete(ctx, part.Objects[1].Key, part.Objects[1].Version))
		got, err = archive.LatestSnapshot(ctx, &s)
		require.NoError(t, err)
		require.Equal(t, uint64(4), got.Version)
		got, err = archive.Read(ctx, &s)
		require.NoError(t, err)
		require.Equal(t, configs[4].Callers, got.Callers)
	})
}
