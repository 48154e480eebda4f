package control

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/peer"
	"jacinthstage/stage/load"
	"jacinthstage/stage/runner"
)

// firstEpoch is the epoch of a region's first table.
const firstEpoch = 1

// permits controls this host's loads from the weight store. The host requests
// permits as a holder, and answers the requests of all holders while it is the
// region's grantor.
type permits struct {
	holder  load.Holder
	grantor load.Grantor
	epoch   uint64 // of the current grantor
}

func (p *permits) start(l *Loop) {
	p.holder = load.Holder{Host: l.Self.Name + "/" + l.Self.Incarnation}
	p.grantor = load.Grantor{Rate: l.LoadRate, Burst: load.Burst(l.LoadRate), MaxInFlight: l.MaxConcurrentLoads}
}

// elect switches to the grantor that the region's table names.
func (p *permits) elect(l *Loop) {
	elected := l.tables[l.Region].Grantor
	if uint64(elected.Epoch) == p.epoch {
		return
	}
	p.epoch = uint64(elected.Epoch)
	if elected.Name == l.Self.Name {
		l.Log.Info("load: granting permits", zap.Uint64("epoch", p.epoch))
		p.grantor.Start(l.now, p.epoch, l.leaseEnd, elected.Epoch == firstEpoch)
	}
	p.step(l, load.Elected{Epoch: p.epoch})
}

// renew passes the end of this host's lease to the grantor.
func (p *permits) renew(l *Loop) { p.grantor.Renew(l.leaseEnd) }

func (p *permits) tick(l *Loop) {
	if due(p.holder.Next(), l.now) {
		p.step(l, load.Tick{})
	}
}

// step passes an event to the holder and carries out the resulting actions.
func (p *permits) step(l *Loop, event load.Event) {
	for _, action := range p.holder.Step(l.now, event) {
		switch a := action.(type) {
		case load.SendRequest:
			p.request(l, a.Request)
		case load.PermitGranted:
			p.deliver(l, a.Runner, runner.PermitGranted{Ref: a.Ref, Expires: a.Expires})
		case load.PermitDenied:
			p.deliver(l, a.Runner, runner.PermitDenied{Ref: a.Ref, RetryAt: a.RetryAt})
		default:
			panic(fmt.Sprintf("control: unknown permit action %T", action))
		}
	}
}

// deliver passes the grantor's decision to a runner. A permit for a runner that
// this host no longer owns is returned.
func (p *permits) deliver(l *Loop, name string, event runner.Event) {
	if o := l.owned[name]; o != nil {
		l.stepRunner(o, event)
		return
	}
	if granted, ok := event.(runner.PermitGranted); ok {
		p.step(l, load.PermitReturned{Runner: name, Ref: granted.Ref})
	}
}

// request sends a request to the grantor, which may be this host.
func (p *permits) request(l *Loop, request load.Request) {
	table := l.tables[l.Region]
	if table.Grantor.Name == l.Self.Name {
		if reply, ok := p.grantor.Answer(l.now, request); ok {
			l.sendAsync(permitsReceived{reply})
		}
		return
	}
	grantor, ok := table.Member(table.Grantor.Name)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, peerCallTimeout)
		defer cancel()
		answer, err := l.Link.Call(ctx, grantor.Peer, grantor.Name, peer.PermitRequest{Request: request})
		if err != nil {
			l.Log.Debug("load: the grantor did not answer", zap.Error(err))
			return
		}
		if response, ok := answer.(peer.PermitResponse); ok {
			l.send(permitsReceived{response.Reply})
		}
	}()
}

// sendAsync queues a message from the control goroutine itself, which must not
// block on its own full inbox.
func (l *Loop) sendAsync(m message) {
	select {
	case l.inbox <- m:
	default:
		go l.send(m)
	}
}

// answer answers another host's request if this host is the grantor that the
// request is for. Otherwise it closes the reply channel without a value.
func (p *permits) answer(l *Loop, m permitsRequested) {
	defer close(m.reply)
	if reply, ok := p.grantor.Answer(l.now, m.request); ok {
		m.reply <- reply
	}
}

// Grant answers another host's request for permits. It returns false if this host
// is not the grantor that the request is for.
func (l *Loop) Grant(ctx context.Context, request load.Request) (load.Reply, bool) {
	reply := make(chan load.Reply, 1)
	l.send(permitsRequested{request: request, reply: reply})
	select {
	case r, ok := <-reply:
		return r, ok
	case <-ctx.Done():
	case <-l.done:
	}
	return load.Reply{}, false
}
