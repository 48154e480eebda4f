// Package relay decides which hosts pass on what others tell, and adds up what
// passes through a host.
//
// The hosts of a region are ranked by a hash of their names. The first few are
// relays; every other host reports to one of them, which passes its report on to
// the other relays and answers with what all hosts together tell. Where there
// are few hosts each is a relay and tells all others itself. A host that can't
// reach a relay passes over it, so hosts may differ in which relays they see; since
// each reports only to a host that ranks before it, no report comes back to
// where it began.
//
// What is passed on is counted once: a host sends upwards and sideways its own
// part with the parts of those that report to it, and downwards everything but
// the receiver's part.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// all is the number of hosts of a region up to which each is a relay.
	all = 12
	// served is the number of hosts of a region for each relay beyond that, and
	// fewest the least number of relays: the loss of one must not be felt.
	served = 14
	fewest = 3
	// reading is the number of relays of a region that read the platform's store
	// for all others, where there are more hosts than that.
	reading = 2
)

// A Host is one host with its region.
type Host struct{ Name, Region string }

// A Roster knows who passes on what. Its zero value has no hosts.
type Roster struct {
	regions map[string]string
	ranked  map[string][]string // by region, the first relays first
}

// NewRoster returns the roster of some hosts.
func NewRoster(hosts []Host) *Roster {
	r := &Roster{regions: make(map[string]string, len(hosts)), ranked: make(map[string][]string)}
	for _, h := range hosts {
		r.regions[h.Name] = h.Region
		r.ranked[h.Region] = append(r.ranked[h.Region], h.Name)
	}
	for _, names := range r.ranked {
		slices.SortFunc(names, func(x, y string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(x), xxhash.Sum64String(y)), cmp.Compare(x, y))
		})
	}
	return r
}

// Regions returns the regions that have hosts.
func (r *Roster) Regions() []string {
	var out []string
	for region := range r.ranked {
		out = append(out, region)
	}
	slices.Sort(out)
	return out
}

// EveryHostRelays reports whether each host of a region is a relay.
func (r *Roster) EveryHostRelays(region string) bool { return len(r.ranked[region]) <= all }

// Relays returns the relays of a region, those aside for which lost holds.
func (r *Roster) Relays(region string, lost func(name string) bool) []string {
	names := r.ranked[region]
	want := len(names)
	if !r.EveryHostRelays(region) {
		want = max(fewest, (want+served-1)/served)
	}
	out := make([]string, 0, want)
	for _, name := range names {
		if len(out) == want {
			break
		}
		if !lost(name) {
			out = append(out, name)
		}
	}
	return out
}

// RelayOf returns the relay to which a host reports, empty where it is one itself or
// none is known.
func (r *Roster) RelayOf(name string, lost func(name string) bool) string {
	region, ok := r.regions[name]
	if !ok {
		return ""
	}
	relays := r.Relays(region, func(other string) bool { return other != name && lost(other) })
	best, most := "", uint64(0)
	for _, relay := range relays {
		if relay == name {
			return ""
		}
		if w := xxhash.Sum64String(relay + "\x00" + name); best == "" || w > most {
			best, most = relay, w
		}
	}
	return best
}

// Readers returns the hosts of a region that read the platform's store for the
// others: each host where there are few.
func (r *Roster) Readers(region string, lost func(name string) bool) []string {
	relays := r.Relays(region, lost)
	if r.EveryHostRelays(region) {
		return relays
	}
	return relays[:min(reading, len(relays))]
}

// ReaderCount returns the number of readers in all regions.
func (r *Roster) ReaderCount() int {
	n := 0
	for region := range r.ranked {
		n += len(r.Readers(region, func(string) bool { return false }))
	}
	return n
}
