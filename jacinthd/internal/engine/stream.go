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

// maxEvent limits the size of an event of a stream, in bytes.
const maxEvent = 64 << 10

// A Request is a completion request to an engine.
type Request struct {
	ID        string // stays the same when the request is resumed
	Ref       adapter.Ref
	Prompt    string
	MaxTokens int // maximum number of tokens to generate
	Deadline  time.Time
	Priority  int // higher values run first
	Offset    int // index of the first token to return; above 0 only to resume
	// SendBefore is the time after which no part of the request may be written;
	// zero for no limit.
	SendBefore time.Time
}

// An Event is an element of a Stream: a Token or an End.
type Event interface{ event() }

// A Token is one token of the completion.
type Token struct {
	Index int // from 0, without gaps
	Text  string
}

// End marks the end of a complete completion.
type End struct {
	Tokens int // number of tokens in the whole completion, including those before the offset
}

func (Token) event() {}
func (End) event()   {}

// A Stream is a running completion. It is not safe for concurrent use.
type Stream struct {
	exchange  *exchange
	reader    *bufio.Reader
	id        string
	ref       string
	nextIndex int
	// complete means that the End has been read.
	complete bool
}

// wireEvent is the wire form of an event.
type wireEvent struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Index  *int   `json:"index"`
	Text   string `json:"text"`
	Done   bool   `json:"done"`
	Tokens int    `json:"tokens"`
}

// Complete sends a completion to the engine at addr. It returns once the engine has
// accepted or refused it. The stream ends when ctx ends. Closing the stream does
// not end the request on the engine; Cancel does.
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
		method: http.MethodPost, path: "/v1/completions", body: body, progressTimeout: c.progressTimeout(), sendBefore: request.SendBefore,
	})
	if err != nil {
		return nil, err
	}
	if x.reply.Response.StatusCode != http.StatusOK {
		return nil, x.finish(nil)
	}
	x.resetProgress()
	return &Stream{exchange: x, reader: bufio.NewReaderSize(x.reply, 4<<10), id: request.ID, ref: body.Model, nextIndex: request.Offset}, nil
}

// Close closes the stream. If its End has been read, the connection is kept for
// the next request.
func (s *Stream) Close() {
	if !s.complete {
		s.exchange.close()
		return
	}
	go func() {
		defer s.exchange.close()
		_, _ = io.CopyN(io.Discard, s.reader, maxEvent)
	}()
}

// Next returns the next event: the Token with the next index or the End. An error
// is a *CallError, also if the stream stops before its End.
func (s *Stream) Next() (Event, error) {
	data, err := s.readData()
	if err != nil {
		return nil, err
	}
	var m wireEvent
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, &CallError{Kind: InvalidReply, cause: err}
	}
	if m.ID != s.id || m.Model != s.ref {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event for request %s of %s, want request %s of %s", m.ID, m.Model, s.id, s.ref)}
	}
	if m.Done {
		return s.end(m)
	}
	if m.Index == nil || *m.Index != s.nextIndex {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event out of order, want index %d", s.nextIndex)}
	}
	s.nextIndex++
	s.exchange.resetProgress()
	return Token{Index: *m.Index, Text: m.Text}, nil
}

// HasBuffered reports whether the next event has already arrived, so that Next
// returns without waiting.
func (s *Stream) HasBuffered() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	buffered = bytes.TrimLeft(buffered, "\r\n")
	return bytes.HasPrefix(buffered, dataPrefix) && bytes.IndexByte(buffered, '\n') >= 0
}

// end checks the last event and the closing [DONE] line.
func (s *Stream) end(m wireEvent) (Event, error) {
	if m.Tokens != s.nextIndex {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("stream ended after %d tokens, but its last event reports %d", s.nextIndex, m.Tokens)}
	}
	data, err := s.readData()
	if err != nil {
		return nil, err
	}
	if string(data) != "[DONE]" {
		return nil, &CallError{Kind: InvalidReply, cause: errors.New("event after the end")}
	}
	s.complete = true
	return End{Tokens: m.Tokens}, nil
}

// dataPrefix starts the data line of a server-sent event.
var dataPrefix = []byte("data:")

// readData returns the content of the next data line and skips other lines.
func (s *Stream) readData() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line. The slice is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEvent {
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	if len(long) > maxEvent {
		return nil, &CallError{Kind: InvalidReply, cause: errors.Errorf("event over %d bytes", maxEvent)}
	}
	if err != nil {
		return nil, s.exchange.callError(err)
	}
	return long, nil
}
