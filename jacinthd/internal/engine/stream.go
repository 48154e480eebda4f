package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/adapter"
)

// maxEvent is the largest event of a stream, in bytes.
const maxEvent = 64 << 10

// A Request is one completion as an engine runs it.
type Request struct {
	ID        string // the same for each try at resuming
	Ref       adapter.Ref
	Prompt    string
	MaxTokens int // most tokens to generate
	Deadline  time.Time
	Priority  int // larger first
	Offset    int // index of the first token wanted; above 0 only to resume
	// SendBefore is when the request may no longer be sent; zero for no limit. What
	// was not written by then is not written.
	SendBefore time.Time
}

// An Event is what a Stream yields: Token or End.
type Event interface{ event() }

// A Token is one piece of the answer.
type Token struct {
	Index int // from 0, without gaps
	Text  string
}

// End says that the answer is whole.
type End struct {
	Tokens int // tokens of the whole answer, those before the offset included
}

func (Token) event() {}
func (End) event()   {}

// A Stream is a running completion. It is for use by one goroutine.
type Stream struct {
	x    *exchange
	in   *bufio.Reader
	id   string
	ref  string
	next int
	// whole says that the End has come.
	whole bool
}

// message is the wire form of an event.
type message struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Index  *int   `json:"index"`
	Text   string `json:"text"`
	Done   bool   `json:"done"`
	Tokens int    `json:"tokens"`
}

// Complete sends a completion to the engine at addr. It returns once the
// engine has taken or refused it; the stream ends when ctx does. Closing the
// stream does not end the request on the engine, Cancel does.
func (c *Client) Complete(ctx context.Context, addr netip.AddrPort, request Request) (*Stream, error) {
	body := struct {
		ID       string    `json:"id"`
		Model    string    `json:"model"`
		Prompt   string    `json:"prompt"`
		Tokens   int       `json:"max_tokens"`
		Stream   bool      `json:"stream"`
		Deadline time.Time `json:"deadline,omitzero"`
		Priority int       `json:"priority,omitempty"`
		Offset   int       `json:"offset,omitempty"`
	}{request.ID, request.Ref.String(), request.Prompt, request.MaxTokens, true, request.Deadline, request.Priority, request.Offset}
	x, err := c.send(ctx, addr, call{
		method: http.MethodPost, path: "/v1/completions", body: body, silence: c.silence(), before: request.SendBefore,
	})
	if err != nil {
		return nil, err
	}
	if x.reply.StatusCode != http.StatusOK {
		return nil, x.finish(nil)
	}
	x.progress()
	return &Stream{x: x, in: bufio.NewReaderSize(x.reply.Body, 4<<10), id: request.ID, ref: body.Model, next: request.Offset}, nil
}

// Close gives up the stream. The connection of one that came to its End is
// kept for the next request.
func (s *Stream) Close() {
	if !s.whole {
		s.x.close()
		return
	}
	go func() {
		defer s.x.close()
		_, _ = io.CopyN(io.Discard, s.in, maxEvent)
	}()
}

// Next returns the next event, a Token with the next index or the End. Its
// error is a *Fault; a stream that stops before its End is one too.
func (s *Stream) Next() (Event, error) {
	data, err := s.data()
	if err != nil {
		return nil, err
	}
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, &CallError{Kind: InvalidReply, cause: err}
	}
	if m.ID != s.id || m.Model != s.ref {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event for %s of %s, want %s of %s", m.ID, m.Model, s.id, s.ref)}
	}
	if m.Done {
		return s.end(m)
	}
	if m.Index == nil || *m.Index != s.next {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event out of order, want index %d", s.next)}
	}
	s.next++
	s.x.progress()
	return Token{Index: *m.Index, Text: m.Text}, nil
}

// HasBuffered reports whether the next event has already arrived, so that Next won't wait.
func (s *Stream) HasBuffered() bool {
	here, _ := s.in.Peek(s.in.Buffered())
	here = bytes.TrimLeft(here, "\r\n")
	return bytes.HasPrefix(here, field) && bytes.IndexByte(here, '\n') >= 0
}

// end checks the last event and the closing line.
func (s *Stream) end(m message) (Event, error) {
	if m.Tokens != s.next {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("end after %d tokens says %d", s.next, m.Tokens)}
	}
	data, err := s.data()
	if err != nil {
		return nil, err
	}
	if string(data) != "[DONE]" {
		return nil, &CallError{Kind: InvalidReply, cause: errors.New("event behind the end")}
	}
	s.whole = true
	return End{Tokens: m.Tokens}, nil
}

var field = []byte("data:")

// data returns the next data line; other lines of the format are passed over.
func (s *Stream) data() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		if rest, ok := bytes.CutPrefix(line, field); ok {
			return bytes.TrimSpace(rest), nil
		}
	}
}

// line returns the next line, which is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.in.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEvent {
		line, err = s.in.ReadSlice('\n')
		long = append(long, line...)
	}
	if len(long) > maxEvent {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event over %d bytes", maxEvent)}
	}
	if err != nil {
		return nil, s.x.fault(err)
	}
	return long, nil
}
