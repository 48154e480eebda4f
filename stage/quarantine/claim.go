package quarantine

import (
	"time"

	"jacinthstage/stage/verdict"
)

// drive makes the next call on the object that the entry needs, one at a time.
func (q *Quarantine) drive(now time.Time, p Fingerprint) []Action {
	s := q.suspects[p]
	if s == nil || s.calling || now.Before(s.again) {
		return q.give(now, s)
	}
	mine := s.holder == q.Host && s.claim != s.running
	switch {
	case s.unread && (s.asking != "" || s.dirty || s.unsure || mine):
		s.calling = true
		return []Action{Read{Fingerprint: p}}
	case s.dirty:
		return q.write(p, s, s.running)
	case s.asking != "":
		return q.decide(now, p, s)
	case mine && s.whole && !q.IsRefused(p):
		s.calling = true
		return []Action{Delete{Fingerprint: p, Version: s.version}}
	case mine:
		return q.write(p, s, "")
	default:
		return nil
	}
}

// give refuses the request that waits for a claim while the object can't be
// called again yet.
func (q *Quarantine) give(now time.Time, s *suspect) []Action {
	if s == nil || s.calling || s.asking == "" {
		return nil
	}
	err := verdict.Refuse(verdict.Unavailable, "the request crashed a target and runs only while the object API answers")
	err.RetryAt = now.Add(busyWait)
	id := s.asking
	s.asking = ""
	return []Action{Refuse{ID: id, Err: err}}
}

// decide claims the request for the one that asks, unless another host has it.
func (q *Quarantine) decide(now time.Time, p Fingerprint, s *suspect) []Action {
	id := s.asking
	if s.holder == "" || s.holder == q.Host {
		s.whole = false
		return q.write(p, s, id)
	}
	if now.Before(s.lapse) {
		s.asking = ""
		return []Action{busy(now, id)}
	}
	// The holder never gave the claim back: its run counts as a crash.
	s.dirty = true
	actions := q.learn(now, p, []string{"lapsed/" + s.holder + "/" + s.claim})
	s.holder, s.claim = "", ""
	return append(actions, q.drive(now, p)...)
}

// write writes the entry with a claim of this host's, none where id is empty;
// another host's claim stays.
func (q *Quarantine) write(p Fingerprint, s *suspect, id string) []Action {
	r := Record{Crashes: s.crashes, Holder: s.holder, Claim: s.claim, Expires: s.expires}
	switch {
	case id != "":
		r.Holder, r.Claim = q.Host, id
	case s.holder == q.Host:
		r.Holder, r.Claim = "", ""
	}
	s.calling = true
	return []Action{Write{Fingerprint: p, Version: s.version, Record: r}}
}

// stored takes the object's state over.
func (q *Quarantine) stored(now time.Time, x Stored) []Action {
	if !now.Before(x.Record.Expires) && q.suspects[x.Fingerprint] == nil {
		return []Action{Delete{Fingerprint: x.Fingerprint, Version: x.Version}}
	}
	s := q.suspect(now, x.Fingerprint)
	if x.Reply {
		s.calling = false
	}
	if x.Version < s.version {
		return q.drive(now, x.Fingerprint)
	}
	if x.Record.Holder != s.holder || x.Record.Claim != s.claim {
		s.lapse = now.Add(claimTime)
	}
	s.version, s.unread, s.unsure = x.Version, false, false
	s.holder, s.claim = x.Record.Holder, x.Record.Claim
	actions := q.learn(now, x.Fingerprint, x.Record.Crashes)
	s.dirty = s.dirty && len(x.Record.Crashes) < len(s.crashes)
	if s.asking != "" && s.holder == q.Host && s.claim == s.asking {
		actions = append(actions, Allow{ID: s.asking})
		s.running, s.asking = s.asking, ""
	}
	return append(actions, q.drive(now, x.Fingerprint)...)
}

// missing handles an object that isn't there: one that was there has been
// cleared by another host, one that wasn't is still to be created.
func (q *Quarantine) missing(now time.Time, x NotFound) []Action {
	s := q.suspects[x.Fingerprint]
	if s == nil {
		return nil
	}
	if x.Reply {
		s.calling = false
	}
	s.unread, s.unsure = false, false
	if s.version == 0 || s.dirty {
		s.version, s.holder, s.claim = 0, "", ""
		return q.drive(now, x.Fingerprint)
	}
	delete(q.suspects, x.Fingerprint)
	if s.asking != "" {
		return []Action{Allow{ID: s.asking}}
	}
	return nil
}

func (q *Quarantine) failed(now time.Time, f CallFailed) []Action {
	return q.answered(now, f.Fingerprint, now.Add(callWait))
}

// answered ends a call that may have changed the object or not: it is read
// next, not before again, so that a claim whose answer was lost is given back.
func (q *Quarantine) answered(now time.Time, p Fingerprint, again time.Time) []Action {
	s := q.suspects[p]
	if s == nil {
		return nil
	}
	s.calling, s.unread, s.unsure, s.again = false, true, true, again
	return q.drive(now, p)
}
