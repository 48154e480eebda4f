package route

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/adapter"
)

// These constants determine how replica counts follow request rates.
const (
	rateTimeConstant = 30 * time.Second // time constant of the exponential mean of a request rate
	shrinkDelay      = time.Minute      // a replica count shrinks after it has been too high for this long
	maxReplicas      = 64               // maximum number of preferred runners of one adapter
	maxRates         = 1 << 15          // number of tracked adapters above which idle ones are dropped
	baseRunnerShare  = 0.5              // planned share of a runner's batch slots for one adapter at weight 0
)

// A Table holds the runners of one service and the replica counts of its
// adapters. The zero value has no runners.
type Table struct {
	Region string
	Policy Policy // nil means Rendezvous{}
	// Hosts is the number of hosts that share the region's requests evenly. 0
	// counts as 1.
	Hosts int

	runners     []Runner
	serviceTime time.Duration // mean time that a request takes on the engine
	rates       map[adapter.Ref]*rate
	replicas    map[adapter.Ref]int // number of replicas of adapters that have more than one
	set         *runnerSet
	snapshot    *Snapshot
}

// A rate is the request rate of an adapter at this host, as an exponential mean.
type rate struct {
	value    float64 // requests per second as of updated
	updated  time.Time
	shrinkAt time.Time // when the replica count shrinks unless it is needed by then; zero if no shrink is due
}

// at returns the rate decayed to now.
func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}

// SetRunners replaces the runners. Runners that stay keep their load hints.
func (t *Table) SetRunners(runners []Runner) {
	t.runners = runners
	next := &runnerSet{byName: map[string]*runnerState{}}
	for _, runner := range runners {
		r := &runnerState{Runner: runner, hash: xxhash.Sum64String(runner.Name)}
		if t.set != nil && t.set.byName[runner.Name] != nil {
			r.loadHint.Store(t.set.byName[runner.Name].loadHint.Load())
		}
		next.byName[runner.Name] = r
		if runner.Region == t.Region {
			next.local = append(next.local, r)
		} else {
			next.remote = append(next.remote, r)
		}
	}
	next.preferred = preferredRunners(next.local, t.batchingWeight())
	t.set = next
	t.publish()
}

func (t *Table) batchingWeight() float64 {
	if p, ok := t.Policy.(Rendezvous); ok {
		return p.Weight
	}
	return 0
}

// Snapshot returns the current snapshot. It is never nil.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot == nil {
		t.SetRunners(nil)
	}
	return t.snapshot
}

func (t *Table) publish() {
	t.snapshot = &Snapshot{policy: t.Policy, replicas: maps.Clone(t.replicas), set: t.set}
}

// CountRequest counts a request for an adapter and reports whether the snapshot
// changed.
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

// RecordServiceTime adds the time that a request took on its engine to the mean.
func (t *Table) RecordServiceTime(d time.Duration) {
	if t.serviceTime == 0 {
		t.serviceTime = d
	}
	t.serviceTime += (d - t.serviceTime) / 100
}

// Tick updates the replica counts for the decay of request rates and reports
// whether the snapshot changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for ref := range t.replicas {
		if t.adjust(now, ref, t.rates[ref]) {
			changed = true
		}
	}
	return changed
}

// adjust raises the replica count of an adapter at once, and lowers it by one
// after it has been too high for shrinkDelay.
func (t *Table) adjust(now time.Time, ref adapter.Ref, r *rate) bool {
	replicas := max(1, t.replicas[ref])
	need := t.replicasNeeded(r.at(now))
	switch {
	case need > replicas:
		r.shrinkAt = time.Time{}
		return t.setReplicas(ref, need)
	case need == replicas:
		r.shrinkAt = time.Time{}
		return false
	case r.shrinkAt.IsZero():
		r.shrinkAt = now.Add(shrinkDelay)
		return false
	case now.Before(r.shrinkAt):
		return false
	}
	r.shrinkAt = now.Add(shrinkDelay)
	return t.setReplicas(ref, replicas-1)
}

// replicasNeeded returns the number of replicas for a request rate: the number of
// requests in progress divided by the batch slots that a preferred runner plans
// for one adapter.
func (t *Table) replicasNeeded(rate float64) int {
	if len(t.runners) == 0 {
		return 1
	}
	running := rate * float64(max(t.Hosts, 1)) * t.serviceTime.Seconds()
	slots := t.runnerShare() * float64(max(t.runners[0].BatchSize, 1))
	return max(1, min(int(math.Ceil(running/slots)), maxReplicas))
}

// runnerShare returns the planned share of a runner's batch slots for one adapter.
func (t *Table) runnerShare() float64 {
	return baseRunnerShare + (1-baseRunnerShare)*t.batchingWeight()
}

func (t *Table) setReplicas(ref adapter.Ref, n int) bool {
	if n == 1 {
		delete(t.replicas, ref)
	} else {
		t.replicas[ref] = n
	}
	t.publish()
	return true
}

// evictIdleRates drops the rates of adapters with a single replica that have had
// no request for two time constants.
func (t *Table) evictIdleRates(now time.Time) {
	for ref, r := range t.rates {
		if t.replicas[ref] == 0 && now.Sub(r.updated) > 2*rateTimeConstant {
			delete(t.rates, ref)
		}
	}
}
