// Package connection decides which connections of callers stay open when a process has as many as
// it may have. A new connection then takes the place of an idle one; else of one whose request
// hasn't arrived whole; else of one whose caller doesn't take its answer. Of each kind the one
// without progress for longest goes first, the last two only after minAge without progress.
// Connections whose requests are being served are never closed. If no other connection can be
// closed, the new one is.
package connection

import (
	"sync"
	"time"
)

// minAge is how long a connection has made no progress until it may be closed for another one,
// unless it is idle.
const minAge = 500 * time.Millisecond

// A State is what a connection is used for.
type State int

// The states of connections, in the order in which they are closed. Serving ones aren't.
const (
	Idle     State = iota // between two requests
	Reading               // a request has not arrived whole
	Writing               // the answer is being written
	Serving               // a request is being served
	stateCnt              // number of states
)

// A Table holds the open connections of callers. The zero value has no limit. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	limit int
	open  map[*Entry]struct{}
	usage Usage
}

// Usage is how many connections there are, and how often there were too many.
type Usage struct {
	Open    int
	Closed  uint64 // for others
	Refused uint64 // new ones
}

// Shortages returns how often there were too many connections.
func (u Usage) Shortages() uint64 { return u.Closed + u.Refused }

// An Entry is one open connection.
type Entry struct {
	table *Table
	state State
	since time.Time // of the state, or of the last progress
	shut  func()
}

// SetLimit sets how many connections may be open. 0 means no limit.
func (t *Table) SetLimit(connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = connections
}

// Usage returns the number of connections.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usage
	u.Open = len(t.open)
	return u
}

// Open adds a connection, and calls the function shut of the one that loses its place, which may
// be the new one. shut must neither block nor call the Table.
func (t *Table) Open(now time.Time, shut func()) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*Entry]struct{})
	}
	e := &Entry{table: t, state: Reading, since: now, shut: shut}
	if t.limit > 0 && len(t.open) >= t.limit {
		loser := t.loser(now)
		if loser == nil {
			t.usage.Refused++
			shut()
			return e
		}
		t.usage.Closed++
		delete(t.open, loser)
		loser.shut()
	}
	t.open[e] = struct{}{}
	return e
}

// CloseIdle calls the function shut of each connection that has been idle for a time.
func (t *Table) CloseIdle(now time.Time, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := range t.open {
		if e.state == Idle && now.Sub(e.since) >= timeout {
			delete(t.open, e)
			e.shut()
		}
	}
}

// loser returns the connection that is closed next, or nil if there is none. t.mu must be held.
func (t *Table) loser(now time.Time) *Entry {
	var oldest [stateCnt]*Entry
	for e := range t.open {
		if e.state != Idle && now.Sub(e.since) < minAge {
			continue
		}
		if o := oldest[e.state]; o == nil || e.since.Before(o.since) {
			oldest[e.state] = e
		}
	}
	for _, state := range []State{Idle, Reading, Writing} {
		if oldest[state] != nil {
			return oldest[state]
		}
	}
	return nil
}

// Set records the state of the connection, or that it has made progress in it. A nil Entry has
// none.
func (e *Entry) Set(now time.Time, state State) {
	if e == nil {
		return
	}
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.state, e.since = state, now
}

// Close removes the connection, which has ended.
func (e *Entry) Close() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	delete(e.table.open, e)
}
