package host

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Inputs are the current conditions from which Assign computes the next table.
type Inputs struct {
	// Members are the hosts whose leases exist.
	Members []Identity
	// Runners are the runners in version ConfigVersion of the configuration. They
	// are used only if ConfigVersion is above the table's.
	Runners       []Runner
	ConfigVersion uint64
	// Gone names the hosts that are gone according to the platform.
	Gone map[string]bool
	// Releasable has the runners that Self owns and can give away. The value says
	// whether the runner is drained.
	Self       string
	Releasable map[string]bool
	// Regions maps each availability zone to its region. It is needed if the
	// members are of several regions.
	Regions map[string]string
}

// Assign returns the table that follows old, with the same content if nothing
// has to change. It does not modify old, and the result shares with old only
// parts that stay the same.
//
// Assign first determines the current owner of each row: a lost owner loses its
// fenced runners, a new generation of an owner gets a new epoch, and a runner
// that its owner releases goes to NextOwner. It then balances the runners: of n
// runners, each of the m members that aren't leaving gets n/m or one more. Rows
// without an eligible owner and rows above a member's quota go to members with
// free capacity, preferably in the runner's zone, then in its region, then by
// rendezvous hashing. Finally, members of two regions that own runners in each
// other's region swap them.
//
// Balancing never takes a runner from a live owner at once; it sets NextOwner
// in the runner's row.
func Assign(old Table, inputs Inputs) Table {
	a := newAssignment(old, inputs)
	a.configure()
	for _, row := range a.next.Rows {
		a.settleOwner(row)
	}
	a.next.Rows = a.rows
	a.balance()
	a.swapAcrossRegions()
	a.chooseGrantor()
	return a.next
}

// An assignment is one run of Assign.
type assignment struct {
	old    Table
	inputs Inputs
	next   Table
	rows   []Row // the rows whose owner is settled
	epoch  uint32
	live   map[string]Identity
	// newGeneration names the live members whose generation isn't in the old table.
	newGeneration map[string]bool
	eligible      []string // live members that aren't leaving
	// newlyPlaced has the rows, by index, that had no owner before this table.
	newlyPlaced map[int]bool
}

func newAssignment(old Table, inputs Inputs) *assignment {
	a := &assignment{
		old:           old,
		inputs:        inputs,
		next:          old,
		epoch:         old.MaxEpoch + 1,
		rows:          make([]Row, 0, max(len(old.Rows), len(inputs.Runners))),
		live:          make(map[string]Identity, len(inputs.Members)),
		newGeneration: make(map[string]bool),
		newlyPlaced:   make(map[int]bool),
	}
	a.next.Members = slices.SortedFunc(slices.Values(inputs.Members), func(x, y Identity) int {
		return strings.Compare(x.Name, y.Name)
	})
	for _, m := range a.next.Members {
		a.live[m.Name] = m
		if before, ok := old.Member(m.Name); !ok || !before.SameGeneration(m) {
			a.newGeneration[m.Name] = true
		}
		if !m.Leaving {
			a.eligible = append(a.eligible, m.Name)
		}
	}
	return a
}

// configure brings the set of rows in line with the configured runners. The row
// of a runner that left the configuration is marked as removed rather than
// deleted, because its owner must drain the runner first.
func (a *assignment) configure() {
	if a.inputs.ConfigVersion <= a.old.ConfigVersion {
		return
	}
	a.next.ConfigVersion = a.inputs.ConfigVersion
	rows := make(map[string]Row, len(a.old.Rows))
	for _, row := range a.old.Rows {
		row.Removed = true
		rows[row.Runner] = row
	}
	for _, r := range a.inputs.Runners {
		row := rows[r.Name]
		row.Runner, row.Zone, row.Fenced = r.Name, r.Zone, checksFencing(r.Fencing)
		row.Removed = false
		rows[r.Name] = row
	}
	a.next.Rows = make([]Row, 0, len(rows))
	for _, row := range rows {
		a.next.Rows = append(a.next.Rows, row)
	}
	slices.SortFunc(a.next.Rows, func(x, y Row) int { return strings.Compare(x.Runner, y.Runner) })
}

func checksFencing(f Fencing) bool {
	_, ok := f.(ChecksFencing)
	return ok
}

// settleOwner updates the row's owner from the inputs and appends the row to
// rows, unless the row is no longer needed.
func (a *assignment) settleOwner(row Row) {
	owner, live := a.live[row.Owner]
	drained, releasable := a.inputs.Releasable[row.Runner]
	releasable = releasable && row.Owner == a.inputs.Self
	switch {
	case row.Owner == "":
	case !live && (row.Fenced || a.inputs.Gone[row.Owner]):
		a.transfer(&row, false)
	case !live:
		row.NextOwner = ""
	case a.newGeneration[row.Owner]:
		row.PreviousOwner, row.PreviousEpoch, row.Drained = row.Owner, row.Epoch, false
		a.assignEpoch(&row)
	case releasable && drained && (row.Removed || len(a.eligible) == 0 && owner.Leaving):
		vacate(&row, true)
	case releasable && !row.Removed && a.isEligible(row.NextOwner):
		a.transfer(&row, drained)
	}
	if row.Removed && row.Owner == "" && (row.Drained || row.PreviousOwner == "") {
		return
	}
	a.rows = append(a.rows, row)
}

// transfer takes the row from its owner and gives it to NextOwner if that member
// is eligible.
func (a *assignment) transfer(row *Row, drained bool) {
	to := row.NextOwner
	vacate(row, drained)
	if a.isEligible(to) && !row.Removed {
		row.Owner = to
		a.assignEpoch(row)
	}
}

// vacate takes the row from its owner.
func vacate(row *Row, drained bool) {
	row.PreviousOwner, row.PreviousEpoch, row.Drained = row.Owner, row.Epoch, drained
	row.Owner, row.NextOwner = "", ""
}

// assignEpoch gives the row the epoch of this table.
func (a *assignment) assignEpoch(row *Row) {
	row.Epoch = a.epoch
	a.next.MaxEpoch = a.epoch
}

func (a *assignment) isEligible(name string) bool {
	m, ok := a.live[name]
	return ok && !m.Leaving
}

// balance distributes the runners evenly among the eligible members.
func (a *assignment) balance() {
	if len(a.eligible) == 0 {
		a.cancelMoves()
		return
	}
	assigned := make(map[string][]int, len(a.eligible)) // rows by the member that has or will get them
	var unplaced []int
	count := 0
	for i := range a.rows {
		row := &a.rows[i]
		if !a.isMovable(row) {
			row.NextOwner = ""
			continue
		}
		count++
		if row.NextOwner != "" && !a.isEligible(row.NextOwner) {
			row.NextOwner = ""
		}
		holder := cmp.Or(row.NextOwner, row.Owner)
		if a.isEligible(holder) {
			assigned[holder] = append(assigned[holder], i)
		} else {
			unplaced = append(unplaced, i)
		}
	}
	free := a.takeExcess(assigned, &unplaced, count)
	slices.Sort(unplaced)
	for _, i := range unplaced {
		a.newlyPlaced[i] = a.rows[i].Owner == ""
		a.placeRow(&a.rows[i], free)
	}
}

// cancelMoves cancels the planned moves if no member is eligible to own runners.
func (a *assignment) cancelMoves() {
	for i := range a.rows {
		a.rows[i].NextOwner = ""
	}
}

// isMovable reports whether balancing considers the row: its runner is
// configured, and its owner, if any, is live.
func (a *assignment) isMovable(row *Row) bool {
	if row.Removed {
		return false
	}
	_, live := a.live[row.Owner]
	return live || row.Owner == ""
}

// takeExcess moves the rows above each member's quota to unplaced and returns
// the free capacity of each member. If count isn't a multiple of the number of
// members, those with the most rows get the larger quotas.
func (a *assignment) takeExcess(assigned map[string][]int, unplaced *[]int, count int) map[string]int {
	order := slices.Clone(a.eligible)
	slices.SortStableFunc(order, func(x, y string) int { return len(assigned[y]) - len(assigned[x]) })
	base, remainder := count/len(order), count%len(order)
	free := make(map[string]int, len(order))
	for i, name := range order {
		quota := base
		if i < remainder {
			quota++
		}
		free[name] = quota - len(assigned[name])
		if free[name] >= 0 {
			continue
		}
		rows := assigned[name]
		slices.SortFunc(rows, func(x, y int) int { return a.compareRows(name, &a.rows[x], &a.rows[y]) })
		*unplaced = append(*unplaced, rows[quota:]...)
		free[name] = 0
	}
	return free
}

// compareRows orders the rows of a member by their priority to stay: first those
// that it owns already, then those in its zone, then those in its region, then
// by rendezvous hashing.
func (a *assignment) compareRows(name string, x, y *Row) int {
	zone := a.live[name].Zone
	return cmp.Or(
		compareTrueFirst(x.Owner == name, y.Owner == name),
		compareTrueFirst(x.Zone == zone, y.Zone == zone),
		compareTrueFirst(!a.isCrossRegion(x, name), !a.isCrossRegion(y, name)),
		cmp.Compare(rendezvousScore(y.Runner, name), rendezvousScore(x.Runner, name)),
		strings.Compare(x.Runner, y.Runner),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// placeRow gives the row to the best member with free capacity: preferably its
// owner, then a member in its zone, then one in its region, then by rendezvous
// hashing.
func (a *assignment) placeRow(row *Row, free map[string]int) {
	best := ""
	for _, name := range a.eligible {
		if free[name] > 0 && (best == "" || a.isBetter(row, name, best)) {
			best = name
		}
	}
	if best == "" {
		return
	}
	free[best]--
	switch row.Owner {
	case "":
		row.Owner = best
		a.assignEpoch(row)
	case best:
		row.NextOwner = ""
	default:
		row.NextOwner = best
	}
}

// isBetter reports whether member x is a better owner of the row than member y.
func (a *assignment) isBetter(row *Row, x, y string) bool {
	return cmp.Or(
		compareTrueFirst(x == row.Owner, y == row.Owner),
		compareTrueFirst(a.live[x].Zone == row.Zone, a.live[y].Zone == row.Zone),
		compareTrueFirst(!a.isCrossRegion(row, x), !a.isCrossRegion(row, y)),
		cmp.Compare(rendezvousScore(row.Runner, y), rendezvousScore(row.Runner, x)),
	) < 0
}

// isCrossRegion reports whether a row's runner and a member are in different regions.
func (a *assignment) isCrossRegion(row *Row, name string) bool {
	return a.inputs.Regions[row.Zone] != a.inputs.Regions[a.live[name].Zone]
}

// swapAcrossRegions makes members of two regions that own runners in each
// other's region swap them, so that orders to runners and queries to owners
// don't cross regions.
func (a *assignment) swapAcrossRegions() {
	type direction struct{ from, to string } // the owner's region and the runner's region
	waiting := make(map[direction][]int)
	for i := range a.rows {
		row := &a.rows[i]
		if row.Removed || row.NextOwner != "" || !a.isEligible(row.Owner) || !a.isCrossRegion(row, row.Owner) {
			continue
		}
		forward := direction{a.inputs.Regions[a.live[row.Owner].Zone], a.inputs.Regions[row.Zone]}
		reverse := direction{forward.to, forward.from}
		candidates := waiting[reverse]
		if len(candidates) == 0 {
			waiting[forward] = append(waiting[forward], i)
			continue
		}
		other := candidates[0]
		waiting[reverse] = candidates[1:]
		x, y := row.Owner, a.rows[other].Owner
		a.move(i, y)
		a.move(other, x)
	}
}

// move gives a row to a member: at once if it had no owner before this table,
// otherwise by setting NextOwner.
func (a *assignment) move(i int, to string) {
	if a.newlyPlaced[i] {
		a.rows[i].Owner = to
		return
	}
	a.rows[i].NextOwner = to
}

// rendezvousScore returns the rendezvous hash of a runner and a host.
func rendezvousScore(runner, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(runner)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// chooseGrantor keeps the grantor for as long as it lives and isn't leaving, and
// otherwise chooses a new one by rendezvous hashing.
func (a *assignment) chooseGrantor() {
	g := &a.next.Grantor
	if a.isEligible(g.Name) && !a.newGeneration[g.Name] || len(a.eligible) == 0 {
		return
	}
	g.Name = slices.MaxFunc(a.eligible, func(x, y string) int {
		return cmp.Compare(rendezvousScore("", x), rendezvousScore("", y))
	})
	g.Epoch = a.epoch
	a.next.MaxEpoch = a.epoch
}
