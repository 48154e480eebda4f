package peer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// A Volume counts the bytes of messages to and from the peers of one region.
// What QUIC and UDP add is not in it.
type ByteCounter struct{ sent, received atomic.Uint64 }

// Sent returns the bytes sent so far.
func (v *ByteCounter) Sent() uint64 { return v.sent.Load() }

// Received returns the bytes received so far.
func (v *ByteCounter) Received() uint64 { return v.received.Load() }

// A meter holds the volumes by region.
type meter struct {
	mu      sync.RWMutex
	regions map[string]*ByteCounter
}

func (m *meter) of(region string) *ByteCounter {
	m.mu.RLock()
	v := m.regions[region]
	m.mu.RUnlock()
	if v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.regions == nil {
		m.regions = map[string]*ByteCounter{}
	}
	if m.regions[region] == nil {
		m.regions[region] = &ByteCounter{}
	}
	return m.regions[region]
}

// Bytes returns the count for a region.
func (l *Link) Bytes(region string) *ByteCounter { return l.meter.of(region) }

// Regions returns the regions with a count, sorted.
func (l *Link) Regions() []string {
	l.meter.mu.RLock()
	defer l.meter.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.meter.regions))
}
