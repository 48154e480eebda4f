// Package suspect finds what crashes the targets that run it, from what hosts tell each
// other: a request that comes again and again, as it is or with another query, or a part that
// the prompts of different requests share. All of these are traits of requests.
//
// A host that has a request in progress at the end of a target's process adds the crash to
// each trait of the request, unless the target had been answering it for a while. A crash
// has the same ID on every host. A request that is answered did not crash its target, and
// neither did any of its traits: their crashes before that answer, and for a short time
// after it, don't count. So parts that many requests share are never suspected for long.
//
// What a caller's repeats have in common is wider than the bytes of each, so an answer speaks
// for these bytes first. The first answer to bytes that the host doesn't know clears the trait
// of the repeats, unless it has crashed targets again right after it was cleared; further ones
// clear only the crashes at which the same bytes were in progress. While the trait is refused,
// the same bytes are let through once they were answered, on all hosts. Otherwise a sound
// request that a caller sends all the time would hide one that crashes targets beside it. Nor do
// repeats some of which are answered explain a crash: what was never answered goes first.
//
// A trait with two crashes that no other trait explains better is refused. What looks like
// the cause and isn't has to be cleared, although it is refused: now and then one request
// with a refused trait is sent. Its answer clears the trait; a crash makes the next wait
// longer.
//
// Hosts pass on what is new to them and, in turn, the refused traits, so that a host that
// missed a message or has started since learns of them too. Nothing here waits for the
// store: refused traits are also written there, for the case that all hosts end at once.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCrashes is the number of crashes kept for one trait.
	maxCrashes = 32
	// maxRecords is the number of traits kept.
	maxRecords = 4096
	// suspectRetention is how long a trait with one crash is kept, refusedRetention one
	// with more, and clearedRetention one without: other hosts may report earlier crashes
	// late.
	suspectRetention = time.Hour
	refusedRetention = 24 * time.Hour
	clearedRetention = time.Minute
	// relapseTime is how soon after an answer has cleared repeats a crash shows that it spoke
	// for its own bytes only.
	relapseTime = 10 * time.Second
	// proofInterval is the time between two messages that the same request was answered.
	proofInterval = 20 * time.Second
)

// A List is what one host knows of the traits of requests that were in progress at
// crashes. The zero value is empty and ready to use. It is safe for concurrent use.
type List struct {
	size atomic.Int64 // number of records

	mu       sync.Mutex
	self     string
	hosts    []string
	records  map[Trait]*record
	answered answered
	refused  map[Trait]int // refused traits, with the crashes that nothing else explains
	outdated bool          // refused has to be determined again
}

// A record is what is known of a trait that was at crashes.
type record struct {
	crashes map[Crash]time.Time // since the last answer that cleared the trait
	cleared map[Crash]bool      // crashes that don't count any more, also where another host's clock says otherwise
	learned time.Time           // when this host learned of the last change
	trials  int                 // steps of trialWaits that trials have used up since the last answer
	triedAt time.Time           // time of the last trial
	// answeredAt is the time of the last answer that did not clear the trait, which is one of
	// repeats. Zero if there was none.
	answeredAt time.Time
	// acquittedAt is when an answer last cleared the trait while it was at several crashes.
	acquittedAt time.Time
}

// Empty reports whether nothing is suspected.
func (l *List) Empty() bool { return l.size.Load() == 0 }

// A Decision says whether a request may be sent: Allowed, Trial or Refuse.
type Decision interface{ decision() }

// Allowed says that nothing speaks against the request, or that an answer to the same bytes
// of the same caller outweighs its refused trait Despite.
type Allowed struct{ Despite Trait }

// Trial says that the request may be sent once, to find out whether its refused trait
// crashes targets.
type Trial struct{ Trait Trait }

// Refuse says that the request must not be sent. It may be once a trial is due.
type Refuse struct {
	Trait Trait
	Until time.Time
}

func (Allowed) decision() {}
func (Trial) decision()   {}
func (Refuse) decision()  {}

// Check decides whether a request may be sent. A Trial counts as sent.
func (l *List) Check(now time.Time, r Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	var refused []Trait
	for _, t := range r.Traits() {
		if l.refused[t] > 0 {
			refused = append(refused, t)
		}
	}
	switch {
	case len(refused) == 0:
		return Allowed{}
	case len(refused) == 1 && refused[0] == r.Repeat && l.isProven(r):
		return Allowed{Despite: r.Repeat}
	}
	factor := time.Duration(1)
	if r.isAmbiguous(refused) {
		factor = ambiguousFactor
	}
	last := Refuse{}
	for _, t := range refused {
		if due := l.trialDue(t, factor); due.After(last.Until) {
			last = Refuse{Trait: t, Until: due}
		}
	}
	if now.Before(last.Until) {
		return last
	}
	for _, t := range refused {
		l.try(now, t)
	}
	return Trial{Trait: last.Trait}
}

// isProven reports whether the same bytes of the same caller have been answered since the first
// crash at which a repeat of them was in progress, or before it, if there were few crashes and
// none with these bytes.
func (l *List) isProven(r Request) bool {
	repeat, last := l.records[r.Repeat], l.answered.last(r.Exact)
	if repeat == nil || last.IsZero() {
		return false
	}
	if last.After(repeat.firstCrash()) {
		return true
	}
	content := l.records[r.Content]
	return len(repeat.crashes) <= doubtLimit && (content == nil || len(content.crashes) == 0)
}

// IsRefused reports whether requests with the trait are refused.
func (l *List) IsRefused(t Trait) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	return l.refused[t] > 0
}

// Refused returns the traits that are refused.
func (l *List) Refused() []Trait {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	return slices.Sorted(maps.Keys(l.refused))
}

// Record returns what to store of a trait, and whether it is refused.
func (l *List) Record(t Trait) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	r := l.records[t]
	if r == nil || l.refused[t] == 0 {
		return Record{}, false
	}
	return Record{Crashes: slices.Sorted(maps.Keys(r.crashes)), Expires: r.lastCrash().Add(refusedRetention)}, true
}

// Crashes returns the number of crashes at which requests with the trait were in progress
// since the last answer to one.
func (l *List) Crashes(t Trait) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[t]; r != nil {
		return len(r.crashes)
	}
	return 0
}

// Crashed adds a crash at the time at, which this host observed, to the traits of a request.
// It returns those of them that are refused, and the others that are refused from now on
// because of it.
func (l *List) Crashed(now, at time.Time, r Request, crash Crash) []Trait {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	before := l.refused
	traits := r.Traits()
	for _, t := range traits {
		if !l.answered.exempts(t, at) {
			l.add(now, at, t, crash)
		}
	}
	l.determineRefused()
	var out []Trait
	for t := range l.refused {
		if before[t] == 0 || slices.Contains(traits, t) {
			out = append(out, t)
		}
	}
	return out
}

// A Cleared is a trait whose crashes an answer has dropped, all or some of them.
type Cleared struct {
	Trait   Trait
	Crashes int  // that were dropped
	Refused bool // the trait was refused before
}

// Answered drops the crashes of a request's traits that its answer speaks against. trial means
// that the request was sent as one.
func (l *List) Answered(now time.Time, r Request, trial bool) []Cleared {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.determineRefused()
	var out []Cleared
	dropped := func(t Trait, crashes int) {
		if crashes > 0 {
			out = append(out, Cleared{Trait: t, Crashes: crashes, Refused: l.refused[t] > 0})
		}
	}
	if r.Repeat != 0 && l.speaksForRepeats(r, trial) {
		dropped(r.Repeat, l.clear(now, now, r.Repeat))
	} else if r.Repeat != 0 {
		dropped(r.Repeat, l.clearShared(now, r))
		l.mix(now, now, r.Repeat)
	}
	l.prove(now, r)
	if r.Content != 0 {
		dropped(r.Content, l.clear(now, now, r.Content))
	}
	for _, t := range r.Parts {
		dropped(t, l.clear(now, now, t))
	}
	return out
}

// speaksForRepeats reports whether an answer to a request clears what its repeats share.
func (l *List) speaksForRepeats(r Request, trial bool) bool {
	if record := l.records[r.Repeat]; record != nil && record.hasRelapsed() {
		return false
	}
	return trial || l.answered.last(r.Exact).IsZero()
}

// prove records that a request was answered. While its repeats are refused, the other hosts
// learn of it.
func (l *List) prove(now time.Time, r Request) {
	if r.Exact == 0 {
		return
	}
	l.answered.add(now, now, r.Exact)
	if l.refused[r.Repeat] == 0 {
		return
	}
	if proof := l.record(r.Exact); now.Sub(proof.learned) > proofInterval {
		proof.learned = now
	}
}

// Restore adds the crashes of a refused trait that was read from the store.
func (l *List) Restore(now time.Time, t Trait, crashes []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range crashes {
		l.add(now, now, t, c)
	}
}

// add adds a crash at the time at, and reports whether it is new and counts. If it doesn't
// count because of an answer, the other hosts are told of that answer.
func (l *List) add(now, at time.Time, t Trait, crash Crash) bool {
	r := l.record(t)
	if r.cleared[crash] || l.answered.exempts(t, at) {
		r.cleared[crash] = true
		if now.Sub(r.learned) > newsDuration {
			r.learned = now
		}
		return false
	}
	if !r.crashes[crash].IsZero() || len(r.crashes) >= maxCrashes {
		return false
	}
	r.crashes[crash], r.learned = at, now
	l.outdated = true
	return true
}

// record returns the record of a trait, which is created if there is none.
func (l *List) record(t Trait) *record {
	if l.records == nil {
		l.records = make(map[Trait]*record)
	}
	if l.records[t] == nil {
		if len(l.records) >= maxRecords {
			l.dropWeakest()
		}
		l.records[t] = &record{crashes: make(map[Crash]time.Time), cleared: make(map[Crash]bool)}
		l.size.Store(int64(len(l.records)))
	}
	return l.records[t]
}

// dropWeakest drops the record with the fewest crashes, the oldest of these.
func (l *List) dropWeakest() {
	var weakest Trait
	var of *record
	for t, r := range l.records {
		if of == nil || cmp.Or(cmp.Compare(len(r.crashes), len(of.crashes)), r.learned.Compare(of.learned)) < 0 {
			weakest, of = t, r
		}
	}
	delete(l.records, weakest)
	l.outdated = true
}

// clear drops the crashes of a trait before the answer to a request at the time at, and those
// shortly after it. It returns their number.
func (l *List) clear(now, at time.Time, t Trait) int {
	l.answered.add(now, at, t)
	dropped := l.drop(now, t, func(_ Crash, crash time.Time) bool { return crash.Sub(at) <= exemptionOf(t) })
	if dropped > 0 {
		l.records[t].trials, l.records[t].triedAt = 0, time.Time{}
	}
	if dropped >= crashLimit {
		l.records[t].acquittedAt = at
	}
	return dropped
}

// clearShared drops the crashes of a request's repeats at which the same bytes were in progress,
// and returns their number.
func (l *List) clearShared(now time.Time, r Request) int {
	content := l.records[r.Content]
	if content == nil {
		return 0
	}
	return l.drop(now, r.Repeat, func(c Crash, _ time.Time) bool { return content.cleared[c] || !content.crashes[c].IsZero() })
}

// mix records that some requests with the trait of repeats are answered.
func (l *List) mix(now, at time.Time, t Trait) {
	r := l.records[t]
	if r == nil || !at.After(r.answeredAt) {
		return
	}
	before := r.isMixed()
	r.answeredAt = at
	if !before && r.isMixed() {
		r.learned = now
		l.outdated = true
	}
}

// drop drops the crashes of a trait that don't count any more, and returns their number.
func (l *List) drop(now time.Time, t Trait, refuted func(Crash, time.Time) bool) int {
	r := l.records[t]
	if r == nil {
		return 0
	}
	before := len(r.crashes)
	for c, at := range r.crashes {
		if refuted(c, at) {
			delete(r.crashes, c)
			r.cleared[c] = true
		}
	}
	if len(r.crashes) == before {
		return 0
	}
	r.learned = now
	l.outdated = true
	return before - len(r.crashes)
}

// Sweep forgets the traits whose time has passed, and returns the number of those that are
// refused.
func (l *List) Sweep(now time.Time) (refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, r := range l.records {
		if !now.Before(r.expires()) {
			delete(l.records, t)
			l.outdated = true
		}
	}
	l.size.Store(int64(len(l.records)))
	l.determineRefused()
	return len(l.refused)
}

// expires returns the time at which a record is forgotten.
func (r *record) expires() time.Time {
	switch len(r.crashes) {
	case 0:
		return r.learned.Add(clearedRetention)
	case 1:
		return r.lastCrash().Add(suspectRetention)
	default:
		return r.lastCrash().Add(refusedRetention)
	}
}
