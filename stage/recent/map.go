// Package recent remembers a bounded number of recent values by key.
package recent

import (
	"iter"
	"time"
)

const (
	// retention is how long at least a value is remembered, if there is room.
	retention = time.Minute
	// maxValues is the number of values in one generation of a Map.
	maxValues = 16384
)

// A Map holds values in two generations, of which the older one is dropped as a whole. The
// zero value is empty and ready to use. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	current, previous map[K]V
	since             time.Time // start of the current generation
}

// Put sets the value of a key.
func (m *Map[K, V]) Put(now time.Time, key K, value V) {
	if m.current == nil || len(m.current) >= maxValues || now.Sub(m.since) > retention {
		m.previous, m.current, m.since = m.current, make(map[K]V), now
	}
	m.current[key] = value
}

// Get returns the value of a key, and whether it is remembered.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if value, ok := m.current[key]; ok {
		return value, true
	}
	value, ok := m.previous[key]
	return value, ok
}

// All returns all values that are remembered, in no order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for key, value := range m.current {
			if !yield(key, value) {
				return
			}
		}
		for key, value := range m.previous {
			if _, newer := m.current[key]; !newer && !yield(key, value) {
				return
			}
		}
	}
}
