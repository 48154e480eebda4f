package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// A proposal is this host's next write of the table, if any.
//
// A proposal lists the leases first, so that its members are those of after the
// table that it replaces. A write that lost to another's waits for the newer
// table, and then, with jitter, for a growing span.
type proposal struct {
	dirty    bool      // something changed that may need a proposal
	due      time.Time // when to propose, zero where there is no need
	after    time.Time // not earlier, after a write that failed
	recheck  time.Time // when a host shown as gone counts as gone
	attempts int       // writes that failed since the last that didn't
	broke    bool      // this host broke a lease of the present table
}

// maxBackoff is the most doublings of the span between failed writes.
const maxBackoff = 5

// replaced notes a newer table.
func (p *proposal) replaced() {
	p.dirty = true
	p.broke = false
	p.due = time.Time{}
}

// propose starts a proposal where one is due.
func (m *Member) propose() {
	p := &m.proposal
	if !p.recheck.IsZero() && !m.now.Before(p.recheck) {
		p.recheck = time.Time{}
		p.dirty = true
	}
	m.leave()
	if m.final || m.calls.has(listWrite) || m.calls.has(putTable) {
		return
	}
	if p.dirty {
		p.dirty = false
		m.plan()
	}
	if p.due.IsZero() || m.now.Before(p.due) {
		return
	}
	p.due = time.Time{}
	c := call{purpose: listWrite, version: m.version}
	m.emit(List{CallID: m.begin(c), Prefix: lease.Prefix(m.Region)})
}

// able reports whether this host may propose: with a valid lease, or to take
// itself out after its planned stop.
func (m *Member) able() bool {
	return m.known && (m.ended || m.holder.Valid(m.now))
}

// plan decides when to propose.
func (m *Member) plan() {
	p := &m.proposal
	delay, need := m.need()
	if !need {
		p.due = time.Time{}
		return
	}
	at := m.now.Add(delay)
	if at.Before(p.after) {
		at = p.after
	}
	p.due = earlier(p.due, at)
}

// need reports whether the table has to change and after what delay this host
// should propose it: at once for what only this host knows, and for the member
// with the lowest name; after jitter for the others, who are to find it done. While
// more members look late, all wait, so that one table takes out many.
func (m *Member) need() (time.Duration, bool) {
	renewal := m.terms().RenewInterval
	switch {
	case !m.able():
		return 0, false
	case m.ended:
		return 0, true
	case !m.joined():
		return renewal/8 + m.jitter(renewal/2), true
	}
	present := m.present()
	if Assign(m.table, m.facts(present)).equal(m.table) {
		return 0, false
	}
	switch {
	case m.urgent():
		return 0, true
	case m.awaitsMore():
		return renewal/2 + m.jitter(renewal), true
	case present[0].Name == m.Self.Name:
		return 0, true
	case m.proposal.broke:
		return m.jitter(renewal / 2), true
	default:
		return renewal/2 + m.jitter(2*renewal), true
	}
}

// urgent reports whether this host has a change of its own to make.
func (m *Member) urgent() bool {
	entry, _ := m.table.Member(m.Self.Name)
	if entry.Leaving != m.stopping {
		return true
	}
	for _, h := range m.held {
		if h.given != kept {
			return true
		}
	}
	return false
}

// present returns the table's members less those that have no lease.
func (m *Member) present() []Identity {
	members := make([]Identity, 0, len(m.table.Members))
	for _, i := range m.table.Members {
		switch {
		case i.Name == m.Self.Name:
			members = append(members, m.self())
		case !m.watch.missing[i.Name]:
			members = append(members, i)
		}
	}
	return members
}

// facts returns what Assign needs beside the table.
func (m *Member) facts(members []Identity) Inputs {
	f := Inputs{
		Members:       members,
		Runners:       m.runners.Runners,
		ConfigVersion: m.runners.Version,
		Gone:          make(map[string]bool),
		Self:          m.Self.Name,
		Releasable:    make(map[string]bool),
		Regions:       m.Regions,
	}
	for name, at := range m.gone {
		_, member := m.table.Member(name)
		switch {
		case member: // what the list shows may be of an earlier life
		case m.now.Before(at):
			m.proposal.recheck = earlier(m.proposal.recheck, at)
		default:
			f.Gone[name] = true
		}
	}
	for runner, h := range m.held {
		if h.given != kept {
			f.Releasable[runner] = h.given == drained
		}
	}
	return f
}

// write proposes the table that follows from the listed leases.
func (m *Member) write(c call, objects []Object) {
	m.proposal.dirty = true
	if c.version != m.version || !m.able() {
		return
	}
	members, self := m.living(objects)
	if self == m.ended {
		m.proposal.after = m.now.Add(m.terms().RetryDelay)
		return
	}
	next := Assign(m.table, m.facts(members))
	if next.equal(m.table) {
		m.watch.clear(m.table)
		return
	}
	m.emit(Put{
		CallID:  m.begin(call{purpose: putTable, version: m.version, proposed: next}),
		Key:     Key(m.Region),
		Version: m.version,
		Value:   next.Encode(),
	})
}

// living returns the hosts whose leases were listed, and whether this host's
// present life is among them.
func (m *Member) living(objects []Object) (members []Identity, self bool) {
	for _, o := range objects {
		v, err := lease.Decode(o.Value)
		if err != nil {
			continue
		}
		one := identity(v)
		entry, ok := m.table.Member(one.Name)
		one.Leaving = ok && entry.SameGeneration(one) && entry.Leaving
		if one.SameGeneration(m.self()) {
			self = true
			one.Leaving = m.stopping
		}
		members = append(members, one)
	}
	return members, self
}

// defeated handles a proposal that failed: it waits, and reads the table where
// that may have changed.
func (m *Member) defeated(c call) {
	p := &m.proposal
	span := m.terms().RetryDelay / 2 << min(p.attempts, maxBackoff)
	p.after = m.now.Add(m.jitter(span))
	p.attempts++
	p.dirty = true
	if c.purpose == putTable {
		m.refresh = m.now
	}
}

// leave takes the steps of a planned stop that follow the handing over of all
// runners: delete the lease, then leave the table.
func (m *Member) leave() {
	if !m.stopping || !m.known {
		return
	}
	entry, member := m.table.Member(m.Self.Name)
	switch {
	case m.ended && !member:
		m.releaseAll()
		m.emit(Stopped{})
		m.final = true
	case m.ended || member && !entry.Leaving || m.owns():
	case !m.quit:
		m.quit = true
		m.lease(lease.Stop{})
	}
}

// owns reports whether the table has this host as the owner of a runner.
func (m *Member) owns() bool {
	for _, row := range m.table.Rows {
		if row.Owner == m.Self.Name {
			return true
		}
	}
	return false
}

// configure takes in the configured runners, unless they are of an older version.
func (m *Member) configure(e RunnersConfigured) {
	if e.Version <= m.runners.Version {
		return
	}
	m.runners = e
	m.holder.Self.ConfigVersion = e.Version
	m.proposal.dirty = true
}

// presence takes in what the platform's list shows. A host counts as gone once
// it was shown so for the list's lag, as it may be back already.
func (m *Member) presence(e PlatformStatus) {
	if e.State != Gone {
		delete(m.gone, e.Name)
		return
	}
	if m.gone == nil {
		m.gone = make(map[string]time.Time)
	}
	if _, ok := m.gone[e.Name]; !ok {
		m.gone[e.Name] = m.now.Add(m.lagging())
		m.proposal.dirty = true
	}
}

// lag counts the list's lag anew for each host that the former table had as a
// member: what the list showed before may be of an earlier life.
func (m *Member) lag(former Table) {
	for name := range m.gone {
		if _, ok := former.Member(name); ok {
			m.gone[name] = m.now.Add(m.lagging())
		}
	}
}

func (m *Member) lagging() time.Duration {
	if m.PlatformLag > 0 {
		return m.PlatformLag
	}
	return DefaultPlatformLag
}
