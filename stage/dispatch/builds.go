package dispatch

import (
	"slices"
	"time"

	"jacinthstage/stage/origin"
)

const (
	// buildRetention is how long a build that has no target any more counts as one of the
	// service's builds. Streams that it began end within that time.
	buildRetention = time.Minute
	// formerBuildRetention is how long such a build is remembered at all, so that a record
	// that still names it doesn't bring it back.
	formerBuildRetention = 10 * time.Minute
	// minBuildLife is the time in which no build comes and goes: targets that have left serve
	// for some seconds, and the entry of one that crashes lasts as long.
	minBuildLife = 3 * time.Second
)

// builds remembers which builds the targets of each service had lately. The zero value is
// ready to use.
type builds struct {
	lastSeen map[string]map[string]time.Time // by service and build
	since    map[string]time.Time            // since when all builds of each service are known
}

// saw records that a target of a service has or had a build.
func (b *builds) saw(now time.Time, service, build string) {
	if b.lastSeen == nil {
		b.lastSeen = make(map[string]map[string]time.Time)
		b.since = make(map[string]time.Time)
	}
	if b.lastSeen[service] == nil {
		b.lastSeen[service] = make(map[string]time.Time)
		b.since[service] = now
	}
	b.lastSeen[service][build] = now
}

// missed records that builds may have come and gone unseen from a time until now. It does
// nothing if that time is zero, or too short ago for a build.
func (b *builds) missed(now, from time.Time) {
	if from.IsZero() || now.Sub(from) < minBuildLife {
		return
	}
	for service := range b.since {
		b.since[service] = now
	}
}

// recent returns the builds of a service in the last buildRetention, sorted, and forgets those
// of long before.
func (b *builds) recent(now time.Time, service string) []string {
	var out []string
	for build, at := range b.lastSeen[service] {
		switch age := now.Sub(at); {
		case age <= buildRetention:
			out = append(out, build)
		case age > formerBuildRetention:
			delete(b.lastSeen[service], build)
		}
	}
	slices.Sort(out)
	return out
}

// seeBuilds records the builds of the targets of a service.
func (d *Dispatcher) seeBuilds(now time.Time, service string) {
	for _, t := range d.services[service] {
		d.builds.saw(now, service, t.Build)
	}
}

// OnlyBuild returns the build of all targets of a service, and since when it is known that
// there was no other. It returns false if there were none or several in the last minute.
func (d *Dispatcher) OnlyBuild(now time.Time, service string) (build string, since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeBuilds(now, service)
	recent := d.builds.recent(now, service)
	if len(recent) != 1 {
		return "", d.builds.since[service], false
	}
	return recent[0], d.builds.since[service], true
}

// RecentBuilds returns the builds that the targets of each service had in the last minute, as
// they are to be kept in the store.
func (d *Dispatcher) RecentBuilds(now time.Time) origin.Builds {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(origin.Builds)
	for service := range d.services {
		d.seeBuilds(now, service)
	}
	for service := range d.builds.lastSeen {
		if recent := d.builds.recent(now, service); len(recent) > 0 {
			out[service] = recent
		}
	}
	return out
}

// LearnBuilds takes over the builds that the store names for the last minute, some of which may
// have left before this host saw them. Of a service that the store names, no other build has
// served for as long.
func (d *Dispatcher) LearnBuilds(now time.Time, recorded origin.Builds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, names := range recorded {
		for _, build := range names {
			if _, known := d.builds.lastSeen[service][build]; !known {
				d.builds.saw(now, service, build)
			}
		}
		if from := now.Add(-buildRetention); from.Before(d.builds.since[service]) {
			d.builds.since[service] = from
		}
	}
}
