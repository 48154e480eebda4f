package configsync

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/verdict"
)

// A Link reaches peers over the link between hosts. All fields are needed.
type PeerLink struct {
	Link    *peer.Link
	Resolve func(name string) (netip.AddrPort, bool) // where a peer is
}

// Fetch implements Peers.
func (l PeerLink) Fetch(ctx context.Context, name string, ask Request) (Response, error) {
	answer, err := l.call(ctx, name, peer.ConfigRequest(ask))
	if err != nil {
		return Response{}, err
	}
	m, ok := answer.(peer.ConfigResponse)
	if !ok {
		return Response{}, errors.Errorf("follow: host %s answered with %T", name, answer)
	}
	share := Response{Version: m.Version, Snapshot: m.Snapshot, Manifest: m.Manifest, Part: m.Part}
	for _, p := range m.Patches {
		share.Patches = append(share.Patches, patch.StoredPatch{Number: p.Number, Data: p.Data})
	}
	return share, nil
}

// Announce implements Peers.
func (l PeerLink) Announce(ctx context.Context, name string, version uint64) error {
	_, err := l.call(ctx, name, peer.ConfigVersion{Version: version})
	return err
}

func (l PeerLink) call(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	addr, ok := l.Resolve(name)
	if !ok {
		return nil, errors.Errorf("follow: no address of host %s", name)
	}
	return l.Link.Call(ctx, addr, name, m)
}

// HandleMessage returns the answer to what the peer called name asks or tells, nil
// where m is neither.
func (f *Follower) HandleMessage(ctx context.Context, name string, m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.ConfigVersion:
		f.NotePeerVersion(name, m.Version)
		return peer.Ack{}
	case peer.ConfigRequest:
		share, err := f.HandleRequest(ctx, Request(m))
		if err != nil {
			return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Message: err.Error()}
		}
		answer := peer.ConfigResponse{Version: share.Version, Snapshot: share.Snapshot, Manifest: share.Manifest, Part: share.Part}
		for _, a := range share.Patches {
			answer.Patches = append(answer.Patches, peer.Patch{Number: a.Number, Data: a.Data})
		}
		return answer
	default:
		return nil
	}
}
