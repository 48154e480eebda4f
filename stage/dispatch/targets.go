package dispatch

import (
	"maps"
	"time"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/store"
)

const (
	// removalGrace is how long a ready target stays in use after its entry was
	// removed: the store loses entries during an outage and has them again soon
	// afterwards.
	removalGrace = 1500 * time.Millisecond
	// restoreGrace is the same after the store has come back from an older copy: a target
	// that lives writes its entry again within two seconds.
	restoreGrace = 2500 * time.Millisecond
)

// Apply updates the state with an event from the platform. It returns the targets that
// the event shows to have ended without draining: their entry was removed, or another
// process has their name.
func (d *Dispatcher) Apply(now time.Time, event catalog.Event) []catalog.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restored(event) {
		d.apply(now, event)
		return nil
	}
	before := d.listedTargets(event)
	d.apply(now, event)
	var ended []catalog.Target
	for _, t := range before {
		if known := d.targets[t.Name]; known == nil || !known.SameIncarnation(t) || !known.expiresAt.IsZero() {
			ended = append(ended, t)
		}
	}
	return ended
}

// restored reports whether an event is the first list of targets after the store has come
// back from an older copy.
func (d *Dispatcher) restored(event catalog.Event) bool {
	list, ok := event.(catalog.TargetsListed)
	return ok && d.revision > 0 && store.Era(list.Revision) > store.Era(d.revision)
}

// listedTargets returns the targets whose entries an event may change and that are
// listed as ready.
func (d *Dispatcher) listedTargets(event catalog.Event) []catalog.Target {
	var out []catalog.Target
	add := func(t *target) {
		if t != nil && t.State == catalog.Ready && !t.process.notice.Leaving() && t.expiresAt.IsZero() {
			out = append(out, t.Target)
		}
	}
	switch e := event.(type) {
	case catalog.TargetsListed:
		for _, t := range d.targets {
			add(t)
		}
	case catalog.TargetsChanged:
		for _, c := range e.Changes {
			switch c := c.(type) {
			case catalog.TargetUpdated:
				add(d.targets[c.Target.Name])
			case catalog.TargetRemoved:
				add(d.targets[c.Name])
			}
		}
	}
	return out
}

// replaceTargets replaces all targets by a list. One that was read after the store has come
// back from an older copy doesn't undo what was acknowledged before: for restoreGrace, a target
// whose removal was acknowledged isn't used, and an entry of the process before counts as missing.
// A target that was missing from the first such list and is from a later one may not have written
// its entry again yet: that acknowledges no removal.
func (d *Dispatcher) replaceTargets(now time.Time, all []catalog.Target, restored bool) {
	grace := removalGrace
	if restored {
		grace = restoreGrace
	}
	listed := make(map[string]bool, len(all))
	for _, t := range all {
		if now.Before(d.doubtUntil) && d.isFormer(t) {
			continue
		}
		listed[t.Name] = true
		removed := d.wasRemoved(t)
		d.updateTarget(now, t)
		if removed && now.Before(d.doubtUntil) {
			d.targets[t.Name].unconfirmedUntil = d.doubtUntil
		}
	}
	for name, t := range d.targets {
		if listed[name] {
			continue
		}
		unwritten := restored || now.Before(d.doubtUntil) && !t.expiresAt.IsZero()
		t.process.removed = t.process.removed || !unwritten
		d.removeTarget(now, name, grace)
	}
}

// isFormer reports whether an entry is of a process that ended before the present one of
// its target started.
func (d *Dispatcher) isFormer(entry catalog.Target) bool {
	t := d.targets[entry.Name]
	return t != nil && !t.SameIncarnation(entry) && entry.Started.Before(t.Started)
}

// wasRemoved reports whether the removal of the entry of a process was acknowledged.
func (d *Dispatcher) wasRemoved(entry catalog.Target) bool {
	p := d.processes[idOf(entry)]
	return p != nil && p.removed
}

func (d *Dispatcher) applyChanges(now time.Time, all []catalog.TargetChange) {
	for _, c := range all {
		switch c := c.(type) {
		case catalog.TargetUpdated:
			d.updateTarget(now, c.Target)
		case catalog.TargetRemoved:
			if t := d.targets[c.Name]; t != nil {
				t.process.removed = true
			}
			d.removeTarget(now, c.Name, removalGrace)
		default:
			panic("dispatch: unknown change")
		}
	}
}

func (d *Dispatcher) updateTarget(now time.Time, t catalog.Target) {
	p, knownProcess := d.processOf(now, t)
	p.listed(&t)
	known := d.targets[t.Name]
	if known != nil && (known.process != p || known.Service != t.Service) {
		if !knownProcess {
			p.notice.Follow(now, known.process.notice)
		}
		d.deleteTarget(now, known)
		known = nil
	}
	if known == nil {
		known = d.addTarget(p, t)
	}
	known.Target = t
	known.expiresAt, known.unconfirmedUntil = time.Time{}, time.Time{}
	d.builds.saw(now, t.Service, t.Build)
	known.noteResidentAdapters(now)
}

func (d *Dispatcher) addTarget(p *process, entry catalog.Target) *target {
	if d.targets == nil {
		d.targets = make(map[string]*target)
		d.services = make(map[string]map[string]*target)
	}
	learned := d.speeds.Target(entry.Service, entry.Name, entry.Started)
	t := &target{hash: p.hash, process: p, speed: learned, prefixCache: prefix.Cache{MaxTokens: d.prefixCacheLimit(entry.Service)}, slowdown: 1}
	d.targets[entry.Name] = t
	if d.services[entry.Service] == nil {
		d.services[entry.Service] = make(map[string]*target)
	}
	d.services[entry.Service][entry.Name] = t
	return t
}

// noteResidentAdapters records the adapters that a runner's entry lists: their
// weights stay cached on the runner after they are unloaded.
func (t *target) noteResidentAdapters(now time.Time) {
	for model, resident := range t.Models {
		for name := range resident.Adapters {
			t.noteCached(now, residency.Key{Model: model, Adapter: name})
		}
	}
}

// noteCached records that a runner holds an adapter and so has its weights
// cached. Beyond maxCachedAdapters it forgets the adapter seen longest ago.
func (t *target) noteCached(now time.Time, k residency.Key) {
	if t.cachedAt == nil {
		t.cachedAt = make(map[residency.Key]time.Time)
	}
	t.cachedAt[k] = now
	if len(t.cachedAt) <= maxCachedAdapters {
		return
	}
	oldest := k
	for other, at := range t.cachedAt {
		if at.Before(t.cachedAt[oldest]) {
			oldest = other
		}
	}
	delete(t.cachedAt, oldest)
}

// removeTarget handles the removal of a target's entry. A draining target is
// deleted at once, any other one after the grace period.
func (d *Dispatcher) removeTarget(now time.Time, name string, grace time.Duration) {
	t := d.targets[name]
	switch {
	case t == nil:
	case t.State == catalog.Draining:
		d.deleteTarget(now, t)
	case t.expiresAt.IsZero():
		t.expiresAt = now.Add(grace)
	}
}

func (d *Dispatcher) deleteTarget(now time.Time, t *target) {
	if t.residency != nil {
		if d.pendingLoads == nil {
			d.pendingLoads = make(map[string]map[residency.Key]time.Time)
		}
		d.pendingLoads[t.Name] = t.residency.UncertainLoads()
	}
	d.releaseTarget(t)
	d.speeds.Forget(t.speed)
	d.builds.saw(now, t.Service, t.Build)
	delete(d.targets, t.Name)
	delete(d.services[t.Service], t.Name)
}

// Sweep deletes the targets whose removal grace period has expired. It returns
// the targets that remain.
func (d *Dispatcher) Sweep(now time.Time) []catalog.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, loads := range d.pendingLoads {
		maps.DeleteFunc(loads, func(_ residency.Key, until time.Time) bool { return now.After(until) })
		if len(loads) == 0 {
			delete(d.pendingLoads, name)
		}
	}
	d.forgetProcesses(now)
	var all []catalog.Target
	for _, t := range d.targets {
		if !t.expiresAt.IsZero() && now.After(t.expiresAt) {
			t.process.removed = true
			d.deleteTarget(now, t)
			continue
		}
		all = append(all, t.Target)
	}
	return all
}
