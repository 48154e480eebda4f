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

// permits are this host's part in sharing the weight store: it asks for permits
// as a holder, and answers all holders while it is the region's grantor.
type permits struct {
	holder  load.Holder
	grantor load.Grantor
	epoch   uint64 // of the grantor in force
}

func (p *permits) start(l *Loop) {
	p.holder = load.Holder{Host: l.Self.Name + "/" + l.Self.Incarnation}
	p.grantor = load.Grantor{Rate: l.LoadRate, Burst: load.Burst(l.LoadRate), MaxInFlight: l.MaxConcurrentLoads}
}

// elect follows the grantor that the table names.
func (p *permits) elect(l *Loop) {
	grant := l.tables[l.Region].Grantor
	if uint64(grant.Epoch) == p.epoch {
		return
	}
	p.epoch = uint64(grant.Epoch)
	if grant.Name == l.Self.Name {
		l.Log.Info("load: granting permits", zap.Uint64("epoch", p.epoch))
		p.grantor.Start(l.now, p.epoch, l.lease, grant.Epoch == firstEpoch)
	}
	p.step(l, load.Elected{Epoch: p.epoch})
}

func (p *permits) renew(l *Loop) { p.grantor.Renew(l.lease) }

func (p *permits) tick(l *Loop) {
	if due(p.holder.Next(), l.now) {
		p.step(l, load.Tick{})
	}
}

func (p *permits) step(l *Loop, event load.Event) {
	for _, action := range p.holder.Step(l.now, event) {
		switch a := action.(type) {
		case load.SendRequest:
			p.send(l, a.Request)
		case load.PermitGranted:
			p.tell(l, a.Runner, runner.PermitGranted{Ref: a.Ref, Expires: a.Expires})
		case load.PermitDenied:
			p.tell(l, a.Runner, runner.PermitDenied{Ref: a.Ref, RetryAt: a.RetryAt})
		default:
			panic(fmt.Sprintf("control: action %T of the permits", action))
		}
	}
}

// tell passes a permit on. One for a runner that is no longer owned here is given back.
func (p *permits) tell(l *Loop, name string, event runner.Event) {
	if o := l.owned[name]; o != nil {
		l.runnerStep(o, event)
		return
	}
	if granted, ok := event.(runner.PermitGranted); ok {
		p.step(l, load.PermitReturned{Runner: name, Ref: granted.Ref})
	}
}

// send asks the grantor, which may be this host.
func (p *permits) send(l *Loop, request load.Request) {
	table := l.tables[l.Region]
	if table.Grantor.Name == l.Self.Name {
		if reply, ok := p.grantor.Answer(l.now, request); ok {
			l.postSoon(permitted{reply})
		}
		return
	}
	owner, ok := table.Member(table.Grantor.Name)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, tellTimeout)
		defer cancel()
		answer, err := l.Link.Call(ctx, owner.Peer, owner.Name, peer.PermitRequest{Request: request})
		if err != nil {
			l.Log.Debug("load: the granting host did not answer", zap.Error(err))
			return
		}
		if grant, ok := answer.(peer.PermitResponse); ok {
			l.post(permitted{grant.Reply})
		}
	}()
}

// postSoon posts from the control goroutine itself, which must not wait for room.
func (l *Loop) postSoon(p post) {
	select {
	case l.posts <- p:
	default:
		go l.post(p)
	}
}

// answer answers another host, where this one is the grantor.
func (p *permits) answer(l *Loop, w wanted) {
	defer close(w.reply)
	if reply, ok := p.grantor.Answer(l.now, w.request); ok {
		w.reply <- reply
	}
}

// Grant answers another host's request for permits, false where this host is
// not the grantor that was asked.
func (l *Loop) Grant(ctx context.Context, request load.Request) (load.Reply, bool) {
	reply := make(chan load.Reply, 1)
	l.post(wanted{request: request, reply: reply})
	select {
	case r, ok := <-reply:
		return r, ok
	case <-ctx.Done():
	case <-l.done:
	}
	return load.Reply{}, false
}
