package host

import (
	"maps"
	"slices"
)

// accept takes in the table as it was read or watched. One that can't be read
// is replaced by the next proposal.
func (m *Member) accept(version uint64, value []byte) {
	if m.random == nil || !m.newer(version) {
		return
	}
	table, err := Decode(value)
	if err != nil {
		table = m.table
		m.proposal.dirty = true
	}
	m.install(version, table)
}

// newer reports whether a version of the table is above the present one.
func (m *Member) newer(version uint64) bool { return !m.known || version > m.version }

// install makes a newer table the present one.
func (m *Member) install(version uint64, table Table) {
	former := m.table
	m.known, m.version, m.table = true, version, table
	m.lag(former)
	m.watch.clear(table)
	m.proposal.replaced()
	m.releaseLost()
	m.emit(TableChanged{Table: table, Version: version})
}

// settle brings what this host was told to own in line with the table and the lease.
func (m *Member) settle() {
	if m.quit || !m.holder.Valid(m.now) || !m.joined() {
		m.suspend()
		return
	}
	if !m.admitted {
		m.admitted = true
		m.emit(Renewed{Until: m.holder.ValidUntil()})
		m.stale = true
	}
	if !m.stale {
		return
	}
	m.stale = false
	for _, row := range m.table.Rows {
		if row.Owner == m.Self.Name {
			m.own(row)
		}
	}
}

// own tells of one runner that the table gives to this host.
func (m *Member) own(row Row) {
	h, has := m.held[row.Runner]
	if !has || row.Epoch > h.epoch {
		m.emit(Acquire{Runner: row.Runner, Epoch: row.Epoch, Inherited: m.inherited(row, h), PreviousOwner: row.PreviousOwner})
		h = holding{epoch: row.Epoch}
	}
	leave := row.NextOwner != "" || row.Removed || m.stopping && m.alone()
	switch {
	case leave && (!h.handing || h.to != row.NextOwner):
		h.handing, h.to = true, row.NextOwner
		m.emit(Handover{Runner: row.Runner, To: row.NextOwner})
	case !leave && h.handing:
		h = holding{epoch: row.Epoch}
		m.emit(Acquire{Runner: row.Runner, Epoch: row.Epoch, PreviousOwner: row.PreviousOwner})
	}
	m.held[row.Runner] = h
}

// inherited reports whether others' requests may still run on the runner: not
// where it is new or was drained, nor where this process had it all along.
func (m *Member) inherited(row Row, h holding) bool {
	switch {
	case row.PreviousOwner == "" || row.Drained:
		return false
	case row.PreviousOwner == m.Self.Name && h.epoch != 0 && h.epoch == row.PreviousEpoch:
		return false
	default:
		return true
	}
}

// alone reports whether no member could take this host's runners.
func (m *Member) alone() bool {
	return !slices.ContainsFunc(m.table.Members, func(i Identity) bool {
		return !i.Leaving && i.Name != m.Self.Name
	})
}

// releaseLost tells of the runners that the table gives to others.
func (m *Member) releaseLost() {
	m.stale = true
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

// give notes that a runner can be given away with the next table.
func (m *Member) give(runner string, given gift) {
	h, ok := m.held[runner]
	if !ok || !h.handing {
		return
	}
	h.given = max(h.given, given)
	m.held[runner] = h
	m.proposal.dirty = true
}
