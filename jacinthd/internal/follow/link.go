package follow

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/verdict"
)

// A Link reaches peers over the link between hosts. All fields are needed.
type Link struct {
	Link *peer.Link
	Find func(name string) (netip.AddrPort, bool) // where a peer is
}

// Share implements Peers.
func (l Link) Share(ctx context.Context, name string, ask Ask) (Share, error) {
	answer, err := l.call(ctx, name, peer.Ask(ask))
	if err != nil {
		return Share{}, err
	}
	m, ok := answer.(peer.Share)
	if !ok {
		return Share{}, errors.Errorf("follow: host %s answered with %T", name, answer)
	}
	share := Share{Version: m.Version, Snapshot: m.Snapshot, Manifest: m.Manifest, Part: m.Part}
	for _, p := range m.Patches {
		share.Patches = append(share.Patches, patch.StoredPatch{Number: p.Number, Data: p.Data})
	}
	return share, nil
}

// Tell implements Peers.
func (l Link) Tell(ctx context.Context, name string, version uint64) error {
	_, err := l.call(ctx, name, peer.Config{Version: version})
	return err
}

func (l Link) call(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	addr, ok := l.Find(name)
	if !ok {
		return nil, errors.Errorf("follow: no address of host %s", name)
	}
	return l.Link.Call(ctx, addr, name, m)
}

// Answer returns the answer to what the peer called name asks or tells, nil
// where m is neither.
func (f *Follower) Answer(ctx context.Context, name string, m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.Config:
		f.Told(name, m.Version)
		return peer.Done{}
	case peer.Ask:
		share, err := f.Serve(ctx, Ask(m))
		if err != nil {
			return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Text: err.Error()}
		}
		answer := peer.Share{Version: share.Version, Snapshot: share.Snapshot, Manifest: share.Manifest, Part: share.Part}
		for _, a := range share.Patches {
			answer.Patches = append(answer.Patches, peer.Patch{Number: a.Number, Data: a.Data})
		}
		return answer
	default:
		return nil
	}
}
