package traffic

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/verdict"
)

// maxAnswerBytes is the longest text of an answer that is not streamed.
const maxAnswerBytes = 8 << 20

// An answerSink receives an answer token by token.
type answerSink interface {
	// admitted is called before the request is sent to the engine.
	admitted(hint control.Hint, stall time.Duration) error
	// token receives a token. more reports that another event is already available,
	// so that this token may be buffered and sent together with it.
	token(t engine.Token, more bool) error
	// end receives the end of the answer.
	end(e engine.End) error
	// next returns the index of the next token that the sink needs.
	next() int
}

// errReceiverGone means that the caller or the host that the answer is for has
// stopped waiting.
var errReceiverGone = errors.New("traffic: the receiver of the answer has gone")

// A callerAnswer is the sink for an answer to a caller.
type callerAnswer interface {
	answerSink
	// started reports whether a byte may have reached the caller.
	started() bool
	// restart discards what was received of an answer that has not started.
	restart()
	// fail ends the answer with an error.
	fail(err error)
}

// An answerBase holds what jsonAnswer and eventStream have in common.
type answerBase struct {
	w            http.ResponseWriter
	req          request
	attemptStart time.Time // when the current attempt began
	stall        time.Duration
	nextIndex    int
	writeTimeout time.Duration
	metrics      *metrics
	control      *http.ResponseController
}

func newAnswerBase(w http.ResponseWriter, req request, writeTimeout time.Duration, m *metrics) answerBase {
	return answerBase{w: w, req: req, attemptStart: req.arrived, writeTimeout: writeTimeout, metrics: m, control: http.NewResponseController(w)}
}

// admitted sets the stall. If the request had to wait for its adapter, the stall
// counts from the request's arrival and so includes earlier attempts.
func (b *answerBase) admitted(_ control.Hint, stall time.Duration) error {
	if b.nextIndex == 0 && stall > 0 {
		b.stall = b.attemptStart.Sub(b.req.arrived) + stall
	}
	return nil
}

func (b *answerBase) next() int { return b.nextIndex }

func (b *answerBase) restart() {
	b.nextIndex = 0
	b.stall = 0
	b.attemptStart = time.Now()
}

// A choice is one element of a completion's "choices".
type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// A completionPart is a completion, or one part of it in a stream, as sent to
// callers. Stall is in milliseconds.
type completionPart struct {
	ID      string    `json:"id"`
	Object  string    `json:"object"`
	Model   string    `json:"model"`
	Choices [1]choice `json:"choices"`
	Usage   *usage    `json:"usage,omitempty"`
	Stall   *int64    `json:"stall,omitempty"`
}

func (b *answerBase) part(text string) completionPart {
	return completionPart{ID: b.req.job.ID, Object: "text_completion", Model: b.req.job.Ref.String(), Choices: [1]choice{{Text: text}}}
}

// final returns the part that ends an answer, and records the stall in the
// metrics.
func (b *answerBase) final(text string, tokens int) completionPart {
	b.metrics.stall.Observe(b.stall.Seconds())
	p := b.part(text)
	stall := b.stall.Milliseconds()
	p.Choices[0].FinishReason = "stop"
	if tokens >= b.req.job.MaxTokens {
		p.Choices[0].FinishReason = "length"
	}
	p.Usage, p.Stall = &usage{tokens}, &stall
	return p
}

// A jsonAnswer is an answer that is sent as one JSON body.
type jsonAnswer struct {
	answerBase
	text    strings.Builder
	written bool
}

func (a *jsonAnswer) started() bool { return a.written }

func (a *jsonAnswer) restart() {
	a.answerBase.restart()
	a.text.Reset()
}

func (a *jsonAnswer) token(t engine.Token, _ bool) error {
	if a.text.Len()+len(t.Text) > maxAnswerBytes {
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.TooLarge, Message: "the answer is too long for one piece: ask for a stream"}
	}
	a.text.WriteString(t.Text)
	a.nextIndex = t.Index + 1
	return nil
}

func (a *jsonAnswer) end(e engine.End) error {
	text, err := json.Marshal(a.final(a.text.String(), e.Tokens))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	a.written = true
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(headerStall, strconv.FormatInt(a.stall.Milliseconds(), 10))
	if _, err := a.w.Write(append(text, '\n')); err != nil {
		return errReceiverGone
	}
	return nil
}

func (a *jsonAnswer) fail(err error) {
	if !a.written {
		writeError(a.w, err)
	}
}

// An eventStream is an answer that is sent as server-sent events.
type eventStream struct {
	answerBase
	headerSent bool // whether the status has been sent

	prefix, suffix []byte // the event's bytes before and after each token's text
	event          []byte // reused for each event
}

// textField is the empty text field of a part, emptyText its value. No other field
// of a part can contain textField, as names of adapters have no quotes.
var (
	textField = []byte(`"text":""`)
	emptyText = []byte(`""`)
)

func (a *eventStream) started() bool { return a.headerSent }

// write sends one event. If more is set, the event may be sent together with the
// next one. A caller that accepts no byte within the write timeout counts as gone.
func (a *eventStream) write(event []byte, more bool) error {
	if !a.headerSent {
		a.headerSent = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	if _, err := a.w.Write(event); err != nil {
		return errReceiverGone
	}
	if more {
		return nil
	}
	if err := a.control.Flush(); err != nil {
		return errReceiverGone
	}
	return nil
}

// token sends a part. Everything but the text is the same for all tokens and is
// encoded once.
func (a *eventStream) token(t engine.Token, more bool) error {
	text, err := json.Marshal(t.Text)
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	if a.prefix == nil {
		if err := a.encodeFrame(); err != nil {
			return err
		}
	}
	if a.nextIndex == 0 {
		a.metrics.firstToken.Observe(time.Since(a.req.arrived).Seconds())
	}
	a.nextIndex = t.Index + 1
	a.event = append(append(append(a.event[:0], a.prefix...), text...), a.suffix...)
	return a.write(a.event, more)
}

// encodeFrame sets prefix and suffix.
func (a *eventStream) encodeFrame() error {
	data, err := json.Marshal(a.part(""))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	before, after, ok := bytes.Cut(data, textField)
	if !ok {
		return errors.New("traffic: encoded part has no empty text field")
	}
	a.prefix = append([]byte("data: "), append(before, textField[:len(textField)-len(emptyText)]...)...)
	a.suffix = append(after, "\n\n"...)
	return nil
}

func (a *eventStream) end(e engine.End) error {
	data, err := json.Marshal(a.final("", e.Tokens))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	return a.write(append(append([]byte("data: "), data...), "\n\ndata: [DONE]\n\n"...), false)
}

// fail ends the stream with an error event. If nothing has been sent, it answers
// with the status of the error instead.
func (a *eventStream) fail(err error) {
	if !a.headerSent {
		writeError(a.w, err)
		return
	}
	_ = a.write(append(append([]byte("event: error\ndata: "), encodeError(verdictError(err))...), "\n\n"...), false)
}
