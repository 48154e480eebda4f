package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/host"
)

const (
	// unconfirmedLife is how long a host earns after its lease has ended. It is shorter than
	// host.Memory: a host has stopped before others take over its part.
	unconfirmedLife = 45 * time.Second
	// joinTime is how long after a host is listed others may not know of it and divide the rate among
	// fewer. It earns joinPart of its part until then.
	joinTime = 1500 * time.Millisecond
	joinPart = 0.25
)

// A roster is the hosts among which a rate is divided.
type roster struct {
	hosts       []Host
	count       host.Count // of the listed hosts
	listed      bool       // this host is one of them
	listedAt    time.Time  // since when it is
	confirmedAt time.Time  // when this host's lease was last valid
}

func (r *roster) set(now time.Time, self Host, hosts []Host) {
	r.count.Update(now, len(hosts))
	r.hosts = hosts
	listed := slices.Contains(hosts, self)
	if listed && !r.listed {
		r.listedAt = now
	}
	if listed && r.confirmedAt.IsZero() {
		r.confirmedAt = now // a host is listed while its lease is valid
	}
	r.listed = listed
}

// part returns the part of each rate that this host earns.
func (r *roster) part(now time.Time) float64 {
	if !r.listed || r.count.Most == 0 || now.Sub(r.confirmedAt) > unconfirmedLife {
		return 0
	}
	if now.Sub(r.listedAt) < joinTime {
		return joinPart / float64(r.count.Most)
	}
	return 1 / float64(r.count.Most)
}

// maxCandidates is the number of hosts that may be an account's collector, in order: the first one
// that is there is.
const maxCandidates = 3

// candidates returns the hosts that may be the collector of an account, the first choice first.
func (r *roster) candidates(account uint32) []Host {
	weight := func(h Host) uint64 {
		var key [8]byte
		for i := range 4 {
			key[i], key[4+i] = byte(h>>(8*i)), byte(account>>(8*i))
		}
		return xxhash.Sum64(key[:])
	}
	best := slices.Clone(r.hosts)
	slices.Sort(best)
	best = slices.Compact(best)
	slices.SortFunc(best, func(x, y Host) int {
		if weight(x) > weight(y) {
			return -1
		}
		return 1
	})
	return best[:min(len(best), maxCandidates)]
}
