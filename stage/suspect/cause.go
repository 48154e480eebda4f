package suspect

import "time"

// crashLimit is the number of crashes without another cause for which a trait is refused.
const crashLimit = 2

// doubtLimit is the number of crashes up to which earlier answers speak for a request whose
// repeats were in progress at all of them.
const doubtLimit = 3

// determineRefused updates the refused traits after a change.
//
// Most of the requests at a crash did nothing to cause it. The trait that was at most
// crashes since its last answer is taken for their cause, and they no longer count
// against the others; then the next one. Traits that were at equally many are all refused:
// nothing tells them apart yet. Example: trait p was at crashes 1, 2 and 3, q at 1 and 2,
// r at 3, 4 and 5. p and r are refused, and q is not, since p explains both of its crashes.
// Repeats some of which are answered come last. They explain nothing, and only other repeats
// explain their crashes: each content that crashes targets is one of theirs.
func (l *List) determineRefused() {
	if !l.outdated {
		return
	}
	l.outdated = false
	l.refused = make(map[Trait]int)
	var open, mixed []Trait
	for t, r := range l.records {
		switch {
		case len(r.crashes) < crashLimit:
		case r.isMixed():
			mixed = append(mixed, t)
		default:
			open = append(open, t)
		}
	}
	l.refuseCauses(open)
	explained := make(map[Crash]bool)
	for t := range l.refused {
		if t.isRepeat() {
			l.explain(t, explained)
		}
	}
	for _, t := range mixed {
		if n := l.unexplained(t, explained); n >= crashLimit {
			l.refused[t] = n
		}
	}
}

// refuseCauses refuses the traits that explain crashes best.
func (l *List) refuseCauses(open []Trait) {
	explained := make(map[Crash]bool)
	for {
		most, causes := l.strongest(open, explained)
		if most < crashLimit {
			return
		}
		for _, t := range causes {
			l.refused[t] = most
			l.explain(t, explained)
		}
	}
}

// strongest returns the traits that were at most of the crashes that aren't explained,
// and their number.
func (l *List) strongest(open []Trait, explained map[Crash]bool) (most int, causes []Trait) {
	for _, t := range open {
		n := l.unexplained(t, explained)
		if n > most {
			most, causes = n, nil
		}
		if n == most {
			causes = append(causes, t)
		}
	}
	return most, causes
}

// explain adds the crashes of a trait to explained.
func (l *List) explain(t Trait, explained map[Crash]bool) {
	for c := range l.records[t].crashes {
		explained[c] = true
	}
}

// unexplained returns the number of a trait's crashes that aren't explained.
func (l *List) unexplained(t Trait, explained map[Crash]bool) int {
	n := 0
	for c := range l.records[t].crashes {
		if !explained[c] {
			n++
		}
	}
	return n
}

// isMixed reports whether some requests with the trait crash targets and others were answered
// meanwhile.
func (r *record) isMixed() bool {
	return len(r.crashes) > 0 && r.answeredAt.After(r.firstCrash())
}

// lastCrash returns the time of the last crash, zero if there is none.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, at := range r.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// firstCrash returns the time of the first crash, zero if there is none.
func (r *record) firstCrash() time.Time {
	var first time.Time
	for _, at := range r.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// hasRelapsed reports whether a trait was at several crashes soon after an answer had cleared it.
func (r *record) hasRelapsed() bool {
	return len(r.crashes) >= crashLimit && r.firstCrash().Sub(r.acquittedAt) <= relapseTime
}
