package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/relay"
)

const (
	// digestEach is the time between two digests for each host of the system,
	// within digestLeast and digestMost.
	digestEach  = 8 * time.Millisecond
	digestLeast = 75 * time.Millisecond
	digestMost  = 100 * time.Millisecond
	// digestMore is the time that each host beyond manyHosts adds, as digests are
	// larger then.
	digestMore = 2 * time.Millisecond
	manyHosts  = 100
	// farTimes is how many times rarer they go to hosts of other regions, whose
	// links are slow and dear.
	farTimes = 2
	// farFan is the number of hosts of another region that get one digest, where
	// each host there is a relay.
	farFan = 4
	// digestTimeout limits the sending of one digest.
	digestTimeout = time.Second
	// digestDelay is how long a digest may have been on its way within a region.
	digestDelay = 200 * time.Millisecond
	// reportTimeout limits a report to a relay, answer included.
	reportTimeout = 400 * time.Millisecond
	// fetchTimeout limits the transfer of what a host lacks of the platform's objects.
	fetchTimeout = 2 * time.Second
	// lostSpan is how long a host that wasn't reached is passed over.
	lostSpan = time.Second
)

// A circle is the hosts as the table of owners shows them.
type circle struct {
	members map[string]host.Identity
	roster  *relay.Roster
}

// SetMembers takes in which hosts there are.
func (p *Peers) SetMembers(all []host.Identity) {
	c := &circle{members: make(map[string]host.Identity, len(all))}
	hosts := make([]relay.Host, 0, len(all))
	for _, m := range all {
		c.members[m.Name] = m
		hosts = append(hosts, relay.Host{Name: m.Name, Region: p.Regions[m.Zone]})
	}
	c.roster = relay.NewRoster(hosts)
	p.circle.Store(c)
}

// SendDigests sends digests until ctx ends.
func (p *Peers) SendDigests(ctx context.Context) {
	timer := time.NewTimer(digestLeast)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(interval(p.Board.HostCount()))
		c := p.circle.Load()
		if c == nil {
			continue
		}
		of := c.roster.RelayOf(p.Self, p.passedOver)
		p.follow(of)
		if of != "" {
			p.report(ctx, c, of)
			continue
		}
		p.share(ctx, c, round)
	}
}

// interval returns the time between two digests among a number of hosts.
func interval(hosts int) time.Duration {
	usual := min(max(digestLeast, time.Duration(hosts)*digestEach), digestMost)
	return usual + time.Duration(max(0, hosts-manyHosts))*digestMore
}

// follow notes to which relay this host reports. What the former one told is
// told by the new one, or by all hosts, from now on.
func (p *Peers) follow(of string) {
	if of == p.relay {
		return
	}
	p.Log.Info("peer: reports to another relay", zap.String("from", p.relay), zap.String("to", of))
	if p.relay != "" {
		p.Board.Forget(p.relay)
	}
	p.relay = of
}

// report tells a relay of this host and takes in what the relay knows. There is
// one report at a time on its way to a relay.
func (p *Peers) report(ctx context.Context, c *circle, of string) {
	if _, busy := p.reports.LoadOrStore(of, true); busy {
		return
	}
	digest := p.Board.Digest(time.Now(), of, relay.ToRelay, func(string) string { return of })
	digest.ReportsToReceiver = true
	begun := time.Now()
	go func() {
		defer p.reports.Delete(of)
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		m, err := p.Link.Call(ctx, c.members[of].Peer, of, peer.Digest{Digest: digest})
		answer, ok := m.(peer.Digest)
		if err != nil || !ok {
			p.Log.Warn("peer: relay not reached", zap.String("host", of), zap.Error(err))
			p.lose(of)
			return
		}
		p.take(answer.Digest)
		p.catchUp(ctx, c.members[of], answer.Digest.CopyStates, begun)
	}()
}

// catchUp takes in how far another host had come with the platform's objects at a
// moment, and takes over what this host lacks.
func (p *Peers) catchUp(ctx context.Context, from host.Identity, heads []relay.CopyState, at time.Time) {
	for _, h := range heads {
		if after, behind := p.Copies.Observe(at, h); behind {
			p.fetch(ctx, from, h, after, at)
		}
	}
}

// unasked takes in the heads that a relay told without a report. A host that reads
// the store for others goes on with that.
func (p *Peers) unasked(ctx context.Context, d relay.Digest) {
	c := p.circle.Load()
	if c == nil || len(d.CopyStates) == 0 || p.reads(c) {
		return
	}
	if from, ok := c.members[d.From]; ok {
		p.catchUp(ctx, from, d.CopyStates, time.Now().Add(-digestDelay))
	}
}

// reads reports whether this host reads the store for others.
func (p *Peers) reads(c *circle) bool {
	return slices.Contains(c.roster.Readers(p.Regions[p.Zone], p.passedOver), p.Self)
}

// reported returns the answer to a host that reports to this one.
func (p *Peers) reported(from string) peer.Message {
	now := time.Now()
	digest := p.Board.Digest(now, from, relay.ToReporter, func(string) string { return "" })
	digest.CopyStates = p.Copies.States(now)
	return peer.Digest{Digest: digest}
}

// Pace returns what the pace of reading the store depends on.
func (p *Peers) Pace() mirror.ReaderInfo {
	pace := mirror.ReaderInfo{Readers: p.Board.HostCount(), ServesOthers: p.Board.Serving()}
	if c := p.circle.Load(); c != nil {
		pace.Readers = c.roster.ReaderCount()
		reads := p.reads(c)
		pace.ServedByOther = !reads
		pace.ServesOthers = pace.ServesOthers || reads && !c.roster.EveryHostRelays(p.Regions[p.Zone])
	}
	return pace
}

// fetch takes over what this host lacks of a kind of objects from a relay, which
// told at heard how far it had come. Each kind is fetched once at a time.
func (p *Peers) fetch(ctx context.Context, from host.Identity, h relay.CopyState, after uint64, heard time.Time) {
	if _, busy := p.fetches.LoadOrStore(h.Kind, true); busy {
		return
	}
	go func() {
		defer p.fetches.Delete(h.Kind)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		defer cancel()
		m, err := p.Link.Call(ctx, from.Peer, from.Name, peer.ObjectsRequest{Kind: h.Kind, After: after})
		taken := false
		if packed, ok := m.(peer.ObjectsResponse); ok && err == nil {
			taken, err = p.Copies.ApplyPage(h, after, heard, packed.Data)
		}
		level := zap.DebugLevel
		if !taken {
			level = zap.WarnLevel
		}
		p.Log.Log(level, "peer: objects taken over", zap.String("kind", h.Kind), zap.String("host", from.Name), zap.Bool("taken", taken),
			zap.Uint64("after", after), zap.Uint64("changed", h.LastChange), zap.Uint64("age", h.Age), zap.Error(err))
	}()
}

// share tells the relays of all regions, as one of them.
func (p *Peers) share(ctx context.Context, c *circle, round int) {
	hops := make(map[string]string)
	over := func(owner string) string {
		hop, ok := hops[owner]
		if !ok {
			hop = c.roster.RelayOf(owner, p.passedOver)
			if hop == "" {
				hop = owner
			}
			hops[owner] = hop
		}
		return hop
	}
	here := p.Regions[p.Zone]
	var heads []relay.CopyState
	if !c.roster.EveryHostRelays(here) && p.reads(c) {
		heads = p.Copies.States(time.Now())
	}
	for _, region := range c.roster.Regions() {
		to := c.roster.Relays(region, p.passedOver)
		if region != here {
			if round%farTimes != 0 {
				continue
			}
			if c.roster.EveryHostRelays(region) {
				to = draw(to, farFan)
			}
		}
		for _, name := range to {
			if name != p.Self {
				p.tell(ctx, c.members[name], over, heads)
			}
		}
	}
}

func (p *Peers) tell(ctx context.Context, to host.Identity, over func(string) string, heads []relay.CopyState) {
	digest := p.Board.Digest(time.Now(), to.Name, relay.ToRelay, over)
	if p.Regions[to.Zone] == p.Regions[p.Zone] {
		digest.CopyStates = heads
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, digestTimeout)
		defer cancel()
		if _, err := p.Link.Call(ctx, to.Peer, to.Name, peer.Digest{Digest: digest}); err != nil {
			p.Log.Debug("peer: digest not sent", zap.String("host", to.Name), zap.Error(err))
			p.lose(to.Name)
		}
	}()
}

// lose has a host that wasn't reached passed over for a while.
func (p *Peers) lose(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(map[string]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(p.lost, func(_ string, until time.Time) bool { return now.After(until) })
	p.lost[name] = now.Add(lostSpan)
}

func (p *Peers) passedOver(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.lost[name])
}

// draw returns n of some names at random, all where there are no more.
func draw(all []string, n int) []string {
	if len(all) > n {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:n]
	}
	return all
}
