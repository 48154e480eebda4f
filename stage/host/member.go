package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/lease"
)

// The values that apply where a field of Member is zero.
const (
	DefaultObservedSuccessors = 3
	DefaultPlatformLag        = 10 * time.Second
	DefaultRenewalsPerRefresh = 5
)

// A Member is one host's state machine for the membership of its region. Region
// and Self must be set before the first Step.
type Member struct {
	Region      string
	Self        Identity
	LeaseTiming lease.Timing
	// CallTimeout is the timeout of a call on the object API, half the lease's
	// renewal interval if zero.
	CallTimeout time.Duration
	// ObservedSuccessors is the number of members that this host observes.
	ObservedSuccessors int
	// Regions maps each availability zone to its region. It is needed if the
	// members are of several regions.
	Regions map[string]string
	// RenewalsPerRefresh is the number of renewal intervals from one read of the
	// table to the next. These reads are made in addition to the watch.
	RenewalsPerRefresh int
	// CautiousStart makes a process that starts acquire runners that may have had an owner
	// only after a lease's duration, if the store names an era: it may have been restored
	// moments ago. It is needed where runners don't refuse orders of a former owner.
	CautiousStart bool
	// PlatformLag is how long the platform's host list may show an outdated state.
	PlatformLag time.Duration

	now     time.Time
	actions []Action

	era        uint64 // of the store
	heardStore bool   // some call was answered
	restored   restore
	random     *rand.Rand // nil before Started

	calls  calls
	holder lease.Holder
	// admitted is set from Renewed to Expired: the lease is valid and the host a member.
	admitted       bool
	ownershipStale bool // the ownership reported to this host may differ from the table
	final          bool

	tableKnown       bool // the table was read, or found missing
	tableVersion     uint64
	table            Table
	tableOverwritten bool // the object of that version can't be decoded, and has to be written anew
	nextTableRead    time.Time

	configured RunnersConfigured
	goneFrom   map[string]time.Time // hosts in state Gone, and from when they count as gone
	held       map[string]holding

	monitor  monitor
	proposal proposal

	stopping     bool
	leaseStopped bool // the Holder was asked to give up the lease
	leaseEnded   bool // the Holder has given up the lease
}

// A holding is a runner whose ownership was reported to this host.
type holding struct {
	epoch       uint32
	handingOver bool // a Handover was emitted
	to          string
	progress    handoverProgress
}

// A handoverProgress is how far this host has stopped using a runner.
type handoverProgress uint8

const (
	inUse            handoverProgress = iota
	admissionStopped                  // no order is open, but requests may run
	drained                           // nothing runs
)

func (m *Member) leaseTiming() lease.Timing { return m.LeaseTiming.WithDefaults() }

func (m *Member) callTimeout() time.Duration {
	if m.CallTimeout > 0 {
		return m.CallTimeout
	}
	return m.leaseTiming().RenewInterval / 2
}

// renewalsPerRefresh returns the number of renewal intervals between two reads of
// the table, as a factor for a duration.
func (m *Member) renewalsPerRefresh() time.Duration {
	if m.RenewalsPerRefresh > 0 {
		return time.Duration(m.RenewalsPerRefresh)
	}
	return DefaultRenewalsPerRefresh
}

// Table returns the newest table and its version.
func (m *Member) Table() (Table, uint64) { return m.table, m.tableVersion }

// NextTick returns when a Tick is due, or zero if none is.
func (m *Member) NextTick() time.Time {
	if m.final || m.random == nil {
		return time.Time{}
	}
	next := earlier(m.holder.NextTick(), m.calls.nextDeadline())
	next = earlier(next, m.proposal.nextGone)
	if m.ownershipStale && m.now.Before(m.restored.acquireFrom) {
		next = earlier(next, m.restored.acquireFrom)
	}
	if !m.calls.has(readTable) {
		next = earlier(next, m.nextTableRead)
	}
	if !m.calls.has(listForMonitoring) && !m.calls.has(readLease) {
		next = earlier(next, m.monitor.nextRound)
	}
	if !m.calls.has(listForProposal) && !m.calls.has(putTable) {
		next = earlier(next, m.proposal.due)
	}
	return next
}

// Step handles an event at now and returns the resulting actions in order.
func (m *Member) Step(now time.Time, event Event) []Action {
	if m.final {
		return nil
	}
	m.now = now
	m.actions = nil
	m.expireCalls()
	if m.random != nil && !m.leaseEnded {
		m.stepLease(lease.Tick{})
	}
	m.handle(event)
	if m.random != nil && !m.final {
		m.syncOwnership()
		m.startMonitoring()
		m.propose()
		m.readTable()
	}
	return m.actions
}

func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Member) handle(event Event) {
	switch e := event.(type) {
	case Started:
		m.start()
	case Tick:
	case Stop:
		m.stopping = true
		m.proposal.dirty = true
	case Found:
		m.found(e)
	case Missing:
		m.missing(e)
	case Listed:
		m.listed(e)
	case Wrote:
		m.wrote(e)
	case Deleted:
		m.deleted(e)
	case Failed:
		m.failed(e.CallID, e.Cause)
	case TableWatched:
		m.acceptTable(e.Version, e.Value)
	case EraChanged:
		m.eraChanged(e.Era)
	case PlatformStatus:
		m.platformStatus(e)
	case RunnersConfigured:
		m.configure(e)
	case Drained:
		m.advanceHandover(e.Runner, drained)
	case AdmissionStopped:
		m.advanceHandover(e.Runner, admissionStopped)
	default:
		panic(fmt.Sprintf("host: unknown event type %T", event))
	}
}

func (m *Member) start() {
	seed := xxhash.Sum64String(m.Self.Name + "\x00" + m.Self.Incarnation)
	m.random = rand.New(rand.NewPCG(seed, seed))
	m.held = make(map[string]holding)
	m.monitor.observers = make(map[string]*lease.Observer)
	m.monitor.reset(Table{})
	m.holder.Timing = m.LeaseTiming
	m.holder.Stagger = m.jitter(m.leaseTiming().RenewInterval)
	m.holder.Self = lease.Value{
		Name:          m.Self.Name,
		Incarnation:   m.Self.Incarnation,
		Region:        m.Region,
		Zone:          m.Self.Zone,
		Peer:          m.Self.Peer,
		ConfigVersion: m.configured.Version,
	}
	m.nextTableRead = m.now
	m.stepLease(lease.Tick{})
}

// jitter returns a random duration below limit.
func (m *Member) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// self returns this host's identity in its current generation.
func (m *Member) self() Identity {
	self := m.Self
	self.Generation = m.holder.Self.Generation
	self.Leaving = m.stopping
	return self
}

// isMember reports whether the table has this host in its current generation.
func (m *Member) isMember() bool {
	entry, ok := m.table.Member(m.Self.Name)
	return ok && entry.SameGeneration(m.self())
}

// stepLease passes an event to the Holder and carries out its actions.
func (m *Member) stepLease(event lease.Event) {
	for _, action := range m.holder.Step(m.now, event) {
		switch a := action.(type) {
		case lease.Read:
			m.emit(Get{CallID: m.startCall(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name)})
		case lease.Write:
			m.emit(Put{CallID: m.startCall(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name), Version: a.Version, Value: a.Value.Encode()})
		case lease.Delete:
			m.emit(Delete{CallID: m.startCall(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name), Version: a.Version})
		case lease.Renewed:
			m.renewed(a)
		case lease.Expired:
			m.suspend()
		case lease.Replaced:
			m.replaced()
		case lease.Ended:
			m.leaseEnded = true
			m.proposal.dirty = true
		default:
			panic(fmt.Sprintf("host: unknown lease action type %T", action))
		}
	}
}

func (m *Member) leaseKey(name string) string { return lease.Key(m.Region, name) }

func (m *Member) renewed(a lease.Renewed) {
	if m.admitted {
		m.emit(Renewed{Until: a.Until})
		return
	}
	m.proposal.dirty = true
}

// suspend emits Expired if this host was admitted.
func (m *Member) suspend() {
	if m.admitted {
		m.admitted = false
		m.emit(Expired{})
	}
}

func (m *Member) replaced() {
	m.suspend()
	m.releaseAll()
	m.emit(Replaced{})
	m.final = true
}

// readTable starts a read of the table if one is due.
func (m *Member) readTable() {
	if m.now.Before(m.nextTableRead) || m.calls.has(readTable) {
		return
	}
	interval := m.leaseTiming().RenewInterval
	m.nextTableRead = m.now.Add(m.renewalsPerRefresh()*interval - m.jitter(interval))
	m.emit(Get{CallID: m.startCall(call{purpose: readTable}), Key: Key(m.Region)})
}
