package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// waitShare is the part of its latency objective for which a request may wait for room.
	waitShare = 1.0 / 8
	// lookInterval is the time between two looks of a waiting request for room, and lookGap the time
	// between those of two requests, so that they look in their order.
	lookInterval = 20 * time.Millisecond
	lookGap      = 200 * time.Microsecond
	// maxWaiting is the largest number of requests that wait in one line.
	maxWaiting = 32
)

// A Line is the requests for a service that wait on one host for room which may come free in time.
// The most urgent rank looks for it first, and within a rank the request whose deadline is first.
// The zero value is an empty line. It is not safe for concurrent use.
type Line struct{ waiting []*Waiting }

// A Waiting is a request in a Line.
type Waiting struct {
	rank     int
	deadline time.Time
	until    time.Time // it waits no longer
}

// Join adds a request with a latency objective to the line. It returns false if the line is full of
// requests that go before it; a line that is full otherwise loses its last request.
func (l *Line) Join(now time.Time, rank int, objective, deadline time.Time) (*Waiting, bool) {
	w := &Waiting{rank: rank, deadline: deadline, until: now.Add(time.Duration(waitShare * float64(objective.Sub(now))))}
	if !now.Before(w.until) {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *Waiting) int {
		if order(a, b) <= 0 {
			return -1
		}
		return 1
	})
	if i >= maxWaiting {
		return nil, false
	}
	l.waiting = slices.Insert(l.waiting, i, w)
	l.waiting = l.waiting[:min(len(l.waiting), maxWaiting)]
	return w, true
}

// order says which of two requests looks first.
func order(a, b *Waiting) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline))
}

// Next returns when a waiting request looks for room next. It returns false if it waits no longer.
func (l *Line) Next(now time.Time, w *Waiting) (time.Time, bool) {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return time.Time{}, false
	}
	next := now.Truncate(lookInterval).Add(lookInterval + time.Duration(i)*lookGap)
	if next.After(w.until) {
		return time.Time{}, false
	}
	return next, true
}

// Leave takes a request out of the line.
func (l *Line) Leave(w *Waiting) {
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}
