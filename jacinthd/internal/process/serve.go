package process

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

// servePeer serves a call of another host, which begins with the message first.
func (p *Process) servePeer(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
	switch m := first.(type) {
	case peer.Forward:
		p.traffic.ServeForwarded(ctx, name, m, stream)
	case peer.PermitRequest:
		p.answerPeer(name, stream, p.grantPermits(ctx, m))
	case peer.Drained:
		p.loop.RecordDrain(m.Runner, uint32(m.Epoch))
		p.answerPeer(name, stream, peer.Ack{})
	case peer.ConfigVersion, peer.ConfigRequest:
		p.answerPeer(name, stream, p.follower.HandleMessage(ctx, name, m))
	case peer.Suspect:
		p.guard.RecordPeerCrash(m.Fingerprint, m.CrashID)
		p.answerPeer(name, stream, peer.Ack{})
	default:
		p.answerPeer(name, stream, peer.Refusal{
			Verdict: verdict.NotRun,
			Code:    verdict.Malformed,
			Message: fmt.Sprintf("a call can't begin with %T", m),
		})
	}
}

// answerPeer sends the only answer to a call of another host.
func (p *Process) answerPeer(name string, stream *peer.Stream, m peer.Message) {
	if err := stream.Send(m); err != nil {
		p.log.Debug("peer: answer not sent to "+name, zap.Error(err))
	}
}

// grantPermits answers another host's request for load permits.
func (p *Process) grantPermits(ctx context.Context, m peer.PermitRequest) peer.Message {
	reply, ok := p.loop.Grant(ctx, m.Request)
	if !ok {
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Message: "this host doesn't grant permits"}
	}
	return peer.PermitResponse{Reply: reply}
}

// regionOf returns the region of a host, for the metrics of bytes sent and received
// on the link between hosts.
func (p *Process) regionOf(name string) string { return p.loop.RegionOf(name) }
