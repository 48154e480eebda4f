// Package notice holds what targets say of themselves in their answers, such as the
// requests that they take.
//
// What a target said binds the host that heard it at once, whatever the store shows. It
// holds until an answer to a later request says otherwise, or the target's process
// ends: another process at the same address has said nothing yet.
package notice

import "time"

// A Notice is what one answer of a target says of the target. The zero value says
// nothing.
type Notice struct {
	// Limit is the number of requests a second that the target takes from all hosts
	// together. 0 means that it names none.
	Limit float64
}

// A State is what one host knows of what one target said. The zero value is that of a
// target that has said nothing. It is not safe for concurrent use.
type State struct {
	limit   float64
	limitAt time.Time // when a limit, or the end of one, was last said
}

// Limit returns the limit that the target named, or 0.
func (s *State) Limit() float64 { return s.limit }

// Heard records what the answer to a request says that was sent at the time sent. It
// reports whether the limit has changed. An answer without a limit ends the limit only
// if its request was sent after the limit was named, since answers may overtake each
// other.
func (s *State) Heard(now, sent time.Time, n Notice) (changed bool) {
	if n.Limit == 0 && (s.limit == 0 || !sent.After(s.limitAt)) {
		return false
	}
	changed = n.Limit != s.limit
	s.limit, s.limitAt = n.Limit, now
	return changed
}
