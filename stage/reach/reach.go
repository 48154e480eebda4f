// Package reach decides whether a host sends to a target by itself or through another host.
//
// A host may be partitioned from all targets or from some of them, while callers, the store
// and the other hosts still reach it. What it fails to connect to says something of its own
// links first. So Links keeps, for each target's address, whether this host could connect
// lately, and for all together whether it is cut off: it could connect to none of several
// targets and has heard nothing from any other since.
//
// New connections and kept ones are different evidence. While kept connections bring
// answers, a host is not cut off, but a link over which it can't connect, and over which
// another host can, is indirect for a while. A host that waits for answers and hears nothing
// from any target probes some: that finds a partition in which no connection ends.
//
// Links decides only; it opens no connections. What a host does with an indirect link is up
// to its user, who also probes and reports the results.
package reach

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// cutEvidence is the number of targets to which a host that is cut off failed to connect
	// since it last heard from any.
	cutEvidence = 3
	// minSilence is how long a host that is cut off has heard nothing from any target.
	minSilence = 150 * time.Millisecond
	// evidenceAge is how long a failure to connect counts.
	evidenceAge = 3 * time.Second
	// indirectTime is how long a link stays indirect without a further failure to connect.
	indirectTime = 2 * time.Second
	// maxIndirectTime is how long it does at most without another host reaching the target.
	maxIndirectTime = 10 * time.Second
	// silence is how long a host waits for answers without hearing from any target before it
	// probes one.
	silence = 500 * time.Millisecond
	// probeInterval is the time between the probes of a host that is cut off, or that still
	// hears nothing, and between those of an indirect link.
	probeInterval = 400 * time.Millisecond
)

// Links is what one host knows of its links to targets. The zero value reaches all of them.
// It is safe for concurrent use.
type Links struct {
	mu           sync.Mutex
	cut          bool
	evidenceAt   time.Time // last time at which a target was heard from or connected to
	waitingSince time.Time // when the first request was sent since then; zero if none was
	probedAt     time.Time
	links        map[netip.AddrPort]*link // those with failures
}

// A link is what is known of the link to one target after a failure to connect.
type link struct {
	failedAt      time.Time // last failure
	confirmedAt   time.Time // when another host reached the target meanwhile
	indirectUntil time.Time
	probedAt      time.Time
}

// Connected records that this host has connected to a target. It reports whether that ends
// a partition from all.
func (l *Links) Connected(now time.Time, target netip.AddrPort) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, target)
	l.heard(now)
	ended = l.cut
	l.cut = false
	return ended
}

// Failed records that this host could not connect to a target. It reports whether the host
// is cut off because of it.
func (l *Links) Failed(now time.Time, target netip.AddrPort) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.link(target)
	if now.Before(k.indirectUntil) && now.Sub(k.confirmedAt) < maxIndirectTime {
		k.indirectUntil = now.Add(indirectTime)
	}
	k.failedAt = now
	if l.cut {
		return false
	}
	l.cut = l.evidence(now) >= cutEvidence && now.Sub(l.evidenceAt) >= minSilence
	return l.cut
}

// evidence returns the number of targets to which this host failed to connect since it last
// heard from any.
func (l *Links) evidence(now time.Time) int {
	n := 0
	for _, k := range l.links {
		if k.failedAt.After(l.evidenceAt) && now.Sub(k.failedAt) < evidenceAge {
			n++
		}
	}
	return n
}

func (l *Links) link(target netip.AddrPort) *link {
	if l.links == nil {
		l.links = make(map[netip.AddrPort]*link)
	}
	if l.links[target] == nil {
		l.links[target] = new(link)
	}
	return l.links[target]
}

// Confirmed records that another host reached a target to which this one could not connect.
func (l *Links) Confirmed(now time.Time, target netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.links[target]; k != nil {
		k.confirmedAt, k.indirectUntil = now, now.Add(indirectTime)
	}
}

// Sent records that a request was sent to a target.
func (l *Links) Sent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
}

// Heard records that bytes of an answer arrived from a target.
func (l *Links) Heard(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(now)
}

func (l *Links) heard(now time.Time) {
	l.evidenceAt, l.waitingSince = now, time.Time{}
}

// Cut reports whether this host is cut off from all targets.
func (l *Links) Cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Indirect reports whether requests to a target should go through another host.
func (l *Links) Indirect(now time.Time, target netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[target]
	return l.cut || k != nil && now.Before(k.indirectUntil)
}

// Probes returns the targets, out of those that all returns, to which to open a connection now to
// find out whether this host reaches them. It calls all only if there is a doubt.
func (l *Links) Probes(now time.Time, all func() []netip.AddrPort) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []netip.AddrPort
	for target, k := range l.links {
		if now.Before(k.indirectUntil) && now.Sub(k.probedAt) >= probeInterval {
			k.probedAt = now
			out = append(out, target)
		}
	}
	evidence := l.evidence(now)
	suspicious := evidence > 0 && now.Sub(l.evidenceAt) >= minSilence || !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= silence
	if now.Sub(l.probedAt) < probeInterval || !l.cut && !suspicious {
		return out
	}
	targets := all()
	if len(targets) == 0 {
		return out
	}
	l.probedAt = now
	if l.cut || evidence == 0 {
		return append(out, targets[rand.IntN(len(targets))])
	}
	return append(out, l.unproven(now, targets)...)
}

// unproven returns targets whose failure would complete the evidence that this host is cut
// off.
func (l *Links) unproven(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	missing := cutEvidence - l.evidence(now)
	for _, i := range rand.Perm(len(all)) {
		if k := l.links[all[i]]; len(out) < missing && (k == nil || !k.failedAt.After(l.evidenceAt)) {
			out = append(out, all[i])
		}
	}
	return out
}

// Prune forgets the links to targets that don't exist any more.
func (l *Links) Prune(exists func(netip.AddrPort) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target := range l.links {
		if !exists(target) {
			delete(l.links, target)
		}
	}
}
