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

// maxBufferedTokens is the largest number of messages that are buffered in order
// to be sent together.
const maxBufferedTokens = 64

// forward sends a request to the owner of a runner and relays its answer.
func (s *Server) forward(ctx context.Context, req request, c control.Candidate, to answerSink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.Link.Open(ctx, c.Peer, c.Owner, newForward(req, c.Runner, to.next()))
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		m, err := stream.Recv()
		if err != nil {
			s.recordCrash(req, err)
			return err
		}
		last, err := s.handleMessage(req, c, m, to, stream.HasBuffered())
		if last || err != nil {
			return err
		}
	}
}

// handleMessage relays one message of an answer. last reports whether it ends the
// answer.
func (s *Server) handleMessage(req request, c control.Candidate, m peer.Message, to answerSink, more bool) (last bool, err error) {
	switch m := m.(type) {
	case peer.Admission:
		hint := control.Hint{Waiting: m.Waiting, Running: m.Running, Resident: m.Resident}
		s.Control.RecordHint(c.Runner, req.job.Ref, hint)
		return false, to.admitted(hint, m.Stall)
	case peer.Token:
		if m.Index != to.next() {
			return true, outOfOrder(c, "token", m.Index, to.next())
		}
		return false, to.token(engine.Token{Index: m.Index, Text: m.Text}, more)
	case peer.End:
		if m.Tokens != to.next() {
			return true, outOfOrder(c, "end", m.Tokens, to.next())
		}
		return true, to.end(engine.End{Tokens: m.Tokens})
	default:
		return true, errors.Errorf("traffic: host %s answered with %T", c.Owner, m)
	}
}

func outOfOrder(c control.Candidate, what string, got, want int) error {
	return errors.Errorf("traffic: host %s sent %s %d, want %d", c.Owner, what, got, want)
}

// recordCrash records the crash in the Quarantine if err is one that the owner
// reported.
func (s *Server) recordCrash(req request, err error) {
	var crash *peer.CrashError
	if errors.As(err, &crash) && s.Quarantine != nil {
		s.Quarantine.Crashed(req.fingerprint, crash.ID)
	}
}

func newForward(req request, runner string, offset int) peer.Forward {
	job := req.job
	return peer.Forward{
		ID: job.ID, Ref: job.Ref, Runner: runner, Service: job.Service, Caller: job.Caller, Weight: job.Weight, Priority: job.Priority,
		Deadline: job.Deadline, Prefix: job.PrefixHash, Tokens: job.MaxTokens, Prompt: req.prompt, Offset: offset, Fingerprint: req.fingerprint,
	}
}

func requestFrom(m peer.Forward) request {
	return request{
		job: control.Job{
			ID: m.ID, Ref: m.Ref, Service: m.Service, Caller: m.Caller, Weight: m.Weight, Priority: m.Priority,
			Deadline: m.Deadline, PrefixHash: m.Prefix, MaxTokens: m.Tokens,
		},
		prompt: m.Prompt, fingerprint: m.Fingerprint, arrived: time.Now(),
	}
}

// ServeForwarded serves a request that the host called name forwarded. ctx must
// end when that host stops waiting or its connection ends.
func (s *Server) ServeForwarded(ctx context.Context, name string, m peer.Forward, stream *peer.Stream) {
	s.setup()
	s.active.add()
	defer s.active.done()
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	to := &forwardSink{stream: stream, nextIndex: m.Offset}
	attempt, ex := s.forwarded.begin(m.ID, func() {
		cancel()
		stream.Cancel()
	})
	defer s.forwarded.end(attempt)
	err := s.executeForwarded(ctx, attempt, ex, m, to)
	if err == nil {
		return
	}
	s.log.Debug("traffic: forwarded request failed", zap.String("id", m.ID), zap.String("from", name), zap.Error(err))
	_ = to.send(peer.RefusalOf(err), false)
}

// executeForwarded serves a forwarded request. It continues ex, the execution of an
// earlier attempt, or admits the request anew if ex is nil.
func (s *Server) executeForwarded(ctx context.Context, attempt *forwardAttempt, ex *execution, m peer.Forward, to *forwardSink) error {
	req := requestFrom(m)
	if ex == nil {
		if ctx.Err() != nil {
			return errDeadlinePassed
		}
		if s.isQuarantined(req) {
			return errSuspect
		}
		ticket, err := s.Control.Admit(ctx, m.Runner, req.job)
		if err != nil {
			return errors.WithMessage(err, "traffic: admit")
		}
		ex = s.newExecution(req, ticket, to)
	}
	ex.to = to
	ex.retain = func(ex *execution) bool { return s.retain(attempt, ex, to.stream.ConnectionLost()) }
	return ex.serve(ctx)
}

// A forwardSink sends an answer to the host that forwarded the request.
type forwardSink struct {
	stream    *peer.Stream
	nextIndex int
	buffered  []peer.Message // to be sent with the next message
}

func (f *forwardSink) next() int { return f.nextIndex }

// send sends m after the buffered messages. If more is set, it buffers m instead.
func (f *forwardSink) send(m peer.Message, more bool) error {
	f.buffered = append(f.buffered, m)
	if more {
		return nil
	}
	err := f.stream.Send(f.buffered...)
	f.buffered = f.buffered[:0]
	if err != nil {
		return errors.WithMessage(errReceiverGone, err.Error())
	}
	return nil
}

func (f *forwardSink) admitted(hint control.Hint, stall time.Duration) error {
	return f.send(peer.Admission{Waiting: hint.Waiting, Running: hint.Running, Resident: hint.Resident, Stall: stall}, true)
}

func (f *forwardSink) token(t engine.Token, more bool) error {
	f.nextIndex = t.Index + 1
	return f.send(peer.Token{Index: t.Index, Text: t.Text}, more && len(f.buffered) < maxBufferedTokens)
}

func (f *forwardSink) end(e engine.End) error { return f.send(peer.End{Tokens: e.Tokens}, false) }

// A forwardAttempt is one attempt at a forwarded request. Its ticket outlives it
// if the link was lost or a later attempt takes over.
type forwardAttempt struct {
	id       string
	cancel   func()
	handoff  chan *execution // receives the execution for a later attempt; closed when this one has ended
	retained *execution      // kept after the attempt has ended, until timer fires
	timer    *time.Timer
}

// forwardTable holds the latest attempt at each forwarded request, by request ID.
type forwardTable struct {
	mu   sync.Mutex
	byID map[string]*forwardAttempt
}

// begin registers a new attempt as the latest one. It returns the execution that
// an earlier attempt hands over together with its ticket, or nil if there is
// none. It cancels an earlier attempt that is still in progress.
func (t *forwardTable) begin(id string, cancel func()) (*forwardAttempt, *execution) {
	attempt := &forwardAttempt{id: id, cancel: cancel, handoff: make(chan *execution, 1)}
	t.mu.Lock()
	if t.byID == nil {
		t.byID = map[string]*forwardAttempt{}
	}
	earlier := t.byID[id]
	t.byID[id] = attempt
	if earlier == nil {
		t.mu.Unlock()
		return attempt, nil
	}
	if ex := earlier.retained; ex != nil {
		earlier.retained = nil
		earlier.timer.Stop()
		t.mu.Unlock()
		ex.s.active.done()
		return attempt, ex
	}
	t.mu.Unlock()
	earlier.cancel()
	return attempt, <-earlier.handoff
}

// end marks an attempt as ended and removes it unless its execution is retained.
func (t *forwardTable) end(attempt *forwardAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(attempt.handoff)
	if t.byID[attempt.id] == attempt && attempt.retained == nil {
		delete(t.byID, attempt.id)
	}
}

// retain decides what happens to the ticket of a request that was sent to the
// engine when its attempt ends early, and reports whether the ticket outlives the
// attempt. A later attempt takes the ticket over. If the link was lost, the ticket
// is retained for ResumeTimeout, so that the entry host can resume.
func (s *Server) retain(attempt *forwardAttempt, ex *execution, lost bool) bool {
	s.forwarded.mu.Lock()
	defer s.forwarded.mu.Unlock()
	if s.forwarded.byID[attempt.id] != attempt {
		attempt.handoff <- ex
		return true
	}
	if !lost || !time.Now().Before(ex.req.job.Deadline) {
		return false
	}
	s.active.add()
	attempt.retained = ex
	attempt.timer = time.AfterFunc(s.limits.ResumeTimeout, func() { s.expire(attempt) })
	return true
}

// expire ends a retained ticket that no later attempt took over. It cancels the
// request only if this host still owns the runner; otherwise, the new owner
// decides what to cancel.
func (s *Server) expire(attempt *forwardAttempt) {
	s.forwarded.mu.Lock()
	ex := attempt.retained
	attempt.retained = nil
	if ex != nil && s.forwarded.byID[attempt.id] == attempt {
		delete(s.forwarded.byID, attempt.id)
	}
	s.forwarded.mu.Unlock()
	if ex == nil {
		return
	}
	if c, ok := s.currentOwner(ex.req, ex.ticket.Target.Name); ok && c.Local {
		ex.cancel()
		return
	}
	ex.endTicket(control.Lost{})
	s.active.done()
}
