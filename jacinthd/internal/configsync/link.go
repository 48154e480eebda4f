package configsync

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/verdict"
)

// A PeerLink implements Peers over a peer.Link. All fields are required.
type PeerLink struct {
	Link    *peer.Link
	Resolve func(name string) (netip.AddrPort, bool) // returns the address of a peer
}

// Fetch implements Peers.
func (l PeerLink) Fetch(ctx context.Context, name string, request Request) (Response, error) {
	reply, err := l.call(ctx, name, peer.ConfigRequest(request))
	if err != nil {
		return Response{}, err
	}
	m, ok := reply.(peer.ConfigResponse)
	if !ok {
		return Response{}, errors.Errorf("configsync: host %s responded with unexpected %T", name, reply)
	}
	response := Response{Version: m.Version, Snapshot: m.Snapshot, Manifest: m.Manifest, Part: m.Part}
	for _, p := range m.Patches {
		response.Patches = append(response.Patches, patch.StoredPatch{Number: p.Number, Data: p.Data})
	}
	return response, nil
}

// Announce implements Peers.
func (l PeerLink) Announce(ctx context.Context, name string, version uint64) error {
	_, err := l.call(ctx, name, peer.ConfigVersion{Version: version})
	return err
}

func (l PeerLink) call(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	addr, ok := l.Resolve(name)
	if !ok {
		return nil, errors.Errorf("configsync: no address known for host %s", name)
	}
	return l.Link.Call(ctx, addr, name, m)
}

// HandleMessage returns the response to a message from the named peer. It returns
// nil if m is neither a request nor an announcement of the configuration.
func (f *Follower) HandleMessage(ctx context.Context, name string, m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.ConfigVersion:
		f.NotePeerVersion(name, m.Version)
		return peer.Ack{}
	case peer.ConfigRequest:
		response, err := f.HandleRequest(ctx, Request(m))
		if err != nil {
			return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Message: err.Error()}
		}
		reply := peer.ConfigResponse{Version: response.Version, Snapshot: response.Snapshot, Manifest: response.Manifest, Part: response.Part}
		for _, a := range response.Patches {
			reply.Patches = append(reply.Patches, peer.Patch{Number: a.Number, Data: a.Data})
		}
		return reply
	default:
		return nil
	}
}
