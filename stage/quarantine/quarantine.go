package quarantine

import (
	"fmt"
	"slices"
	"time"

	"jacinthstage/stage/verdict"
)

const (
	claimDuration  = 5 * time.Minute // time after which another host's claim counts as a crash
	callRetryDelay = time.Second     // delay before a failed call is repeated
	busyRetryDelay = time.Second     // delay after which a caller may retry a request that could not get a claim
)

// A Quarantine is one host's view of the suspects. Host must be set before use, to a
// name that no other host and no previous incarnation of this host has.
type Quarantine struct {
	Host string

	inFlight map[string]run // requests in progress, by ID
	history  History
	suspects map[Fingerprint]*suspect
}

// A run is one request in progress at a target.
type run struct {
	fingerprint Fingerprint
	target      string
}

// A suspect is a request that was in progress at a crash.
type suspect struct {
	*entry // in the history

	version     uint64    // version of the object; 0 if none is known
	stale       bool      // whether the object may be newer than the known version
	uncertain   bool      // whether a call ended with an unknown outcome
	dirty       bool      // whether the object lacks a crash seen by this host
	callPending bool      // whether a call waits for its reply
	retryAt     time.Time // no call is made before this time

	holder, claim string    // as in the object
	claimExpires  time.Time // when another host's claim counts as a crash
	waiting       string    // ID of the request that waits for a claim
	running       string    // ID of the request that runs on this host with a claim
	complete      bool      // whether the last run on this host got a complete response
}

// IsClean reports whether no crash is known for the request. A clean request may be
// sent without RunRequested.
func (q *Quarantine) IsClean(fp Fingerprint) bool { return q.suspects[fp] == nil }

// IsRefused reports whether the request is refused permanently.
func (q *Quarantine) IsRefused(fp Fingerprint) bool { return q.history.IsRefused(fp) }

// StoredSuspects returns the suspects whose objects are known to exist. If a listing
// that starts later lacks one of them, its object has been deleted.
func (q *Quarantine) StoredSuspects() []Fingerprint {
	var stored []Fingerprint
	for fp, s := range q.suspects {
		if s.version != 0 {
			stored = append(stored, fp)
		}
	}
	return stored
}

// HasSuspectAt reports whether a suspect is in progress at the target. If another
// suspect were sent there, a crash could not be attributed to one of the two.
func (q *Quarantine) HasSuspectAt(target string) bool {
	for _, r := range q.inFlight {
		if r.target == target && !q.IsClean(r.fingerprint) {
			return true
		}
	}
	return false
}

// Step handles an event and returns the actions to take. It panics on an event of an
// unknown type.
func (q *Quarantine) Step(now time.Time, event Event) []Action {
	switch x := event.(type) {
	case RunRequested:
		return q.runRequested(now, x)
	case Sent:
		return q.sent(x)
	case Ended:
		return q.ended(now, x)
	case Crashed:
		return q.crashed(now, x)
	case CrashReported:
		return q.crashReported(now, x)
	case Stored:
		return q.stored(now, x)
	case NotFound:
		return q.objectNotFound(now, x)
	case Conflict:
		return q.callUncertain(now, x.Fingerprint, time.Time{})
	case CallFailed:
		return q.callFailed(now, x)
	case Tick:
		return q.tick(now)
	default:
		panic(fmt.Sprintf("quarantine: unknown event %T", event))
	}
}

func (q *Quarantine) runRequested(now time.Time, x RunRequested) []Action {
	s := q.suspects[x.Fingerprint]
	switch {
	case s == nil:
		return []Action{Allow{ID: x.ID}}
	case q.IsRefused(x.Fingerprint):
		return []Action{refuse(x.ID)}
	case s.waiting != "" || s.running != "" || q.inProgress(x.Fingerprint):
		return []Action{busy(now, x.ID)}
	}
	s.waiting = x.ID
	s.stale = s.stale || s.holder != "" && s.holder != q.Host
	return q.nextCall(now, x.Fingerprint)
}

// refuse returns the permanent refusal of a request.
func refuse(id string) Refuse {
	return Refuse{ID: id, Err: verdict.Refuse(verdict.Quarantined, "the request crashed %d targets", crashLimit)}
}

// busy returns the refusal of a request that runs already.
func busy(now time.Time, id string) Refuse {
	err := verdict.Refuse(verdict.Busy, "the request crashed a target and runs once at a time")
	err.RetryAt = now.Add(busyRetryDelay)
	return Refuse{ID: id, Err: err}
}

// inProgress reports whether this host has the request in progress.
func (q *Quarantine) inProgress(fp Fingerprint) bool {
	for _, r := range q.inFlight {
		if r.fingerprint == fp {
			return true
		}
	}
	return false
}

func (q *Quarantine) sent(x Sent) []Action {
	if q.inFlight == nil {
		q.inFlight = map[string]run{}
	}
	q.inFlight[x.ID] = run{fingerprint: x.Fingerprint, target: x.Target}
	if s := q.suspects[x.Fingerprint]; s != nil && s.running != x.ID {
		return []Action{Cancel{ID: x.ID, Target: x.Target}}
	}
	return nil
}

func (q *Quarantine) ended(now time.Time, x Ended) []Action {
	delete(q.inFlight, x.ID)
	s := q.suspects[x.Fingerprint]
	if s == nil {
		return nil
	}
	if s.waiting == x.ID {
		s.waiting = ""
	}
	if s.running == x.ID {
		s.running, s.complete = "", x.Complete
	}
	return q.nextCall(now, x.Fingerprint)
}

// crashed adds the crash to the request and reports it to peers, unless the crash is
// known already.
func (q *Quarantine) crashed(now time.Time, x Crashed) []Action {
	delete(q.inFlight, x.ID)
	s := q.suspect(now, x.Fingerprint)
	if s.running == x.ID {
		s.running = ""
	}
	if slices.Contains(s.crashes, x.CrashID) {
		return q.nextCall(now, x.Fingerprint)
	}
	s.dirty = true
	actions := q.addCrashes(now, x.Fingerprint, []string{x.CrashID})
	actions = append(actions, ReportCrash{Fingerprint: x.Fingerprint, CrashID: x.CrashID})
	return append(actions, q.nextCall(now, x.Fingerprint)...)
}

func (q *Quarantine) crashReported(now time.Time, x CrashReported) []Action {
	s := q.suspect(now, x.Fingerprint)
	s.stale = true
	return q.addCrashes(now, x.Fingerprint, []string{x.CrashID})
}

// suspect returns the suspect with the fingerprint. It adds one if there is none.
func (q *Quarantine) suspect(now time.Time, fp Fingerprint) *suspect {
	if q.suspects == nil {
		q.suspects = map[Fingerprint]*suspect{}
	}
	s := q.suspects[fp]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.remove(q.history.firstToExpire())
		}
		s = &suspect{entry: q.history.open(now, fp)}
		q.suspects[fp] = s
	}
	return s
}

// remove forgets a suspect.
func (q *Quarantine) remove(fp Fingerprint) {
	delete(q.suspects, fp)
	q.history.Remove(fp)
}

// addCrashes adds crashes to a suspect. It cancels the runs of the request on this
// host, except the run with the claim, which is only cancelled when the request is
// refused permanently.
func (q *Quarantine) addCrashes(now time.Time, fp Fingerprint, crashes []string) (actions []Action) {
	s := q.suspects[fp]
	q.history.Add(now, fp, crashes)
	refused := q.IsRefused(fp)
	for id, r := range q.inFlight {
		if r.fingerprint == fp && (id != s.running || refused) {
			actions = append(actions, Cancel{ID: id, Target: r.target})
		}
	}
	if s.waiting != "" && refused {
		actions = append(actions, refuse(s.waiting))
		s.waiting = ""
	}
	return actions
}

// tick deletes suspects that have expired and repeats the calls that are due.
func (q *Quarantine) tick(now time.Time) (actions []Action) {
	for fp, s := range q.suspects {
		if !now.Before(s.expires) && s.running == "" && !s.callPending {
			q.remove(fp)
			if s.version != 0 {
				actions = append(actions, Delete{Fingerprint: fp, Version: s.version})
			}
			continue
		}
		actions = append(actions, q.nextCall(now, fp)...)
	}
	return actions
}
