package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

const (
	// assumedHosts is the number of hosts among which a target's limit is divided while
	// the hosts are unknown. This host then counts as one of those that may send.
	assumedHosts = 12
	// maxNotices is the maximum number of targets whose notices are in one digest.
	maxNotices = 32
	// limitedRetryDelay is how long a caller should wait before it retries a request
	// whose targets take none from this host: other hosts may have a share of them.
	limitedRetryDelay = 400 * time.Millisecond
)

// A Host is a host of the system.
type Host struct{ Name, Zone string }

// SetHosts sets the hosts among which the limits of targets are divided.
func (d *Dispatcher) SetHosts(all []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(d.hosts, all) {
		return
	}
	d.hosts = slices.Clone(all)
	d.hostsVersion++
}

// withinLimit reports whether this host may send a request to a target now, under the
// limit that the target named.
func (d *Dispatcher) withinLimit(now time.Time, t *target) bool {
	wait, ok := d.limitWait(now, t)
	return ok && wait == 0
}

// limitWait returns how long this host has to wait until it may send a request to a
// target. It returns false if it must not send any.
func (d *Dispatcher) limitWait(now time.Time, t *target) (time.Duration, bool) {
	if t.notice.Limit() == 0 {
		return 0, true
	}
	return t.notice.Wait(now, d.shareOf(t))
}

// shareOf returns this host's share of a target's limit. Hosts in the target's region
// come first, in the order of a hash of host and target.
func (d *Dispatcher) shareOf(t *target) notice.Share {
	if len(d.hosts) == 0 {
		return notice.Share{Hosts: assumedHosts}
	}
	if t.shareVersion != d.hostsVersion {
		t.share, t.shareVersion = d.rankShare(t), d.hostsVersion
	}
	return t.share
}

func (d *Dispatcher) rankShare(t *target) notice.Share {
	type rank struct {
		remote bool
		weight uint64
	}
	rankOf := func(h Host) rank {
		return rank{d.Regions[h.Zone] != d.Regions[t.Zone], xxhash.Sum64String(h.Name + "@" + t.Name)}
	}
	own := rankOf(Host{Name: d.Holder, Zone: d.Zone})
	share := notice.Share{Hosts: len(d.hosts)}
	for _, h := range d.hosts {
		other := rankOf(h)
		if h.Name != d.Holder && (other.remote == own.remote && other.weight < own.weight || own.remote && !other.remote) {
			share.Rank++
		}
	}
	return share
}

// refuseWithoutTarget refuses a request for which there is no target, and says when to
// try again if the limits of targets are the cause.
func (d *Dispatcher) refuseWithoutTarget(now time.Time, r Request) Refuse {
	limited := d.filterTargets(r, func(t *target) bool { return t.usable(now) })
	if len(limited) == 0 {
		return Refuse{Reason: "no target", RetryAfter: jitter(retryDelay)}
	}
	delay := limitedRetryDelay
	for _, t := range limited {
		if wait, ok := d.limitWait(now, t); ok {
			delay = min(delay, max(wait, retryDelay))
		}
	}
	return Refuse{Reason: "limited by its targets", RetryAfter: jitter(delay)}
}

// notices returns what to tell other hosts of what targets said: at most maxNotices, of
// targets chosen at random.
func (d *Dispatcher) notices(now time.Time) []notice.Report {
	var out []notice.Report
	for _, t := range d.targets {
		r, ok := t.notice.Report(now)
		if !ok {
			continue
		}
		r.Target, r.Started = uint32(t.hash), t.Started.UnixMilli()
		if out = append(out, r); len(out) == maxNotices {
			break
		}
	}
	return out
}

// learnNotices records what another host reports of what targets said. Reports on
// earlier processes of a target are ignored.
func (d *Dispatcher) learnNotices(now time.Time, all []notice.Report) {
	if len(all) == 0 {
		return
	}
	reports := make(map[relay.TargetHash]notice.Report, len(all))
	for _, r := range all {
		reports[relay.TargetHash(r.Target)] = r
	}
	for _, t := range d.targets {
		if r, ok := reports[t.hash]; ok && r.Started == t.Started.UnixMilli() {
			t.notice.Learn(now, r)
		}
	}
}
