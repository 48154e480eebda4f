package host

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Inputs are what the next table is computed from.
type Inputs struct {
	// Members are the hosts whose leases exist.
	Members []Identity
	// Runners are those of the configuration version Config. They count only
	// where Config is above the table's.
	Runners       []Runner
	ConfigVersion uint64
	// Gone names hosts that the platform says are gone.
	Gone map[string]bool
	// Given names the runners that Self owns and can give away, and whether
	// they are drained.
	Self       string
	Releasable map[string]bool
	// Regions has the region of each availability zone, where the members are of
	// several.
	Regions map[string]string
}

// Assign returns the table that follows old. It returns old's content where
// nothing has to change. It neither changes old nor keeps parts of it that it changes.
//
// First each row's owner is settled: a lost owner loses its fenced runners, a
// new life of an owner gets a new epoch, a runner that its owner gives goes to Next. Then
// the runners are balanced: every member that isn't leaving has its part, of
// n/m or one more. Rows without a fit owner and those over a member's part go
// to members with room: in the runner's zone first, then in its region, then by
// rendezvous hashing. At last, members of two regions that own runners in each
// other's swap them.
// A runner with a live owner doesn't change hands here; its row gets a Next.
func Assign(old Table, facts Inputs) Table {
	a := newAssignment(old, facts)
	a.configure()
	for _, row := range a.next.Rows {
		a.settle(row)
	}
	a.next.Rows = a.rows
	a.balance()
	a.swap()
	a.grant()
	return a.next
}

// An assignment is one run of Assign.
type assignment struct {
	old   Table
	facts Inputs
	next  Table
	rows  []Row // the rows settled so far
	epoch uint32
	live  map[string]Identity
	fresh map[string]bool // live members whose life isn't in the old table
	fit   []string        // live members that aren't leaving
	// placed are the rows, by index, that had no owner before this table.
	placed map[int]bool
}

func newAssignment(old Table, facts Inputs) *assignment {
	a := &assignment{
		old:   old,
		facts: facts,
		next:  old,
		epoch: old.MaxEpoch + 1,
		rows:  make([]Row, 0, max(len(old.Rows), len(facts.Runners))),
		live:  make(map[string]Identity, len(facts.Members)),
		fresh: make(map[string]bool), placed: make(map[int]bool),
	}
	a.next.Members = slices.SortedFunc(slices.Values(facts.Members), func(x, y Identity) int {
		return strings.Compare(x.Name, y.Name)
	})
	for _, m := range a.next.Members {
		a.live[m.Name] = m
		if before, ok := old.Member(m.Name); !ok || !before.SameGeneration(m) {
			a.fresh[m.Name] = true
		}
		if !m.Leaving {
			a.fit = append(a.fit, m.Name)
		}
	}
	return a
}

// configure makes the set of rows that of the configured runners. A runner that
// left the configuration is marked, as its owner must drain it.
func (a *assignment) configure() {
	if a.facts.ConfigVersion <= a.old.ConfigVersion {
		return
	}
	a.next.ConfigVersion = a.facts.ConfigVersion
	rows := make(map[string]Row, len(a.old.Rows))
	for _, row := range a.old.Rows {
		row.Removed = true
		rows[row.Runner] = row
	}
	for _, r := range a.facts.Runners {
		row := rows[r.Name]
		row.Runner, row.Zone, row.Fenced = r.Name, r.Zone, checked(r.Fencing)
		row.Removed = false
		rows[r.Name] = row
	}
	a.next.Rows = make([]Row, 0, len(rows))
	for _, row := range rows {
		a.next.Rows = append(a.next.Rows, row)
	}
	slices.SortFunc(a.next.Rows, func(x, y Row) int { return strings.Compare(x.Runner, y.Runner) })
}

func checked(f Fencing) bool {
	_, ok := f.(ChecksFencing)
	return ok
}

// settle appends the row with its owner as the facts have it, or drops it.
func (a *assignment) settle(row Row) {
	owner, live := a.live[row.Owner]
	clean, given := a.facts.Releasable[row.Runner]
	given = given && row.Owner == a.facts.Self
	switch {
	case row.Owner == "":
	case !live && (row.Fenced || a.facts.Gone[row.Owner]):
		a.give(&row, false)
	case !live:
		row.NextOwner = ""
	case a.fresh[row.Owner]:
		row.PreviousOwner, row.PreviousEpoch, row.Drained = row.Owner, row.Epoch, false
		a.number(&row)
	case given && clean && (row.Removed || len(a.fit) == 0 && owner.Leaving):
		vacate(&row, true)
	case given && !row.Removed && a.isFit(row.NextOwner):
		a.give(&row, clean)
	}
	if row.Removed && row.Owner == "" && (row.Drained || row.PreviousOwner == "") {
		return
	}
	a.rows = append(a.rows, row)
}

// give takes the row from its owner, for Next where that is fit.
func (a *assignment) give(row *Row, clean bool) {
	to := row.NextOwner
	vacate(row, clean)
	if a.isFit(to) && !row.Removed {
		row.Owner = to
		a.number(row)
	}
}

// vacate takes the row from its owner.
func vacate(row *Row, clean bool) {
	row.PreviousOwner, row.PreviousEpoch, row.Drained = row.Owner, row.Epoch, clean
	row.Owner, row.NextOwner = "", ""
}

// number gives the row the epoch of this table.
func (a *assignment) number(row *Row) {
	row.Epoch = a.epoch
	a.next.MaxEpoch = a.epoch
}

func (a *assignment) isFit(name string) bool {
	m, ok := a.live[name]
	return ok && !m.Leaving
}

// balance gives every fit member its part of the runners.
func (a *assignment) balance() {
	if len(a.fit) == 0 {
		a.forget()
		return
	}
	have := make(map[string][]int, len(a.fit)) // rows by the member that has or will have them
	var homeless []int
	count := 0
	for i := range a.rows {
		row := &a.rows[i]
		if !a.movable(row) {
			row.NextOwner = ""
			continue
		}
		count++
		if row.NextOwner != "" && !a.isFit(row.NextOwner) {
			row.NextOwner = ""
		}
		holder := cmp.Or(row.NextOwner, row.Owner)
		if a.isFit(holder) {
			have[holder] = append(have[holder], i)
		} else {
			homeless = append(homeless, i)
		}
	}
	room := a.shed(have, &homeless, count)
	slices.Sort(homeless)
	for _, i := range homeless {
		a.placed[i] = a.rows[i].Owner == ""
		a.place(&a.rows[i], room)
	}
}

// forget ends the planned moves where no member is fit to take a runner.
func (a *assignment) forget() {
	for i := range a.rows {
		a.rows[i].NextOwner = ""
	}
}

// movable reports whether the row takes part in the balance: its runner is
// configured, and its owner, if any, is live.
func (a *assignment) movable(row *Row) bool {
	if row.Removed {
		return false
	}
	_, live := a.live[row.Owner]
	return live || row.Owner == ""
}

// shed moves the rows over a member's part to homeless and returns the room
// that each member has left. The members with the most rows get the larger parts.
func (a *assignment) shed(have map[string][]int, homeless *[]int, count int) map[string]int {
	order := slices.Clone(a.fit)
	slices.SortStableFunc(order, func(x, y string) int { return len(have[y]) - len(have[x]) })
	part, extra := count/len(order), count%len(order)
	room := make(map[string]int, len(order))
	for i, name := range order {
		limit := part
		if i < extra {
			limit++
		}
		room[name] = limit - len(have[name])
		if room[name] >= 0 {
			continue
		}
		rows := have[name]
		slices.SortFunc(rows, func(x, y int) int { return a.prefer(name, &a.rows[x], &a.rows[y]) })
		*homeless = append(*homeless, rows[limit:]...)
		room[name] = 0
	}
	return room
}

// prefer orders the rows of a member by how much it should keep them: first
// those that it owns, then those in its zone, then by rendezvous hashing.
func (a *assignment) prefer(name string, x, y *Row) int {
	zone := a.live[name].Zone
	return cmp.Or(
		compare(x.Owner == name, y.Owner == name),
		compare(x.Zone == zone, y.Zone == zone),
		compare(!a.far(x, name), !a.far(y, name)),
		cmp.Compare(score(y.Runner, name), score(x.Runner, name)),
		strings.Compare(x.Runner, y.Runner),
	)
}

// compare orders true before false.
func compare(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// place gives the row to the best member with room: its owner, then those in
// its zone and in its region, then by rendezvous hashing.
func (a *assignment) place(row *Row, room map[string]int) {
	best := ""
	for _, name := range a.fit {
		if room[name] > 0 && (best == "" || a.better(row, name, best)) {
			best = name
		}
	}
	if best == "" {
		return
	}
	room[best]--
	switch row.Owner {
	case "":
		row.Owner = best
		a.number(row)
	case best:
		row.NextOwner = ""
	default:
		row.NextOwner = best
	}
}

func (a *assignment) better(row *Row, x, y string) bool {
	return cmp.Or(
		compare(x == row.Owner, y == row.Owner),
		compare(a.live[x].Zone == row.Zone, a.live[y].Zone == row.Zone),
		compare(!a.far(row, x), !a.far(row, y)),
		cmp.Compare(score(row.Runner, y), score(row.Runner, x)),
	) < 0
}

// far reports whether a row's runner is in another region than a member.
func (a *assignment) far(row *Row, name string) bool {
	return a.facts.Regions[row.Zone] != a.facts.Regions[a.live[name].Zone]
}

// swap has members of two regions that own runners in each other's region swap
// them: orders and questions to owners then don't cross regions.
func (a *assignment) swap() {
	type lane struct{ from, to string } // regions of owner and of runner
	waiting := make(map[lane][]int)
	for i := range a.rows {
		row := &a.rows[i]
		if row.Removed || row.NextOwner != "" || !a.isFit(row.Owner) || !a.far(row, row.Owner) {
			continue
		}
		there := lane{a.facts.Regions[a.live[row.Owner].Zone], a.facts.Regions[row.Zone]}
		back := lane{there.to, there.from}
		others := waiting[back]
		if len(others) == 0 {
			waiting[there] = append(waiting[there], i)
			continue
		}
		other := others[0]
		waiting[back] = others[1:]
		x, y := row.Owner, a.rows[other].Owner
		a.move(i, y)
		a.move(other, x)
	}
}

// move gives a row to a member: at once where it had no owner before this table.
func (a *assignment) move(i int, to string) {
	if a.placed[i] {
		a.rows[i].Owner = to
		return
	}
	a.rows[i].NextOwner = to
}

// score is the rendezvous hash of a runner and a host.
func score(runner, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(runner)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// grant keeps the granting host for as long as it lives and isn't leaving.
func (a *assignment) grant() {
	g := &a.next.Grantor
	if a.isFit(g.Name) && !a.fresh[g.Name] || len(a.fit) == 0 {
		return
	}
	g.Name = slices.MaxFunc(a.fit, func(x, y string) int { return cmp.Compare(score("", x), score("", y)) })
	g.Epoch = a.epoch
	a.next.MaxEpoch = a.epoch
}
