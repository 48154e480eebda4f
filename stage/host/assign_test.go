package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/host"
)

func members(names ...string) []host.Identity {
	var all []host.Identity
	for i, name := range names {
		all = append(all, host.Identity{Name: name, Incarnation: "1", Zone: fmt.Sprintf("z%d", i%2)})
	}
	return all
}

// holder returns the member that owns the row or is about to get it.
func holder(row host.Row) string {
	if row.NextOwner != "" {
		return row.NextOwner
	}
	return row.Owner
}

// referenceCount counts, in the simplest way, the rows of each eligible member and
// the minimum number of rows that must move for a balanced assignment.
func referenceCount(old host.Table, inputs host.Inputs) (counts map[string]int, moves int) {
	counts = make(map[string]int)
	for _, m := range inputs.Members {
		if !m.Leaving {
			counts[m.Name] = 0
		}
	}
	rows := 0
	for _, row := range old.Rows {
		if row.Removed {
			continue
		}
		if ownerLost(row, inputs) && !row.Fenced && !inputs.Gone[row.Owner] {
			continue
		}
		rows++
		if _, ok := counts[holder(row)]; ok {
			counts[holder(row)]++
			continue
		}
		if _, ok := counts[row.Owner]; ok {
			counts[row.Owner]++
			continue
		}
		moves++
	}
	if len(counts) == 0 {
		return counts, 0
	}
	var loads []int
	for _, n := range counts {
		loads = append(loads, n)
	}
	slices.Sort(loads)
	slices.Reverse(loads)
	for i, n := range loads {
		quota := rows / len(loads)
		if i < rows%len(loads) {
			quota++
		}
		moves += max(0, n-quota)
	}
	return counts, moves
}

// ownerLost reports whether the row has an owner that isn't live.
func ownerLost(row host.Row, inputs host.Inputs) bool {
	return row.Owner != "" && !slices.ContainsFunc(inputs.Members, func(m host.Identity) bool { return m.Name == row.Owner })
}

// TestAssignAgainstReference draws sequences of tables and compares each with
// referenceCount. It checks the balance, the minimum number of moves, that live
// owners keep their runners, and the epochs.
func TestAssignAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table host.Table
		inputs := host.Inputs{Gone: map[string]bool{}, Releasable: map[string]bool{}}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			drawInputs(t, &inputs, table, uint64(step+1))
			before := string(table.Encode())
			next := host.Assign(table, inputs)
			require.Equal(t, before, string(table.Encode()), "the old table is not modified")
			require.Equal(t, next, host.Assign(table, inputs), "the same inputs give the same table")
			checkBalance(t, next, inputs)
			if next.ConfigVersion == table.ConfigVersion && len(inputs.Releasable) == 0 {
				checkMoves(t, table, next, inputs)
			}
			checkEpochs(t, table, next, inputs)
			table = next
		}
	})
}

// TestOwnersInRunnersRegion checks that members that join one after another end up
// with runners of their own region, as far as their quotas allow, and that the
// table reaches a state that no longer changes.
func TestOwnersInRunnersRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inputs := host.Inputs{Regions: map[string]string{"z0": "north", "z1": "north", "z2": "south"}, ConfigVersion: 1}
		zone := func(label string) string { return fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, label)) }
		for i := range rapid.IntRange(1, 20).Draw(t, "runners") {
			inputs.Runners = append(inputs.Runners, host.Runner{Name: fmt.Sprint("r", i), Zone: zone("runner"), Fencing: host.ChecksFencing{}})
		}
		var table host.Table
		for i := range rapid.IntRange(1, 8).Draw(t, "members") {
			inputs.Members = append(inputs.Members, host.Identity{Name: fmt.Sprint("m", i), Incarnation: "1", Zone: zone("member")})
			table = stabilize(t, table, inputs)
			checkBalance(t, table, inputs)
		}
		crossRegion := make(map[string]int) // runners with an owner in another region, by the runner's region
		for _, row := range table.Rows {
			m, ok := table.Member(row.Owner)
			require.True(t, ok)
			if inputs.Regions[m.Zone] != inputs.Regions[row.Zone] {
				crossRegion[inputs.Regions[row.Zone]]++
			}
		}
		require.True(t, crossRegion["north"] == 0 || crossRegion["south"] == 0, "%v could be swapped", crossRegion)
	})
}

// stabilize computes tables until all planned moves are done and the table no
// longer changes.
func stabilize(t *rapid.T, table host.Table, inputs host.Inputs) host.Table {
	for range 100 {
		next := host.Assign(table, inputs)
		for _, row := range next.Rows {
			if row.NextOwner != "" {
				inputs.Self, inputs.Releasable = row.Owner, map[string]bool{row.Runner: true}
				next = host.Assign(next, inputs)
				inputs.Releasable = nil
			}
		}
		if string(next.Encode()) == string(table.Encode()) {
			return next
		}
		table = next
	}
	t.Fatal("the table does not stabilize")
	return table
}

// drawInputs draws the inputs of the next step.
func drawInputs(t *rapid.T, in *host.Inputs, table host.Table, config uint64) {
	in.Members = nil
	for i := range 6 {
		state := rapid.SampledFrom([]string{"live", "live", "live", "leaving", "restarted", "lost", "gone"}).Draw(t, "state")
		m := host.Identity{Name: fmt.Sprintf("m%d", i), Incarnation: "1", Zone: fmt.Sprintf("z%d", i%2)}
		if before, ok := table.Member(m.Name); ok {
			m = before
		}
		in.Gone[m.Name] = state == "gone"
		if state == "restarted" {
			m.Generation++
		}
		m.Leaving = state == "leaving"
		if state != "lost" && state != "gone" {
			in.Members = append(in.Members, m)
		}
	}
	if rapid.Bool().Draw(t, "config") {
		in.ConfigVersion = config
		in.Runners = runners(rapid.IntRange(0, 20).Draw(t, "fenced"), rapid.IntRange(0, 6).Draw(t, "unfenced"))
	}
	clear(in.Releasable)
	in.Self = fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "self"))
	for _, row := range table.Rows {
		if row.Owner == in.Self && rapid.Bool().Draw(t, "releasable") {
			in.Releasable[row.Runner] = rapid.Bool().Draw(t, "drained")
		}
	}
}

func checkBalance(t *rapid.T, next host.Table, in host.Inputs) {
	counts := make(map[string]int)
	for _, m := range in.Members {
		if !m.Leaving {
			counts[m.Name] = 0
		}
	}
	for _, row := range next.Rows {
		if row.Removed || ownerLost(row, in) || len(counts) == 0 {
			continue
		}
		require.Contains(t, counts, holder(row))
		counts[holder(row)]++
	}
	smallest, largest := 1<<30, 0
	for _, n := range counts {
		smallest, largest = min(smallest, n), max(largest, n)
	}
	if len(counts) > 0 {
		require.LessOrEqual(t, largest-smallest, 1)
		require.Contains(t, counts, next.Grantor.Name)
	}
}

func checkMoves(t *rapid.T, old, next host.Table, in host.Inputs) {
	counts, minMoves := referenceCount(old, in)
	moved := 0
	for _, row := range next.Rows {
		before, _ := old.Row(row.Runner)
		if row.Removed || ownerLost(row, in) || holder(row) == holder(before) || len(counts) == 0 {
			continue
		}
		if _, eligible := counts[before.NextOwner]; before.NextOwner != "" && !eligible && holder(row) == before.Owner {
			continue
		}
		moved++
	}
	require.Equal(t, minMoves, moved)
}

func checkEpochs(t *rapid.T, old, next host.Table, in host.Inputs) {
	for _, row := range next.Rows {
		before, known := old.Row(row.Runner)
		owner, live := next.Member(row.Owner)
		formerOwner, wasMember := old.Member(row.Owner)
		switch {
		case !known || !live || before.Owner == "":
		case row.Owner != before.Owner:
			require.Greater(t, row.Epoch, old.MaxEpoch)
			require.Equal(t, before.Owner, row.PreviousOwner)
			drained, releasable := in.Releasable[row.Runner]
			releasable = releasable && before.Owner == in.Self && !ownerLost(before, in)
			require.True(t, ownerLost(before, in) || releasable, "only a live owner itself gives its runner away")
			require.Equal(t, releasable && drained, row.Drained, "drained only if the previous owner reported it")
		case !wasMember || !owner.SameGeneration(formerOwner):
			require.Greater(t, row.Epoch, old.MaxEpoch, "a new generation has a new epoch")
			require.False(t, row.Drained)
		default:
			require.Equal(t, before.Epoch, row.Epoch)
		}
		require.LessOrEqual(t, row.Epoch, next.MaxEpoch)
	}
}

func TestAssignKeepsZones(t *testing.T) {
	in := host.Inputs{Members: members("a", "b", "c", "d"), Runners: runners(8, 0), ConfigVersion: 1}
	for _, row := range host.Assign(host.Table{}, in).Rows {
		i := strings.Index("abcd", row.Owner)
		require.Equal(t, row.Zone, fmt.Sprintf("z%d", i%2))
	}
}

func TestAssignSpreadsRunnersOfLostMember(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	in := host.Inputs{Members: members(names...), Runners: runners(200, 0), ConfigVersion: 1}
	table := host.Assign(host.Table{}, in)
	in.Members = slices.Delete(in.Members, 3, 4)
	newOwners := make(map[string]int)
	for _, row := range host.Assign(table, in).Rows {
		if before, _ := table.Row(row.Runner); before.Owner != row.Owner {
			newOwners[row.Owner]++
		}
	}
	require.Len(t, newOwners, 10)
	for _, n := range newOwners {
		require.Equal(t, 1, n)
	}
}

func TestTableRoundTrip(t *testing.T) {
	table := host.Assign(host.Table{}, host.Inputs{Members: members("a", "b"), Runners: runners(3, 2), ConfigVersion: 4})
	back, err := host.Decode(table.Encode())
	require.NoError(t, err)
	require.Equal(t, table, back)
	_, err = host.Decode([]byte("no CBOR"))
	require.Error(t, err)
}

// FuzzDecode checks that Decode doesn't panic on any value, and that every value
// that it accepts survives another encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(host.Table{}.Encode())
	f.Add(host.Assign(host.Table{}, host.Inputs{Members: members("a"), Runners: runners(1, 1), ConfigVersion: 1}).Encode())
	noise := make([]byte, 64)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	f.Add(noise)
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := host.Decode(value)
		if err != nil {
			return
		}
		back, err := host.Decode(table.Encode())
		require.NoError(t, err)
		require.Equal(t, table.Encode(), back.Encode())
	})
}
