package quarantine

import (
	"fmt"
	"slices"
	"time"

	"jacinthstage/stage/verdict"
)

const (
	limit     = 2               // crashes after which a request is refused for good, unless excused
	kept      = 4               // crashes kept of one request; at so many nothing excuses it
	claimTime = 5 * time.Minute // longest that a claim is respected
	callWait  = time.Second     // before a failed call is repeated
	busyWait  = time.Second     // after which a caller may come back while another run holds the claim
	suspected = time.Hour       // how long one crash is remembered
	refused   = 24 * time.Hour  // how long two are
	entries   = 4096            // suspects kept
)

// A Quarantine is one host's view of the suspects. Set Host before use, to a
// name that no other host and no earlier incarnation of this one has.
type Quarantine struct {
	Host string

	flying   map[string]flight // requests in progress, by id
	suspects map[Fingerprint]*suspect
}

// A flight is one request in progress at a target.
type flight struct {
	print  Fingerprint
	target string
}

// A suspect is a request with a crash to its name.
type suspect struct {
	crashes []string
	expires time.Time

	version uint64 // of the object, 0 where none is known
	unread  bool   // whether the object may be newer than what is known
	unsure  bool   // whether a call ended without a clear answer
	dirty   bool   // whether the object lacks a crash seen here
	calling bool   // whether a call waits for its answer
	again   time.Time

	holder, claim string    // as in the object
	lapse         time.Time // when another host's claim counts as a crash
	asking        string    // id of the request that waits for a claim
	running       string    // id of the request that runs here with a claim
	whole         bool      // whether the last run here was answered whole
}

// IsClean reports whether the request has no crash to its name: it needs no Ask.
func (q *Quarantine) IsClean(p Fingerprint) bool { return q.suspects[p] == nil }

// IsRefused reports whether the request is refused for good.
func (q *Quarantine) IsRefused(p Fingerprint) bool {
	s := q.suspects[p]
	return s != nil && len(s.crashes) >= limit && !q.excused(p)
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
	for _, f := range q.flying {
		if f.target == target && !q.IsClean(f.print) {
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
		return q.ask(now, x)
	case Sent:
		return q.sent(x)
	case Ended:
		return q.ended(now, x)
	case Crashed:
		return q.crashed(now, x)
	case CrashReported:
		return q.told(now, x)
	case Stored:
		return q.stored(now, x)
	case NotFound:
		return q.missing(now, x)
	case Conflict:
		return q.answered(now, x.Fingerprint, time.Time{})
	case CallFailed:
		return q.failed(now, x)
	case Tick:
		return q.tick(now)
	default:
		panic(fmt.Sprintf("quarantine: unknown event %T", event))
	}
}

func (q *Quarantine) ask(now time.Time, a RunRequested) []Action {
	s := q.suspects[a.Fingerprint]
	switch {
	case s == nil:
		return []Action{Allow{ID: a.ID}}
	case q.IsRefused(a.Fingerprint):
		return []Action{refuse(a.ID)}
	case s.asking != "" || s.running != "" || q.runs(a.Fingerprint):
		return []Action{busy(now, a.ID)}
	}
	s.asking = a.ID
	s.unread = s.unread || s.holder != "" && s.holder != q.Host
	return q.drive(now, a.Fingerprint)
}

func refuse(id string) Refuse {
	return Refuse{ID: id, Err: verdict.Refuse(verdict.Quarantined, "the request crashed %d targets", limit)}
}

func busy(now time.Time, id string) Refuse {
	err := verdict.Refuse(verdict.Busy, "the request crashed a target and runs once at a time")
	err.RetryAt = now.Add(busyWait)
	return Refuse{ID: id, Err: err}
}

// runs reports whether the request is in progress through this host.
func (q *Quarantine) runs(p Fingerprint) bool {
	for _, f := range q.flying {
		if f.print == p {
			return true
		}
	}
	return false
}

func (q *Quarantine) sent(x Sent) []Action {
	if q.flying == nil {
		q.flying = map[string]flight{}
	}
	q.flying[x.ID] = flight{print: x.Fingerprint, target: x.Target}
	if s := q.suspects[x.Fingerprint]; s != nil && s.running != x.ID {
		return []Action{Cancel{ID: x.ID, Target: x.Target}}
	}
	return nil
}

func (q *Quarantine) ended(now time.Time, x Ended) []Action {
	delete(q.flying, x.ID)
	s := q.suspects[x.Fingerprint]
	if s == nil {
		return nil
	}
	if s.asking == x.ID {
		s.asking = ""
	}
	if s.running == x.ID {
		s.running, s.whole = "", x.Complete
	}
	return q.drive(now, x.Fingerprint)
}

// crashed gives the request one more crash, unless this one is known.
func (q *Quarantine) crashed(now time.Time, c Crashed) []Action {
	delete(q.flying, c.ID)
	s := q.suspect(now, c.Fingerprint)
	if s.running == c.ID {
		s.running = ""
	}
	if slices.Contains(s.crashes, c.CrashID) {
		return q.drive(now, c.Fingerprint)
	}
	s.dirty = true
	actions := q.learn(now, c.Fingerprint, []string{c.CrashID})
	actions = append(actions, ReportCrash{Fingerprint: c.Fingerprint, CrashID: c.CrashID})
	return append(actions, q.drive(now, c.Fingerprint)...)
}

func (q *Quarantine) told(now time.Time, t CrashReported) []Action {
	s := q.suspect(now, t.Fingerprint)
	s.unread = true
	return q.learn(now, t.Fingerprint, []string{t.CrashID})
}

// suspect returns the entry of a print, a new one where there is none.
func (q *Quarantine) suspect(now time.Time, p Fingerprint) *suspect {
	if q.suspects == nil {
		q.suspects = map[Fingerprint]*suspect{}
	}
	s := q.suspects[p]
	if s == nil {
		q.shrink()
		s = &suspect{expires: now.Add(suspected)}
		q.suspects[p] = s
	}
	return s
}

// shrink makes room for one more entry: the one that expires first goes.
func (q *Quarantine) shrink() {
	if len(q.suspects) < entries {
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

// learn adds crashes to an entry. The first one cancels other runs of the
// request here, the second the one with the claim as well.
func (q *Quarantine) learn(now time.Time, p Fingerprint, crashes []string) (actions []Action) {
	s := q.suspects[p]
	s.crashes = merge(s.crashes, crashes)
	until := suspected
	final := q.IsRefused(p)
	if final {
		until = refused
	}
	if expires := now.Add(until); expires.After(s.expires) {
		s.expires = expires
	}
	for id, f := range q.flying {
		if f.print == p && (id != s.running || final) {
			actions = append(actions, Cancel{ID: id, Target: f.target})
		}
	}
	if s.asking != "" && final {
		actions = append(actions, refuse(s.asking))
		s.asking = ""
	}
	return actions
}

func (q *Quarantine) tick(now time.Time) (actions []Action) {
	for p, s := range q.suspects {
		if !now.Before(s.expires) && s.running == "" && !s.calling {
			delete(q.suspects, p)
			if s.version != 0 {
				actions = append(actions, Delete{Fingerprint: p, Version: s.version})
			}
			continue
		}
		actions = append(actions, q.drive(now, p)...)
	}
	return actions
}
