package peers

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/verdict"
)

// Hosts of several builds work side by side while one build is replaced by another. Those that
// speak the first version of the protocol are asked once whether they know of brittle targets:
// where they don't, digests go to them in an earlier shape.

const (
	// buildProbeTimeout limits the time of one question, and buildProbeInterval is the time
	// between two, of which there are maxBuildProbes.
	buildProbeTimeout  = time.Second
	buildProbeInterval = time.Second
	maxBuildProbes     = 5
)

// OnVersion records the version of another host.
func (p *Group) OnVersion(name string, v peer.Version) {
	p.mu.Lock()
	if p.versions == nil {
		p.versions = make(map[string]peer.Version)
	}
	p.versions[name] = v
	delete(p.earlier, name)
	p.countVersions()
	p.mu.Unlock()
	p.Log.Info("peer: host of a build", zap.String("host", name), zap.String("build", v.Build), zap.String("protocol", v.Protocol))
	if v.First() {
		go p.probeBuild(name, v)
	}
}

// OnUnreadable records that a call of another host can't be read.
func (p *Group) OnUnreadable(name string, cause error, again bool) {
	p.Suspects.Metrics.Unreadable.Inc()
	if !again {
		p.Log.Warn("peer: call not understood", zap.String("host", name), zap.String("build", p.Link.Version(name).Build), zap.Error(cause))
	}
}

// countVersions updates the metric of versions. p.mu must be held.
func (p *Group) countVersions() {
	p.Suspects.Metrics.Peers.Reset()
	for _, v := range p.versions {
		p.Suspects.Metrics.Peers.WithLabelValues(v.Build, v.Protocol).Inc()
	}
}

// forgetVersions forgets the versions of hosts that have left.
func (p *Group) forgetVersions(before, after *peerSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range before.members {
		if _, ok := after.members[name]; !ok {
			delete(p.versions, name)
			delete(p.earlier, name)
		}
	}
	p.countVersions()
}

// probeBuild finds out whether a host knows of brittle targets, by a call that came with them
// and does nothing.
func (p *Group) probeBuild(name string, v peer.Version) {
	for range maxBuildProbes {
		earlier, err := p.refusesCall(name)
		if err == nil {
			p.setEarlier(name, v, earlier)
			return
		}
		time.Sleep(buildProbeInterval)
	}
}

// refusesCall reports whether a host refuses a request for a target that doesn't exist as one
// that it can't read.
func (p *Group) refusesCall(name string) (bool, error) {
	set := p.peerSet.Load()
	if set == nil {
		return false, errors.New("no hosts known")
	}
	member, ok := set.members[name]
	if !ok {
		return false, errors.New("not a host")
	}
	ctx, cancel := context.WithTimeout(context.Background(), buildProbeTimeout)
	defer cancel()
	_, err := p.Link.Call(ctx, member.Peer, name, peer.ProxyRequest{
		Target: "none", ID: "none", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 0), Method: "GET", RequestURI: "/",
	})
	var refused *verdict.Error
	if errors.As(err, &refused) && refused.Code == verdict.Malformed {
		return true, nil
	}
	return false, err
}

func (p *Group) setEarlier(name string, v peer.Version, earlier bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.versions[name] != v {
		return
	}
	if p.earlier == nil {
		p.earlier = make(map[string]bool)
	}
	p.earlier[name] = earlier
	if earlier {
		p.Log.Warn("peer: host of an earlier build, which learns nothing of brittle targets and sends no requests of others", zap.String("host", name))
	}
}

// isEarlier reports whether a host is of a build before 0c2534b.
func (p *Group) isEarlier(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.earlier[name]
}

// digestMessage returns the message that carries a digest to a host. A host that speaks the
// first version of the protocol refuses what it doesn't know, and gets the digest alone.
func (p *Group) digestMessage(to string, digest relay.Digest, extra relay.Extra) peer.Digest {
	if p.Link.Version(to).First() {
		extra = relay.Extra{}
	}
	return peer.Digest{Digest: digest, Extra: extra, Earlier: p.isEarlier(to)}
}
