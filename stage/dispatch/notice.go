package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/catalog"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/relay"
)

const (
	// maxNews is the maximum number of targets of which one digest reports something new,
	// and repeatedNotices the number of other targets that it reports once more, for hosts
	// that missed the news.
	maxNews         = 32
	repeatedNotices = 2
	// limitedRetryDelay is how long a caller should wait before it retries a request
	// whose targets take none from this host: other hosts may have a share of their limit.
	limitedRetryDelay = 400 * time.Millisecond
	// roomDelay is the same where brittle targets have no room.
	roomDelay = 300 * time.Millisecond
	// waitingAge is how long a target's word counts that requests wait there.
	waitingAge = 500 * time.Millisecond
)

// SetHosts sets the hosts among which the limits of targets are divided.
func (d *Dispatcher) SetHosts(all []relay.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(d.hosts, all) {
		return
	}
	d.hosts = slices.Clone(all)
	d.hostsVersion++
}

// isWilling reports whether a target takes a request of this host now, according to
// what the target says of itself.
func (d *Dispatcher) isWilling(now time.Time, t *target) bool {
	wait, ok := d.willingAfter(now, t)
	return ok && wait == 0
}

// willingAfter returns how long this host has to wait until a target takes a request of
// it. It returns false if the target takes none.
func (d *Dispatcher) willingAfter(now time.Time, t *target) (time.Duration, bool) {
	n := &t.process.notice
	if n.Unrestricted(now) {
		return 0, true
	}
	share := d.shareOf(t)
	if !n.HasRoom(now, share, d.roomAt(now, t)) {
		return roomDelay, true
	}
	return n.Wait(now, share)
}

// shareOf returns this host's share of a target's limit. Hosts in the target's region
// come first, in the order of a hash of host and target.
func (d *Dispatcher) shareOf(t *target) notice.Share {
	if len(d.hosts) == 0 {
		return notice.Share{}
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
	rankOf := func(h relay.Host) rank {
		return rank{h.Region != d.Regions[t.Zone], xxhash.Sum64String(h.Name + "@" + t.Name)}
	}
	own := rankOf(relay.Host{Name: d.Holder, Region: d.Regions[d.Zone]})
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
// try again: once the first of its targets takes requests.
func (d *Dispatcher) refuseWithoutTarget(now time.Time, r Request) Refuse {
	var first time.Duration
	unwilling := 0
	for _, t := range d.services[r.Service] {
		wait, ok := d.willingAfter(now, t)
		if !r.fits(t) || !t.usable(now) || ok && wait == 0 {
			continue // a willing target was tried already
		}
		if !ok {
			wait = limitedRetryDelay
		}
		if unwilling++; unwilling == 1 || wait < first {
			first = wait
		}
	}
	if unwilling == 0 {
		return Refuse{Reason: "no target", RetryAfter: jitter(retryDelay)}
	}
	return Refuse{Reason: "its targets take no requests now", RetryAfter: first + jitter(retryDelay)}
}

// IsLeaving reports whether a target has announced its end, in its entry or in an answer.
func (d *Dispatcher) IsLeaving(of catalog.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[idOf(of)]
	return p != nil && p.isLeaving()
}

// Willing reports whether the attempt's target still takes the request, which may have waited since
// the target was picked, and may still begin it in the version that it holds.
func (a *Attempt) Willing(now time.Time) bool {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.takes(now, a.target.process, a.Target) && a.fixVersion(now)
}

// Heard records what a target said of itself in an answer to no attempt of this host, such as
// that to an order, which was asked for at the time sent. It reports whether that is new.
func (d *Dispatcher) Heard(now, sent time.Time, of catalog.Target, n notice.Notice, from notice.Source) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[idOf(of)]
	return p != nil && p.heard(now, sent, n, from)
}

// Knows reports whether this host has seen a process of a target in the list of targets.
func (d *Dispatcher) Knows(of catalog.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[idOf(of)] != nil
}

// takes reports whether a process of a target is in use and takes requests, as far as its
// entry and its answers say.
func (d *Dispatcher) takes(now time.Time, p *process, of catalog.Target) bool {
	t := d.targets[of.Name]
	return t != nil && t.process == p && t.Service == of.Service && t.listed(now) && !p.isLeaving() && !p.notice.Quiet(now)
}

// Accepts reports whether this host may send a request for another one to a target.
func (d *Dispatcher) Accepts(now time.Time, of catalog.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[idOf(of)]
	return p != nil && d.takes(now, p, of)
}

// notices returns what to tell other hosts of what targets said: news, and some other
// listed targets chosen at random.
func (d *Dispatcher) notices(now time.Time) []notice.Report {
	var out []notice.Report
	news, repeated := 0, 0
	for id, p := range d.processes {
		switch {
		case p.notice.IsNews(now) && news < maxNews:
			news++
		case !p.notice.Unrestricted(now) && d.targets[id.name] != nil && d.targets[id.name].process == p && repeated < repeatedNotices:
			repeated++
		default:
			continue
		}
		r := p.notice.Report(now)
		r.Target, r.Started = uint32(p.hash), p.started
		out = append(out, r)
	}
	return out
}

// learnNotices records what another host reports of what targets said. Reports on
// processes that this host hasn't known are ignored.
func (d *Dispatcher) learnNotices(now time.Time, all []notice.Report) {
	if len(all) == 0 {
		return
	}
	type key struct {
		target  uint32
		started int64
	}
	reports := make(map[key]notice.Report, len(all))
	for _, r := range all {
		reports[key{r.Target, r.Started}] = r
	}
	for _, p := range d.processes {
		if r, ok := reports[key{uint32(p.hash), p.started}]; ok {
			p.notice.Learn(now, r)
		}
	}
}
