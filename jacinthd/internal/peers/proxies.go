package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jacinthstage/jacinthd/internal/peer"
)

const (
	// maxProxies is the number of hosts that are asked to send one request.
	maxProxies = 4
	// proxyTimeout limits the time in which a proxy is connected to.
	proxyTimeout = 300 * time.Millisecond
	// proxyPause is how long a host that took no request is not asked again.
	proxyPause = time.Second
)

// Connect makes sure that there is a connection to a host, for no longer than proxyTimeout:
// what is sent over the link afterwards may have arrived.
func (p *Group) Connect(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, proxyTimeout)
	defer cancel()
	return p.Link.Connect(ctx, p.address(name), name)
}

// Proxies returns the hosts to ask to send a request, in order: those of this region first,
// and among them those of other zones, since a whole zone may be partitioned from the targets.
// Hosts that took no request lately come last, and those of builds that know no requests of
// others are left out.
func (p *Group) Proxies() []string {
	set := p.peerSet.Load()
	if set == nil {
		return nil
	}
	type rank struct {
		name   string
		weight int
	}
	var all []rank
	for name, m := range set.members {
		if name == p.Self || p.isEarlier(name) {
			continue
		}
		weight := 0
		if p.isAvoided(name) || p.unreachable(name) {
			weight += 4
		}
		if p.Regions[m.Zone] != p.Regions[p.Zone] {
			weight += 2
		}
		if m.Zone == p.Zone {
			weight++
		}
		all = append(all, rank{name, weight})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(x, y rank) int { return cmp.Compare(x.weight, y.weight) })
	var out []string
	for _, r := range all[:min(len(all), maxProxies)] {
		out = append(out, r.name)
	}
	return out
}

// AvoidProxy causes a host to be asked last for proxyPause.
func (p *Group) AvoidProxy(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil == nil {
		p.avoidedUntil = make(map[string]time.Time)
	}
	p.avoidedUntil[name] = time.Now().Add(proxyPause)
}

func (p *Group) isAvoided(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoidedUntil[name])
}

// Open begins a call to a host with its messages.
func (p *Group) Open(ctx context.Context, name string, messages []peer.Message) (*peer.Stream, error) {
	return p.Link.Open(ctx, p.address(name), name, messages[0], messages[1:]...)
}

// address returns the address of a host on the link between hosts. It is invalid if the host
// is unknown.
func (p *Group) address(name string) netip.AddrPort {
	set := p.peerSet.Load()
	if set == nil {
		return netip.AddrPort{}
	}
	return set.members[name].Peer
}
