package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/mirror"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/verdict"
)

const (
	// confirmTimeout is how long a host waits for an owner to confirm that an
	// adapter is there.
	confirmTimeout = 60 * time.Millisecond
	// wishTimeout is how long a wish waits for its answer, and wishLeast how long
	// the owner waits for the adapter before it says how far that is.
	wishTimeout = 800 * time.Millisecond
	wishLeast   = 650 * time.Millisecond
)

// Peers talks with other hosts. Its fields must be set.
type Peers struct {
	Self    string
	Zone    string
	Regions map[string]string // region of each zone
	Link    *peer.Link
	Board   *dispatch.Dispatcher
	Copies  *mirror.Set
	Wake    func()
	// OnNewerConfig is called where another host has a newer configuration.
	OnNewerConfig func()
	Log           *zap.Logger

	circle  atomic.Pointer[circle]
	relay   string   // to which this host reports; of the goroutine that runs Tell
	reports sync.Map // names of the relays to which a report is on its way
	fetches sync.Map // kinds of objects that are on their way here

	mu   sync.Mutex
	lost map[string]time.Time // hosts that weren't reached, and until when they are passed over
}

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
		p.take(m.Digest)
		if !m.Digest.ReportsToReceiver {
			p.unasked(ctx, m.Digest)
			return peer.Ack{}
		}
		return p.reported(m.Digest.From)
	case peer.ObjectsRequest:
		data, err := p.Copies.EncodePage(m.Kind, m.After)
		if err != nil {
			p.Log.Error("peer: objects not packed", zap.String("kind", m.Kind), zap.Error(err))
		}
		return peer.ObjectsResponse{Data: data}
	case peer.LoadRequest:
		return p.load(ctx, m)
	default:
		return peer.Refusal{Verdict: verdict.NotRun, Code: verdict.Malformed, Message: "not a message of this kind of host"}
	}
}

// take takes in what another host told.
func (p *Peers) take(d relay.Digest) {
	if p.Board.MergeDigest(time.Now(), d) {
		p.Log.Info("config: another host has a newer version", zap.String("host", d.From), zap.Uint64("version", d.ConfigVersion))
		p.OnNewerConfig()
	}
}

// load has an adapter loaded onto a runner that this host owns.
func (p *Peers) load(ctx context.Context, m peer.LoadRequest) peer.LoadResponse {
	key := residency.Key{Model: m.Model, Adapter: m.Adapter}
	arrived, reason := p.Board.RequestLoad(time.Now(), m.Runner, key)
	if arrived == nil {
		return peer.LoadResponse{Reason: reason, Absent: reason == dispatch.NoSlot}
	}
	defer p.Board.CancelLoadRequest(m.Runner, key)
	p.Wake()
	ctx, cancel := context.WithTimeout(ctx, wishLeast)
	defer cancel()
	select {
	case <-arrived:
	case <-ctx.Done():
	}
	switch {
	case p.Board.Resident(time.Now(), m.Runner, key):
		return peer.LoadResponse{Loaded: true}
	case p.Board.Loading(m.Runner, key):
		return peer.LoadResponse{Reason: "on its way", Loading: true}
	default:
		return peer.LoadResponse{Reason: "not loaded", Absent: true}
	}
}

// RequestLoad asks the owner of a runner for an adapter until ctx ends.
func (p *Peers) RequestLoad(ctx context.Context, owner dispatch.Owner, runner string, k residency.Key) (peer.LoadResponse, error) {
	m, err := p.Link.Call(ctx, owner.Address, owner.Host, peer.LoadRequest{Runner: runner, Model: k.Model, Adapter: k.Adapter})
	if err != nil {
		return peer.LoadResponse{Reason: "owner not reached"}, err
	}
	wished, ok := m.(peer.LoadResponse)
	if !ok {
		return peer.LoadResponse{Reason: "unexpected answer"}, errors.Errorf("unexpected answer %T", m)
	}
	return wished, nil
}
