package peers

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/relay"
)

const (
	// keeperTimeout limits the time in which another host is told of a stream.
	keeperTimeout = 500 * time.Millisecond
	// nearOriginTimeout and remoteOriginTimeout limit the time in which hosts of this
	// region and of the others answer where a stream began.
	nearOriginTimeout   = 80 * time.Millisecond
	remoteOriginTimeout = 250 * time.Millisecond
)

// StreamBegan records where a stream began, here and on other hosts: on its keepers and, while the
// service has several builds, on one that writes it to the store.
func (p *Group) StreamBegan(o origin.Origin) {
	p.Origins.Add(time.Now(), o)
	set := p.peerSet.Load()
	if set == nil {
		return
	}
	self := relay.Host{Name: p.Self, Region: p.Regions[p.Zone]}
	told := origin.Keepers(o.Stream, self, set.hosts)
	if _, _, only := p.Dispatcher.OnlyBuild(time.Now(), o.Service); !only {
		if writer := p.originWriter(o.Stream, set); writer != "" && !slices.Contains(told, writer) {
			told = append(told, writer)
		}
	}
	for _, name := range told {
		go p.tellKeeper(set, name, o)
	}
}

func (p *Group) tellKeeper(set *peerSet, name string, o origin.Origin) {
	ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
	defer cancel()
	if _, err := p.Link.Call(ctx, set.members[name].Peer, name, peer.StreamBegan{Origin: o}); err != nil {
		p.Log.Debug("peer: origin of a stream not sent", zap.String("host", name), zap.Error(err))
	}
}

// SeenBuilds is what other hosts have seen of the builds of a service.
type SeenBuilds struct {
	watched map[string]time.Duration // by build: how long one of them has seen no other
	several bool                     // one of them has seen several lately
}

// add adds what a host has answered.
func (b *SeenBuilds) add(answer peer.OriginResponse) {
	if answer.Watched == 0 {
		b.several = b.several || answer.OnlyBuild != ""
		return
	}
	if b.watched == nil {
		b.watched = make(map[string]time.Duration)
	}
	watched := time.Duration(answer.Watched) * time.Millisecond
	b.watched[answer.OnlyBuild] = max(watched, b.watched[answer.OnlyBuild])
}

// Watched returns how long one of the hosts has seen no other build than the given one.
func (b *SeenBuilds) Watched(build string) time.Duration { return b.watched[build] }

// Contradict reports whether one of the hosts has seen another build than the given one.
func (b *SeenBuilds) Contradict(build string) bool {
	for seen := range b.watched {
		if seen != build {
			return true
		}
	}
	return b.several
}

// FindOrigin returns where a stream began. If no host that is asked knows it, FindOrigin
// returns what those that answer have seen of the service's builds.
func (p *Group) FindOrigin(ctx context.Context, s origin.Stream, service string) (found origin.Origin, seen SeenBuilds, known bool) {
	if o, ok := p.Origins.Find(s); ok {
		return o, seen, true
	}
	set := p.peerSet.Load()
	if set == nil {
		return origin.Origin{}, seen, false
	}
	request := peer.OriginRequest{Stream: s, Service: service}
	own := p.Regions[p.Zone]
	if found, known = p.askOrigin(ctx, nearOriginTimeout, set, origin.Asked(s, own, set.hosts), request, &seen); known {
		return found, seen, true
	}
	var remote []string
	for _, region := range set.roster.Regions() {
		if region != own {
			remote = append(remote, origin.Asked(s, region, set.hosts)...)
		}
	}
	found, known = p.askOrigin(ctx, remoteOriginTimeout, set, remote, request, &seen)
	return found, seen, known
}

// askOrigin asks hosts for the origin of a stream until one of them knows it. It adds to seen what
// the others have seen of the service's builds.
func (p *Group) askOrigin(ctx context.Context, timeout time.Duration, set *peerSet, hosts []string, request peer.OriginRequest, seen *SeenBuilds) (found origin.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan peer.OriginResponse, len(hosts))
	for _, name := range hosts {
		go func() {
			var answer peer.OriginResponse
			if name != p.Self {
				m, err := p.Link.Call(ctx, set.members[name].Peer, name, request)
				if err != nil {
					p.Log.Debug("peer: origin of a stream not asked", zap.String("host", name), zap.Error(err))
				}
				answer, _ = m.(peer.OriginResponse)
			}
			answers <- answer
		}()
	}
	for range hosts {
		answer := <-answers
		if answer.Known {
			return answer.Origin, true
		}
		seen.add(answer)
	}
	return origin.Origin{}, false
}

// originAnswer answers another host's question where a stream began.
func (p *Group) originAnswer(m peer.OriginRequest) peer.Message {
	var answer peer.OriginResponse
	answer.Origin, answer.Known = p.Origins.Find(m.Stream)
	if build, since, only := p.Dispatcher.OnlyBuild(time.Now(), m.Service); only {
		answer.OnlyBuild, answer.Watched = build, uint64(max(1, time.Since(since).Milliseconds()))
		return answer
	}
	if builds := p.Dispatcher.RecentBuilds(time.Now())[m.Service]; len(builds) > 1 {
		answer.OnlyBuild = builds[len(builds)-1] // the others may have no name
	}
	return answer
}

// KeepsOrigins reports whether this host writes origins: it is one of its region that read the
// store for the others.
func (p *Group) KeepsOrigins() bool {
	set := p.peerSet.Load()
	return set != nil && p.isReader(set)
}

// originWriter returns the host of this region that writes the origin of a stream, empty if this
// one does.
func (p *Group) originWriter(s origin.Stream, set *peerSet) string {
	readers := set.roster.Readers(p.Regions[p.Zone], p.unreachable)
	if len(readers) == 0 || slices.Contains(readers, p.Self) {
		return ""
	}
	return readers[uint64(s)%uint64(len(readers))]
}
