package residency

import (
	"time"
)

// RequestLoad asks for an adapter. The channel is closed once it is expected to be
// there, or the wait for it ended. Each Wish is ended by an Unwish.
func (s *Manager) RequestLoad(now time.Time, k Key) <-chan struct{} {
	e := s.entry(k)
	if e.arrived == nil {
		e.arrived = make(chan struct{})
	}
	arrived := e.arrived
	e.waiting++
	if e.state == Absent {
		e.state = Requested
		e.due = now.Add(wishMost)
		s.wishes = append(s.wishes, k)
	}
	if e.state == Resident {
		e.keep(now)
		e.settle()
	}
	return arrived
}

// CancelLoadRequest ends a wait. An adapter that nobody waits for any more isn't ordered.
func (s *Manager) CancelLoadRequest(k Key) {
	e := s.entries[k]
	if e == nil || e.waiting == 0 {
		return
	}
	e.waiting--
	if e.waiting == 0 && e.state == Requested {
		s.forget(k, e)
	}
}

// BeginUse notes a request that uses an adapter; Unuse ends it.
func (s *Manager) BeginUse(now time.Time, k Key) {
	e := s.entry(k)
	e.uses = 1 + e.weight(now)
	e.used = now
	e.open++
}

// EndUse notes that a request that used an adapter has ended.
func (s *Manager) EndUse(k Key) {
	if e := s.entries[k]; e != nil && e.open > 0 {
		e.open--
	}
}

// RecordPeerUse notes what another host told of its use of an adapter: requests in
// progress, and those that it began since it told last.
func (s *Manager) RecordPeerUse(now time.Time, k Key, from string, open, begun int) {
	e := s.entry(k)
	if begun > 0 {
		e.uses = float64(begun) + e.weight(now)
		e.used = now
	}
	if e.peers == nil {
		e.peers = make(map[string]peerUse)
	}
	e.peers[from] = peerUse{open: open, at: now}
}

// RecordMiss notes that the runner refused a request for an adapter. One that is on
// its way is expected later; one that was thought to be there is looked for.
func (s *Manager) RecordMiss(now time.Time, k Key, again time.Duration) {
	e := s.entries[k]
	if e == nil {
		return
	}
	switch {
	case e.state == Resident && now.Sub(e.ordered) < lateMost/4:
		e.state = Loading
		e.due = now.Add(again)
	case e.state == Resident:
		s.synced = false
	}
}

// forget drops a wish, or an adapter that isn't on the runner.
func (s *Manager) forget(k Key, e *entry) {
	e.settle()
	e.state = Absent
	for i, w := range s.wishes {
		if w == k {
			s.wishes = append(s.wishes[:i], s.wishes[i+1:]...)
			break
		}
	}
}

// mostWanted returns the wish that most requests wait for, the oldest of them.
func (s *Manager) mostWanted() Key {
	best := s.wishes[0]
	for _, k := range s.wishes[1:] {
		if s.entries[k].waiting > s.entries[best].waiting {
			best = k
		}
	}
	return best
}

func (s *Manager) unwish(k Key) {
	for i, w := range s.wishes {
		if w == k {
			s.wishes = append(s.wishes[:i], s.wishes[i+1:]...)
			return
		}
	}
}

// giveUp ends all waits.
func (s *Manager) giveUp() {
	for k, e := range s.entries {
		if e.state == Requested {
			s.forget(k, e)
			continue
		}
		e.settle()
	}
}
