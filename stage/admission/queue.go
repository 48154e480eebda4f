package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// waitShare is the part of its latency objective for which a request may wait for room.
	waitShare = 1.0 / 8
	// pollInterval is the time between two polls of a waiting request for room, and pollGap the time
	// between those of two requests, so that they poll in their order.
	pollInterval = 20 * time.Millisecond
	pollGap      = 200 * time.Microsecond
	// maxWaiting is the largest number of requests that wait in one queue.
	maxWaiting = 32
)

// A Queue is the requests for a service that wait on one host for room which may come free in time.
// The most urgent rank polls for it first, and within a rank the request whose deadline is first.
// The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct{ waiting []*Waiter }

// A Waiter is a request in a Queue.
type Waiter struct {
	rank     int
	deadline time.Time
	until    time.Time // it waits no longer
}

// Join adds a request with a latency objective to the queue. It returns false if the queue is full of
// requests that go before it; a queue that is full otherwise loses its last request.
func (l *Queue) Join(now time.Time, rank int, objective, deadline time.Time) (*Waiter, bool) {
	w := &Waiter{rank: rank, deadline: deadline, until: now.Add(time.Duration(waitShare * float64(objective.Sub(now))))}
	if !now.Before(w.until) {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *Waiter) int {
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

// order says which of two requests polls first.
func order(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline))
}

// Next returns when a waiting request polls for room next. It returns false if it waits no longer.
func (l *Queue) Next(now time.Time, w *Waiter) (time.Time, bool) {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return time.Time{}, false
	}
	next := now.Truncate(pollInterval).Add(pollInterval + time.Duration(i)*pollGap)
	if next.After(w.until) {
		return time.Time{}, false
	}
	return next, true
}

// Leave takes a request out of the queue.
func (l *Queue) Leave(w *Waiter) {
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}
