// Package presence is the stand-in's list of hosts and targets, which lags
// behind what is true.
package presence

import (
	"sort"
	"sync"
	"time"
)

// An Entry is one host or target.
type Entry struct {
	Name  string `json:"name"`
	State string `json:"state"` // live, leaving or gone
	Kind  string `json:"kind"`  // host or target
}

type pendingChange struct {
	entry     Entry
	visibleAt time.Time
}

// A List holds entries. The zero value is empty and shows changes at once.
type List struct {
	Lag time.Duration // how long a change takes to show

	mu      sync.Mutex
	shown   map[string]Entry
	pending []pendingChange
}

// Put changes an entry, which shows after the lag.
func (l *List) Put(now time.Time, entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{entry, now.Add(l.Lag)})
}

// Entries returns the entries as the platform shows them at now, sorted by name.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shown == nil {
		l.shown = map[string]Entry{}
	}
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.shown[l.pending[0].entry.Name] = l.pending[0].entry
		l.pending = l.pending[1:]
	}
	entries := make([]Entry, 0, len(l.shown))
	for _, entry := range l.shown {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name < entries[j].Name })
	return entries
}
