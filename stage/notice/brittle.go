package notice

import "time"

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
// So two thirds of its slots belong to the hosts that come first in the order of their rank, an
// equal number each, which these fill without asking. Any host may use the rest while it seems
// free, as long as it causes few rejections. A host whose request was rejected pauses, also in
// the use of its own slots: others that it doesn't know of are in them.
func (s *State) HasRoom(now time.Time, share Share, room Room) bool {
	if !s.brittle {
		return true
	}
	if room.Waiting || now.Before(s.pausedUntil) {
		return false
	}
	reserved := max(1, 2*room.Slots/3)
	senders := min(share.Hosts, reserved)
	if share.Rank < senders && room.Own < reserved/senders {
		return true
	}
	return room.Spare && room.Own == 0 && !now.Before(s.fullUntil) && 2*room.Running < room.Slots
}

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
	s.brittle, s.brittleAt, s.tolerated = brittle, at, tolerated
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
