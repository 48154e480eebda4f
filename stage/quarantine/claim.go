package quarantine

import (
	"time"

	"jacinthstage/stage/verdict"
)

// nextCall makes the next call on the object that the entry needs, one at a time.
func (q *Quarantine) nextCall(now time.Time, p Fingerprint) []Action {
	s := q.suspects[p]
	if s == nil || s.callPending || now.Before(s.retryAt) {
		return q.refuseWaiting(now, s)
	}
	mine := s.holder == q.Host && s.claim != s.running
	switch {
	case s.stale && (s.waiting != "" || s.dirty || s.uncertain || mine):
		s.callPending = true
		return []Action{Read{Fingerprint: p}}
	case s.dirty:
		return q.write(p, s, s.running)
	case s.waiting != "":
		return q.claim(now, p, s)
	case mine && s.complete && !q.IsRefused(p):
		s.callPending = true
		return []Action{Delete{Fingerprint: p, Version: s.version}}
	case mine:
		return q.write(p, s, "")
	default:
		return nil
	}
}

// refuseWaiting refuses the request that waits for a claim while the object can't be
// called again yet.
func (q *Quarantine) refuseWaiting(now time.Time, s *suspect) []Action {
	if s == nil || s.callPending || s.waiting == "" {
		return nil
	}
	err := verdict.Refuse(verdict.Unavailable, "the request crashed a target and runs only while the object API answers")
	err.RetryAt = now.Add(busyRetryDelay)
	id := s.waiting
	s.waiting = ""
	return []Action{Refuse{ID: id, Err: err}}
}

// claim claims the request for the one that asks, unless another host has it.
func (q *Quarantine) claim(now time.Time, p Fingerprint, s *suspect) []Action {
	id := s.waiting
	if s.holder == "" || s.holder == q.Host {
		s.complete = false
		return q.write(p, s, id)
	}
	if now.Before(s.claimExpires) {
		s.waiting = ""
		return []Action{busy(now, id)}
	}
	// The holder never gave the claim back: its run counts as a crash.
	s.dirty = true
	actions := q.addCrashes(now, p, []string{"lapsed/" + s.holder + "/" + s.claim})
	s.holder, s.claim = "", ""
	return append(actions, q.nextCall(now, p)...)
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
	s.callPending = true
	return []Action{Write{Fingerprint: p, Version: s.version, Record: r}}
}

// stored takes the object's state over.
func (q *Quarantine) stored(now time.Time, x Stored) []Action {
	if !now.Before(x.Record.Expires) && q.suspects[x.Fingerprint] == nil {
		return []Action{Delete{Fingerprint: x.Fingerprint, Version: x.Version}}
	}
	s := q.suspect(now, x.Fingerprint)
	if x.Reply {
		s.callPending = false
	}
	if x.Version < s.version {
		return q.nextCall(now, x.Fingerprint)
	}
	if x.Record.Holder != s.holder || x.Record.Claim != s.claim {
		s.claimExpires = now.Add(claimDuration)
	}
	s.version, s.stale, s.uncertain = x.Version, false, false
	s.holder, s.claim = x.Record.Holder, x.Record.Claim
	actions := q.addCrashes(now, x.Fingerprint, x.Record.Crashes)
	s.dirty = s.dirty && len(x.Record.Crashes) < len(s.crashes)
	if s.waiting != "" && s.holder == q.Host && s.claim == s.waiting {
		actions = append(actions, Allow{ID: s.waiting})
		s.running, s.waiting = s.waiting, ""
	}
	return append(actions, q.nextCall(now, x.Fingerprint)...)
}

// notFound handles an object that isn't there: one that was there has been
// cleared by another host, one that wasn't is still to be created.
func (q *Quarantine) notFound(now time.Time, x NotFound) []Action {
	s := q.suspects[x.Fingerprint]
	if s == nil {
		return nil
	}
	if x.Reply {
		s.callPending = false
	}
	s.stale, s.uncertain = false, false
	if s.version == 0 || s.dirty {
		s.version, s.holder, s.claim = 0, "", ""
		return q.nextCall(now, x.Fingerprint)
	}
	delete(q.suspects, x.Fingerprint)
	if s.waiting != "" {
		return []Action{Allow{ID: s.waiting}}
	}
	return nil
}

func (q *Quarantine) callFailed(now time.Time, f CallFailed) []Action {
	return q.callUncertain(now, f.Fingerprint, now.Add(callRetryDelay))
}

// callUncertain ends a call that may have changed the object or not: it is read
// next, not before again, so that a claim whose answer was lost is given back.
func (q *Quarantine) callUncertain(now time.Time, p Fingerprint, again time.Time) []Action {
	s := q.suspects[p]
	if s == nil {
		return nil
	}
	s.callPending, s.stale, s.uncertain, s.retryAt = false, true, true, again
	return q.nextCall(now, p)
}
