// Package peers exchanges digests, platform objects, load requests and the origins of streams
// with the other hosts of the system. A Group knows the hosts and their relays; what it learns
// goes to the dispatcher, the suspects and the copies of the platform's objects, which decide.
package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/contact"
	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/origin"
	"jacinthstage/stage/quota"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/verdict"
)

const (
	// ConfirmTimeout limits the time in which a runner's owner confirms that an
	// adapter is loaded.
	ConfirmTimeout = 60 * time.Millisecond
	// LoadRequestTimeout limits the time in which a load request is answered.
	// ownerLoadWait is how long the owner waits for the adapter to be loaded before
	// it answers with the state of the load; it is shorter, so that the answer
	// arrives in time.
	LoadRequestTimeout = 800 * time.Millisecond
	ownerLoadWait      = 650 * time.Millisecond
)

// A Proxy sends requests to targets for hosts that can't reach them.
type Proxy interface {
	// Serve sends the request with which a stream began.
	Serve(ctx context.Context, from string, m peer.ProxyRequest, stream *peer.Stream)
}

// A Group exchanges digests, platform objects and load requests with the other hosts.
// All exported fields must be set.
type Group struct {
	Self       string
	Zone       string
	Regions    map[string]string // region of each zone
	Link       *peer.Link
	Dispatcher *dispatch.Dispatcher
	Copies     *mirror.Set
	Suspects   *contact.Suspects
	Quotas     *quota.Keeper // nil where this host keeps none
	// Proxy sends requests of other hosts. If it is nil, this host sends none.
	Proxy Proxy
	// Wake is called when a runner may need an order.
	Wake func()
	// OnNewerConfig is called when another host has a newer configuration.
	OnNewerConfig func()
	// Era returns the era of the store. It is 0, or Era nil, if the store names none.
	Era func() uint64
	Log *zap.Logger

	peerSet      atomic.Pointer[peerSet]
	currentRelay atomic.Pointer[string] // relay to which this host reports; nil or empty if it is one
	reporting    sync.Map               // names of the relays with a report in progress
	fetching     sync.Map               // kinds of objects that are being fetched

	askAtStart sync.Once

	Origins origin.Memory // of streams that began here, or that this host keeps

	mu               sync.Mutex
	answeredBy       string               // see setAnsweredBy
	avoidedUntil     map[string]time.Time // see AvoidProxy
	versions         map[string]peer.Version
	earlier          map[string]bool      // hosts that get digests in an earlier shape
	unreachableUntil map[string]time.Time // when hosts that could not be reached are tried again, by name
}

// Serve answers the calls of other hosts until ctx ends.
func (p *Group) Serve(ctx context.Context) error {
	return p.Link.Serve(ctx, func(ctx context.Context, from string, first peer.Message, stream *peer.Stream) {
		if m, ok := first.(peer.ProxyRequest); ok && p.Proxy != nil {
			p.Proxy.Serve(ctx, from, m, stream)
			return
		}
		if err := stream.Send(p.answer(ctx, first)); err != nil {
			p.Log.Debug("peer: answer not sent", zap.Error(err))
		}
	})
}

func (p *Group) answer(ctx context.Context, first peer.Message) peer.Message {
	switch m := first.(type) {
	case peer.Digest:
		p.applyDigest(m, m.Digest.ReportsToReceiver || p.relayName() == "")
		p.applyUnsolicitedStates(ctx, m.Digest)
		if !m.Digest.ReportsToReceiver {
			return peer.Ack{}
		}
		return p.reportAnswer(m.Digest)
	case peer.StreamBegan:
		p.Origins.Add(time.Now(), m.Origin)
		return peer.Ack{}
	case peer.OriginRequest:
		return p.originAnswer(m)
	case peer.ObjectsRequest:
		data, err := p.Copies.EncodePage(m.Kind, m.After)
		if err != nil {
			p.Log.Error("peer: packing objects failed", zap.String("kind", m.Kind), zap.Error(err))
		}
		return peer.ObjectsResponse{Data: data}
	case peer.LoadRequest:
		return p.loadForPeer(ctx, m)
	default:
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Malformed, Message: "not a message of this kind of host"}
	}
}

// relayName returns the relay to which this host reports, or an empty name if this host
// is a relay itself.
func (p *Group) relayName() string {
	if name := p.currentRelay.Load(); name != nil {
		return *name
	}
	return ""
}

// applyDigest passes another host's digest to the dispatcher, with its loads or without.
// A host that reports to a relay gets all loads in the answers; what a host sends it that
// takes it for a relay would count twice.
func (p *Group) applyDigest(m peer.Digest, loads bool) {
	d := m.Digest
	p.mergeExtra(time.Now(), m)
	p.Suspects.Merge(d.From, d.Suspects)
	merge := p.Dispatcher.MergeDigest
	if !loads {
		merge = p.Dispatcher.MergeDigestWithoutLoads
	} else if p.isMember(d.From) {
		p.Dispatcher.LearnAdmissions(time.Now(), d.From, d.ReportsToReceiver, m.Extra.Admissions)
	}
	if merge(time.Now(), d) {
		p.Log.Info("config: another host has a newer version", zap.String("host", d.From), zap.Uint64("version", d.ConfigVersion))
		p.OnNewerConfig()
		if set := p.peerSet.Load(); set != nil {
			go p.takeNewer(set, d.From)
		}
	}
}

// isMember reports whether a host is among those of the system, as far as this one knows them.
func (p *Group) isMember(name string) bool {
	set := p.peerSet.Load()
	if set == nil {
		return false
	}
	_, listed := set.members[name]
	return listed
}

// loadForPeer requests the load of an adapter onto a runner that this host owns, and
// waits for it up to ownerLoadWait.
func (p *Group) loadForPeer(ctx context.Context, m peer.LoadRequest) peer.LoadResponse {
	key := residency.Key{Model: m.Model, Adapter: m.Adapter}
	loaded, reason := p.Dispatcher.RequestLoad(time.Now(), m.Runner, key)
	if loaded == nil {
		return peer.LoadResponse{Reason: reason, Absent: reason == dispatch.NoSlot || reason == residency.OlderInUse}
	}
	defer p.Dispatcher.CancelLoadRequest(m.Runner, key)
	p.Wake()
	ctx, cancel := context.WithTimeout(ctx, ownerLoadWait)
	defer cancel()
	select {
	case <-loaded:
	case <-ctx.Done():
	}
	switch {
	case p.Dispatcher.Resident(time.Now(), m.Runner, key):
		return peer.LoadResponse{Loaded: true}
	case p.Dispatcher.Loading(m.Runner, key):
		return peer.LoadResponse{Reason: "on its way", Loading: true}
	default:
		return peer.LoadResponse{Reason: "not loaded", Absent: true}
	}
}

// RequestLoad asks the owner of a runner to load an adapter onto it, and waits for
// the answer until ctx ends. If it returns an error, it also sets the Reason of
// the response.
func (p *Group) RequestLoad(ctx context.Context, owner dispatch.Owner, runner string, k residency.Key) (peer.LoadResponse, error) {
	m, err := p.Link.Call(ctx, owner.Address, owner.Host, peer.LoadRequest{Runner: runner, Model: k.Model, Adapter: k.Adapter})
	if err != nil {
		return peer.LoadResponse{Reason: "owner not reached"}, err
	}
	answer, ok := m.(peer.LoadResponse)
	if !ok {
		return peer.LoadResponse{Reason: "unexpected answer"}, errors.Errorf("unexpected answer %T to a load request", m)
	}
	return answer, nil
}

// Rank returns the place of this host in an order of all hosts that each of them determines by
// itself. It returns false if the hosts are unknown, or this one isn't among them yet.
func (p *Group) Rank() (int, bool) {
	set := p.peerSet.Load()
	if set == nil {
		return 0, false
	}
	if _, listed := set.members[p.Self]; !listed {
		return 0, false
	}
	own, rank := xxhash.Sum64String(p.Self), 0
	for _, h := range set.hosts {
		if xxhash.Sum64String(h.Name) < own {
			rank++
		}
	}
	return rank, true
}
