package host

import (
	"slices"
	"strings"
	"time"

	"jacinthstage/stage/lease"
)

// A monitor holds what this host knows about the leases of the other members.
//
// The host reads the leases of its next few successors in the ring of host
// names. Once one of them is late, it lists all leases at each renewal interval,
// so that the loss of many neighbors at once is detected within one lease
// duration. An expired lease is revoked by the nearest live member before its
// holder in the ring, and by other members only after a longer wait.
type monitor struct {
	nextRound time.Time // when the next round of reads starts
	observers map[string]*lease.Observer
	expired   map[string]uint64 // members whose lease has expired, and its version
	missing   map[string]bool   // members of the current table whose generation has no lease
	listAll   bool              // list all leases
	outage    bool              // the last call failed
	judgeFrom time.Time         // reads sent earlier don't count as evidence of expiry
}

// reset forgets what was known about the members of a table that was replaced.
func (m *monitor) reset(t Table) {
	m.missing = make(map[string]bool)
	m.expired = make(map[string]uint64)
	for name := range m.observers {
		if _, ok := t.Member(name); !ok {
			delete(m.observers, name)
		}
	}
}

// recovered ends an outage of the object API. The other members get a full lease
// duration to renew before they are judged.
func (m *Member) recovered() {
	if m.monitor.outage {
		m.monitor.outage = false
		m.monitor.judgeFrom = m.now.Add(m.leaseTiming().Duration)
	}
}

// ring returns the other members in the order of their names, starting after
// this host.
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

// startMonitoring starts a round of reads if one is due.
func (m *Member) startMonitoring() {
	if !m.admitted || m.stopping {
		m.monitor.nextRound = time.Time{}
		return
	}
	if m.monitor.nextRound.IsZero() {
		m.monitor.nextRound = m.now.Add(m.jitter(m.leaseTiming().RenewInterval))
	}
	if m.now.Before(m.monitor.nextRound) || m.calls.has(listForMonitoring) || m.calls.has(readLease) {
		return
	}
	m.monitor.nextRound = m.now.Add(m.leaseTiming().RenewInterval)
	if m.monitor.listAll {
		c := call{purpose: listForMonitoring, version: m.tableVersion}
		m.emit(List{CallID: m.startCall(c), Prefix: lease.Prefix(m.Region)})
		return
	}
	for _, other := range m.successors() {
		c := call{purpose: readLease, name: other.Name, version: m.tableVersion}
		m.emit(Get{CallID: m.startCall(c), Key: m.leaseKey(other.Name)})
	}
}

// handleLease handles the read of one member's lease.
func (m *Member) handleLease(c call, e Found) {
	m.observeLease(c, c.name, e.Version, e.Value)
	m.updateScope(m.successors())
	m.revokeExpired()
}

// handleMissingLease handles a read that found no lease of a member.
func (m *Member) handleMissingLease(c call) {
	if c.version != m.tableVersion {
		return
	}
	m.markMissing(c.name)
	m.updateScope(m.successors())
	m.revokeExpired()
}

// handleLeaseList handles a list of all leases.
func (m *Member) handleLeaseList(c call, objects []Object) {
	if c.version != m.tableVersion {
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
			m.observeLease(c, other.Name, o.Version, o.Value)
		} else {
			m.markMissing(other.Name)
		}
	}
	m.updateScope(ring)
	m.revokeExpired()
}

// observeLease records a lease that was read.
func (m *Member) observeLease(c call, name string, version uint64, value []byte) {
	o := m.monitor.observers[name]
	if o == nil {
		o = new(lease.Observer)
		m.monitor.observers[name] = o
	}
	delete(m.monitor.expired, name)
	read := lease.ReadResult{Version: version, Sent: c.sent, Answered: m.now}
	if o.Observe(read, m.leaseTiming().Duration) && m.mayJudge(c) {
		m.monitor.expired[name] = version
	}
	v, err := lease.Decode(value)
	entry, ok := m.table.Member(name)
	if err == nil && ok && c.version == m.tableVersion && !identity(v).SameGeneration(entry) {
		m.markMissing(name)
	}
}

// mayJudge reports whether a read counts as evidence of expiry: this host is
// admitted, no outage is in progress, and the read was sent at least a full
// lease duration after the last outage.
func (m *Member) mayJudge(c call) bool {
	return m.admitted && !m.monitor.outage && !c.sent.Before(m.monitor.judgeFrom)
}

// markMissing records that a member's generation no longer has a lease.
func (m *Member) markMissing(name string) {
	if m.monitor.missing[name] {
		return
	}
	m.monitor.missing[name] = true
	delete(m.monitor.expired, name)
	m.proposal.dirty = true
}

// updateScope switches to listing all leases if any of the members is late or
// has no lease, and back to reading the successors' leases otherwise.
func (m *Member) updateScope(members []Identity) {
	late := false
	for _, other := range members {
		o := m.monitor.observers[other.Name]
		late = late || m.monitor.missing[other.Name] || o != nil && o.UnchangedFor(m.now, m.lateAfter())
	}
	if late && !m.monitor.listAll {
		m.monitor.nextRound = m.now
	}
	m.monitor.listAll = late
}

// awaitsExpiry reports whether some member is late but still has its lease.
func (m *Member) awaitsExpiry() bool {
	for name, o := range m.monitor.observers {
		if !m.monitor.missing[name] && o.UnchangedFor(m.now, m.lateAfter()) {
			return true
		}
	}
	return false
}

// lateAfter returns the time without a renewal after which a member is late.
func (m *Member) lateAfter() time.Duration { return m.leaseTiming().RenewInterval * 3 / 2 }

// revokeExpired revokes the expired leases for which this host is responsible:
// those with no live member between this host and the holder in the ring, and
// those of successors that no other member has revoked for a long time.
func (m *Member) revokeExpired() {
	nearest := true
	for i, other := range m.ring() {
		version, expired := m.monitor.expired[other.Name]
		switch {
		case m.monitor.missing[other.Name]:
		case !expired:
			nearest = false
		case nearest || m.isOverdue(i, other.Name):
			m.revokeLease(other.Name, version)
		}
	}
}

// isOverdue reports whether the successor at a distance in the ring has been
// late for so long that the members in between should have revoked its lease.
func (m *Member) isOverdue(distance int, name string) bool {
	limit := m.leaseTiming().Duration * time.Duration(distance+2)
	return distance < len(m.successors()) && m.monitor.observers[name].UnchangedFor(m.now, limit)
}

func (m *Member) revokeLease(name string, version uint64) {
	for _, c := range m.calls.outstanding {
		if c.purpose == deleteLease && c.name == name {
			return
		}
	}
	c := call{purpose: deleteLease, name: name, version: m.tableVersion}
	m.emit(Delete{CallID: m.startCall(c), Key: m.leaseKey(name), Version: version})
}

// revoked records that this host revoked a member's lease.
func (m *Member) revoked(c call) {
	if c.version == m.tableVersion {
		m.markMissing(c.name)
		m.proposal.revokedLease = true
	}
}
