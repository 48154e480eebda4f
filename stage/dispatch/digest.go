package dispatch

import (
	"net/netip"
	"time"

	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/speed"
)

// maxSlotReportAge is how long a report of a runner's adapter slots by its owner
// stays valid.
const maxSlotReportAge = 2 * time.Second

// Digest returns the report of this host to another one. nextHop returns the host
// to which to send usage that is destined for the owner of a runner, where that
// owner doesn't report to this host.
func (d *Dispatcher) Digest(now time.Time, to string, path relay.Direction, nextHop func(owner string) string) relay.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aggregator.Expire(now)
	next := func(owner string) string {
		if d.aggregator.ReportsHere(owner) {
			return owner
		}
		return nextHop(owner)
	}
	digest := relay.Digest{From: d.Holder}
	if d.config != nil {
		digest.ConfigVersion = d.config.Version
	}
	var loads []relay.TargetLoad
	for _, t := range d.targets {
		if t.residency != nil {
			spare, open := t.residency.SpareSlots(now)
			digest.SlotReports = append(digest.SlotReports, relay.SlotReport{Runner: t.hash, Spare: spare, Closed: !open || d.cut})
		}
		loads = append(loads, d.loadReport(now, t))
		owner := d.owners[t.Name].Host
		switch {
		case t.residency != nil || owner == "":
			t.usage.DropEnded()
		case !t.usage.IsEmpty() && next(owner) == to:
			digest.Uses = append(digest.Uses, t.usage.Report(owner, t.Name)...)
		}
	}
	digest.Loads = d.aggregator.Loads(to, path, loads)
	digest.SlotReports = append(digest.SlotReports, d.aggregator.SlotReports(now, to, path)...)
	digest.Uses = append(digest.Uses, d.aggregator.Uses(now, to, next)...)
	digest.Notices = d.notices(now)
	return digest
}

// SpeedReports returns what this host tells another one of the speed of targets.
func (d *Dispatcher) SpeedReports(now time.Time, to string, path relay.Direction) []speed.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.Reports(now, to, path == relay.ToReporter)
}

// MergeSpeeds takes in what another host told of the speed of targets. reporter says that it reports to this one.
func (d *Dispatcher) MergeSpeeds(now time.Time, from string, reporter bool, all []speed.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.Merge(now, from, reporter, all)
}

// MergeDigest merges the report of another host into the state. It reports
// whether the configuration should be read now, since another host has had a
// newer one for some time.
func (d *Dispatcher) MergeDigest(now time.Time, digest relay.Digest) (behind bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mergeDigest(now, digest, d.aggregator.Merge(now, d.Holder, digest))
}

// MergeDigestWithoutLoads is MergeDigest for a report whose loads another host reports
// as well.
func (d *Dispatcher) MergeDigestWithoutLoads(now time.Time, digest relay.Digest) (behind bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mergeDigest(now, digest, d.aggregator.MergeReports(now, d.Holder, digest))
}

// mergeDigest merges a digest with the uses that are addressed to this host.
func (d *Dispatcher) mergeDigest(now time.Time, digest relay.Digest, uses []relay.AdapterUse) (behind bool) {
	for _, u := range uses {
		if t := d.owned[u.Runner]; t != nil {
			t.residency.RecordPeerUse(now, residency.Key{Model: u.Model, Adapter: u.Adapter}, digest.From, u.InProgress, u.Started)
		}
	}
	d.learnNotices(now, digest.Notices)
	d.hearConfig(now, digest.ConfigVersion)
	return d.behind(now, digest.ConfigVersion)
}

// Forget drops the load that a host reported, for instance because another host
// reports the same load from now on.
func (d *Dispatcher) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aggregator.Forget(name)
	d.admission.Forget(name)
}

// Serving reports whether other hosts report to this one.
func (d *Dispatcher) Serving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aggregator.HasReporters()
}

// minConfigLag is how long another host must have had a newer configuration
// before this host reads the configuration again: the newer one is usually on its
// way already, and large ones take time.
const minConfigLag = 1200 * time.Millisecond

// behind reports whether the configuration should be read now, given the version
// of another host.
func (d *Dispatcher) behind(now time.Time, version uint64) bool {
	switch {
	case version == 0 || d.config != nil && version <= d.config.Version:
		return false
	case d.config != nil && d.newerThan != d.config.Version || d.newerSince.IsZero():
		d.newerSince = now
		if d.config != nil {
			d.newerThan = d.config.Version
		}
		return false
	case now.Sub(d.newerSince) < minConfigLag:
		return false
	}
	d.newerSince = now
	return true
}

const (
	// maxOwnerSilence is the time without a report from the owner of a runner after
	// which no load is requested from it.
	maxOwnerSilence = 1500 * time.Millisecond
	// remoteSilenceFactor multiplies maxOwnerSilence for runners in other regions.
	remoteSilenceFactor = 2
)

// ownerSilent reports whether the owner of a runner has sent no report for too
// long. An owner that never sent one does not count as silent, since it may have
// just started.
func (d *Dispatcher) ownerSilent(now time.Time, t *target) bool {
	_, at := d.aggregator.SlotReport(t.hash)
	if at.IsZero() {
		return false
	}
	limit := maxOwnerSilence
	if d.inOtherRegion(t) {
		limit *= remoteSilenceFactor
	}
	return now.Sub(at) > limit
}

// An Owner is the host that owns a runner.
type Owner struct {
	Host    string
	Address netip.AddrPort // of the link between hosts
	Zone    string
}

// HostCount returns the number of hosts, or 1 if it is unknown.
func (d *Dispatcher) HostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, d.hostCount)
}

// ListedHosts returns the number of hosts in the assignment table, or 0 if it is
// unknown.
func (d *Dispatcher) ListedHosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostCount
}

// SetOwners sets the owner of each runner and the number of hosts. Reported
// adapter slots of a runner whose owner changed are dropped.
func (d *Dispatcher) SetOwners(owners map[string]Owner, hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for runner, owner := range owners {
		if d.owners[runner].Host != owner.Host {
			d.aggregator.ForgetSlotReport(relay.HashTarget(runner))
		}
	}
	d.owners = owners
	d.hostCount = hosts
}
