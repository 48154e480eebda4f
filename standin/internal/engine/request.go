package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/text"
)

// A Completion asks for tokens.
type Completion struct {
	ID       string    `json:"id"`
	Model    string    `json:"model"` // name@version
	Prompt   string    `json:"prompt"`
	Tokens   int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
	Deadline time.Time `json:"deadline"` // zero is none
	Priority int       `json:"priority"` // larger first
	Offset   int       `json:"offset"`   // the first token wanted
}

type state int

const (
	active state = iota // queued or running
	done
	broken // evicted, cancelled or past its deadline
)

type request struct {
	Completion
	state   state
	tokens  int // made so far
	until   time.Time
	changed chan struct{} // closed at each change
}

// submit starts a completion, or finds the one that runs or ended lately under its id.
func (e *Engine) submit(c Completion) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(time.Now())
	if c.ID == "" || c.Model == "" || c.Tokens <= 0 || c.Offset < 0 {
		return nil, errors.Wrap(ErrInvalid, "id, model, max_tokens or offset")
	}
	known, ok := e.requests[c.ID]
	if ok && known.Model != c.Model {
		return nil, ErrVersion
	}
	if ok && known.state != broken {
		return known, nil
	}
	if c.Offset > 0 {
		return nil, ErrGone
	}
	return e.start(c)
}

func (e *Engine) start(c Completion) (*request, error) {
	present, ok := e.slots[c.Model]
	if !ok || !present.resident {
		return nil, ErrAbsent
	}
	if len(e.queue) >= queueFactor*e.Batch {
		return nil, ErrFull
	}
	if e.requests == nil {
		e.requests, e.counts.Ran, e.counts.Marks = map[string]*request{}, map[string]int{}, map[string]int{}
	}
	e.counts.Started++
	e.counts.Ran[c.ID]++
	if mark := text.Mark(c.Prompt); mark != "" {
		e.counts.Marks[mark]++
	}
	if strings.Contains(c.Prompt, text.Crash) {
		e.Crash()
	}
	r := &request{Completion: c, changed: make(chan struct{})}
	e.requests[c.ID] = r
	present.requests[c.ID] = true
	e.enqueue(r)
	e.record()
	if !e.stepping {
		e.stepping = true
		go e.run()
	}
	return r, nil
}

// enqueue puts r behind the last request of its priority or a larger one.
func (e *Engine) enqueue(r *request) {
	at := slices.IndexFunc(e.queue, func(q *request) bool { return q.Priority < r.Priority })
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, r)
}

// Cancel ends a request and reports whether it was in progress.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	if !ok || r.state != active {
		return false
	}
	e.finish(r, broken)
	e.record()
	return true
}

// progress returns the tokens made so far, the state, and a channel closed at the next change.
func (e *Engine) progress(r *request) (int, state, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.tokens, r.state, r.changed
}

func (e *Engine) finish(r *request, to state) {
	if r.state != active {
		return
	}
	r.state = to
	r.until = time.Now().Add(remember)
	r.change()
	e.ended = append(e.ended, r)
	same := func(other *request) bool { return other == r }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	if present, ok := e.slots[r.Model]; ok {
		delete(present.requests, r.ID)
	}
}

func (e *Engine) forget(now time.Time) {
	for len(e.ended) > 0 && !e.ended[0].until.After(now) {
		if e.requests[e.ended[0].ID] == e.ended[0] {
			delete(e.requests, e.ended[0].ID)
		}
		e.ended = e.ended[1:]
	}
}

func (r *request) change() {
	close(r.changed)
	r.changed = make(chan struct{})
}
