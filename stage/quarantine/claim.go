package quarantine

import (
	"time"

	"jacinthstage/stage/verdict"
)

// nextCall makes the next call that is needed on the object of a suspect. It makes one
// call at a time.
func (q *Quarantine) nextCall(now time.Time, fp Fingerprint) []Action {
	s := q.suspects[fp]
	if s == nil || s.callPending || now.Before(s.retryAt) {
		return q.refuseWaiting(now, s)
	}
	unusedClaim := s.holder == q.Host && s.claim != s.running
	switch {
	case s.stale && (s.waiting != "" || s.dirty || s.uncertain || unusedClaim):
		s.callPending = true
		return []Action{Read{Fingerprint: fp}}
	case s.dirty:
		return q.write(fp, s, s.running)
	case s.waiting != "":
		return q.claim(now, fp, s)
	case unusedClaim && s.complete && !q.IsRefused(fp):
		s.callPending = true
		return []Action{Delete{Fingerprint: fp, Version: s.version}}
	case unusedClaim:
		return q.write(fp, s, "")
	default:
		return nil
	}
}

// refuseWaiting refuses the request that waits for a claim, if no call is pending. It
// is used while a failed call must not be repeated yet.
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

// claim writes a claim for the waiting request, unless another host holds one. A claim
// of another host that has expired counts as a crash.
func (q *Quarantine) claim(now time.Time, fp Fingerprint, s *suspect) []Action {
	id := s.waiting
	if s.holder == "" || s.holder == q.Host {
		s.complete = false
		return q.write(fp, s, id)
	}
	if now.Before(s.claimExpires) {
		s.waiting = ""
		return []Action{busy(now, id)}
	}
	// The holder did not release the claim in time: its run counts as a crash.
	s.dirty = true
	actions := q.addCrashes(now, fp, []string{"lapsed/" + s.holder + "/" + s.claim})
	s.holder, s.claim = "", ""
	return append(actions, q.nextCall(now, fp)...)
}

// write writes the record with this host's claim for the request id. With an empty id
// it releases this host's claim. Another host's claim stays as it is.
func (q *Quarantine) write(fp Fingerprint, s *suspect, id string) []Action {
	r := Record{Crashes: s.crashes, Holder: s.holder, Claim: s.claim, Expires: s.expires}
	switch {
	case id != "":
		r.Holder, r.Claim = q.Host, id
	case s.holder == q.Host:
		r.Holder, r.Claim = "", ""
	}
	s.callPending = true
	return []Action{Write{Fingerprint: fp, Version: s.version, Record: r}}
}

// stored updates the suspect from the state of its object.
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

// objectNotFound handles an object that does not exist. If its version was known,
// another host has cleared the request; otherwise the object is still to be created.
func (q *Quarantine) objectNotFound(now time.Time, x NotFound) []Action {
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
	q.remove(x.Fingerprint)
	if s.waiting != "" {
		return []Action{Allow{ID: s.waiting}}
	}
	return nil
}

func (q *Quarantine) callFailed(now time.Time, x CallFailed) []Action {
	return q.callUncertain(now, x.Fingerprint, now.Add(callRetryDelay))
}

// callUncertain ends a call that may have changed the object. The object is read next,
// but not before retryAt, so that a claim whose response was lost is released.
func (q *Quarantine) callUncertain(now time.Time, fp Fingerprint, retryAt time.Time) []Action {
	s := q.suspects[fp]
	if s == nil {
		return nil
	}
	s.callPending, s.stale, s.uncertain, s.retryAt = false, true, true, retryAt
	return q.nextCall(now, fp)
}
