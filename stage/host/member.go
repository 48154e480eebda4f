package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/lease"
)

// The values that hold where a setting is zero.
const (
	DefaultObservedSuccessors = 3
	DefaultPlatformLag        = 10 * time.Second
	DefaultRenewalsPerRefresh = 5
)

// A Member is this host's part in the membership of its region. Region and Self
// must be set before the first Step.
type Member struct {
	Region      string
	Self        Identity
	LeaseTiming lease.Timing
	// CallTimeout is the deadline of a call on the object API; half the renewal where zero.
	CallTimeout time.Duration
	// ObservedSuccessors is how many members this host observes.
	ObservedSuccessors int
	// Regions has the region of each availability zone, where the members are of
	// several.
	Regions map[string]string
	// RenewalsPerRefresh is the number of renewals from one read of the table to the next,
	// beside what the watch shows.
	RenewalsPerRefresh int
	// PlatformLag is how long the platform's list may show a host's former state.
	PlatformLag time.Duration

	now    time.Time
	out    []Action
	random *rand.Rand

	calls  calls
	holder lease.Holder
	// admitted says that Renewed holds: the lease is valid and the host a member.
	admitted bool
	stale    bool // what this host was told to own may differ from the table
	final    bool

	known   bool // the table, or its absence, was read
	version uint64
	table   Table
	refresh time.Time // next read of the table

	runners RunnersConfigured
	gone    map[string]time.Time // hosts shown as gone, and from when that counts
	held    map[string]holding

	watch    watch
	proposal proposal

	stopping bool
	quit     bool // the holder was told to give the lease up
	ended    bool // the own lease is deleted
}

// A holding is a runner that this host was told to own.
type holding struct {
	epoch   uint32
	handing bool // told to hand over
	to      string
	given   gift
}

// A gift is how far this host has stopped its use of a runner.
type gift uint8

const (
	kept    gift = iota
	yielded      // no order is open, but requests may run
	drained      // nothing runs
)

func (m *Member) terms() lease.Timing { return m.LeaseTiming.WithDefaults() }

func (m *Member) timeout() time.Duration {
	if m.CallTimeout > 0 {
		return m.CallTimeout
	}
	return m.terms().RenewInterval / 2
}

// refreshes returns the number of renewals between two reads, as a factor of a duration.
func (m *Member) refreshes() time.Duration {
	if m.RenewalsPerRefresh > 0 {
		return time.Duration(m.RenewalsPerRefresh)
	}
	return DefaultRenewalsPerRefresh
}

// Table returns the newest table and its version.
func (m *Member) Table() (Table, uint64) { return m.table, m.version }

// NextTick returns when a Tick is due, zero where none is.
func (m *Member) NextTick() time.Time {
	if m.final || m.random == nil {
		return time.Time{}
	}
	next := earlier(m.holder.NextTick(), m.calls.next())
	next = earlier(next, m.proposal.recheck)
	if !m.calls.has(readTable) {
		next = earlier(next, m.refresh)
	}
	if !m.calls.has(listJudge) && !m.calls.has(readLease) {
		next = earlier(next, m.watch.due)
	}
	if !m.calls.has(listWrite) && !m.calls.has(putTable) {
		next = earlier(next, m.proposal.due)
	}
	return next
}

// Step handles an event at now and returns what to do, in order.
func (m *Member) Step(now time.Time, event Event) []Action {
	if m.final {
		return nil
	}
	m.now = now
	m.out = nil
	m.expire()
	if m.random != nil && !m.ended {
		m.lease(lease.Tick{})
	}
	m.handle(event)
	if m.random != nil && !m.final {
		m.settle()
		m.observe()
		m.propose()
		m.read()
	}
	return m.out
}

func (m *Member) emit(a Action) { m.out = append(m.out, a) }

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
		m.accept(e.Version, e.Value)
	case PlatformStatus:
		m.presence(e)
	case RunnersConfigured:
		m.configure(e)
	case Drained:
		m.give(e.Runner, drained)
	case AdmissionStopped:
		m.give(e.Runner, yielded)
	default:
		panic(fmt.Sprintf("host: event %T", event))
	}
}

func (m *Member) start() {
	seed := xxhash.Sum64String(m.Self.Name + "\x00" + m.Self.Incarnation)
	m.random = rand.New(rand.NewPCG(seed, seed))
	m.held = make(map[string]holding)
	m.watch.observers = make(map[string]*lease.Observer)
	m.watch.clear(Table{})
	m.holder.Timing = m.LeaseTiming
	m.holder.Stagger = m.jitter(m.terms().RenewInterval)
	m.holder.Self = lease.Value{
		Name:          m.Self.Name,
		Incarnation:   m.Self.Incarnation,
		Region:        m.Region,
		Zone:          m.Self.Zone,
		Peer:          m.Self.Peer,
		ConfigVersion: m.runners.Version,
	}
	m.refresh = m.now
	m.lease(lease.Tick{})
}

// jitter returns a random span below limit.
func (m *Member) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// self returns this host's identity in its present life.
func (m *Member) self() Identity {
	self := m.Self
	self.Generation = m.holder.Self.Generation
	self.Leaving = m.stopping
	return self
}

// joined reports whether the table has this host in its present life.
func (m *Member) joined() bool {
	entry, ok := m.table.Member(m.Self.Name)
	return ok && entry.SameGeneration(m.self())
}

// lease passes an event to the Holder and carries its actions out.
func (m *Member) lease(event lease.Event) {
	for _, action := range m.holder.Step(m.now, event) {
		switch a := action.(type) {
		case lease.Read:
			m.emit(Get{CallID: m.begin(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name)})
		case lease.Write:
			m.emit(Put{CallID: m.begin(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name), Version: a.Version, Value: a.Value.Encode()})
		case lease.Delete:
			m.emit(Delete{CallID: m.begin(call{purpose: ownLease}), Key: m.leaseKey(m.Self.Name), Version: a.Version})
		case lease.Renewed:
			m.renewed(a)
		case lease.Expired:
			m.suspend()
		case lease.Replaced:
			m.replaced()
		case lease.Ended:
			m.ended = true
			m.proposal.dirty = true
		default:
			panic(fmt.Sprintf("host: action %T of the lease", action))
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

// suspend tells once that Renewed no longer holds.
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

// read starts the read of the table where one is due.
func (m *Member) read() {
	if m.now.Before(m.refresh) || m.calls.has(readTable) {
		return
	}
	m.refresh = m.now.Add(m.refreshes()*m.terms().RenewInterval - m.jitter(m.terms().RenewInterval))
	m.emit(Get{CallID: m.begin(call{purpose: readTable}), Key: Key(m.Region)})
}
