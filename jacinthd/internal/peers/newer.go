package peers

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/host"
)

// The store may hold an older configuration than the hosts, after it has come back from an
// older copy. A host that starts then, or that is behind for another reason, takes the newest
// from other hosts.

const (
	// askedAtStart is the number of hosts that a starting host asks for newer objects.
	askedAtStart = 3
	// maxAskRounds is how often it asks again if no host answers, and askInterval the time
	// between two rounds.
	maxAskRounds = 10
	askInterval  = 200 * time.Millisecond
)

// askStarted asks other hosts once for newer objects if the store may have been restored.
func (p *Group) askStarted(set *peerSet) {
	if p.Era == nil || p.Era() == 0 || len(set.members) < 2 {
		return
	}
	p.askAtStart.Do(func() { go p.askForNewer(set) })
}

func (p *Group) askForNewer(set *peerSet) {
	var others []string
	for name := range set.members {
		if name != p.Self {
			others = append(others, name)
		}
	}
	for range maxAskRounds {
		answered := false
		for _, name := range sample(others, askedAtStart) {
			answered = p.takeNewer(set, name) || answered
		}
		if answered {
			return
		}
		time.Sleep(askInterval)
	}
}

// takeNewer fetches from another host the objects that are newer there. It reports whether
// the host answered.
func (p *Group) takeNewer(set *peerSet, name string) bool {
	from, ok := set.members[name]
	answered := false
	for _, kind := range p.Copies.OrderedKinds() {
		answered = ok && p.fetchNewer(from, kind) || answered
	}
	return answered
}

// fetchNewer fetches the objects of a kind from another host, and keeps those that are newer.
func (p *Group) fetchNewer(from host.Identity, kind string) (answered bool) {
	if _, busy := p.fetching.LoadOrStore(kind, true); busy {
		return false
	}
	defer p.fetching.Delete(kind)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	m, err := p.Link.Call(ctx, from.Peer, from.Name, peer.ObjectsRequest{Kind: kind})
	newer := false
	if response, ok := m.(peer.ObjectsResponse); ok && response.Data != nil {
		answered = true
		newer, err = p.Copies.MergePage(kind, response.Data)
	}
	p.Log.Info("peer: newer objects asked of another host", zap.String("kind", kind), zap.String("host", from.Name), zap.Bool("newer", newer), zap.Error(err))
	return answered
}
