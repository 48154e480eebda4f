package host

import (
	"slices"
	"strings"
	"time"

	"jacinthstage/stage/lease"
)

// A watch is what this host knows of the other members' leases.
//
// It reads the leases of its next few successors in the ring of names. Once one
// of them looks late it lists all leases at each renewal, so that the loss of
// many neighbours at once is judged in one term. A lapsed lease is broken by
// the nearest live member before it in the ring, and by others only later.
type watch struct {
	due       time.Time // next round of reads
	observers map[string]*lease.Observer
	judged    map[string]uint64 // lapsed leases, at the versions judged
	missing   map[string]bool   // members of the present table whose life has no lease
	wide      bool              // list all leases
	// unsteady says that the last call failed; steady is from when judging is
	// allowed again.
	unsteady bool
	steady   time.Time
}

// clear forgets what was known of the members of a table that was replaced.
func (w *watch) clear(t Table) {
	w.missing = make(map[string]bool)
	w.judged = make(map[string]uint64)
	for name := range w.observers {
		if _, ok := t.Member(name); !ok {
			delete(w.observers, name)
		}
	}
}

// recovered ends an outage: others get a whole term to renew before they are judged.
func (m *Member) recovered() {
	if m.watch.unsteady {
		m.watch.unsteady = false
		m.watch.steady = m.now.Add(m.terms().Duration)
	}
}

// ring returns the other members in the order of their names, from this host on.
func (m *Member) ring() []Identity {
	members := m.table.Members
	i, found := slices.BinarySearchFunc(members, m.Self.Name, func(x Identity, name string) int {
		return strings.Compare(x.Name, name)
	})
	ring := make([]Identity, 0, len(members))
	if found {
		ring = append(ring, members[i+1:]...)
	} else {
		ring = append(ring, members[i:]...)
	}
	return append(ring, members[:i]...)
}

// successors returns the members that this host observes.
func (m *Member) successors() []Identity {
	k := m.ObservedSuccessors
	if k == 0 {
		k = DefaultObservedSuccessors
	}
	ring := m.ring()
	return ring[:min(k, len(ring))]
}

// observe starts a round of reads where one is due.
func (m *Member) observe() {
	if !m.admitted || m.stopping {
		m.watch.due = time.Time{}
		return
	}
	if m.watch.due.IsZero() {
		m.watch.due = m.now.Add(m.jitter(m.terms().RenewInterval))
	}
	if m.now.Before(m.watch.due) || m.calls.has(listJudge) || m.calls.has(readLease) {
		return
	}
	m.watch.due = m.now.Add(m.terms().RenewInterval)
	if m.watch.wide {
		m.emit(List{CallID: m.begin(call{purpose: listJudge, version: m.version}), Prefix: lease.Prefix(m.Region)})
		return
	}
	for _, other := range m.successors() {
		c := call{purpose: readLease, name: other.Name, version: m.version}
		m.emit(Get{CallID: m.begin(c), Key: m.leaseKey(other.Name)})
	}
}

// look takes in the read of one member's lease.
func (m *Member) look(c call, e Found) {
	m.see(c, c.name, e.Version, e.Value)
	m.widen(m.successors())
	m.strike()
}

// lost takes in that a member has no lease.
func (m *Member) lost(c call) {
	if c.version != m.version {
		return
	}
	m.miss(c.name)
	m.widen(m.successors())
	m.strike()
}

// judgeAll takes in a list of all leases.
func (m *Member) judgeAll(c call, objects []Object) {
	if c.version != m.version {
		return
	}
	found := make(map[string]Object, len(objects))
	for _, o := range objects {
		if name, ok := lease.HostName(m.Region, o.Key); ok {
			found[name] = o
		}
	}
	ring := m.ring()
	for _, other := range ring {
		if o, ok := found[other.Name]; ok {
			m.see(c, other.Name, o.Version, o.Value)
		} else {
			m.miss(other.Name)
		}
	}
	m.widen(ring)
	m.strike()
}

// see takes in a lease that was read.
func (m *Member) see(c call, name string, version uint64, value []byte) {
	o := m.watch.observers[name]
	if o == nil {
		o = new(lease.Observer)
		m.watch.observers[name] = o
	}
	delete(m.watch.judged, name)
	reading := lease.ReadResult{Version: version, Sent: c.sent, Answered: m.now}
	if o.Observe(reading, m.terms().Duration) && m.mayJudge(c) {
		m.watch.judged[name] = version
	}
	v, err := lease.Decode(value)
	entry, ok := m.table.Member(name)
	if err == nil && ok && c.version == m.version && !identity(v).SameGeneration(entry) {
		m.miss(name)
	}
}

// mayJudge reports whether the read was sent while this host's own lease held
// and a whole term after the last outage.
func (m *Member) mayJudge(c call) bool {
	return m.admitted && !m.watch.unsteady && !c.sent.Before(m.watch.steady)
}

// miss notes that a member's life has no lease any more.
func (m *Member) miss(name string) {
	if m.watch.missing[name] {
		return
	}
	m.watch.missing[name] = true
	delete(m.watch.judged, name)
	m.proposal.dirty = true
}

// widen lists all leases from now on where one of the members is late, and
// goes back to the successors where none is.
func (m *Member) widen(members []Identity) {
	late := false
	for _, other := range members {
		o := m.watch.observers[other.Name]
		late = late || m.watch.missing[other.Name] || o != nil && o.UnchangedFor(m.now, m.lateness())
	}
	if late && !m.watch.wide {
		m.watch.due = m.now
	}
	m.watch.wide = late
}

// awaitsMore reports whether a member is late that still has its lease.
func (m *Member) awaitsMore() bool {
	for name, o := range m.watch.observers {
		if !m.watch.missing[name] && o.UnchangedFor(m.now, m.lateness()) {
			return true
		}
	}
	return false
}

// lateness is the age of a renewal from which on a member looks late.
func (m *Member) lateness() time.Duration { return m.terms().RenewInterval * 3 / 2 }

// strike breaks the lapsed leases that are this host's to break: those with no
// live member between, and any successor's that nobody broke for long.
func (m *Member) strike() {
	nearest := true
	for i, other := range m.ring() {
		version, judged := m.watch.judged[other.Name]
		switch {
		case m.watch.missing[other.Name]:
		case !judged:
			nearest = false
		case nearest || m.overdue(i, other.Name):
			m.breakLease(other.Name, version)
		}
	}
}

// overdue reports whether the member at a distance in the ring has been late
// for so long that the members between should have broken its lease.
func (m *Member) overdue(distance int, name string) bool {
	span := m.terms().Duration * time.Duration(distance+2)
	return distance < len(m.successors()) && m.watch.observers[name].UnchangedFor(m.now, span)
}

func (m *Member) breakLease(name string, version uint64) {
	for _, c := range m.calls.open {
		if c.purpose == breakOne && c.name == name {
			return
		}
	}
	c := call{purpose: breakOne, name: name, version: m.version}
	m.emit(Delete{CallID: m.begin(c), Key: m.leaseKey(name), Version: version})
}

// broken notes that this host broke a member's lease.
func (m *Member) broken(c call) {
	if c.version == m.version {
		m.miss(c.name)
		m.proposal.broke = true
	}
}
