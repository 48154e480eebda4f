// Package notice holds what targets say of themselves in their answers: that they are
// leaving, that they want no requests for a while, how many they take, and that they are
// brittle: one that has to reject many requests for want of room ends.
//
// What a target said binds the host that heard it at once, whatever the store shows. It
// holds until the answer to a later request that ran says otherwise, or the target's
// process ends. A limit, and that the target is brittle, hold for its next process too until
// that says otherwise (see Follow). Hosts pass on to each other what they heard, with its age; the newest
// counts.
//
// A limit holds for all hosts together, without a message for each request: as many
// hosts as the limit has requests a second send to the target, each at an equal rate and
// with a burst of about a second, and no others. Which hosts these are follows from a
// rank that each host determines by itself (see Share), so that at most twice the limit
// reaches the target even in the moment in which hosts differ about who is there.
package notice

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// A Notice is what one answer of a target says of the target. The zero value says
// nothing.
type Notice struct {
	// Limit is the number of requests a second that the target takes from all hosts
	// together. 0 means that it names none.
	Limit float64
	// Leaving says that the target ends soon and takes no new requests.
	Leaving bool
	// Quiet is how long the target wants no requests from the host that it answers.
	Quiet time.Duration
	// Brittle says that the target ends if it has to reject more than Tolerated requests in a
	// second for want of room.
	Brittle   bool
	Tolerated int
}

// A State is what one host knows of what one target said. The zero value is that of a
// target that has said nothing. It is not safe for concurrent use.
type State struct {
	limit    float64
	limitAt  time.Time     // when a limit, or the end of one, was last said
	newsAt   time.Time     // when this host learned of the last change
	requests *rate.Limiter // requests of this host while there is a limit
	// inheritedUntil is when a limit that the target's former process named ends. It is zero
	// once this process has said what it takes. tried says that this host has sent it a request.
	inheritedUntil time.Time
	tried          bool

	leaving    bool
	quietUntil time.Time

	brittle   bool
	tolerated int
	brittleAt time.Time // when the target last said whether it is brittle
	fullUntil time.Time // a brittle target has rejected a request for want of room
	// pausedUntil is the same where it was a request of this host.
	pausedUntil time.Time
	// restFrom is when this host may use the slots of a brittle target that are no host's own,
	// and restInterval the time in which it is drawn.
	restFrom     time.Time
	restInterval time.Duration
}

// A Share says which part of a target's limit a host has. The zero value is that of a
// host that doesn't know the others.
type Share struct {
	Rank  int // of the host among all that may send to the target, from 0
	Hosts int // that may send to the target; 0 if unknown
}

// assumedHosts is the number of hosts among which a limit is divided while the hosts are
// unknown.
const assumedHosts = 12

// rate returns the requests a second that a host may send under a limit. It is 0 if the
// host must not send any.
func (s Share) rate(limit float64) float64 {
	if s.Hosts == 0 {
		return limit / assumedHosts
	}
	senders := min(s.Hosts, int(math.Ceil(limit)))
	if s.Rank >= senders {
		return 0
	}
	return limit / float64(senders)
}

// Wait returns how long this host has to wait until it may send a request to the target.
// It returns false if it must not send any as long as the target says what it says now.
func (s *State) Wait(now time.Time, share Share) (time.Duration, bool) {
	if s.leaving {
		return 0, false
	}
	if now.Before(s.quietUntil) {
		return s.quietUntil.Sub(now), true
	}
	if !s.isLimited(now) || s.mayTry(share) {
		return 0, true
	}
	perSecond := share.rate(s.limit)
	if perSecond == 0 {
		return 0, false
	}
	s.adjust(now, perSecond)
	missing := 1 - s.requests.TokensAt(now)
	return time.Duration(max(0, missing) / perSecond * float64(time.Second)), true
}

// isLimited reports whether a limit holds.
func (s *State) isLimited(now time.Time) bool {
	return s.limit > 0 && (s.inheritedUntil.IsZero() || now.Before(s.inheritedUntil))
}

// mayTry reports whether this host may find out with one request whether the former process's
// limit still holds. Only few hosts may.
func (s *State) mayTry(share Share) bool {
	return !s.inheritedUntil.IsZero() && !s.tried && share.Hosts > 0 && share.Rank < tryingHosts
}

// Sent counts a request to the target.
func (s *State) Sent(now time.Time) {
	s.tried = true
	if s.limit > 0 && s.requests != nil {
		s.requests.AllowN(now, 1)
	}
	if s.brittle {
		s.delayRest(now, s.restInterval)
	}
}

// adjust sets the rate at which this host may send. The burst is that of one second.
func (s *State) adjust(now time.Time, perSecond float64) {
	burst := max(1, int(perSecond))
	switch {
	case s.requests == nil:
		s.requests = rate.NewLimiter(rate.Limit(perSecond), burst)
	case s.requests.Limit() != rate.Limit(perSecond):
		s.requests.SetLimitAt(now, rate.Limit(perSecond))
		s.requests.SetBurstAt(now, burst)
	}
}

// Unrestricted reports whether the target said nothing that keeps requests from it.
func (s *State) Unrestricted(now time.Time) bool {
	return !s.isLimited(now) && !s.leaving && !s.brittle && !now.Before(s.quietUntil)
}

// Leaving reports whether the target said that it is leaving. It doesn't change its mind.
func (s *State) Leaving() bool { return s.leaving }

// Quiet reports whether the target wants no requests now.
func (s *State) Quiet(now time.Time) bool { return now.Before(s.quietUntil) }

const (
	// restartDelay is the time in which hosts may not know yet that a target has a new process.
	restartDelay = 2 * time.Second
	// inheritedTime is how long the limit of a target's former process holds for one that
	// says nothing, as no request of the hosts that may send has come.
	inheritedTime = 5 * time.Second
	// tryingHosts is the number of hosts that send one request to a new process whatever the
	// limit of the former one.
	tryingHosts = 4
)

// Follow takes over from the state of the target's former process what holds of the new one
// until it says otherwise: a limit, and that the target is brittle. All that a host sends
// before the first answer would pass them. What the new process may have said before its start
// was known, that it wants no requests, is taken over too.
func (s *State) Follow(now time.Time, former State) {
	if former.isLimited(now) {
		s.limit, s.limitAt, s.inheritedUntil = former.limit, former.limitAt, now.Add(inheritedTime)
	}
	s.brittle, s.brittleAt, s.tolerated = former.brittle, former.brittleAt, former.tolerated
	if now.Sub(former.newsAt) <= restartDelay {
		s.quietUntil, s.newsAt = former.quietUntil, former.newsAt
	}
}

// A Source is the kind of answer in which a target says something of itself.
type Source uint8

// The kinds of answers. A target names its limit in each answer to a request that it
// runs; whether others have it isn't known, so that they never end a limit.
const (
	Other Source = iota // a refusal, or the answer to an order or a report
	Run                 // the answer to a request that ran
)

// Heard records what an answer says to something that was sent at the time sent. It
// reports whether what is known of the target has changed. An answer without a limit
// ends the limit only if its request was sent after the limit was named, since answers
// may overtake each other.
func (s *State) Heard(now, sent time.Time, n Notice, from Source) (changed bool) {
	changed = s.setRestrictions(now, n.Leaving, now.Add(n.Quiet))
	if n.Brittle || from == Run {
		changed = s.heardBrittle(now, sent, n.Brittle, n.Tolerated) || changed
	}
	if n.Limit == 0 && from != Run {
		return changed
	}
	return s.heardLimit(now, sent, n) || changed
}

// quietTolerance is the time by which a report may arrive late without counting as a
// change.
const quietTolerance = 300 * time.Millisecond

// setRestrictions records that the target is leaving, and until when it wants no
// requests. It reports whether that is new.
func (s *State) setRestrictions(now time.Time, leaving bool, quietUntil time.Time) (changed bool) {
	changed = leaving && !s.leaving
	s.leaving = s.leaving || leaving
	if quietUntil.After(now) && quietUntil.After(s.quietUntil) {
		changed = changed || quietUntil.Sub(s.quietUntil) > quietTolerance
		s.quietUntil = quietUntil
	}
	if changed {
		s.newsAt = now
	}
	return changed
}

func (s *State) heardLimit(now, sent time.Time, n Notice) (changed bool) {
	if n.Limit == 0 && (s.limit == 0 || !sent.After(s.limitAt)) {
		return false
	}
	return s.set(now, now, n.Limit)
}

// set records a limit that was said at the time at.
func (s *State) set(now, at time.Time, limit float64) (changed bool) {
	changed = limit != s.limit
	s.limit, s.limitAt, s.inheritedUntil = limit, at, time.Time{}
	if changed {
		s.newsAt = now
	}
	if limit == 0 {
		s.requests = nil
	}
	return changed
}

// newsDuration is how long a change counts as news for other hosts.
const newsDuration = 2 * time.Second

// A Report is what one host tells another of what a target said.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32   // hash of the target's name
	Started int64    // when the target's process started, in Unix milliseconds
	Limit   float64  // 0: the target names none any more
	Age     uint64   // milliseconds since the target said so
	Leaving bool
	Quiet   uint64 // milliseconds for which the target wants no requests yet
	Brittle bool   `wire:"later"`
	// Tolerated is the number of rejections in a second that a brittle target bears.
	Tolerated uint64 `wire:"later"`
	// Heard is the number of milliseconds since the target said whether it is brittle. It is 0
	// in reports of builds that don't know of brittle targets.
	Heard uint64 `wire:"later"`
	Full  uint64 `wire:"later"` // milliseconds for which a brittle target counts as full yet
}

// IsNews reports whether what is known of the target has changed lately.
func (s *State) IsNews(now time.Time) bool { return now.Sub(s.newsAt) <= newsDuration }

// Report returns what to tell other hosts, without the fields that identify the target.
func (s *State) Report(now time.Time) Report {
	limit, limitAt := s.limit, s.limitAt
	if !s.inheritedUntil.IsZero() {
		limit, limitAt = 0, time.Time{} // of another process
	}
	return Report{
		Limit: limit, Age: uint64(max(0, now.Sub(limitAt).Milliseconds())),
		Leaving: s.leaving, Quiet: uint64(max(0, s.quietUntil.Sub(now).Milliseconds())),
		Brittle: s.brittle, Tolerated: uint64(s.tolerated), Heard: uint64(max(1, now.Sub(s.brittleAt).Milliseconds())), Full: uint64(max(0, s.fullUntil.Sub(now).Milliseconds())),
	}
}

// Learn records what another host reported. It reports whether what is known of the
// target has changed. A limit counts unless this host knows a newer one.
func (s *State) Learn(now time.Time, r Report) (changed bool) {
	changed = s.setRestrictions(now, r.Leaving, now.Add(time.Duration(r.Quiet)*time.Millisecond))
	changed = s.learnBrittle(now, r) || changed
	return s.learnLimit(now, r) || changed
}

func (s *State) learnLimit(now time.Time, r Report) (changed bool) {
	at := now.Add(-time.Duration(r.Age) * time.Millisecond)
	if !at.After(s.limitAt) {
		return false
	}
	return s.set(now, at, r.Limit)
}
