package runner

import (
	"math"
	"time"

	"jacinthstage/stage/adapter"
)

// halfLife is the time after which a past request counts half.
const halfLife = 4 * time.Minute

// maxDemandEntries is the number of adapters that a demand keeps.
const maxDemandEntries = 4096

// demand holds an exponentially decaying request count for each adapter.
type demand struct {
	counts map[adapter.Ref]count
}

type count struct {
	value float64 // the count at the time of last
	last  time.Time
}

func (c count) at(now time.Time) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.last))/float64(halfLife))
}

// record counts one request for ref.
func (d *demand) record(now time.Time, ref adapter.Ref) {
	if d.counts == nil {
		d.counts = map[adapter.Ref]count{}
	}
	d.counts[ref] = count{value: d.counts[ref].at(now) + 1, last: now}
	if len(d.counts) > maxDemandEntries {
		d.trim(now)
	}
}

// trim removes the adapters whose count is below one request. It doubles that
// threshold until at most half of maxDemandEntries remain.
func (d *demand) trim(now time.Time) {
	floor := 1.0
	for len(d.counts) > maxDemandEntries/2 {
		for ref, c := range d.counts {
			if c.at(now) < floor {
				delete(d.counts, ref)
			}
		}
		floor *= 2
	}
}

func (d *demand) rate(now time.Time, ref adapter.Ref) float64 { return d.counts[ref].at(now) }

func (d *demand) last(ref adapter.Ref) time.Time { return d.counts[ref].last }
