package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"jacinthstage/stage/verdict"
)

// inBuffer is the size of the buffer for incoming messages, in bytes.
const inBuffer = 1 << 10

// A Stream is one call in progress, at either end. Send and Recv are each for
// one goroutine at a time; Close may be called from any.
type Stream struct {
	raw   *quic.Stream
	in    *bufio.Reader
	count *ByteCounter
	done  func()
	stop  func() bool
	once  sync.Once
	lost  atomic.Bool
}

func newStream(raw *quic.Stream, count *ByteCounter) *Stream {
	return &Stream{raw: raw, in: bufio.NewReaderSize(raw, inBuffer), count: count, done: func() {}, stop: func() bool { return true }}
}

// follow gives up the stream when ctx ends, which tells the peer.
func (s *Stream) follow(ctx context.Context) {
	s.stop = context.AfterFunc(ctx, s.Cancel)
}

// Cancel gives up the call at once: what is being sent or received fails.
func (s *Stream) Cancel() {
	s.raw.CancelRead(streamGone)
	s.raw.CancelWrite(streamGone)
}

// Send sends messages in one go. After an error the peer may have got them.
func (s *Stream) Send(messages ...Message) error {
	n, err := write(s.raw, messages)
	s.count.sent.Add(uint64(n))
	if err != nil {
		return s.broken(err)
	}
	return nil
}

// Recv returns the peer's next message. A Refusal comes back as a
// *verdict.Error, or as a *Crash around one; other errors are a *Fault.
func (s *Stream) Recv() (Message, error) {
	m, n, err := read(s.in)
	s.count.received.Add(uint64(n))
	if err != nil {
		return nil, s.broken(err)
	}
	refusal, ok := m.(Refusal)
	if !ok {
		return m, nil
	}
	said := &verdict.Error{Verdict: refusal.Verdict, Code: refusal.Code, Message: refusal.Message, RetryAt: refusal.RetryAt}
	if refusal.CrashID != "" {
		return nil, &CrashError{ID: refusal.CrashID, Err: said}
	}
	return nil, said
}

// HasBuffered reports whether the next message has already arrived, so that Recv won't wait.
func (s *Stream) HasBuffered() bool {
	here, _ := s.in.Peek(s.in.Buffered())
	return len(here) >= header && len(here)-header+1 >= int(binary.BigEndian.Uint32(here))
}

// ConnectionLost reports whether the connection itself ended, as opposed to the peer's
// giving up this call alone.
func (s *Stream) ConnectionLost() bool {
	return s.lost.Load() || errors.Is(context.Cause(s.raw.Context()), net.ErrClosed)
}

// Close ends the call. A peer that still sends is told to stop.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.stop()
		_ = s.raw.Close()
		s.raw.CancelRead(streamGone)
		s.done()
	})
}

// broken notes whether the connection ended: quic-go's errors of that kind,
// and no others, are net.ErrClosed.
func (s *Stream) broken(cause error) error {
	if errors.Is(cause, net.ErrClosed) {
		s.lost.Store(true)
	}
	return &LinkError{cause}
}

// A Fault is a failure of the link with a call in progress. The peer may have
// got the call and may go on with it.
type LinkError struct{ cause error }

// Error returns the cause.
func (f *LinkError) Error() string { return "peer: the link failed: " + f.cause.Error() }

// Unwrap returns the cause.
func (f *LinkError) Unwrap() error { return f.cause }

// As makes a Fault readable as a *verdict.Error.
func (f *LinkError) As(target any) bool {
	into, ok := target.(**verdict.Error)
	if ok {
		*into = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.Interrupted, Message: "the link between hosts failed"}
	}
	return ok
}

// A Crash is the refusal of a request whose runner's process ended with it in
// progress. Name is the crash's, the same on every host.
type CrashError struct {
	ID  string
	Err *verdict.Error
}

// Error returns the refusal's text.
func (c *CrashError) Error() string { return c.Err.Error() }

// Unwrap returns the refusal.
func (c *CrashError) Unwrap() error { return c.Err }

// RefusalOf returns the Refusal that tells a peer err.
func RefusalOf(err error) Refusal {
	refusal := Refusal{Code: verdict.Interrupted, Message: "the request failed"}
	var crash *CrashError
	if errors.As(err, &crash) {
		refusal.CrashID = crash.ID
	}
	var said *verdict.Error
	if errors.As(err, &said) {
		refusal.Verdict, refusal.Code, refusal.Message, refusal.RetryAt = said.Verdict, said.Code, said.Message, said.RetryAt
	}
	return refusal
}
