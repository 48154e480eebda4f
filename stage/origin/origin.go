// Package origin remembers which build began each stream, and which hosts remember it.
//
// A stream may go on only at a target of the build that began it. A caller that takes a
// stream up after its connection broke may reach any host, and the host that served the
// stream may be gone. So the host on which a stream begins tells two others of it, its
// keepers, which follow from a hash of the stream's ID. Any host finds them again without
// knowing where the stream began.
package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/recent"
	"jacinthstage/stage/relay"
)

const (
	// MaxStreamTime is the longest time that a stream is assumed to last if its route sets
	// none.
	MaxStreamTime = 30 * time.Second
	// keepers is the number of hosts that are told of a stream, and asked the number of
	// hosts of a region that are asked for it: the host where it began may be among the
	// first, and one of the first may be new.
	keepers = 2
	asked   = keepers + 1
)

// A Stream identifies a stream by the hash of the ID of the request that brought its first
// event.
type Stream uint64

// NewStream returns the stream that the request with the given ID began.
func NewStream(request string) Stream { return Stream(xxhash.Sum64String(request)) }

// An Origin says where a stream began.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Stream  Stream
	Service string
	Build   string // of the target that sent the first event
}

// A Memory holds the origins of recent streams. The zero value is empty and ready to use. It
// is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	origins recent.Map[Stream, addedOrigin]
}

// An addedOrigin is an origin with the time at which it was added, zero if it was restored.
type addedOrigin struct {
	Origin
	at time.Time
}

// Add records the origin of a stream. The first one counts.
func (m *Memory) Add(now time.Time, o Origin) { m.add(now, o, now) }

// Restore records an origin that another host keeps, which Since doesn't return.
func (m *Memory) Restore(now time.Time, o Origin) { m.add(now, o, time.Time{}) }

func (m *Memory) add(now time.Time, o Origin, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.origins.Get(o.Stream); !known {
		m.origins.Put(now, o.Stream, addedOrigin{o, at})
	}
}

// Find returns the origin of a stream.
func (m *Memory) Find(s Stream) (Origin, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, known := m.origins.Get(s)
	return o.Origin, known
}

// Since returns the origins that were added at or after a time, in the order of the streams.
func (m *Memory) Since(from time.Time) []Origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Origin
	for _, o := range m.origins.All() {
		if !o.at.Before(from) {
			out = append(out, o.Origin)
		}
	}
	slices.SortFunc(out, func(a, b Origin) int { return cmp.Compare(a.Stream, b.Stream) })
	return out
}

// Keepers returns the hosts that the host self tells of a stream: hosts of its region, or of
// others if it has too few.
func Keepers(s Stream, self relay.Host, all []relay.Host) []string {
	var others []relay.Host
	for _, h := range all {
		if h.Name != self.Name {
			others = append(others, h)
		}
	}
	slices.SortFunc(others, func(a, b relay.Host) int {
		if (a.Region == self.Region) != (b.Region == self.Region) {
			if a.Region == self.Region {
				return -1
			}
			return 1
		}
		return compare(s, a, b)
	})
	return names(others[:min(keepers, len(others))])
}

// Asked returns the hosts of a region that know of a stream that began there, if any does.
func Asked(s Stream, region string, all []relay.Host) []string {
	var hosts []relay.Host
	for _, h := range all {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b relay.Host) int { return compare(s, a, b) })
	return names(hosts[:min(asked, len(hosts))])
}

func compare(s Stream, a, b relay.Host) int {
	return cmp.Or(cmp.Compare(weight(s, a), weight(s, b)), cmp.Compare(a.Name, b.Name))
}

func weight(s Stream, h relay.Host) uint64 {
	d := xxhash.NewWithSeed(uint64(s))
	_, _ = d.WriteString(h.Name)
	return d.Sum64()
}

func names(hosts []relay.Host) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}
