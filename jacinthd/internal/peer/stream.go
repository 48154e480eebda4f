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

const (
	// readBufferSize is the size of the read buffer of a stream, in bytes.
	readBufferSize = 1 << 10
	// maxSkipped is the number of messages of unknown kinds that are passed over one after the
	// other.
	maxSkipped = 16
)

// A Stream is one call in progress, on either side. Send and Recv may each be used
// by one goroutine at a time; Close may be called from any goroutine.
type Stream struct {
	raw       *quic.Stream
	reader    *bufio.Reader
	counter   *ByteCounter
	onClose   func()
	stopWatch func() bool
	closeOnce sync.Once
	connLost  atomic.Bool
	begun     bool // the first message was received
}

func newStream(raw *quic.Stream, counter *ByteCounter) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), counter: counter, onClose: func() {}, stopWatch: func() bool { return true }}
}

// cancelWith cancels the call when ctx ends. The peer is notified.
func (s *Stream) cancelWith(ctx context.Context) {
	s.stopWatch = context.AfterFunc(ctx, s.Cancel)
}

// Cancel ends the call immediately. Sends and receives in progress fail.
func (s *Stream) Cancel() {
	s.raw.CancelRead(streamCancelled)
	s.raw.CancelWrite(streamCancelled)
}

// Send sends messages with a single write. After an error the peer may still have
// received them.
func (s *Stream) Send(messages ...Message) error {
	n, err := write(s.raw, messages)
	s.counter.sent.Add(uint64(n))
	if err != nil {
		return s.linkError(err)
	}
	return nil
}

// Recv returns the peer's next message. A Refusal is returned as a *verdict.Error,
// or as a *CrashError that wraps one. Any other error is a *LinkError.
func (s *Stream) Recv() (Message, error) {
	m, err := s.read()
	if err != nil {
		return nil, s.linkError(err)
	}
	refusal, ok := m.(Refusal)
	if !ok {
		return m, nil
	}
	refused := &verdict.Error{Verdict: refusal.Verdict, Code: refusal.Code, Message: refusal.Message, RetryAt: refusal.RetryAt}
	if refusal.CrashID != "" {
		return nil, &CrashError{ID: refusal.CrashID, Err: refused}
	}
	return nil, refused
}

// read returns the next message. Behind the first one, it passes over some of kinds that this
// build doesn't know.
func (s *Stream) read() (Message, error) {
	for skipped := 0; ; skipped++ {
		m, n, err := read(s.reader)
		s.counter.received.Add(uint64(n))
		var unknown *UnknownKindError
		if !errors.As(err, &unknown) || !s.begun || skipped == maxSkipped {
			s.begun = true
			return m, err
		}
	}
}

// HasBuffered reports whether the next message has already arrived, so that Recv
// returns without waiting.
func (s *Stream) HasBuffered() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	return len(buffered) >= headerSize && len(buffered)-headerSize+1 >= int(binary.BigEndian.Uint32(buffered))
}

// ConnectionLost reports whether the connection itself has ended, as opposed to the
// peer having cancelled only this call.
func (s *Stream) ConnectionLost() bool {
	return s.connLost.Load() || errors.Is(context.Cause(s.raw.Context()), net.ErrClosed)
}

// Close ends the call. A peer that is still sending is asked to stop.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.stopWatch()
		_ = s.raw.Close()
		s.raw.CancelRead(streamCancelled)
		s.onClose()
	})
}

// linkError wraps cause and records whether the connection has ended. In quic-go,
// exactly the errors of ended connections are net.ErrClosed.
func (s *Stream) linkError(cause error) error {
	if errors.Is(cause, net.ErrClosed) {
		s.connLost.Store(true)
	}
	return &LinkError{cause}
}

// A LinkError is a failure of the stream or connection during a call. The peer may
// have received the call and may still be executing it.
type LinkError struct{ cause error }

// Error returns a text that contains the cause.
func (e *LinkError) Error() string { return "peer: the link failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.cause }

// As makes a LinkError readable as a *verdict.Error.
func (e *LinkError) As(target any) bool {
	out, ok := target.(**verdict.Error)
	if ok {
		*out = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.Interrupted, Message: "the link between hosts failed"}
	}
	return ok
}

// A CrashError is the refusal of a request that was in progress when its runner's
// process ended. ID identifies the crash and is the same on every host.
type CrashError struct {
	ID  string
	Err *verdict.Error
}

// Error returns the text of the refusal.
func (c *CrashError) Error() string { return c.Err.Error() }

// Unwrap returns the refusal.
func (c *CrashError) Unwrap() error { return c.Err }

// RefusalOf returns the Refusal that reports err to a peer.
func RefusalOf(err error) Refusal {
	refusal := Refusal{Code: verdict.Interrupted, Message: "the request failed"}
	var crash *CrashError
	if errors.As(err, &crash) {
		refusal.CrashID = crash.ID
	}
	var refused *verdict.Error
	if errors.As(err, &refused) {
		refusal.Verdict, refusal.Code, refusal.Message, refusal.RetryAt = refused.Verdict, refused.Code, refused.Message, refused.RetryAt
	}
	return refusal
}
