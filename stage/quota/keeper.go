package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Keeper keeps the quotas of all accounts on one host. The zero value with Self set limits
// nothing until SetLimits is called. It is safe for concurrent use.
type Keeper struct {
	Self  string
	Start uint64 // identifies this process; greater for a later one
	Bound Bound

	mu       sync.Mutex
	roster   roster
	accounts map[string]*state
	byHash   map[uint32]*state
	traffic  traffic
	roundAt  time.Time
}

// A Reservation is room for a request that isn't sent yet. The zero value stands for no limit.
type Reservation struct {
	account *state
	cost    float64
	owing   bool // accepted without credit
	sent    bool
	parts   []credit // that the request was sent with
	owed    float64  // what it was sent with beyond them
}

// A Decision says whether a request is within its account's quota.
type Decision interface{ decision() }

// Accepted means that there is room.
type Accepted struct{ Reservation Reservation }

// Unknown means that there is none here, but there may be at other hosts: it is worth asking again
// within ExchangeLimit. Where the account has used up its quota, a few requests of it wait so on
// each host, so that credit goes to where it is used at once.
type Unknown struct{ Missing float64 }

// Refused means that the account has used up its quota.
type Refused struct {
	After   time.Duration // until there is room for the request, spread among callers
	Missing float64       // units
	Short   bool          // the collector said so
}

func (Accepted) decision() {}

func (Unknown) decision() {}

func (Refused) decision() {}

// ExchangeLimit is how long a request may wait for credit from other hosts.
const ExchangeLimit = 900 * time.Millisecond

// SetLimits sets the limits of all accounts by their names.
func (k *Keeper) SetLimits(now time.Time, limits map[string]Limit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	former := k.accounts
	k.accounts, k.byHash = make(map[string]*state), make(map[uint32]*state)
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		s := former[name]
		if s == nil || s.limit.Unit != limit.Unit {
			s = &state{name: name, hash: hashAccount(name, limit.Unit), earnedAt: now}
		}
		s.earn(now, k.roster.part(now))
		s.setLimit(now, limit, k.Bound)
		s.candidates = k.roster.candidates(s.hash)
		k.accounts[name], k.byHash[s.hash] = s, s
	}
}

// SetHosts sets the hosts of the system by their names.
func (k *Keeper) SetHosts(now time.Time, names []string) {
	hosts := make([]Host, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, HashHost(name))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.accounts {
		s.earn(now, k.roster.part(now))
	}
	k.roster.set(now, HashHost(k.Self), hosts)
	for _, s := range k.accounts {
		s.candidates = k.roster.candidates(s.hash)
	}
}

// Confirm records that this host's lease is valid: other hosts count it among those that earn.
func (k *Keeper) Confirm(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.accounts {
		s.earn(now, k.roster.part(now))
	}
	k.roster.confirmedAt = now
	k.roster.count.Update(now, len(k.roster.hosts))
}

// Reserve decides whether a request of an account may be sent, and reserves room for it. The
// argument again says that the request was asked for before, and last that it won't be again.
func (k *Keeper) Reserve(now time.Time, account string, tokens int, again, last bool) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.accounts[account]
	if s == nil {
		return Accepted{}
	}
	cost := s.limit.Cost(tokens)
	s.earn(now, k.roster.part(now))
	if cost > s.most() {
		return Refused{After: maxRetryAfter, Missing: cost - s.most()} // there is never as much at once
	}
	if !again {
		s.asked(now, cost)
	}
	missing := cost + s.reserved - s.usable(now)
	if missing <= 0 {
		s.reserved += cost
		return Accepted{Reservation{account: s, cost: cost}}
	}
	if k.mayOwe(now, s, missing) {
		s.reserved += cost
		return Accepted{Reservation{account: s, cost: cost, owing: true}}
	}
	if !last && len(k.roster.hosts) > 1 && (again || s.maySoon(now)) {
		return Unknown{Missing: missing}
	}
	after := s.retryAfter(now, missing)
	return Refused{After: after + rand.N(after/2+1), Missing: missing, Short: s.isShort(now)}
}

// Await counts a request that waits for credit until the returned function is called.
func (k *Keeper) Await(account string, tokens int) (done func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.accounts[account]
	if s == nil {
		return func() {}
	}
	cost := s.limit.Cost(tokens)
	s.waiting += cost
	s.waiters++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		s.waiting -= cost
		s.waiters--
	}
}

// Send counts a request as it is sent. It returns false if the credit for it has lapsed, or was
// never reserved, and it must not be sent.
func (k *Keeper) Send(now time.Time, r *Reservation) bool {
	if r.account == nil || r.sent {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := r.account
	s.earn(now, k.roster.part(now))
	usable := s.usable(now)
	if usable < r.cost && !r.owing {
		return false
	}
	s.reserved -= r.cost
	paid := min(usable, r.cost)
	r.sent, r.parts, r.owed = true, s.spend(now, paid), r.cost-paid
	s.debt += r.owed
	return true
}

// Undo takes back Send, for a request that certainly didn't run and is sent once more.
func (k *Keeper) Undo(r *Reservation) {
	if r.account == nil || !r.sent {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r.giveBack()
	r.account.reserved += r.cost
}

// Release gives back the room of a request that ran nowhere.
func (k *Keeper) Release(r *Reservation) {
	if r.account == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.sent {
		r.account.reserved -= r.cost
	}
	r.giveBack()
	*r = Reservation{}
}

// giveBack takes back what the request was sent with. What it owed may have been paid meanwhile;
// that is lost.
func (r *Reservation) giveBack() {
	for _, c := range r.parts {
		r.account.held.add(c, 0)
	}
	r.account.debt = max(0, r.account.debt-r.owed)
	r.sent, r.parts, r.owed = false, nil, 0
}

// hashAccount identifies an account with a limit in a unit: credit of one unit is none of another.
func hashAccount(name string, unit Unit) uint32 {
	return uint32(xxhash.Sum64String(name)) ^ uint32(unit)
}

// A Level is the state of one account on this host.
type Level struct {
	Account string
	Held    float64 // credit of this host
	Pool    float64 // credit that it holds for others
	Demand  float64 // units per second
	Short   bool
}

// Levels returns the state of all accounts that have a limit.
func (k *Keeper) Levels(now time.Time) (out []Level) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, s := range k.accounts {
		out = append(out, Level{Account: name, Held: s.usable(now), Pool: s.pool.total(now), Demand: s.demandNow(now), Short: s.isShort(now)})
	}
	return out
}
