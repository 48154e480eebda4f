package peers

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/boottime"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/relay"
)

const (
	// digestIntervalPerHost is multiplied by the number of hosts to get the time
	// between two digests, which is at least minDigestInterval and at most
	// maxDigestInterval.
	digestIntervalPerHost = 8 * time.Millisecond
	minDigestInterval     = 75 * time.Millisecond
	maxDigestInterval     = 100 * time.Millisecond
	// digestIntervalPerExtraHost is added to the interval for each host beyond
	// largeSystemHosts, because digests grow with the number of hosts.
	digestIntervalPerExtraHost = 2 * time.Millisecond
	largeSystemHosts           = 100
	// remoteDigestRounds is the number of rounds of digests for each one that is
	// sent to other regions, because the links between regions are slow and
	// expensive.
	remoteDigestRounds = 2
	// remoteDigestFanout is the number of hosts of another region to which one
	// digest is sent if every host of that region is a relay.
	remoteDigestFanout = 4
	// digestTimeout limits the time in which one digest is sent.
	digestTimeout = time.Second
	// maxDigestDelay is the maximum time assumed for the delivery of a digest within
	// a region.
	maxDigestDelay = 200 * time.Millisecond
	// reportTimeout limits the time of a report to a relay, including the answer.
	reportTimeout = 400 * time.Millisecond
	// fetchTimeout limits the transfer of missing platform objects from a relay.
	fetchTimeout = 2 * time.Second
	// unreachableDuration is how long a host that could not be reached is skipped.
	unreachableDuration = time.Second
)

// A peerSet is the set of hosts in the assignment table, with their relays.
type peerSet struct {
	members map[string]host.Identity
	names   map[quota.Host]string
	hosts   []relay.Host
	roster  *relay.Roster
}

// SetMembers sets the hosts of the system.
func (p *Group) SetMembers(all []host.Identity) {
	set := &peerSet{members: make(map[string]host.Identity, len(all)), names: make(map[quota.Host]string, len(all))}
	hosts := make([]relay.Host, 0, len(all))
	names := make([]string, 0, len(all))
	for _, m := range all {
		set.members[m.Name] = m
		set.names[quota.HashHost(m.Name)] = m.Name
		names = append(names, m.Name)
		hosts = append(hosts, relay.Host{Name: m.Name, Region: p.Regions[m.Zone]})
	}
	p.Dispatcher.SetHosts(hosts)
	p.Suspects.List.SetHosts(p.Self, names)
	set.hosts = hosts
	set.roster = relay.NewRoster(hosts)
	if before := p.peerSet.Swap(set); before != nil {
		p.forgetVersions(before, set)
	}
	if p.Quotas != nil {
		p.Quotas.SetHosts(boottime.Now(), names)
	}
	p.askStarted(set)
}

// SendDigests sends digests until ctx ends: to this host's relay or, if this host is
// a relay itself, to the relays of all regions.
func (p *Group) SendDigests(ctx context.Context) {
	timer := time.NewTimer(minDigestInterval)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(digestInterval(p.Dispatcher.HostCount()))
		set := p.peerSet.Load()
		if set == nil {
			continue
		}
		to := set.roster.RelayOf(p.Self, p.unreachable)
		p.setRelay(to)
		if to != "" {
			p.report(ctx, set, to)
			continue
		}
		p.sendToRelays(ctx, set, round)
	}
}

// digestInterval returns the time between two digests for a number of hosts.
func digestInterval(hosts int) time.Duration {
	base := min(max(minDigestInterval, time.Duration(hosts)*digestIntervalPerHost), maxDigestInterval)
	return base + time.Duration(max(0, hosts-largeSystemHosts))*digestIntervalPerExtraHost
}

// setRelay sets the relay to which this host reports, empty if this host is a relay.
func (p *Group) setRelay(to string) {
	before := p.relayName()
	if to == before {
		return
	}
	p.Log.Info("peer: relay changed", zap.String("from", before), zap.String("to", to))
	p.currentRelay.Store(&to)
	if to == "" {
		p.setAnsweredBy("")
	}
}

// setAnsweredBy sets the relay whose answer holds the load of all other hosts, empty if
// the other relays report it. What the relay before said is dropped: it counts until
// then, so that a host doesn't lose sight of the others while it tries a relay that is
// gone.
func (p *Group) setAnsweredBy(name string) {
	p.mu.Lock()
	before := p.answeredBy
	p.answeredBy = name
	p.mu.Unlock()
	if before != "" && before != name {
		p.Dispatcher.Forget(before)
	}
}

// report sends this host's digest to its relay and applies the digest in the answer.
// At most one report to a relay is in progress at a time.
func (p *Group) report(ctx context.Context, set *peerSet, to string) {
	if _, busy := p.reporting.LoadOrStore(to, true); busy {
		return
	}
	sent := time.Now()
	digest := p.digest(sent, to, relay.ToRelay, func(string) string { return to })
	digest.ReportsToReceiver = true
	if p.Copies.ReadsAlone(sent) {
		digest.CopyStates = p.Copies.States(sent)
	}
	message := p.digestMessage(to, digest, p.extra(sent, to, relay.ToRelay))
	go func() {
		defer p.reporting.Delete(to)
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		m, err := p.Link.Call(ctx, set.members[to].Peer, to, message)
		answer, ok := m.(peer.Digest)
		if err != nil || !ok {
			p.Log.Warn("peer: report to relay failed", zap.String("host", to), zap.Error(err))
			p.markUnreachable(to)
			return
		}
		if p.relayName() != to {
			return // another relay, or this host itself, counts by now
		}
		p.setAnsweredBy(to)
		p.applyDigest(answer, true)
		p.catchUp(ctx, set.members[to], answer.Digest.CopyStates, sent)
	}()
}

// digest returns what this host tells another one, but for the states of its copies. See
// dispatch.Dispatcher.Digest.
func (p *Group) digest(now time.Time, to string, path relay.Direction, nextHop func(owner string) string) relay.Digest {
	digest := p.Dispatcher.Digest(now, to, path, nextHop)
	digest.Suspects = p.Suspects.List.News(now)
	return digest
}

// catchUp compares this host's copies of the platform's objects with those of
// another host, whose states it reported at the time at, and fetches the kinds that
// are behind.
func (p *Group) catchUp(ctx context.Context, from host.Identity, states []relay.CopyState, at time.Time) {
	for _, s := range states {
		if after, behind := p.Copies.Observe(at, s); behind {
			p.fetch(ctx, from, s, after, at)
		}
	}
}

// applyUnsolicitedStates applies the copy states in a digest that does not answer a
// report. A host that reads the store for others ignores them and reads the store
// itself, unless it can't: then hosts that do without it pass on what they read.
func (p *Group) applyUnsolicitedStates(ctx context.Context, d relay.Digest) {
	set := p.peerSet.Load()
	if set == nil || len(d.CopyStates) == 0 || p.isReader(set) && !p.Copies.IsStale(time.Now()) {
		return
	}
	if from, ok := set.members[d.From]; ok {
		p.catchUp(ctx, from, d.CopyStates, time.Now().Add(-maxDigestDelay))
	}
}

// isReader reports whether this host reads the store on behalf of other hosts.
func (p *Group) isReader(set *peerSet) bool {
	return slices.Contains(set.roster.Readers(p.Regions[p.Zone], p.unreachable), p.Self)
}

// reportAnswer returns the answer to the report of a host that uses this one as its
// relay.
func (p *Group) reportAnswer(report relay.Digest) peer.Message {
	now, from := time.Now(), report.From
	digest := p.digest(now, from, relay.ToReporter, func(string) string { return "" })
	// The reporter may have been the one to tell them.
	digest.CopyStates = relay.Newer(p.Copies.States(now), report.CopyStates)
	return p.digestMessage(from, digest, p.extra(now, from, relay.ToReporter))
}

// ReaderInfo returns the values that determine how often this host reads the store.
func (p *Group) ReaderInfo() mirror.ReaderInfo {
	hosts := p.Dispatcher.HostCount()
	info := mirror.ReaderInfo{Hosts: hosts, Readers: hosts, ServesOthers: p.Dispatcher.Serving()}
	if set := p.peerSet.Load(); set != nil {
		info.Readers = set.roster.ReaderCount()
		info.Known = true
		reader := p.isReader(set)
		info.ServedByOther = !reader
		info.ServesOthers = info.ServesOthers || reader && !set.roster.EveryHostRelays(p.Regions[p.Zone])
	}
	return info
}

// fetch transfers the objects of a kind that changed after the revision after from a
// relay, which reported the state s of its copy at the time reportedAt. At most one
// transfer of each kind is in progress at a time.
func (p *Group) fetch(ctx context.Context, from host.Identity, s relay.CopyState, after uint64, reportedAt time.Time) {
	if _, busy := p.fetching.LoadOrStore(s.Kind, true); busy {
		return
	}
	go func() {
		defer p.fetching.Delete(s.Kind)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		defer cancel()
		m, err := p.Link.Call(ctx, from.Peer, from.Name, peer.ObjectsRequest{Kind: s.Kind, After: after})
		applied := false
		if response, ok := m.(peer.ObjectsResponse); ok && err == nil {
			applied, err = p.Copies.ApplyPage(s, after, reportedAt, response.Data)
		}
		level := zap.DebugLevel
		if !applied {
			level = zap.WarnLevel
		}
		p.Log.Log(level, "peer: objects fetched", zap.String("kind", s.Kind), zap.String("host", from.Name), zap.Bool("taken", applied),
			zap.Uint64("after", after), zap.Uint64("changed", s.LastChange), zap.Uint64("age", s.Age), zap.Error(err))
	}()
}

// sendToRelays sends digests to the relays of all regions, as one of the relays.
// Those in other regions get one every remoteDigestRounds rounds.
func (p *Group) sendToRelays(ctx context.Context, set *peerSet, round int) {
	nextHops := make(map[string]string)
	nextHop := func(owner string) string {
		hop, ok := nextHops[owner]
		if !ok {
			hop = set.roster.RelayOf(owner, p.unreachable)
			if hop == "" {
				hop = owner
			}
			nextHops[owner] = hop
		}
		return hop
	}
	ownRegion := p.Regions[p.Zone]
	var states []relay.CopyState
	if !set.roster.EveryHostRelays(ownRegion) && (p.isReader(set) || p.Copies.ReadsAlone(time.Now())) {
		states = p.Copies.States(time.Now())
	}
	for _, region := range set.roster.Regions() {
		to := set.roster.Relays(region, p.unreachable)
		if region != ownRegion {
			if round%remoteDigestRounds != 0 {
				continue
			}
			if set.roster.EveryHostRelays(region) {
				to = sample(to, remoteDigestFanout)
			}
		}
		for _, name := range to {
			if name != p.Self {
				p.sendDigest(ctx, set.members[name], nextHop, states)
			}
		}
	}
}

// sendDigest sends a digest to a relay. The digest includes the copy states if the
// relay is in this host's region.
func (p *Group) sendDigest(ctx context.Context, to host.Identity, nextHop func(string) string, states []relay.CopyState) {
	now := time.Now()
	digest := p.digest(now, to.Name, relay.ToRelay, nextHop)
	if p.Regions[to.Zone] == p.Regions[p.Zone] {
		digest.CopyStates = states
	}
	message := p.digestMessage(to.Name, digest, p.extra(now, to.Name, relay.ToRelay))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, digestTimeout)
		defer cancel()
		if _, err := p.Link.Call(ctx, to.Peer, to.Name, message); err != nil {
			p.Log.Debug("peer: digest not sent", zap.String("host", to.Name), zap.Error(err))
			p.markUnreachable(to.Name)
		}
	}()
}

// markUnreachable causes a host to be skipped for unreachableDuration.
func (p *Group) markUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachableUntil == nil {
		p.unreachableUntil = make(map[string]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(p.unreachableUntil, func(_ string, until time.Time) bool { return now.After(until) })
	p.unreachableUntil[name] = now.Add(unreachableDuration)
}

func (p *Group) unreachable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.unreachableUntil[name])
}

// sample returns n of the names, chosen at random, or all if there are no more than n.
func sample(all []string, n int) []string {
	if len(all) > n {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:n]
	}
	return all
}
