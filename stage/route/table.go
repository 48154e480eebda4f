package route

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/adapter"
)

// How widths follow request rates.
const (
	rateLife  = 30 * time.Second // time constant of a request rate
	shrinks   = time.Minute      // a width shrinks once it was too large for so long
	widest    = 64               // homes of one adapter
	rated     = 1 << 15          // adapters whose rate is kept
	homeShare = 0.5              // part of a runner's places that one adapter is meant to take at weight 0
)

// A Table is one service's runners and the widths of its adapters. The zero
// value has no runners.
type Table struct {
	Region string
	Policy Policy // nil means Homes{}
	// Hosts is how many hosts share the region's requests evenly; 0 counts as 1.
	Hosts int

	runners []Runner
	service time.Duration // mean time on the engine
	rates   map[adapter.Ref]*rate
	widths  map[adapter.Ref]int
	ring    *ring
	current *Snapshot
}

// A rate is an adapter's request rate at this host, as an exponential mean.
type rate struct {
	value  float64 // requests a second
	last   time.Time
	narrow time.Time // when the width shrinks unless needed before; zero for not
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.last).Seconds()/rateLife.Seconds())
}

// SetRunners replaces the runners. Hints of those that stay are kept.
func (t *Table) SetRunners(runners []Runner) {
	t.runners = runners
	next := &ring{cells: map[string]*cell{}}
	for _, r := range runners {
		c := &cell{Runner: r, hash: xxhash.Sum64String(r.Name)}
		if t.ring != nil && t.ring.cells[r.Name] != nil {
			c.hint.Store(t.ring.cells[r.Name].hint.Load())
		}
		next.cells[r.Name] = c
		if r.Region == t.Region {
			next.near = append(next.near, c)
		} else {
			next.far = append(next.far, c)
		}
	}
	next.core = core(next.near, t.weight())
	t.ring = next
	t.publish()
}

func (t *Table) weight() float64 {
	if h, ok := t.Policy.(Rendezvous); ok {
		return h.Weight
	}
	return 0
}

// Snapshot returns the current snapshot, never nil.
func (t *Table) Snapshot() *Snapshot {
	if t.current == nil {
		t.SetRunners(nil)
	}
	return t.current
}

func (t *Table) publish() {
	t.current = &Snapshot{policy: t.Policy, widths: maps.Clone(t.widths), ring: t.ring}
}

// CountRequest counts a request and reports whether the snapshot changed.
func (t *Table) CountRequest(now time.Time, ref adapter.Ref) bool {
	if t.ring == nil {
		t.SetRunners(nil)
	}
	if t.rates == nil {
		t.rates = map[adapter.Ref]*rate{}
		t.widths = map[adapter.Ref]int{}
	}
	r := t.rates[ref]
	if r == nil {
		r = &rate{}
		t.rates[ref] = r
	}
	r.value = r.at(now) + 1/rateLife.Seconds()
	r.last = now
	if len(t.rates) > rated {
		t.trim(now)
	}
	return t.adjust(now, ref, r)
}

// RecordServiceTime counts the time that a request took on its engine.
func (t *Table) RecordServiceTime(took time.Duration) {
	if t.service == 0 {
		t.service = took
	}
	t.service += (took - t.service) / 100
}

// Tick narrows the adapters that have fallen idle, and reports whether the
// snapshot changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for ref := range t.widths {
		if t.adjust(now, ref, t.rates[ref]) {
			changed = true
		}
	}
	return changed
}

// adjust widens an adapter at once, and narrows it once it was too wide for a while.
func (t *Table) adjust(now time.Time, ref adapter.Ref, r *rate) bool {
	width := max(1, t.widths[ref])
	need := t.need(r.at(now))
	switch {
	case need > width:
		r.narrow = time.Time{}
		return t.resize(ref, need)
	case need == width:
		r.narrow = time.Time{}
		return false
	case r.narrow.IsZero():
		r.narrow = now.Add(shrinks)
		return false
	case now.Before(r.narrow):
		return false
	}
	r.narrow = now.Add(shrinks)
	return t.resize(ref, width-1)
}

// need returns the width for a request rate: the requests in progress over the
// places that one home gives to one adapter.
func (t *Table) need(rate float64) int {
	if len(t.runners) == 0 {
		return 1
	}
	running := rate * float64(max(t.Hosts, 1)) * t.service.Seconds()
	each := t.share() * float64(max(t.runners[0].BatchSize, 1))
	return max(1, min(int(math.Ceil(running/each)), widest))
}

// share returns the part of a runner's places that one adapter is meant to take.
func (t *Table) share() float64 {
	return homeShare + (1-homeShare)*t.weight()
}

func (t *Table) resize(ref adapter.Ref, width int) bool {
	if width == 1 {
		delete(t.widths, ref)
	} else {
		t.widths[ref] = width
	}
	t.publish()
	return true
}

// trim drops the rates of adapters that have had no request for long.
func (t *Table) trim(now time.Time) {
	for ref, r := range t.rates {
		if t.widths[ref] == 0 && now.Sub(r.last) > 2*rateLife {
			delete(t.rates, ref)
		}
	}
}
