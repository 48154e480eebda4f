package quarantine

import (
	"fmt"
	"slices"
	"time"

	"jacinthstage/stage/verdict"
)

const (
	crashLimit       = 2               // crashes after which a request is refused for good, unless excused
	maxCrashIDs      = 4               // crashes kept of one request; at so many nothing excuses it
	claimDuration    = 5 * time.Minute // longest that a claim is respected
	callRetryDelay   = time.Second     // before a failed call is repeated
	busyRetryDelay   = time.Second     // after which a caller may come back while another run holds the claim
	suspectRetention = time.Hour       // how long one crash is remembered
	refusedRetention = 24 * time.Hour  // how long two are
	maxSuspects      = 4096            // suspects kept
)

// A Quarantine is one host's view of the suspects. Set Host before use, to a
// name that no other host and no earlier incarnation of this one has.
type Quarantine struct {
	Host string

	inFlight map[string]run // requests in progress, by id
	suspects map[Fingerprint]*suspect
}

// A flight is one request in progress at a target.
type run struct {
	fingerprint Fingerprint
	target      string
}

// A suspect is a request with a crash to its name.
type suspect struct {
	crashes []string
	expires time.Time

	version     uint64 // of the object, 0 where none is known
	stale       bool   // whether the object may be newer than what is known
	uncertain   bool   // whether a call ended without a clear answer
	dirty       bool   // whether the object lacks a crash seen here
	callPending bool   // whether a call waits for its answer
	retryAt     time.Time

	holder, claim string    // as in the object
	claimExpires  time.Time // when another host's claim counts as a crash
	waiting       string    // id of the request that waits for a claim
	running       string    // id of the request that runs here with a claim
	complete      bool      // whether the last run here was answered whole
}

// IsClean reports whether the request has no crash to its name: it needs no Ask.
func (q *Quarantine) IsClean(p Fingerprint) bool { return q.suspects[p] == nil }

// IsRefused reports whether the request is refused for good.
func (q *Quarantine) IsRefused(p Fingerprint) bool {
	s := q.suspects[p]
	return s != nil && len(s.crashes) >= crashLimit && !q.isBystander(p)
}

// StoredSuspects returns the suspects whose objects are known, so that a listing that
// begins later and lacks one says that it is gone.
func (q *Quarantine) StoredSuspects() []Fingerprint {
	var known []Fingerprint
	for p, s := range q.suspects {
		if s.version != 0 {
			known = append(known, p)
		}
	}
	return known
}

// HasSuspectAt reports whether a suspect is in progress at the target. To send
// another suspect there would leave open which of the two crashed it.
func (q *Quarantine) HasSuspectAt(target string) bool {
	for _, f := range q.inFlight {
		if f.target == target && !q.IsClean(f.fingerprint) {
			return true
		}
	}
	return false
}

// Step takes one event and returns what is to be done. It panics on an event
// of an unknown type.
func (q *Quarantine) Step(now time.Time, event Event) []Action {
	switch x := event.(type) {
	case RunRequested:
		return q.requested(now, x)
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
		return q.notFound(now, x)
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

func (q *Quarantine) requested(now time.Time, a RunRequested) []Action {
	s := q.suspects[a.Fingerprint]
	switch {
	case s == nil:
		return []Action{Allow{ID: a.ID}}
	case q.IsRefused(a.Fingerprint):
		return []Action{refuse(a.ID)}
	case s.waiting != "" || s.running != "" || q.inProgress(a.Fingerprint):
		return []Action{busy(now, a.ID)}
	}
	s.waiting = a.ID
	s.stale = s.stale || s.holder != "" && s.holder != q.Host
	return q.nextCall(now, a.Fingerprint)
}

func refuse(id string) Refuse {
	return Refuse{ID: id, Err: verdict.Refuse(verdict.Quarantined, "the request crashed %d targets", crashLimit)}
}

func busy(now time.Time, id string) Refuse {
	err := verdict.Refuse(verdict.Busy, "the request crashed a target and runs once at a time")
	err.RetryAt = now.Add(busyRetryDelay)
	return Refuse{ID: id, Err: err}
}

// inProgress reports whether the request is in progress through this host.
func (q *Quarantine) inProgress(p Fingerprint) bool {
	for _, f := range q.inFlight {
		if f.fingerprint == p {
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

// crashed gives the request one more crash, unless this one is known.
func (q *Quarantine) crashed(now time.Time, c Crashed) []Action {
	delete(q.inFlight, c.ID)
	s := q.suspect(now, c.Fingerprint)
	if s.running == c.ID {
		s.running = ""
	}
	if slices.Contains(s.crashes, c.CrashID) {
		return q.nextCall(now, c.Fingerprint)
	}
	s.dirty = true
	actions := q.addCrashes(now, c.Fingerprint, []string{c.CrashID})
	actions = append(actions, ReportCrash{Fingerprint: c.Fingerprint, CrashID: c.CrashID})
	return append(actions, q.nextCall(now, c.Fingerprint)...)
}

func (q *Quarantine) crashReported(now time.Time, t CrashReported) []Action {
	s := q.suspect(now, t.Fingerprint)
	s.stale = true
	return q.addCrashes(now, t.Fingerprint, []string{t.CrashID})
}

// suspect returns the entry of a print, a new one where there is none.
func (q *Quarantine) suspect(now time.Time, p Fingerprint) *suspect {
	if q.suspects == nil {
		q.suspects = map[Fingerprint]*suspect{}
	}
	s := q.suspects[p]
	if s == nil {
		q.evictOldest()
		s = &suspect{expires: now.Add(suspectRetention)}
		q.suspects[p] = s
	}
	return s
}

// evictOldest makes room for one more entry: the one that expires first goes.
func (q *Quarantine) evictOldest() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var first Fingerprint
	for p, s := range q.suspects {
		if first == "" || s.expires.Before(q.suspects[first].expires) {
			first = p
		}
	}
	delete(q.suspects, first)
}

// addCrashes adds crashes to an entry. The first one cancels other runs of the
// request here, the second the one with the claim as well.
func (q *Quarantine) addCrashes(now time.Time, p Fingerprint, crashes []string) (actions []Action) {
	s := q.suspects[p]
	s.crashes = mergeCrashes(s.crashes, crashes)
	until := suspectRetention
	final := q.IsRefused(p)
	if final {
		until = refusedRetention
	}
	if expires := now.Add(until); expires.After(s.expires) {
		s.expires = expires
	}
	for id, f := range q.inFlight {
		if f.fingerprint == p && (id != s.running || final) {
			actions = append(actions, Cancel{ID: id, Target: f.target})
		}
	}
	if s.waiting != "" && final {
		actions = append(actions, refuse(s.waiting))
		s.waiting = ""
	}
	return actions
}

func (q *Quarantine) tick(now time.Time) (actions []Action) {
	for p, s := range q.suspects {
		if !now.Before(s.expires) && s.running == "" && !s.callPending {
			delete(q.suspects, p)
			if s.version != 0 {
				actions = append(actions, Delete{Fingerprint: p, Version: s.version})
			}
			continue
		}
		actions = append(actions, q.nextCall(now, p)...)
	}
	return actions
}
