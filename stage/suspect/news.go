package suspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// newsDuration is how long a change is passed on to other hosts.
	newsDuration = 2 * time.Second
	// maxTransit is the time that a sighting may be under way. By as much, ages that hosts
	// pass on come out too low.
	maxTransit = 500 * time.Millisecond
	// maxSightings is the maximum number of sightings passed on at a time.
	maxSightings = 16
)

// A Sighting is what one host tells another about a trait.
type Sighting struct {
	_        struct{} `cbor:",toarray"`
	Trait    Trait
	Crashes  []CrashAge // at which requests with the trait were in progress
	Answered uint64     // 1 + milliseconds since the last answer to such a request; 0 if none is known. Crashes before it don't count, unless they are listed
	Trials   int        // steps of waiting used up by requests that were sent although the trait is refused
	Tried    uint64     // milliseconds since the last of them
}

// A CrashAge is a crash and how long ago it was.
type CrashAge struct {
	_     struct{} `cbor:",toarray"`
	Crash Crash
	Age   uint64 // milliseconds
}

// isMixed reports whether the answer did not clear the trait: crashes before it still count.
func (s Sighting) isMixed() bool {
	return s.Trait.isRepeat() && slices.ContainsFunc(s.Crashes, func(c CrashAge) bool { return c.Age >= s.Answered })
}

// Merge adds what another host told. It returns the traits of which this host did not know
// all crashes.
func (l *List) Merge(now time.Time, all []Sighting) []Trait {
	l.mu.Lock()
	defer l.mu.Unlock()
	var learned []Trait
	for _, s := range all {
		if l.merge(now, s) {
			learned = append(learned, s.Trait)
		}
	}
	return learned
}

func (l *List) merge(now time.Time, s Sighting) (learned bool) {
	ago := func(ms uint64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	at := ago(s.Answered - 1)
	switch {
	case s.Answered == 0:
	case s.Trait.isExact():
		l.learnProof(now, at, s.Trait)
	case s.isMixed():
		defer l.mix(now, at, s.Trait)
	case at.Sub(l.answered.last(s.Trait)) > maxTransit:
		l.clear(now, at, s.Trait)
	}
	for _, c := range s.Crashes {
		learned = l.add(now, ago(c.Age), s.Trait, c.Crash) || learned
	}
	if r := l.records[s.Trait]; r != nil && s.Trials > r.trials && len(r.crashes) > 0 {
		r.trials, r.triedAt, r.learned = s.Trials, ago(s.Tried), now
	}
	return learned
}

// learnProof records that a request was answered on another host, and passes it on.
func (l *List) learnProof(now, at time.Time, t Trait) {
	if at.Sub(l.answered.last(t)) <= maxTransit {
		return
	}
	l.answered.add(now, at, t)
	l.record(t).learned = now
}

// News returns what to tell another host: recent changes, those of traits with several
// crashes first, and one more refused trait, chosen at random.
func (l *List) News(now time.Time) []Sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == 0 {
		return nil
	}
	l.determineRefused()
	var news []Trait
	for t, r := range l.records {
		if now.Sub(r.learned) <= newsDuration {
			news = append(news, t)
		}
	}
	rand.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
	slices.SortStableFunc(news, func(a, b Trait) int { return cmp.Compare(l.newsRank(a), l.newsRank(b)) })
	news = news[:min(len(news), maxSightings-1)]
	for t := range l.refused {
		if !slices.Contains(news, t) {
			news = append(news, t)
			break
		}
	}
	out := make([]Sighting, 0, len(news))
	for _, t := range news {
		out = append(out, l.sighting(now, t))
	}
	return out
}

// newsRank returns 0 for traits that are refused, 1 for others with several crashes and for
// proofs, and 2 for the rest, which are many.
func (l *List) newsRank(t Trait) int {
	switch {
	case l.refused[t] > 0:
		return 0
	case len(l.records[t].crashes) >= crashLimit || t.isExact():
		return 1
	default:
		return 2
	}
}

func (l *List) sighting(now time.Time, t Trait) Sighting {
	age := func(at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }
	r := l.records[t]
	s := Sighting{Trait: t, Trials: r.trials}
	for c, at := range r.crashes {
		s.Crashes = append(s.Crashes, CrashAge{Crash: c, Age: age(at)})
	}
	if at := l.answered.last(t); r.isMixed() {
		s.Answered = 1 + age(r.answeredAt)
	} else if !at.IsZero() {
		s.Answered = 1 + age(at)
	}
	if r.trials > 0 {
		s.Tried = age(r.triedAt)
	}
	return s
}
