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

// holder returns the member that has the row or is to get it.
func holder(row host.Row) string {
	if row.NextOwner != "" {
		return row.NextOwner
	}
	return row.Owner
}

// naive is the plain way to count: for each fit member its rows, and the least
// number of rows that must move for a balance.
func naive(old host.Table, facts host.Inputs) (have map[string]int, moves int) {
	have = make(map[string]int)
	for _, m := range facts.Members {
		if !m.Leaving {
			have[m.Name] = 0
		}
	}
	rows := 0
	for _, row := range old.Rows {
		if row.Removed {
			continue
		}
		if lost(row, facts) && !row.Fenced && !facts.Gone[row.Owner] {
			continue
		}
		rows++
		if _, ok := have[holder(row)]; ok {
			have[holder(row)]++
			continue
		}
		if _, ok := have[row.Owner]; ok {
			have[row.Owner]++
			continue
		}
		moves++
	}
	if len(have) == 0 {
		return have, 0
	}
	var loads []int
	for _, n := range have {
		loads = append(loads, n)
	}
	slices.Sort(loads)
	slices.Reverse(loads)
	for i, n := range loads {
		part := rows / len(loads)
		if i < rows%len(loads) {
			part++
		}
		moves += max(0, n-part)
	}
	return have, moves
}

// lost reports whether the row's owner isn't live.
func lost(row host.Row, facts host.Inputs) bool {
	return row.Owner != "" && !slices.ContainsFunc(facts.Members, func(m host.Identity) bool { return m.Name == row.Owner })
}

// TestAssignAgainstNaive draws chains of tables and checks each against the
// naive count: balance, least moves, owners that stay, and epochs.
func TestAssignAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table host.Table
		facts := host.Inputs{Gone: map[string]bool{}, Releasable: map[string]bool{}}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			draw(t, &facts, table, uint64(step+1))
			before := string(table.Encode())
			next := host.Assign(table, facts)
			require.Equal(t, before, string(table.Encode()), "the old table is left alone")
			require.Equal(t, next, host.Assign(table, facts), "the same facts bring the same table")
			checkBalance(t, next, facts)
			if next.ConfigVersion == table.ConfigVersion && len(facts.Releasable) == 0 {
				checkMoves(t, table, next, facts)
			}
			checkEpochs(t, table, next, facts)
			table = next
		}
	})
}

// TestOwnersInTheirRegion: members that join one after another end with runners
// of their own region, as far as the parts allow, and a table that has settled
// stays.
func TestOwnersInTheirRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := host.Inputs{Regions: map[string]string{"z0": "north", "z1": "north", "z2": "south"}, ConfigVersion: 1}
		zone := func(label string) string { return fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, label)) }
		for i := range rapid.IntRange(1, 20).Draw(t, "runners") {
			facts.Runners = append(facts.Runners, host.Runner{Name: fmt.Sprint("r", i), Zone: zone("runner"), Fencing: host.ChecksFencing{}})
		}
		var table host.Table
		for i := range rapid.IntRange(1, 8).Draw(t, "members") {
			facts.Members = append(facts.Members, host.Identity{Name: fmt.Sprint("m", i), Incarnation: "1", Zone: zone("member")})
			table = settle(t, table, facts)
			checkBalance(t, table, facts)
		}
		away := make(map[string]int) // runners with an owner elsewhere, by their region
		for _, row := range table.Rows {
			m, ok := table.Member(row.Owner)
			require.True(t, ok)
			if facts.Regions[m.Zone] != facts.Regions[row.Zone] {
				away[facts.Regions[row.Zone]]++
			}
		}
		require.True(t, away["north"] == 0 || away["south"] == 0, "%v could be swapped", away)
	})
}

// settle computes tables until all that are to move have moved.
func settle(t *rapid.T, table host.Table, facts host.Inputs) host.Table {
	for range 100 {
		next := host.Assign(table, facts)
		for _, row := range next.Rows {
			if row.NextOwner != "" {
				facts.Self, facts.Releasable = row.Owner, map[string]bool{row.Runner: true}
				next = host.Assign(next, facts)
				facts.Releasable = nil
			}
		}
		if string(next.Encode()) == string(table.Encode()) {
			return next
		}
		table = next
	}
	t.Fatal("the table does not settle")
	return table
}

// draw draws the facts of the next step.
func draw(t *rapid.T, f *host.Inputs, table host.Table, config uint64) {
	f.Members = nil
	for i := range 6 {
		state := rapid.SampledFrom([]string{"live", "live", "live", "leaving", "restarted", "lost", "gone"}).Draw(t, "state")
		m := host.Identity{Name: fmt.Sprintf("m%d", i), Incarnation: "1", Zone: fmt.Sprintf("z%d", i%2)}
		if before, ok := table.Member(m.Name); ok {
			m = before
		}
		f.Gone[m.Name] = state == "gone"
		if state == "restarted" {
			m.Generation++
		}
		m.Leaving = state == "leaving"
		if state != "lost" && state != "gone" {
			f.Members = append(f.Members, m)
		}
	}
	if rapid.Bool().Draw(t, "config") {
		f.ConfigVersion = config
		f.Runners = runners(rapid.IntRange(0, 20).Draw(t, "fenced"), rapid.IntRange(0, 6).Draw(t, "unfenced"))
	}
	clear(f.Releasable)
	f.Self = fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "self"))
	for _, row := range table.Rows {
		if row.Owner == f.Self && rapid.Bool().Draw(t, "given") {
			f.Releasable[row.Runner] = rapid.Bool().Draw(t, "drained")
		}
	}
}

func checkBalance(t *rapid.T, next host.Table, f host.Inputs) {
	have := make(map[string]int)
	for _, m := range f.Members {
		if !m.Leaving {
			have[m.Name] = 0
		}
	}
	for _, row := range next.Rows {
		if row.Removed || lost(row, f) || len(have) == 0 {
			continue
		}
		require.Contains(t, have, holder(row))
		have[holder(row)]++
	}
	least, most := 1<<30, 0
	for _, n := range have {
		least, most = min(least, n), max(most, n)
	}
	if len(have) > 0 {
		require.LessOrEqual(t, most-least, 1)
		require.Contains(t, have, next.Grantor.Name)
	}
}

func checkMoves(t *rapid.T, old, next host.Table, f host.Inputs) {
	have, least := naive(old, f)
	moved := 0
	for _, row := range next.Rows {
		before, _ := old.Row(row.Runner)
		if row.Removed || lost(row, f) || holder(row) == holder(before) || len(have) == 0 {
			continue
		}
		if _, fit := have[before.NextOwner]; before.NextOwner != "" && !fit && holder(row) == before.Owner {
			continue
		}
		moved++
	}
	require.Equal(t, least, moved)
}

func checkEpochs(t *rapid.T, old, next host.Table, f host.Inputs) {
	for _, row := range next.Rows {
		before, known := old.Row(row.Runner)
		owner, live := next.Member(row.Owner)
		former, was := old.Member(row.Owner)
		switch {
		case !known || !live || before.Owner == "":
		case row.Owner != before.Owner:
			require.Greater(t, row.Epoch, old.MaxEpoch)
			require.Equal(t, before.Owner, row.PreviousOwner)
			clean, given := f.Releasable[row.Runner]
			given = given && before.Owner == f.Self && !lost(before, f)
			require.True(t, lost(before, f) || given, "a live owner gives its runner away itself")
			require.Equal(t, given && clean, row.Drained, "clean only where its owner had drained it")
		case !was || !owner.SameGeneration(former):
			require.Greater(t, row.Epoch, old.MaxEpoch, "a new life has a new epoch")
			require.False(t, row.Drained)
		default:
			require.Equal(t, before.Epoch, row.Epoch)
		}
		require.LessOrEqual(t, row.Epoch, next.MaxEpoch)
	}
}

func TestAssignKeepsZones(t *testing.T) {
	f := host.Inputs{Members: members("a", "b", "c", "d"), Runners: runners(8, 0), ConfigVersion: 1}
	for _, row := range host.Assign(host.Table{}, f).Rows {
		i := strings.Index("abcd", row.Owner)
		require.Equal(t, row.Zone, fmt.Sprintf("z%d", i%2))
	}
}

func TestAssignSpreadsALostMember(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	f := host.Inputs{Members: members(names...), Runners: runners(200, 0), ConfigVersion: 1}
	table := host.Assign(host.Table{}, f)
	f.Members = slices.Delete(f.Members, 3, 4)
	heirs := make(map[string]int)
	for _, row := range host.Assign(table, f).Rows {
		if before, _ := table.Row(row.Runner); before.Owner != row.Owner {
			heirs[row.Owner]++
		}
	}
	require.Len(t, heirs, 10)
	for _, n := range heirs {
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

// FuzzDecode checks that no value of the object makes Decode panic, and that
// what it takes it gives back.
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
