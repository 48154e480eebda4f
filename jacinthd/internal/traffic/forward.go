package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/jacinthd/internal/peer"
)

// maxWaiting is the number of tokens that may wait to be sent together.
const maxWaiting = 64

// forward sends a request to the owner of a runner and hands its answer on.
func (s *Server) forward(ctx context.Context, q request, c control.Candidate, to sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.Link.Open(ctx, c.Peer, c.Owner, forwardOf(q, c.Runner, to.next()))
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		m, err := stream.Recv()
		if err != nil {
			s.blame(q, err)
			return err
		}
		last, err := s.receive(q, c, m, to, stream.HasBuffered())
		if last || err != nil {
			return err
		}
	}
}

// receive hands one message of an answer on.
func (s *Server) receive(q request, c control.Candidate, m peer.Message, to sink, more bool) (last bool, err error) {
	switch m := m.(type) {
	case peer.Admission:
		hint := control.Hint{Waiting: m.Waiting, Running: m.Running, Resident: m.Resident}
		s.Control.RecordHint(c.Runner, q.job.Ref, hint)
		return false, to.admitted(hint, m.Stall)
	case peer.Token:
		if m.Index != to.next() {
			return true, disorder(c, "token", m.Index, to.next())
		}
		return false, to.token(engine.Token{Index: m.Index, Text: m.Text}, more)
	case peer.End:
		if m.Tokens != to.next() {
			return true, disorder(c, "end", m.Tokens, to.next())
		}
		return true, to.end(engine.End{Tokens: m.Tokens})
	default:
		return true, errors.Errorf("traffic: host %s answered with %T", c.Owner, m)
	}
}

func disorder(c control.Candidate, what string, got, want int) error {
	return errors.Errorf("traffic: host %s sent %s %d, want %d", c.Owner, what, got, want)
}

// blame records a crash that the owner tells of.
func (s *Server) blame(q request, err error) {
	var crash *peer.CrashError
	if errors.As(err, &crash) && s.Quarantine != nil {
		s.Quarantine.Crashed(q.print, crash.ID)
	}
}

func forwardOf(q request, runner string, offset int) peer.Forward {
	j := q.job
	return peer.Forward{
		ID: j.ID, Ref: j.Ref, Runner: runner, Service: j.Service, Caller: j.Caller, Weight: j.Weight, Priority: j.Priority,
		Deadline: j.Deadline, Prefix: j.PrefixHash, Tokens: j.MaxTokens, Prompt: q.prompt, Offset: offset, Fingerprint: q.print,
	}
}

func requestOf(m peer.Forward) request {
	return request{
		job: control.Job{
			ID: m.ID, Ref: m.Ref, Service: m.Service, Caller: m.Caller, Weight: m.Weight, Priority: m.Priority,
			Deadline: m.Deadline, PrefixHash: m.Prefix, MaxTokens: m.Tokens,
		},
		prompt: m.Prompt, print: m.Fingerprint, arrived: time.Now(),
	}
}

// ServeForwarded serves a request that the host called name forwarded. ctx ends when
// that host no longer waits, or its connection ends.
func (s *Server) ServeForwarded(ctx context.Context, name string, m peer.Forward, stream *peer.Stream) {
	s.open()
	s.tasks.add()
	defer s.tasks.done()
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	to := &relay{stream: stream, want: m.Offset}
	mine, w := s.flights.enter(m.ID, func() {
		cancel()
		stream.Cancel()
	})
	defer s.flights.leave(mine)
	err := s.accept(ctx, mine, w, m, to)
	if err == nil {
		return
	}
	s.log.Debug("traffic: forwarded request failed", zap.String("id", m.ID), zap.String("from", name), zap.Error(err))
	_ = to.send(peer.RefusalOf(err), false)
}

// accept serves a forwarded request: on the ticket w of an earlier try where
// there is one, else on a new one.
func (s *Server) accept(ctx context.Context, mine *flight, w *work, m peer.Forward, to *relay) error {
	q := requestOf(m)
	if w == nil {
		if ctx.Err() != nil {
			return errLate
		}
		if s.suspect(q) {
			return errSuspect
		}
		ticket, err := s.Control.Admit(ctx, m.Runner, q.job)
		if err != nil {
			return errors.WithMessage(err, "traffic: admit")
		}
		w = s.admitted(q, ticket, to)
	}
	w.to = to
	w.hold = func(w *work) bool { return s.keep(mine, w, to.stream.ConnectionLost()) }
	return w.serve(ctx)
}

// A relay is the sink towards the host that forwarded a request.
type relay struct {
	stream  *peer.Stream
	want    int
	waiting []peer.Message // to be sent with the next
}

func (r *relay) next() int { return r.want }

// send sends m behind what waits, or lets it wait too where more is set.
func (r *relay) send(m peer.Message, more bool) error {
	r.waiting = append(r.waiting, m)
	if more {
		return nil
	}
	err := r.stream.Send(r.waiting...)
	r.waiting = r.waiting[:0]
	if err != nil {
		return errors.WithMessage(errGone, err.Error())
	}
	return nil
}

func (r *relay) admitted(hint control.Hint, stall time.Duration) error {
	return r.send(peer.Admission{Waiting: hint.Waiting, Running: hint.Running, Resident: hint.Resident, Stall: stall}, true)
}

func (r *relay) token(t engine.Token, more bool) error {
	r.want = t.Index + 1
	return r.send(peer.Token{Index: t.Index, Text: t.Text}, more && len(r.waiting) < maxWaiting)
}

func (r *relay) end(e engine.End) error { return r.send(peer.End{Tokens: e.Tokens}, false) }

// A flight is one try at a forwarded request. Its ticket outlives it where the
// link was lost, or a later try takes over.
type flight struct {
	id     string
	cancel func()
	passed chan *work // gets the work for a later try; closed when the try has ended
	held   *work      // without a try, until timer
	timer  *time.Timer
}

// flights are the newest tries by request.
type flights struct {
	mu   sync.Mutex
	byID map[string]*flight
}

// enter makes a new try the newest and returns the work that an earlier one
// leaves with its ticket, nil if none. An earlier try still in progress is
// cancelled.
func (f *flights) enter(id string, cancel func()) (*flight, *work) {
	mine := &flight{id: id, cancel: cancel, passed: make(chan *work, 1)}
	f.mu.Lock()
	if f.byID == nil {
		f.byID = map[string]*flight{}
	}
	before := f.byID[id]
	f.byID[id] = mine
	if before == nil {
		f.mu.Unlock()
		return mine, nil
	}
	if w := before.held; w != nil {
		before.held = nil
		before.timer.Stop()
		f.mu.Unlock()
		w.s.tasks.done()
		return mine, w
	}
	f.mu.Unlock()
	before.cancel()
	return mine, <-before.passed
}

// leave ends a try, and forgets it unless its ticket is held.
func (f *flights) leave(mine *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(mine.passed)
	if f.byID[mine.id] == mine && mine.held == nil {
		delete(f.byID, mine.id)
	}
}

// keep decides on the ticket of a request that was sent to the engine and that
// nobody waits for in this try any more: a later try takes it over; where the
// link was lost, it is held so that the entry host can resume.
func (s *Server) keep(mine *flight, w *work, lost bool) bool {
	s.flights.mu.Lock()
	defer s.flights.mu.Unlock()
	if s.flights.byID[mine.id] != mine {
		mine.passed <- w
		return true
	}
	if !lost || !time.Now().Before(w.q.job.Deadline) {
		return false
	}
	s.tasks.add()
	mine.held = w
	mine.timer = time.AfterFunc(s.limits.ResumeTimeout, func() { s.drop(mine) })
	return true
}

// drop ends a held ticket that nobody came back for. Where the runner has
// another owner by now, that one decides what is cancelled.
func (s *Server) drop(mine *flight) {
	s.flights.mu.Lock()
	w := mine.held
	mine.held = nil
	if w != nil && s.flights.byID[mine.id] == mine {
		delete(s.flights.byID, mine.id)
	}
	s.flights.mu.Unlock()
	if w == nil {
		return
	}
	if c, ok := s.owner(w.q, w.ticket.Target.Name); ok && c.Local {
		w.cancel()
		return
	}
	w.end(control.Lost{})
	s.tasks.done()
}
