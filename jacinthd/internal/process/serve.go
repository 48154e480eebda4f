package process

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/verdict"
)

// serve answers the calls of other hosts.
func (p *Process) serve(ctx context.Context, name string, first peer.Message, stream *peer.Stream) {
	switch m := first.(type) {
	case peer.Forward:
		p.traffic.ServeForwarded(ctx, name, m, stream)
	case peer.PermitRequest:
		p.answer(name, stream, p.grant(ctx, m))
	case peer.Drained:
		p.loop.RecordDrain(m.Runner, uint32(m.Epoch))
		p.answer(name, stream, peer.Ack{})
	case peer.ConfigVersion, peer.ConfigRequest:
		p.answer(name, stream, p.follower.HandleMessage(ctx, name, m))
	case peer.Suspect:
		p.guard.RecordPeerCrash(m.Fingerprint, m.CrashID)
		p.answer(name, stream, peer.Ack{})
	default:
		p.answer(name, stream, peer.Refusal{
			Verdict: verdict.NotRun,
			Code:    verdict.Malformed,
			Message: fmt.Sprintf("a call can't begin with %T", m),
		})
	}
}

func (p *Process) answer(name string, stream *peer.Stream, m peer.Message) {
	if err := stream.Send(m); err != nil {
		p.log.Debug("peer: answer not sent to "+name, zap.Error(err))
	}
}

func (p *Process) grant(ctx context.Context, m peer.PermitRequest) peer.Message {
	reply, ok := p.loop.Grant(ctx, m.Request)
	if !ok {
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Message: "this host doesn't grant permits"}
	}
	return peer.PermitResponse{Reply: reply}
}

// regionOf returns the region of a host, for the count of bytes on the link.
func (p *Process) regionOf(name string) string { return p.loop.RegionOf(name) }
