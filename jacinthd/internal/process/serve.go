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
	case peer.Want:
		p.answer(name, stream, p.grant(ctx, m))
	case peer.Drained:
		p.loop.Drained(m.Runner, uint32(m.Epoch))
		p.answer(name, stream, peer.Done{})
	case peer.Config, peer.Ask:
		p.answer(name, stream, p.follower.Answer(ctx, name, m))
	case peer.Suspect:
		p.guard.Told(m.Print, m.Crash)
		p.answer(name, stream, peer.Done{})
	default:
		p.answer(name, stream, peer.Refusal{
			Verdict: verdict.NotRun,
			Code:    verdict.Malformed,
			Text:    fmt.Sprintf("a call can't begin with %T", m),
		})
	}
}

func (p *Process) answer(name string, stream *peer.Stream, m peer.Message) {
	if err := stream.Send(m); err != nil {
		p.log.Debug("peer: answer not sent to "+name, zap.Error(err))
	}
}

func (p *Process) grant(ctx context.Context, m peer.Want) peer.Message {
	reply, ok := p.loop.Grant(ctx, m.Request)
	if !ok {
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Unavailable, Text: "this host doesn't grant permits"}
	}
	return peer.Permits{Reply: reply}
}

// regionOf returns the region of a host, for the count of bytes on the link.
func (p *Process) regionOf(name string) string { return p.loop.RegionOf(name) }
