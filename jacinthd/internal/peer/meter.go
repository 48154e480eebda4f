package peer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// A ByteCounter counts the bytes of messages to and from the peers of one region,
// without the overhead of QUIC and UDP.
type ByteCounter struct{ sent, received atomic.Uint64 }

// Sent returns the number of bytes sent.
func (b *ByteCounter) Sent() uint64 { return b.sent.Load() }

// Received returns the number of bytes received.
func (b *ByteCounter) Received() uint64 { return b.received.Load() }

// byteCounters holds the byte counters by region.
type byteCounters struct {
	mu      sync.RWMutex
	regions map[string]*ByteCounter
}

// forRegion returns the counter of a region, and creates it on first use.
func (c *byteCounters) forRegion(region string) *ByteCounter {
	c.mu.RLock()
	counter := c.regions[region]
	c.mu.RUnlock()
	if counter != nil {
		return counter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.regions == nil {
		c.regions = map[string]*ByteCounter{}
	}
	if c.regions[region] == nil {
		c.regions[region] = &ByteCounter{}
	}
	return c.regions[region]
}

// Bytes returns the byte counter of a region.
func (l *Link) Bytes(region string) *ByteCounter { return l.counters.forRegion(region) }

// Regions returns the sorted names of the regions that have a byte counter.
func (l *Link) Regions() []string {
	l.counters.mu.RLock()
	defer l.counters.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.counters.regions))
}
