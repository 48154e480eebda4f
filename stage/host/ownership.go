package host

import (
	"maps"
	"slices"

	"jacinthstage/stage/store"
)

// acceptTable installs a table that was read or watched, if it is newer. A table
// that can't be decoded is replaced by the next proposal.
func (m *Member) acceptTable(version uint64, value []byte) {
	if m.random == nil || !m.isNewer(version) || store.Era(version) < m.era {
		return
	}
	table, err := Decode(value)
	if err == nil {
		m.installTable(version, table)
		return
	}
	if !m.tableKnown && m.table.MaxEpoch == 0 {
		return // epochs only grow: a host that knows them writes the table anew
	}
	m.installTable(version, m.table)
	m.tableOverwritten = true
}

// isNewer reports whether a version of the table is above the current one.
func (m *Member) isNewer(version uint64) bool { return !m.tableKnown || version > m.tableVersion }

// installTable makes a newer table the current one.
func (m *Member) installTable(version uint64, table Table) {
	previous := m.table
	m.tableKnown, m.tableVersion, m.table, m.tableOverwritten = true, version, table, false
	m.restartPlatformLag(previous)
	m.monitor.reset(table)
	m.proposal.reset()
	m.releaseLost()
	m.emit(TableChanged{Table: table, Version: version})
}

// syncOwnership brings the ownership that was reported to this host in line with
// the table and the lease.
func (m *Member) syncOwnership() {
	if m.leaseStopped || !m.holder.Valid(m.now) || !m.isMember() {
		m.suspend()
		return
	}
	if !m.admitted {
		m.admitted = true
		m.emit(Renewed{Until: m.holder.ValidUntil()})
		m.ownershipStale = true
	}
	if !m.ownershipStale {
		return
	}
	m.ownershipStale = false
	for _, row := range m.table.Rows {
		if row.Owner == m.Self.Name {
			m.syncRunner(row)
		}
	}
}

// syncRunner reports changes to a runner that the table assigns to this host.
func (m *Member) syncRunner(row Row) {
	h, ok := m.held[row.Runner]
	if !ok && !m.mayAcquire(row.Runner) {
		m.ownershipStale = true
		return
	}
	if !ok || row.Epoch > h.epoch {
		m.emit(Acquire{Runner: row.Runner, Epoch: row.Epoch, Era: m.era, Inherited: m.isInherited(row, h), PreviousOwner: row.PreviousOwner})
		h = holding{epoch: row.Epoch}
	}
	handOver := row.NextOwner != "" || row.Removed || m.stopping && m.isOnlyMember()
	switch {
	case handOver && (!h.handingOver || h.to != row.NextOwner):
		h.handingOver, h.to = true, row.NextOwner
		m.emit(Handover{Runner: row.Runner, To: row.NextOwner})
	case !handOver && h.handingOver:
		h = holding{epoch: row.Epoch}
		m.emit(Acquire{Runner: row.Runner, Epoch: row.Epoch, Era: m.era, PreviousOwner: row.PreviousOwner})
	}
	m.held[row.Runner] = h
}

// isInherited reports whether requests of others may still run on the runner.
// They can't if the runner is new, was drained, or has been owned by this
// process throughout.
func (m *Member) isInherited(row Row, h holding) bool {
	switch {
	case row.PreviousOwner == "" || row.Drained:
		return false
	case row.PreviousOwner == m.Self.Name && h.epoch != 0 && h.epoch == row.PreviousEpoch:
		return false
	default:
		return true
	}
}

// isOnlyMember reports whether no other member could own this host's runners.
func (m *Member) isOnlyMember() bool {
	return !slices.ContainsFunc(m.table.Members, func(i Identity) bool {
		return !i.Leaving && i.Name != m.Self.Name
	})
}

// releaseLost releases the runners that the table no longer assigns to this host.
func (m *Member) releaseLost() {
	m.ownershipStale = true
	for _, runner := range slices.Sorted(maps.Keys(m.held)) {
		row, ok := m.table.Row(runner)
		if ok && row.Owner == m.Self.Name {
			continue
		}
		delete(m.held, runner)
		m.emit(Release{Runner: runner})
	}
}

func (m *Member) releaseAll() {
	for _, runner := range slices.Sorted(maps.Keys(m.held)) {
		m.emit(Release{Runner: runner})
	}
	clear(m.held)
}

// advanceHandover records how far the handover of a runner has got. From
// admissionStopped on, the next table can give the runner away.
func (m *Member) advanceHandover(runner string, p handoverProgress) {
	h, ok := m.held[runner]
	if !ok || !h.handingOver {
		return
	}
	h.progress = max(h.progress, p)
	m.held[runner] = h
	m.proposal.dirty = true
}
