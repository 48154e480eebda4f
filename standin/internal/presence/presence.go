// Package presence implements the platform's list of hosts and targets, in which
// changes become visible with a delay.
package presence

import (
	"sort"
	"sync"
	"time"
)

// An Entry describes one host or target.
type Entry struct {
	Name  string `json:"name"`
	State string `json:"state"` // live, leaving or gone
	Kind  string `json:"kind"`  // host or target
}

// A pendingChange is a change that is not visible yet.
type pendingChange struct {
	entry     Entry
	visibleAt time.Time
}

// A List holds entries. The zero value is empty and makes changes visible at once.
type List struct {
	Lag time.Duration // delay until a change becomes visible

	mu      sync.Mutex
	visible map[string]Entry
	pending []pendingChange
}

// Put adds or replaces an entry. The change becomes visible after Lag.
func (l *List) Put(now time.Time, entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{entry, now.Add(l.Lag)})
}

// Entries returns the entries that are visible at now, sorted by name.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.visible == nil {
		l.visible = map[string]Entry{}
	}
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible[l.pending[0].entry.Name] = l.pending[0].entry
		l.pending = l.pending[1:]
	}
	entries := make([]Entry, 0, len(l.visible))
	for _, entry := range l.visible {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name < entries[j].Name })
	return entries
}
