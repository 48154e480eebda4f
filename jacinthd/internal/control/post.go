package control

import (
	"fmt"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/host"
	"jacinthstage/stage/load"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/runner"
	"jacinthstage/stage/store"
)

// A post is what other goroutines tell the control goroutine.
type post interface{ post() }

// arrived is a job that waits for a runner owned here.
type arrived struct {
	runner string
	job    Job
	reply  chan decision
}

// gone says that nobody waits for the job's decision any more.
type gone struct {
	runner string
	id     string
}

// ended gives a job's ticket back.
type ended struct {
	owner   *ownership
	id      string
	outcome Outcome
}

// answered is what became of an order.
type answered struct {
	owner *ownership
	event runner.Answered
}

// reported is an engine's report; nil where the engine gave none.
type reported struct {
	owner  *ownership
	report *runner.Report
}

// cancelled says that the engine confirmed a cancel.
type cancelled struct {
	owner *ownership
	id    string
}

// crashed says that a target's process ended with jobs in progress.
type crashed struct {
	runner string
	ids    []string
}

// stored answers a call of the membership on the object API.
type stored struct{ event host.Event }

// watched is a region's table as a watch showed it.
type watched struct {
	region string
	object store.Object
}

// listed is the platform's list of hosts and targets.
type listed struct{ all []store.Presence }

// configured is a newer configuration.
type configured struct{ config *patch.Config }

// drained says that an earlier owner has no request left on a runner.
type drained struct {
	runner string
	epoch  uint32
}

// wanted asks this host, as the grantor, for permits.
type wanted struct {
	request load.Request
	reply   chan load.Reply
}

// permitted answers this host's request for permits.
type permitted struct{ reply load.Reply }

// observed is a request that was routed to a runner of a service.
type observed struct {
	service string
	ref     adapter.Ref
}

// told says that a new owner was told of a drain, or could not be.
type told struct{}

// settle closes done once no request is left on runners that were given up.
type settle struct{ done chan struct{} }

// stop starts a planned stop.
type stop struct{}

func (arrived) post()    {}
func (gone) post()       {}
func (ended) post()      {}
func (answered) post()   {}
func (reported) post()   {}
func (cancelled) post()  {}
func (crashed) post()    {}
func (stored) post()     {}
func (watched) post()    {}
func (listed) post()     {}
func (configured) post() {}
func (drained) post()    {}
func (wanted) post()     {}
func (permitted) post()  {}
func (observed) post()   {}
func (told) post()       {}
func (settle) post()     {}
func (stop) post()       {}

// holder is a post that holds the control goroutine; tests pause a host by one.
type holder interface {
	post
	hold()
}

func (l *Loop) handle(p post) {
	switch p := p.(type) {
	case arrived:
		l.arrive(p)
	case gone:
		l.leave(p)
	case ended:
		l.end(p)
	case answered:
		l.runnerStep(p.owner, p.event)
	case reported:
		l.report(p)
	case cancelled:
		l.runnerStep(p.owner, runner.RequestEnded{ID: p.id, Outcome: runner.Cancelled})
	case crashed:
		l.crash(p)
	case stored:
		l.memberStep(p.event)
	case watched:
		l.table(p)
	case listed:
		l.present(p.all)
	case configured:
		l.configure(p.config)
	case drained:
		l.inherit(p)
	case wanted:
		l.permits.answer(l, p)
	case permitted:
		l.permits.step(l, load.ReplyReceived{Reply: p.reply})
	case observed:
		l.observe(p)
	case told:
		l.telling--
		l.settled()
	case settle:
		l.settling = append(l.settling, p.done)
		l.settled()
	case holder:
		p.hold()
	case stop:
		l.stopping = true
		l.dirty = true
		l.memberStep(host.Stop{})
	default:
		panic(fmt.Sprintf("control: post %T", p))
	}
}
