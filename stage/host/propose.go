package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// A proposal is the state of this host's next write of the table, if any.
//
// A proposal lists the leases first, so that its members are at least as recent
// as the table that it replaces. After a write that lost to another host's, the
// next proposal waits for the newer table and then, with jitter, for a delay
// that grows with each failure.
type proposal struct {
	dirty               bool      // something changed that may need a proposal
	due                 time.Time // when to propose, zero if there is no need
	notBefore           time.Time // earliest time of the next proposal, after a failed one
	nextGone            time.Time // when the next host in state Gone starts to count as gone
	consecutiveFailures int       // proposals that failed since the last successful write
	revokedLease        bool      // this host revoked the lease of a member of the current table
}

// maxBackoffDoublings limits the exponential backoff between failed proposals.
const maxBackoffDoublings = 5

// reset prepares the proposal for a newer table.
func (p *proposal) reset() {
	p.dirty = true
	p.revokedLease = false
	p.due = time.Time{}
}

// propose starts a proposal if one is due.
func (m *Member) propose() {
	p := &m.proposal
	if !p.nextGone.IsZero() && !m.now.Before(p.nextGone) {
		p.nextGone = time.Time{}
		p.dirty = true
	}
	m.finishStop()
	if m.final || m.calls.has(listForProposal) || m.calls.has(putTable) {
		return
	}
	if p.dirty {
		p.dirty = false
		m.scheduleProposal()
	}
	if p.due.IsZero() || m.now.Before(p.due) {
		return
	}
	p.due = time.Time{}
	c := call{purpose: listForProposal, version: m.tableVersion}
	m.emit(List{CallID: m.startCall(c), Prefix: lease.Prefix(m.Region)})
}

// mayPropose reports whether this host may propose a table: it must know the
// current one, and either hold a valid lease or be removing itself at the end of
// a planned stop.
func (m *Member) mayPropose() bool {
	return m.tableKnown && (m.leaseEnded || m.holder.Valid(m.now))
}

// scheduleProposal decides whether and when to propose.
func (m *Member) scheduleProposal() {
	p := &m.proposal
	delay, needed := m.proposalDelay()
	if !needed {
		p.due = time.Time{}
		return
	}
	at := m.now.Add(delay)
	if at.Before(p.notBefore) {
		at = p.notBefore
	}
	p.due = earlier(p.due, at)
}

// proposalDelay reports whether the table has to change, and after what delay
// this host should propose the change. A change that only this host knows of is
// proposed at once. Of the other changes, the member with the lowest name
// proposes at once; the others wait with jitter, so that they normally find the
// change made. While further members are late, all of them wait, so that a
// single table removes many members.
func (m *Member) proposalDelay() (time.Duration, bool) {
	interval := m.leaseTiming().RenewInterval
	switch {
	case !m.mayPropose():
		return 0, false
	case m.leaseEnded:
		return 0, true
	case !m.isMember():
		return interval/8 + m.jitter(interval/2), true
	}
	members := m.membersWithLease()
	if m.isStored(Assign(m.table, m.inputs(members))) {
		return 0, false
	}
	switch {
	case m.hasOwnChange():
		return 0, true
	case m.awaitsExpiry():
		return interval/2 + m.jitter(interval), true
	case members[0].Name == m.Self.Name:
		return 0, true
	case m.proposal.revokedLease:
		return m.jitter(interval / 2), true
	default:
		return interval/2 + m.jitter(2*interval), true
	}
}

// isStored reports whether the store holds a table.
func (m *Member) isStored(t Table) bool {
	return m.tableVersion > 0 && !m.tableOverwritten && t.equal(m.table)
}

// hasOwnChange reports whether the table needs a change that only this host
// knows of: its planned stop, or a runner that it can give away.
func (m *Member) hasOwnChange() bool {
	entry, _ := m.table.Member(m.Self.Name)
	if entry.Leaving != m.stopping {
		return true
	}
	for _, h := range m.held {
		if h.progress != inUse {
			return true
		}
	}
	return false
}

// membersWithLease returns the table's members without those known to have lost
// their lease.
func (m *Member) membersWithLease() []Identity {
	members := make([]Identity, 0, len(m.table.Members))
	for _, i := range m.table.Members {
		switch {
		case i.Name == m.Self.Name:
			members = append(members, m.self())
		case !m.monitor.missing[i.Name]:
			members = append(members, i)
		}
	}
	return members
}

// inputs returns the inputs of Assign, with the given members.
func (m *Member) inputs(members []Identity) Inputs {
	in := Inputs{
		Members:       members,
		Runners:       m.configured.Runners,
		ConfigVersion: m.configured.Version,
		Gone:          make(map[string]bool),
		Self:          m.Self.Name,
		Releasable:    make(map[string]bool),
		Regions:       m.Regions,
	}
	for name, from := range m.goneFrom {
		_, member := m.table.Member(name)
		switch {
		case member: // the platform's state may be that of an earlier generation
		case m.now.Before(from):
			m.proposal.nextGone = earlier(m.proposal.nextGone, from)
		default:
			in.Gone[name] = true
		}
	}
	for runner, h := range m.held {
		if h.progress != inUse {
			in.Releasable[runner] = h.progress == drained
		}
	}
	return in
}

// putProposal writes the table that follows from the listed leases.
func (m *Member) putProposal(c call, objects []Object) {
	m.proposal.dirty = true
	if c.version != m.tableVersion || !m.mayPropose() {
		return
	}
	members, listsSelf := m.leaseHolders(objects)
	if listsSelf == m.leaseEnded {
		m.proposal.notBefore = m.now.Add(m.leaseTiming().RetryDelay)
		return
	}
	next := Assign(m.table, m.inputs(members))
	if m.isStored(next) {
		m.monitor.reset(m.table)
		return
	}
	m.emit(Put{
		CallID:  m.startCall(call{purpose: putTable, version: m.tableVersion, proposed: next}),
		Key:     Key(m.Region),
		Version: m.tableVersion,
		Value:   next.Encode(),
	})
}

// leaseHolders returns the hosts whose leases were listed, and whether this
// host's current generation is among them.
func (m *Member) leaseHolders(objects []Object) (members []Identity, listsSelf bool) {
	for _, o := range objects {
		v, err := lease.Decode(o.Value)
		if err != nil {
			continue
		}
		holder := identity(v)
		entry, ok := m.table.Member(holder.Name)
		holder.Leaving = ok && entry.SameGeneration(holder) && entry.Leaving
		if holder.SameGeneration(m.self()) {
			listsSelf = true
			holder.Leaving = m.stopping
		}
		members = append(members, holder)
	}
	return members, listsSelf
}

// proposalFailed schedules another attempt after a failed proposal. If the write
// failed, the table may have changed and is read again.
func (m *Member) proposalFailed(c call) {
	p := &m.proposal
	limit := m.leaseTiming().RetryDelay / 2 << min(p.consecutiveFailures, maxBackoffDoublings)
	p.notBefore = m.now.Add(m.jitter(limit))
	p.consecutiveFailures++
	p.dirty = true
	if c.purpose == putTable {
		m.nextTableRead = m.now
	}
}

// finishStop takes the last steps of a planned stop once all runners have been
// handed over: it gives up the lease and then ends when the table no longer
// lists this host.
func (m *Member) finishStop() {
	if !m.stopping || !m.tableKnown {
		return
	}
	entry, member := m.table.Member(m.Self.Name)
	switch {
	case m.leaseEnded && !member:
		m.releaseAll()
		m.emit(Stopped{})
		m.final = true
	case m.leaseEnded || member && !entry.Leaving || m.ownsRunner():
	case !m.leaseStopped:
		m.leaseStopped = true
		m.stepLease(lease.Stop{})
	}
}

// ownsRunner reports whether this host owns any runner in the table.
func (m *Member) ownsRunner() bool {
	for _, row := range m.table.Rows {
		if row.Owner == m.Self.Name {
			return true
		}
	}
	return false
}

// configure stores the configured runners if they are of a newer version.
func (m *Member) configure(e RunnersConfigured) {
	if e.Version <= m.configured.Version {
		return
	}
	m.configured = e
	m.holder.Self.ConfigVersion = e.Version
	m.proposal.dirty = true
}

// platformStatus records a state from the platform's host list. A host counts as
// gone only after it has been in state Gone for the list's lag, because it may
// already be back.
func (m *Member) platformStatus(e PlatformStatus) {
	if e.State != Gone {
		delete(m.goneFrom, e.Name)
		return
	}
	if m.goneFrom == nil {
		m.goneFrom = make(map[string]time.Time)
	}
	if _, ok := m.goneFrom[e.Name]; !ok {
		m.goneFrom[e.Name] = m.now.Add(m.platformLag())
		m.proposal.dirty = true
	}
}

// restartPlatformLag restarts the wait for each host in state Gone that was a
// member in the previous table, because the platform may have reported the state
// of an earlier generation.
func (m *Member) restartPlatformLag(previous Table) {
	for name := range m.goneFrom {
		if _, ok := previous.Member(name); ok {
			m.goneFrom[name] = m.now.Add(m.platformLag())
		}
	}
}

func (m *Member) platformLag() time.Duration {
	if m.PlatformLag > 0 {
		return m.PlatformLag
	}
	return DefaultPlatformLag
}
