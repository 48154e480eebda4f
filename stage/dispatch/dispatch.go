// Package dispatch decides where a request goes, whether it waits for its
// adapter, and when it is refused.
//
// A Board knows the targets, what this host has sent to each, what each last said
// of its load, and which adapters each holds. Every host sends straight to any
// target; only the owner of a runner orders adapters onto it. A request that no
// runner with its adapter can serve soon waits for a load on a runner that this
// host owns.
//
// The measure of all choices is the expected time to the first byte: distance,
// wait for a load, prompts that are read before, the own prompt as far as it
// isn't cached, and the wait for a place. A request that can't be answered before
// its deadline is refused at once.
//
// A Board may be used by several goroutines at once. Its zero value has no
// targets; Self and Zones tell distances.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
)

// A Board is what one host knows of all targets.
type Dispatcher struct {
	Holder  string            // name under which this host orders runners
	Zone    string            // of this host
	Regions map[string]string // region of each zone

	mu          sync.Mutex
	config      *catalog.Config
	revision    uint64 // of the platform's store, as of which the targets are
	targets     map[string]*target
	services    map[string]map[string]*target
	newest      map[residency.Key]release
	owned       map[string]*target                     // runners that this host orders
	late        map[string]map[residency.Key]time.Time // loads that runners which went may carry out, under the same name again
	behindSince time.Time                              // when another host was first seen with a newer configuration
	behindFrom  uint64                                 // the version that this host had then
	exchange    relay.Aggregator                       // what other hosts told
	owners      map[string]Owner                       // by runner
	hosts       int                                    // members that share the rate of the weight store
	nextBase    time.Time                              // first moment of the next load of a model
	demand      map[string]float64                     // aged number of requests by model
}

// A release is the newest version of an adapter, and when it was heard of.
type release struct {
	version int
	heard   time.Time
}

const (
	// vanish is how long a target that was ready stays in use after its entry
	// went: the store loses entries while it is down and has them again soon after.
	vanish = 1500 * time.Millisecond
	// versionGrace is how long the former version of an adapter is still taken.
	versionGrace = 2500 * time.Millisecond
	// transitFirst is the expected time of a load before any was seen.
	transitFirst = 260 * time.Millisecond
	// handMost is the number of adapters that a runner is thought to have at hand.
	handMost = 44
	// cacheShare is the part of a runner's memory that holds parts of prompts.
	cacheShare = 0.6
)

// A target is one target with what this host knows of it.
type target struct {
	catalog.Target
	mark     relay.TargetHash
	gone     time.Time       // no longer used from then on; zero while it is listed
	open     int             // requests of this host in progress
	prefill  int             // tokens of them that are still to be read
	heard    call.TargetLoad // what the target said last
	at       time.Time       // when
	opened   int             // what open was then
	memory   prefix.Cache
	shelf    *residency.Manager // where this host owns it
	usage    map[residency.Key]*usage
	absent   map[residency.Key]time.Time
	present  map[residency.Key]time.Time
	hand     map[residency.Key]time.Time // adapters that it held, and when that was seen last
	full     time.Time                   // no load is asked for before
	wished   map[residency.Key]time.Time // asked of its owner, and when
	faults   int                         // failures in a row
	shunned  time.Time                   // not used before, but for one trial
	trial    bool
	missed   time.Time // when this host could not connect to it last, zero once it could again
	reached  time.Time // when it answered last
	pace     float64   // how much slower than expected it is
	failures float64   // share of failed answers when it was rated last
	rated    time.Time
	seen     tally
}

// Apply takes in what a follower of the platform told.
func (b *Dispatcher) Apply(now time.Time, event catalog.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e := event.(type) {
	case catalog.ConfigUpdated:
		b.configure(e.Config)
	case catalog.TargetsListed:
		b.list(now, e.Targets)
		b.revision = max(b.revision, e.Revision)
	case catalog.TargetsChanged:
		b.changes(now, e.Changes)
		b.revision = max(b.revision, e.Revision)
	case catalog.VersionPublished:
		b.release(now, e)
	default:
		panic("dispatch: unknown event")
	}
}

func (b *Dispatcher) configure(c *catalog.Config) {
	if b.config == nil || c.Version > b.config.Version {
		b.config = c
	}
}

// Config returns the newest configuration, nil before the first.
func (b *Dispatcher) Config() *catalog.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

func (b *Dispatcher) list(now time.Time, all []catalog.Target) {
	listed := make(map[string]bool, len(all))
	for _, t := range all {
		listed[t.Name] = true
		b.change(now, t)
	}
	for name := range b.targets {
		if !listed[name] {
			b.remove(now, name)
		}
	}
}

func (b *Dispatcher) changes(now time.Time, all []catalog.TargetChange) {
	for _, c := range all {
		switch c := c.(type) {
		case catalog.TargetUpdated:
			b.change(now, c.Target)
		case catalog.TargetRemoved:
			b.remove(now, c.Name)
		default:
			panic("dispatch: unknown change")
		}
	}
}

func (b *Dispatcher) change(now time.Time, t catalog.Target) {
	if b.targets == nil {
		b.targets = make(map[string]*target)
		b.services = make(map[string]map[string]*target)
	}
	old := b.targets[t.Name]
	if old != nil && (!old.SameIncarnation(t) || old.Service != t.Service) {
		b.drop(old)
		old = nil
	}
	if old == nil {
		old = &target{mark: relay.HashTarget(t.Name), memory: prefix.Cache{MaxTokens: b.cacheLimit(t.Service)}, pace: 1}
		b.targets[t.Name] = old
		if b.services[t.Service] == nil {
			b.services[t.Service] = make(map[string]*target)
		}
		b.services[t.Service][t.Name] = old
	}
	old.Target = t
	old.gone = time.Time{}
	old.remember(now)
}

// remember notes the adapters that a runner holds: it has them at hand later.
func (t *target) remember(now time.Time) {
	for model, held := range t.Models {
		for name := range held.Adapters {
			t.touch(now, residency.Key{Model: model, Adapter: name})
		}
	}
}

// touch notes that a runner holds an adapter.
func (t *target) touch(now time.Time, k residency.Key) {
	if t.hand == nil {
		t.hand = make(map[residency.Key]time.Time)
	}
	t.hand[k] = now
	if len(t.hand) <= handMost {
		return
	}
	oldest := k
	for other, at := range t.hand {
		if at.Before(t.hand[oldest]) {
			oldest = other
		}
	}
	delete(t.hand, oldest)
}

// engine returns what the runners of a service hold, nil for a plain service and
// before the first configuration.
func (b *Dispatcher) engine(service string) *catalog.Engine {
	if b.config == nil {
		return nil
	}
	return b.config.Services[service].Engine
}

func (b *Dispatcher) cacheLimit(service string) int {
	if engine := b.engine(service); engine != nil {
		return int(cacheShare * float64(engine.PrefixCacheTokens))
	}
	return 0
}

func (b *Dispatcher) remove(now time.Time, name string) {
	t := b.targets[name]
	switch {
	case t == nil:
	case t.State == catalog.Draining:
		b.drop(t)
	case t.gone.IsZero():
		t.gone = now.Add(vanish)
	}
}

func (b *Dispatcher) drop(t *target) {
	if t.shelf != nil {
		if b.late == nil {
			b.late = make(map[string]map[residency.Key]time.Time)
		}
		b.late[t.Name] = t.shelf.UncertainLoads()
	}
	b.disown(t)
	delete(b.targets, t.Name)
	delete(b.services[t.Service], t.Name)
}

func (b *Dispatcher) release(now time.Time, v catalog.VersionPublished) {
	if b.newest == nil {
		b.newest = make(map[residency.Key]release)
	}
	k := residency.Key{Model: v.Model, Adapter: v.Adapter}
	if v.Version <= b.newest[k].version {
		return
	}
	b.newest[k] = release{version: v.Version, heard: now}
	for _, t := range b.owned {
		t.shelf.SetNewest(k, v.Version)
	}
}

// Sweep drops the targets whose time is over. It returns the addresses in use.
func (b *Dispatcher) Sweep(now time.Time) []catalog.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, late := range b.late {
		maps.DeleteFunc(late, func(_ residency.Key, until time.Time) bool { return now.After(until) })
		if len(late) == 0 {
			delete(b.late, name)
		}
	}
	var all []catalog.Target
	for _, t := range b.targets {
		if !t.gone.IsZero() && now.After(t.gone) {
			b.drop(t)
			continue
		}
		all = append(all, t.Target)
	}
	return all
}

// transitTime returns the expected time of a load of an adapter, as the runners
// that this host owns show it.
func (b *Dispatcher) transitTime(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range b.owned {
		sum += t.shelf.ExpectedLoadTime(now)
		n++
	}
	if n == 0 {
		return transitFirst
	}
	return sum / time.Duration(n)
}

// spread returns d with a random part, so that callers don't come back at once.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }
