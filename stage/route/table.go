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
	rateTimeConstant = 30 * time.Second // time constant of a request rate
	narrowDelay      = time.Minute      // a width shrinks once it was too large for so long
	maxReplicas      = 64               // homes of one adapter
	maxRates         = 1 << 15          // adapters whose rate is kept
	baseRunnerShare  = 0.5              // part of a runner's places that one adapter is meant to take at weight 0
)

// A Table is one service's runners and the widths of its adapters. The zero
// value has no runners.
type Table struct {
	Region string
	Policy Policy // nil means Homes{}
	// Hosts is how many hosts share the region's requests evenly; 0 counts as 1.
	Hosts int

	runners     []Runner
	serviceTime time.Duration // mean time on the engine
	rates       map[adapter.Ref]*rate
	replicas    map[adapter.Ref]int
	set         *runnerSet
	snapshot    *Snapshot
}

// A rate is an adapter's request rate at this host, as an exponential mean.
type rate struct {
	value    float64 // requests a second
	updated  time.Time
	narrowAt time.Time // when the width shrinks unless needed before; zero for not
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}

// SetRunners replaces the runners. Hints of those that stay are kept.
func (t *Table) SetRunners(runners []Runner) {
	t.runners = runners
	next := &runnerSet{byName: map[string]*runnerState{}}
	for _, r := range runners {
		c := &runnerState{Runner: r, hash: xxhash.Sum64String(r.Name)}
		if t.set != nil && t.set.byName[r.Name] != nil {
			c.loadHint.Store(t.set.byName[r.Name].loadHint.Load())
		}
		next.byName[r.Name] = c
		if r.Region == t.Region {
			next.local = append(next.local, c)
		} else {
			next.remote = append(next.remote, c)
		}
	}
	next.preferred = preferredRunners(next.local, t.batchingWeight())
	t.set = next
	t.publish()
}

func (t *Table) batchingWeight() float64 {
	if h, ok := t.Policy.(Rendezvous); ok {
		return h.Weight
	}
	return 0
}

// Snapshot returns the current snapshot, never nil.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot == nil {
		t.SetRunners(nil)
	}
	return t.snapshot
}

func (t *Table) publish() {
	t.snapshot = &Snapshot{policy: t.Policy, replicas: maps.Clone(t.replicas), set: t.set}
}

// CountRequest counts a request and reports whether the snapshot changed.
func (t *Table) CountRequest(now time.Time, ref adapter.Ref) bool {
	if t.set == nil {
		t.SetRunners(nil)
	}
	if t.rates == nil {
		t.rates = map[adapter.Ref]*rate{}
		t.replicas = map[adapter.Ref]int{}
	}
	r := t.rates[ref]
	if r == nil {
		r = &rate{}
		t.rates[ref] = r
	}
	r.value = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updated = now
	if len(t.rates) > maxRates {
		t.evictIdleRates(now)
	}
	return t.adjust(now, ref, r)
}

// RecordServiceTime counts the time that a request took on its engine.
func (t *Table) RecordServiceTime(took time.Duration) {
	if t.serviceTime == 0 {
		t.serviceTime = took
	}
	t.serviceTime += (took - t.serviceTime) / 100
}

// Tick narrows the adapters that have fallen idle, and reports whether the
// snapshot changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for ref := range t.replicas {
		if t.adjust(now, ref, t.rates[ref]) {
			changed = true
		}
	}
	return changed
}

// adjust widens an adapter at once, and narrows it once it was too wide for a while.
func (t *Table) adjust(now time.Time, ref adapter.Ref, r *rate) bool {
	width := max(1, t.replicas[ref])
	need := t.replicasNeeded(r.at(now))
	switch {
	case need > width:
		r.narrowAt = time.Time{}
		return t.setReplicas(ref, need)
	case need == width:
		r.narrowAt = time.Time{}
		return false
	case r.narrowAt.IsZero():
		r.narrowAt = now.Add(narrowDelay)
		return false
	case now.Before(r.narrowAt):
		return false
	}
	r.narrowAt = now.Add(narrowDelay)
	return t.setReplicas(ref, width-1)
}

// replicasNeeded returns the width for a request rate: the requests in progress over the
// places that one home gives to one adapter.
func (t *Table) replicasNeeded(rate float64) int {
	if len(t.runners) == 0 {
		return 1
	}
	running := rate * float64(max(t.Hosts, 1)) * t.serviceTime.Seconds()
	each := t.runnerShare() * float64(max(t.runners[0].Batch, 1))
	return max(1, min(int(math.Ceil(running/each)), maxReplicas))
}

// runnerShare returns the part of a runner's places that one adapter is meant to take.
func (t *Table) runnerShare() float64 {
	return baseRunnerShare + (1-baseRunnerShare)*t.batchingWeight()
}

func (t *Table) setReplicas(ref adapter.Ref, width int) bool {
	if width == 1 {
		delete(t.replicas, ref)
	} else {
		t.replicas[ref] = width
	}
	t.publish()
	return true
}

// evictIdleRates drops the rates of adapters that have had no request for long.
func (t *Table) evictIdleRates(now time.Time) {
	for ref, r := range t.rates {
		if t.replicas[ref] == 0 && now.Sub(r.updated) > 2*rateTimeConstant {
			delete(t.rates, ref)
		}
	}
}
