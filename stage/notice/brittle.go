package notice

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// fullPause is how long a brittle target counts as full after it rejected a request.
const fullPause = time.Second

// A Room is what a host knows of the room at a target.
type Room struct {
	Slots   int
	Own     int  // requests of this host there
	Running int  // requests of all hosts there, as far as this host knows
	Waiting bool // the target said lately that requests wait there
	// Spare says that this host may risk a rejection.
	Spare bool
}

// HasRoom reports whether this host may send a request to the target. Only a brittle target
// is spared: a request that it has no room for is to be refused by the hosts, which know of each
// other's requests some hundred milliseconds late.
//
// A host whose request was rejected pauses, also in the use of its own slots: others that it
// doesn't know of are in them. So each host that sends before it knows that a target is full
// causes one rejection, and few may do so: two thirds of the target's slots belong to the hosts
// that come first in the order of their rank, an equal number each, which these fill without
// asking. Any other host may use the rest while it seems free, seldom.
func (s *State) HasRoom(now time.Time, share Share, room Room) bool {
	if !s.brittle {
		return true
	}
	if room.Waiting || now.Before(s.pausedUntil) {
		return false
	}
	reserved := max(1, 2*room.Slots/3)
	owners := min(share.Hosts, reserved, max(1, 2*s.tolerated/3))
	if share.Rank < owners && room.Own < reserved/owners {
		return true
	}
	interval := restInterval(s.tolerated-owners, cmp.Or(share.Hosts, assumedHosts)-owners)
	if now.Before(s.fullUntil) || 2*room.Running >= room.Slots {
		s.delayRest(now, interval)
		return false
	}
	return room.Spare && room.Own == 0 && !now.Before(s.restFrom)
}

// newsDelay is the usual time until the other hosts know that a target has rejected a request.
const newsDelay = 150 * time.Millisecond

// restInterval returns the time between two uses of a brittle target by one of the hosts without
// slots of their own there, so that all of these send as many requests in newsDelay as the target
// may reject. It is 0 if each of them may send one at once.
func restInterval(rejections, hosts int) time.Duration {
	if hosts <= rejections {
		return 0
	}
	return newsDelay * time.Duration(hosts) / time.Duration(max(1, rejections))
}

// delayRest draws the time from which this host may use what seems free at a brittle target, so that
// not all hosts do at once when a target that was full seems free again.
func (s *State) delayRest(now time.Time, interval time.Duration) {
	s.restInterval, s.restFrom = interval, now
	if interval > 0 {
		s.restFrom = now.Add(rand.N(interval))
	}
}

// maxTolerated is the largest number of rejections that counts.
const maxTolerated = 1 << 20

// Tolerated returns the number of rejections in a second beyond which a brittle target ends.
func (s *State) Tolerated() int { return s.tolerated }

// Brittle reports whether the target says that it is brittle.
func (s *State) Brittle() bool { return s.brittle }

// Rejected records that the target had no room for a request.
func (s *State) Rejected(now time.Time) {
	if s.brittle {
		s.fullUntil, s.newsAt = now.Add(fullPause), now
		s.pausedUntil = s.fullUntil
	}
}

// heardBrittle records whether an answer to what was sent at the time sent says that the
// target is brittle. One that doesn't ends it only if it was sent after the target had last
// said so.
func (s *State) heardBrittle(now, sent time.Time, brittle bool, tolerated int) (changed bool) {
	if !brittle && (!s.brittle || !sent.After(s.brittleAt)) {
		return false
	}
	return s.setBrittle(now, now, brittle, tolerated)
}

func (s *State) setBrittle(now, at time.Time, brittle bool, tolerated int) (changed bool) {
	changed = s.brittle != brittle
	s.brittle, s.brittleAt, s.tolerated = brittle, at, min(max(tolerated, 0), maxTolerated)
	if changed {
		s.newsAt = now
	}
	return changed
}

// learnBrittle records what another host reported, if its build knows of brittle targets.
func (s *State) learnBrittle(now time.Time, r Report) (changed bool) {
	if r.Heard == 0 {
		return false
	}
	at := now.Add(-time.Duration(r.Heard) * time.Millisecond)
	if !at.After(s.brittleAt) {
		return false
	}
	changed = s.setBrittle(now, at, r.Brittle, int(r.Tolerated))
	if full := now.Add(time.Duration(r.Full) * time.Millisecond); r.Full > 0 && full.After(s.fullUntil.Add(quietTolerance)) {
		s.fullUntil, s.newsAt, changed = full, now, true
	}
	return changed
}
