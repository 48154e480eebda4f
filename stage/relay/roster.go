// Package relay decides which hosts pass on the reports of others, and adds up
// the reports that pass through a host. A report is sent as a Digest.
//
// The hosts of a region are ranked by a hash of their names. The first few are
// relays. Every other host reports to one of them, which passes its report on to
// the other relays and answers with the combined reports of all hosts. In a region
// with few hosts each is a relay and reports to all others itself. A host skips a
// relay that it cannot reach, so hosts may differ in which relays they see. Since
// each host reports only to one that ranks before it, no report returns to its
// origin.
//
// Each report is counted once: to a relay, a host sends its own part and the parts
// of the hosts that report to it; to a host that reports to it, it sends everything
// except the receiver's part.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHostsAllRelays is the number of hosts of a region up to which each is a relay.
	maxHostsAllRelays = 12
	// hostsPerRelay is the number of hosts of a larger region for each relay, and
	// minRelays the minimum number of relays there, so that a region keeps working
	// if one of them fails.
	hostsPerRelay = 14
	minRelays     = 3
	// readersPerRegion is the number of relays of a larger region that read the
	// platform's store for all others.
	readersPerRegion = 2
)

// A Host is a host with its region.
type Host struct{ Name, Region string }

// A Roster knows which hosts are relays and which of them each host reports to.
// Its zero value has no hosts.
type Roster struct {
	regions map[string]string   // by host
	ranked  map[string][]string // by region, the first relays first
}

// NewRoster returns the roster of the given hosts.
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

// Regions returns the regions that have hosts, sorted.
func (r *Roster) Regions() []string {
	var out []string
	for region := range r.ranked {
		out = append(out, region)
	}
	slices.Sort(out)
	return out
}

// EveryHostRelays reports whether each host of a region is a relay.
func (r *Roster) EveryHostRelays(region string) bool {
	return len(r.ranked[region]) <= maxHostsAllRelays
}

// Relays returns the relays of a region. Hosts for which lost returns true are
// replaced by the next in rank.
func (r *Roster) Relays(region string, lost func(name string) bool) []string {
	names := r.ranked[region]
	want := len(names)
	if !r.EveryHostRelays(region) {
		want = max(minRelays, (want+hostsPerRelay-1)/hostsPerRelay)
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

// RelayOf returns the relay that a host reports to. It is empty where the host is
// a relay itself, or where none is known.
func (r *Roster) RelayOf(name string, lost func(name string) bool) string {
	region, ok := r.regions[name]
	if !ok {
		return ""
	}
	relays := r.Relays(region, func(other string) bool { return other != name && lost(other) })
	best, bestHash := "", uint64(0)
	for _, relay := range relays {
		if relay == name {
			return ""
		}
		if h := xxhash.Sum64String(relay + "\x00" + name); best == "" || h > bestHash {
			best, bestHash = relay, h
		}
	}
	return best
}

// Readers returns the hosts of a region that read the platform's store for the
// others. In a region where every host is a relay, each reads it.
func (r *Roster) Readers(region string, lost func(name string) bool) []string {
	relays := r.Relays(region, lost)
	if r.EveryHostRelays(region) {
		return relays
	}
	return relays[:min(readersPerRegion, len(relays))]
}

// ReaderCount returns the number of readers in all regions.
func (r *Roster) ReaderCount() int {
	n := 0
	for region := range r.ranked {
		n += len(r.Readers(region, func(string) bool { return false }))
	}
	return n
}
