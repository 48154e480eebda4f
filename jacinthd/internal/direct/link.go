package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/host"
	"jacinthstage/stage/shelf"
	"jacinthstage/stage/verdict"
)

const (
	// digestEach is the time between two digests to hosts of the same region for
	// each host of the system, within digestLeast and digestMost.
	digestEach  = 8 * time.Millisecond
	digestLeast = 75 * time.Millisecond
	digestMost  = 300 * time.Millisecond
	// farTimes is how many times rarer they go to hosts of other regions, whose
	// links are slow and dear.
	farTimes = 2
	// digestFan is the number of hosts of the same region that get one digest.
	digestFan = 12
	// farFan is the number of hosts of other regions that get one.
	farFan = 4
	// digestTimeout limits the sending of one digest.
	digestTimeout = time.Second
	// confirmTimeout is how long a host waits for an owner to confirm that an
	// adapter is there.
	confirmTimeout = 60 * time.Millisecond
	// wishTimeout is how long a wish waits for its adapter at the owner.
	wishTimeout = 800 * time.Millisecond
)

// Peers talks with other hosts. Its fields must be set.
type Peers struct {
	Self    string
	Zone    string
	Regions map[string]string // region of each zone
	Link    *peer.Link
	Board   *dispatch.Board
	Wake    func()
	// Behind is called where another host has a newer configuration.
	Behind func()
	Log    *zap.Logger

	members atomic.Pointer[[]host.Identity]
}

// Members takes in which hosts there are.
func (p *Peers) Members(all []host.Identity) { p.members.Store(&all) }

// Serve answers other hosts until ctx ends.
func (p *Peers) Serve(ctx context.Context) error {
	return p.Link.Serve(ctx, func(ctx context.Context, _ string, first peer.Message, stream *peer.Stream) {
		if err := stream.Send(p.answer(ctx, first)); err != nil {
			p.Log.Debug("peer: answer not sent", zap.Error(err))
		}
	})
}

func (p *Peers) answer(ctx context.Context, first peer.Message) peer.Message {
	switch m := first.(type) {
	case peer.Digest:
		if p.Board.Take(time.Now(), m.Digest) {
			p.Log.Info("config: another host has a newer version", zap.String("host", m.Digest.From), zap.Uint64("version", m.Digest.Config))
			p.Behind()
		}
		return peer.Done{}
	case peer.Wish:
		return p.load(ctx, m)
	default:
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Malformed, Text: "not a message of this kind of host"}
	}
}

// load has an adapter loaded onto a runner that this host owns.
func (p *Peers) load(ctx context.Context, m peer.Wish) peer.Wished {
	key := shelf.Key{Model: m.Model, Adapter: m.Adapter}
	arrived, reason := p.Board.Wish(time.Now(), m.Runner, key)
	if arrived == nil {
		return peer.Wished{Reason: reason, Absent: reason == dispatch.NoPlace}
	}
	defer p.Board.Unwish(m.Runner, key)
	p.Wake()
	ctx, cancel := context.WithTimeout(ctx, wishTimeout)
	defer cancel()
	select {
	case <-arrived:
	case <-ctx.Done():
	}
	if !p.Board.Resident(time.Now(), m.Runner, key) {
		return peer.Wished{Reason: "not loaded", Absent: true}
	}
	return peer.Wished{Arrived: true}
}

// Wish asks the owner of a runner for an adapter until ctx ends.
func (p *Peers) Wish(ctx context.Context, owner dispatch.Owner, runner string, k shelf.Key) (peer.Wished, error) {
	address, err := netip.ParseAddrPort(owner.Address)
	if err != nil {
		return peer.Wished{Reason: "owner without address"}, errors.WithStack(err)
	}
	m, err := p.Link.Call(ctx, address, owner.Host, peer.Wish{Runner: runner, Model: k.Model, Adapter: k.Adapter})
	if err != nil {
		return peer.Wished{Reason: "owner not reached"}, err
	}
	wished, ok := m.(peer.Wished)
	if !ok {
		return peer.Wished{Reason: "unexpected answer"}, errors.Errorf("unexpected answer %T", m)
	}
	return wished, nil
}

// Tell sends digests until ctx ends.
func (p *Peers) Tell(ctx context.Context) {
	timer := time.NewTimer(digestLeast)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(min(max(digestLeast, time.Duration(p.Board.Hosts())*digestEach), digestMost))
		members := p.members.Load()
		if members == nil {
			continue
		}
		near, far := p.split(*members)
		to := draw(near, digestFan)
		if round%farTimes == 0 {
			to = append(to, draw(far, farFan)...)
		}
		p.tell(ctx, to)
	}
}

func (p *Peers) tell(ctx context.Context, to []host.Identity) {
	digest := peer.Digest{Digest: p.Board.Digest(time.Now())}
	for _, m := range to {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, digestTimeout)
			defer cancel()
			if _, err := p.Link.Call(ctx, m.Peer, m.Name, digest); err != nil {
				p.Log.Debug("peer: digest not sent", zap.String("host", m.Name), zap.Error(err))
			}
		}()
	}
}

// split returns the other hosts of this region and those of other regions.
func (p *Peers) split(all []host.Identity) (near, far []host.Identity) {
	for _, m := range all {
		switch {
		case m.Name == p.Self:
		case p.Regions[m.Zone] == p.Regions[p.Zone]:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return near, far
}

// draw returns n hosts at random, all where there are no more.
func draw(all []host.Identity, n int) []host.Identity {
	if len(all) > n {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:n]
	}
	return all
}
