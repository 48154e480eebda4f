package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// changeInterval is the least time between two reported changes of one pool.
	changeInterval = time.Second
	// maxNamed is the largest number of accounts that a Change names.
	maxNamed = 5
)

// A Change says how what is refused of the demand for a pool has changed.
type Change struct {
	Service  string
	Pool     Pool
	Room     float64 // part of the demand that has room; 1 if the pool isn't short any more
	Rank     int     // the most urgent rank of which requests are refused; meaningless if Room is 1
	Accounts []string
	Share    float64 // the least part of an account's requests that passes
}

// A lastChange is what was last reported of a pool.
type lastChange struct {
	at    time.Time
	short bool
	rank  int
}

// Changes returns what has changed since it was last called, at most once in a while for each pool.
// A pool has changed if it has become short, or isn't any more, or if requests of another rank are
// the most urgent ones that are refused.
func (s *State) Changes(now time.Time) []Change {
	var out []Change
	for p, l := range s.levels {
		if now.Sub(l.at) >= shareAge {
			l = s.level(now, p)
		}
		last := s.changes[p]
		c := s.describe(p, l)
		next := lastChange{at: now, short: l.room < 1, rank: c.Rank}
		if !next.short && !last.short && !s.asked(p) {
			delete(s.levels, p)
			delete(s.changes, p)
			continue
		}
		if now.Sub(last.at) < changeInterval || next.short == last.short && (!next.short || next.rank == last.rank) {
			continue
		}
		if s.changes == nil {
			s.changes = make(map[pool]lastChange)
		}
		s.changes[p] = next
		out = append(out, c)
	}
	return out
}

// asked reports whether requests for a pool count here yet.
func (s *State) asked(p pool) bool {
	for k := range s.own {
		if k.pool == p {
			return true
		}
	}
	return false
}

// describe returns what is refused of the demand for a pool, with the accounts that are refused
// most.
func (s *State) describe(p pool, l level) Change {
	c := Change{Service: s.names[p.service], Pool: p.kind, Room: l.room, Rank: LowestRank, Share: 1}
	var refused []key
	for k, share := range l.shares {
		if share < 1 {
			refused = append(refused, k)
			c.Rank, c.Share = min(c.Rank, int(k.rank)), min(c.Share, share)
		}
	}
	slices.SortFunc(refused, func(a, b key) int {
		return cmp.Or(cmp.Compare(l.shares[a], l.shares[b]), cmp.Compare(a.account, b.account))
	})
	for _, k := range refused {
		if name := s.names[k.account]; name != "" && len(c.Accounts) < maxNamed && !slices.Contains(c.Accounts, name) {
			c.Accounts = append(c.Accounts, name)
		}
	}
	return c
}

// A Level is the part of the demand for a pool that has room.
type Level struct {
	Service string
	Pool    Pool
	Room    float64
}

// Levels returns the levels of all pools that requests lately asked for.
func (s *State) Levels(now time.Time) []Level {
	out := make([]Level, 0, len(s.levels))
	for p := range s.levels {
		out = append(out, Level{s.names[p.service], p.kind, s.level(now, p).room})
	}
	return out
}
