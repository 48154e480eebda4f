// Package duration learns how long the requests of each route take.
package duration

import (
	"sync"
	"time"
)

// meanWeight is the weight of a new duration in a mean, as a divisor.
const meanWeight = 8

// A Means holds the mean duration of the requests of each route, of which recent ones count most. The
// zero value knows of none. It is safe for concurrent use.
type Means struct {
	mu    sync.Mutex
	means map[string]time.Duration // by route
}

// Add counts a request.
func (m *Means) Add(route string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.means == nil {
		m.means = make(map[string]time.Duration)
	}
	mean, known := m.means[route]
	if !known {
		mean = took
	}
	m.means[route] = mean + (took-mean)/meanWeight
}

// Of returns the mean of a route, 0 if it is unknown.
func (m *Means) Of(route string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.means[route]
}
