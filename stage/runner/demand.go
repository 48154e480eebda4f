package runner

import (
	"math"
	"time"

	"jacinthstage/stage/adapter"
)

// halfLife is how long it takes until a past request counts half.
const halfLife = 4 * time.Minute

// demandKept is how many adapters a demand remembers.
const demandKept = 4096

// A demand is the aged request count of each adapter.
type demand struct {
	counts map[adapter.Ref]count
}

type count struct {
	value float64 // at the time of last
	last  time.Time
}

func (c count) at(now time.Time) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.last))/float64(halfLife))
}

func (d *demand) hit(now time.Time, ref adapter.Ref) {
	if d.counts == nil {
		d.counts = map[adapter.Ref]count{}
	}
	d.counts[ref] = count{value: d.counts[ref].at(now) + 1, last: now}
	if len(d.counts) > demandKept {
		d.trim(now)
	}
}

// trim drops the adapters below one aged request, or half of all.
func (d *demand) trim(now time.Time) {
	floor := 1.0
	for len(d.counts) > demandKept/2 {
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
