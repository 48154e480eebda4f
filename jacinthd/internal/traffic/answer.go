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

// maxAnswer is the longest answer that is given in one piece, in bytes.
const maxAnswer = 8 << 20

// A sink takes an answer as it comes.
type sink interface {
	// admitted is called before the request is sent to the engine.
	admitted(hint control.Hint, stall time.Duration) error
	// token takes a token. more says that another event is at hand, so that this
	// one may wait for it.
	token(t engine.Token, more bool) error
	end(e engine.End) error
	// next is the index of the next token wanted.
	next() int
}

// errGone says that whoever waits for an answer no longer does.
var errGone = errors.New("traffic: nobody waits for the answer")

// An answer is the sink towards a caller.
type answer interface {
	sink
	// started reports whether a byte may have reached the caller.
	started() bool
	// restart forgets an answer that has not started.
	restart()
	// fail ends the answer with an error.
	fail(err error)
}

// A base is what both kinds of answer share.
type base struct {
	w       http.ResponseWriter
	q       request
	try     time.Time // when the present try began
	stall   time.Duration
	want    int
	stuck   time.Duration
	meters  *meters
	control *http.ResponseController
}

func newBase(w http.ResponseWriter, q request, stuck time.Duration, m *meters) base {
	return base{w: w, q: q, try: q.arrived, stuck: stuck, meters: m, control: http.NewResponseController(w)}
}

// admitted sets the stall: from the request's arrival, where it had to wait
// for its adapter.
func (b *base) admitted(_ control.Hint, stall time.Duration) error {
	if b.want == 0 && stall > 0 {
		b.stall = b.try.Sub(b.q.arrived) + stall
	}
	return nil
}

func (b *base) next() int { return b.want }

func (b *base) restart() {
	b.want = 0
	b.stall = 0
	b.try = time.Now()
}

// A choice is one element of a completion's "choices".
type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Reason string `json:"finish_reason,omitempty"`
}

type usage struct {
	Tokens int `json:"completion_tokens"`
}

// A piece is a completion or a part of one, as callers get it. Stall is in
// milliseconds.
type piece struct {
	ID      string    `json:"id"`
	Object  string    `json:"object"`
	Model   string    `json:"model"`
	Choices [1]choice `json:"choices"`
	Usage   *usage    `json:"usage,omitempty"`
	Stall   *int64    `json:"stall,omitempty"`
}

func (b *base) piece(text string) piece {
	return piece{ID: b.q.job.ID, Object: "text_completion", Model: b.q.job.Ref.String(), Choices: [1]choice{{Text: text}}}
}

// last returns the piece that ends an answer.
func (b *base) last(text string, tokens int) piece {
	b.meters.stall.Observe(b.stall.Seconds())
	p := b.piece(text)
	stall := b.stall.Milliseconds()
	p.Choices[0].Reason = "stop"
	if tokens >= b.q.job.MaxTokens {
		p.Choices[0].Reason = "length"
	}
	p.Usage, p.Stall = &usage{tokens}, &stall
	return p
}

// A whole is an answer in one JSON body.
type whole struct {
	base
	text strings.Builder
	sent bool
}

func (a *whole) started() bool { return a.sent }

func (a *whole) restart() {
	a.base.restart()
	a.text.Reset()
}

func (a *whole) token(t engine.Token, _ bool) error {
	if a.text.Len()+len(t.Text) > maxAnswer {
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.TooLarge, Message: "the answer is too long for one piece: ask for a stream"}
	}
	a.text.WriteString(t.Text)
	a.want = t.Index + 1
	return nil
}

func (a *whole) end(e engine.End) error {
	text, err := json.Marshal(a.last(a.text.String(), e.Tokens))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	a.sent = true
	_ = a.control.SetWriteDeadline(time.Now().Add(a.stuck))
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(headerStall, strconv.FormatInt(a.stall.Milliseconds(), 10))
	if _, err := a.w.Write(append(text, '\n')); err != nil {
		return errGone
	}
	return nil
}

func (a *whole) fail(err error) {
	if !a.sent {
		fail(a.w, err)
	}
}

// A stream is an answer in server-sent events.
type stream struct {
	base
	head bool // the status has been sent

	before, after []byte // what stands around each token's text
	event         []byte // reused
}

// textField is the empty text of a piece, emptyText its value. No other field
// of a piece ends in it: names of adapters have no quotes.
var (
	textField = []byte(`"text":""`)
	emptyText = []byte(`""`)
)

func (a *stream) started() bool { return a.head }

// write sends one event, at the latest with the next one where more is set. A
// caller that takes nothing for a while is gone.
func (a *stream) write(event []byte, more bool) error {
	if !a.head {
		a.head = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(a.stuck))
	if _, err := a.w.Write(event); err != nil {
		return errGone
	}
	if more {
		return nil
	}
	if err := a.control.Flush(); err != nil {
		return errGone
	}
	return nil
}

// token sends a piece. All but its text is the same for each token, so that it
// is encoded once.
func (a *stream) token(t engine.Token, more bool) error {
	text, err := json.Marshal(t.Text)
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	if a.before == nil {
		if err := a.frame(); err != nil {
			return err
		}
	}
	if a.want == 0 {
		a.meters.first.Observe(time.Since(a.q.arrived).Seconds())
	}
	a.want = t.Index + 1
	a.event = append(append(append(a.event[:0], a.before...), text...), a.after...)
	return a.write(a.event, more)
}

// frame sets what stands before and after the text of each piece.
func (a *stream) frame() error {
	data, err := json.Marshal(a.piece(""))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	before, after, ok := bytes.Cut(data, textField)
	if !ok {
		return errors.New("traffic: a piece without its text")
	}
	a.before = append([]byte("data: "), append(before, textField[:len(textField)-len(emptyText)]...)...)
	a.after = append(after, "\n\n"...)
	return nil
}

func (a *stream) end(e engine.End) error {
	data, err := json.Marshal(a.last("", e.Tokens))
	if err != nil {
		return errors.Wrap(err, "traffic: encode")
	}
	return a.write(append(append([]byte("data: "), data...), "\n\ndata: [DONE]\n\n"...), false)
}

// fail ends the stream with an error event, or answers with the error's own
// status where nothing has been sent.
func (a *stream) fail(err error) {
	if !a.head {
		fail(a.w, err)
		return
	}
	_ = a.write(append(append([]byte("event: error\ndata: "), encode(said(err))...), "\n\n"...), false)
}
