// Package admission decides which requests get the room that is short: by rank, and within a
// rank by fair shares of the client accounts.
//
// A service has two pools of room: the slots of its targets, and on runners the places for
// adapters that have to be loaded first. Each host counts, for each pool, rank and account, what
// its callers ask for, what it let pass, and how much of that found no room in time. Hosts tell
// each other these counts while a pool is short, so that all of them come to the same shares
// without a message for each request.
//
// From the counts follows the part of the demand that has room. While that is all of it, each
// request passes. Otherwise every rank keeps a minimum, the rest goes to the ranks in their
// order, and the accounts of a rank share what it has so that none gets more work done as long
// as another one that asks for it gets less (max-min). A request passes with the probability
// that its account has, whatever its size, its host and its adapter.
//
// A State belongs to one host. It has no clock: times are passed in.
package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Pool is one kind of room.
type Pool uint8

// The kinds of room.
const (
	Slots  Pool = iota // of the targets, and their time
	Places             // for adapters that have to be loaded
)

// String returns the name of the pool in logs and metrics.
func (p Pool) String() string {
	if p == Places {
		return "places"
	}
	return "slots"
}

const (
	// countingTime is the time constant of the decay of counts, recentTime that of those from which
	// follows whether what passes now finds room.
	countingTime = time.Second
	recentTime   = 300 * time.Millisecond
	// shareAge is how long shares that were computed are used.
	shareAge = 50 * time.Millisecond
	// maxCells is the largest number of counts that one host keeps. Accounts beyond it share one
	// count for each pool and rank.
	maxCells = 256
	// LowestRank is the least urgent rank. Requests of lower ones count as of this one.
	LowestRank = 7
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may return.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// otherAccounts stands for all accounts that aren't counted by themselves.
const otherAccounts = math.MaxUint32

// A Request is a request that asks for room.
type Request struct {
	Service string
	Pool    Pool
	Rank    int     // 0 is the most urgent
	Account string  // client account; empty if the caller has none
	Work    float64 // what it takes, in units that are the same for all requests of the pool
}

// outputWork is how many tokens of a prompt take as much of a target's time as one token of output,
// which takes a step of the whole batch but shares it with the other requests there.
const outputWork = 4

// Work returns what a request to a runner takes of it, in tokens of a prompt: those that the runner
// doesn't keep from earlier requests, and those to generate.
func Work(uncached, output int) float64 {
	return max(1, float64(max(uncached, 0))+outputWork*float64(max(output, 0)))
}

// A Decision is whether a request may pass.
type Decision struct {
	Pass bool
	// RetryAfter is when the caller of a request that may not pass may return.
	RetryAfter time.Duration
}

// A pool identifies the room of one kind of a service.
type pool struct {
	service uint32 // hash of the name
	kind    Pool
}

// A key identifies one count.
type key struct {
	pool
	rank    uint8
	account uint32 // hash of the name
}

// A count is the demand of the last second or so.
type count struct {
	offered, passed float64 // requests
	work            float64 // of those offered
	done            float64 // work of requests that ended
	recent, short   float64 // requests that passed, and those of them that found no room, in recentTime
}

func (c count) add(d count) count {
	return count{c.offered + d.offered, c.passed + d.passed, c.work + d.work, c.done + d.done, c.recent + d.recent, c.short + d.short}
}

// subtract returns c without its part d, which the rounding of sums must not make negative.
func (c count) subtract(d count) count {
	return count{
		max(0, c.offered-d.offered), max(0, c.passed-d.passed), max(0, c.work-d.work), max(0, c.done-d.done), max(0, c.recent-d.recent), max(0, c.short-d.short),
	}
}

// decay returns the count after a time in which nothing was counted.
func (c count) decay(age time.Duration) count {
	f := math.Exp(-age.Seconds() / countingTime.Seconds())
	recent := math.Exp(-age.Seconds() / recentTime.Seconds())
	return count{c.offered * f, c.passed * f, c.work * f, c.done * f, c.recent * recent, c.short * recent}
}

// A cell is a count of this host as of a time.
type cell struct {
	count
	at time.Time
}

func (c *cell) advance(now time.Time) {
	if age := now.Sub(c.at); age > 0 {
		c.count, c.at = c.decay(age), now
	}
}

// A State is what one host knows of the demand for short room. The zero value knows of none. It
// is not safe for concurrent use.
type State struct {
	own     map[key]*cell
	heard   heard // from other hosts
	levels  map[pool]level
	names   map[uint32]string // of services and accounts, by hash
	changes map[pool]lastChange
}

// Ask counts a request that asks for room and decides whether it may pass. draw is a random number in
// [0, 1).
func (s *State) Ask(now time.Time, r Request, draw float64) Decision {
	k := s.keyOf(r)
	c := s.cellOf(now, k)
	c.offered++
	c.work += r.Work
	share := s.level(now, k.pool).share(k)
	if draw < share {
		c.passed++
		c.recent++
		return Decision{Pass: true}
	}
	return Decision{RetryAfter: retryAfter(share, draw)}
}

// FoundNone records that a request which passed has found no room in time.
func (s *State) FoundNone(now time.Time, r Request) {
	s.cellOf(now, s.keyOf(r)).short++
}

// Ended records that a request which passed has had its room and left it.
func (s *State) Ended(now time.Time, r Request) {
	s.cellOf(now, s.keyOf(r)).done += r.Work
}

// retryAfter returns the time in which as many requests come as pass one on average, spread by draw.
func retryAfter(share, draw float64) time.Duration {
	after := min(float64(minRetryAfter)/max(share, 0.01), float64(maxRetryAfter))
	return time.Duration(after * (0.75 + draw/2))
}

func (s *State) keyOf(r Request) key {
	k := key{pool{s.hash(r.Service), r.Pool}, uint8(min(max(r.Rank, 0), LowestRank)), 0}
	if r.Account != "" {
		k.account = min(s.hash(r.Account), otherAccounts-1)
	}
	if s.own[k] == nil && len(s.own) >= maxCells {
		k.account = otherAccounts
	}
	return k
}

func (s *State) hash(name string) uint32 {
	h := uint32(xxhash.Sum64String(name))
	if s.names == nil {
		s.names = make(map[uint32]string)
	}
	if _, known := s.names[h]; !known && len(s.names) < 2*maxCells {
		s.names[h] = name
	}
	return h
}

// cellOf returns the count of k as of now. A new one starts with the counts empty.
func (s *State) cellOf(now time.Time, k key) *cell {
	if s.own == nil {
		s.own = make(map[key]*cell)
	}
	c := s.own[k]
	if c == nil {
		c = &cell{at: now}
		s.own[k] = c
	}
	c.advance(now)
	return c
}

// forgotten is the number of requests below which a count is dropped.
const forgotten = 0.01

// advance brings all counts to now and drops what doesn't count any more.
func (s *State) advance(now time.Time) {
	for k, c := range s.own {
		if c.advance(now); c.offered < forgotten && c.short < forgotten && c.done < forgotten {
			delete(s.own, k)
		}
	}
	s.heard.expire(now)
}
