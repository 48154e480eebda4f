// Package suspect finds the requests that crash the targets that run them, from what
// hosts tell each other.
//
// A host that has a request in progress at the end of a target's process adds the
// crash to the request, which is identified by its content, since each attempt of a
// caller has a new id. A crash has the same ID on every host. A request with two
// crashes is refused, unless each of them is attributed to another request (package
// quarantine). One that gets a complete answer did not cause its crashes: they are
// dropped, and those of the next minute don't count, since many callers may send the
// same request.
//
// Hosts pass on what is new to them and, in turn, the requests that are refused, so
// that a host that missed a message or has started since learns of them too. Nothing
// here waits for the store: whoever refuses a request first also writes it there, for
// the case that all hosts end at once.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jacinthstage/stage/quarantine"
)

const (
	// newsDuration is how long a change is passed on to other hosts.
	newsDuration = 2 * time.Second
	// maxSightings is the maximum number of sightings passed on at a time.
	maxSightings = 16
	// clearedRetention is how long crashes before a complete answer are ignored when
	// other hosts report them late.
	clearedRetention = time.Minute
)

// A Sighting is what one host tells another about a request: the crashes at which it
// was in progress or, if there are none, that it got a complete answer.
type Sighting struct {
	_       struct{} `cbor:",toarray"`
	Request quarantine.Fingerprint
	Crashes []string
	Age     uint64 // milliseconds since the last crash or the answer
}

// A List is what one host knows of the requests that were in progress at crashes. The
// zero value is empty and ready to use. It is safe for concurrent use.
type List struct {
	size atomic.Int64 // number of requests in history

	mu       sync.Mutex
	history  quarantine.History
	answered answered
	changes  map[quarantine.Fingerprint]change
	refused  map[quarantine.Fingerprint]bool
	outdated bool // refused has to be determined again
}

// A change is the last change of a request.
type change struct {
	crashed time.Time // last crash
	cleared time.Time // last complete answer
	learned time.Time // when this host learned of the change
}

// Empty reports whether no request has crashes.
func (l *List) Empty() bool { return l.size.Load() == 0 }

// Refused reports whether the request is refused, and until when.
func (l *List) Refused(fp quarantine.Fingerprint) (until time.Time, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	if !l.refused[fp] {
		return time.Time{}, false
	}
	_, until = l.history.Crashes(fp)
	return until, true
}

// Crashes returns the IDs of the crashes at which the request was in progress.
func (l *List) Crashes(fp quarantine.Fingerprint) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes, _ := l.history.Crashes(fp)
	return slices.Clone(crashes)
}

// Crashed adds a crash that this host observed. It returns the requests that are
// refused from now on because of it.
func (l *List) Crashed(now time.Time, fp quarantine.Fingerprint, crash string) []quarantine.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	before := l.refused
	l.add(now, now, fp, []string{crash})
	l.determineRefused()
	var newly []quarantine.Fingerprint
	for fp := range l.refused {
		if !before[fp] {
			newly = append(newly, fp)
		}
	}
	return newly
}

// Answered drops the crashes of a request that got a complete answer. It reports
// whether the request was refused.
func (l *List) Answered(now time.Time, fp quarantine.Fingerprint) (wasRefused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	wasRefused = l.refused[fp]
	l.answered.add(now, fp)
	l.clear(now, now, fp)
	return wasRefused
}

// Restore adds the crashes of a refused request that was read from the store.
func (l *List) Restore(now time.Time, fp quarantine.Fingerprint, crashes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(now, now, fp, crashes)
}

// Merge adds what another host told. It returns the requests of which this host did
// not know all crashes.
func (l *List) Merge(now time.Time, all []Sighting) []quarantine.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var learned []quarantine.Fingerprint
	for _, s := range all {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		switch {
		case len(s.Crashes) == 0:
			l.clear(now, at, s.Request)
		case l.add(now, at, s.Request, s.Crashes):
			learned = append(learned, s.Request)
		}
	}
	return learned
}

// add adds crashes, the last of which was at the time at, and reports whether any of
// them is new.
func (l *List) add(now, at time.Time, fp quarantine.Fingerprint, crashes []string) bool {
	c := l.changes[fp]
	if l.answered.recently(now, fp) || !at.After(c.cleared) || !l.history.Add(now, fp, crashes) {
		return false
	}
	c.learned = now
	if at.After(c.crashed) {
		c.crashed = at
	}
	l.setChange(fp, c)
	return true
}

// clear drops the crashes of a request that was answered at the time at.
func (l *List) clear(now, at time.Time, fp quarantine.Fingerprint) {
	c := l.changes[fp]
	if crashes, _ := l.history.Crashes(fp); len(crashes) == 0 || c.crashed.After(at) {
		return
	}
	l.history.Remove(fp)
	c.cleared, c.learned = at, now
	l.setChange(fp, c)
}

func (l *List) setChange(fp quarantine.Fingerprint, c change) {
	if l.changes == nil {
		l.changes = make(map[quarantine.Fingerprint]change)
	}
	l.changes[fp] = c
	l.outdated = true
	l.size.Store(int64(l.history.Len()))
}

// determineRefused updates refused after a change.
func (l *List) determineRefused() {
	if !l.outdated {
		return
	}
	l.outdated = false
	l.refused = make(map[quarantine.Fingerprint]bool)
	for fp := range l.changes {
		if l.history.IsRefused(fp) {
			l.refused[fp] = true
		}
	}
}

// News returns what to tell another host: recent changes, those of refused requests
// first, and one more refused request, chosen at random.
func (l *List) News(now time.Time) []Sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.changes) == 0 {
		return nil
	}
	l.determineRefused()
	var news []quarantine.Fingerprint
	for fp, c := range l.changes {
		if now.Sub(c.learned) <= newsDuration {
			news = append(news, fp)
		}
	}
	slices.SortFunc(news, l.compareNews)
	news = news[:min(len(news), maxSightings-1)]
	for fp := range l.refused {
		if !slices.Contains(news, fp) {
			news = append(news, fp)
			break
		}
	}
	out := make([]Sighting, 0, len(news))
	for _, fp := range news {
		out = append(out, l.sighting(now, fp))
	}
	return out
}

// compareNews orders refused requests before others, and newer changes before older
// ones.
func (l *List) compareNews(a, b quarantine.Fingerprint) int {
	if l.refused[a] != l.refused[b] {
		if l.refused[a] {
			return -1
		}
		return 1
	}
	return cmp.Or(l.changes[b].learned.Compare(l.changes[a].learned), cmp.Compare(a, b))
}

func (l *List) sighting(now time.Time, fp quarantine.Fingerprint) Sighting {
	c := l.changes[fp]
	crashes, _ := l.history.Crashes(fp)
	at := c.crashed
	if len(crashes) == 0 {
		at = c.cleared
	}
	return Sighting{Request: fp, Crashes: crashes, Age: uint64(max(0, now.Sub(at).Milliseconds()))}
}

// Sweep forgets the requests whose time has passed, and returns the number of those
// that are refused.
func (l *List) Sweep(now time.Time) (refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range l.history.Expired(now) {
		l.history.Remove(fp)
	}
	for fp, c := range l.changes {
		if crashes, _ := l.history.Crashes(fp); len(crashes) == 0 && now.Sub(c.cleared) > clearedRetention {
			delete(l.changes, fp)
			l.outdated = true
		}
	}
	l.size.Store(int64(l.history.Len()))
	l.determineRefused()
	return len(l.refused)
}
