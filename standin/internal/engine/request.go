package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/text"
)

// A Completion is a request to generate tokens.
type Completion struct {
	ID       string    `json:"id"`
	Model    string    `json:"model"` // name@version
	Prompt   string    `json:"prompt"`
	Tokens   int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
	Deadline time.Time `json:"deadline"` // zero means none
	Priority int       `json:"priority"` // higher values run first
	Offset   int       `json:"offset"`   // index of the first token to send
}

type state int

const (
	active state = iota // queued or running
	done
	aborted // adapter unloaded, cancelled or past its deadline
)

type request struct {
	Completion
	state     state
	generated int           // tokens generated so far
	forgetAt  time.Time     // set when the request ends
	changed   chan struct{} // closed and replaced at each change
}

// submit starts a completion, or returns the request with the same ID that is
// in progress or completed within the resume window.
func (e *Engine) submit(c Completion) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetEnded(time.Now())
	if c.ID == "" || c.Model == "" || c.Tokens <= 0 || c.Offset < 0 {
		return nil, errors.Wrap(ErrInvalid, "id, model, max_tokens or offset")
	}
	known, ok := e.requests[c.ID]
	if ok && known.Model != c.Model {
		return nil, ErrVersionMismatch
	}
	if ok && known.state != aborted {
		return known, nil
	}
	if c.Offset > 0 {
		return nil, ErrGone
	}
	return e.start(c)
}

func (e *Engine) start(c Completion) (*request, error) {
	s, ok := e.slots[c.Model]
	if !ok || !s.resident {
		return nil, ErrAbsent
	}
	if len(e.queue) >= maxQueuedBatches*e.Batch {
		return nil, ErrFull
	}
	if e.requests == nil {
		e.requests, e.counts.RunsByID, e.counts.RunsByTag = map[string]*request{}, map[string]int{}, map[string]int{}
	}
	e.counts.Started++
	e.counts.RunsByID[c.ID]++
	if tag := text.TagOf(c.Prompt); tag != "" {
		e.counts.RunsByTag[tag]++
	}
	if strings.Contains(c.Prompt, text.CrashMarker) {
		e.Crash()
	}
	r := &request{Completion: c, changed: make(chan struct{})}
	e.requests[c.ID] = r
	s.requests[c.ID] = true
	e.enqueue(r)
	e.recordReport()
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
	return r, nil
}

// enqueue inserts r after the last queued request of the same or a higher priority.
func (e *Engine) enqueue(r *request) {
	at := slices.IndexFunc(e.queue, func(q *request) bool { return q.Priority < r.Priority })
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, r)
}

// Cancel aborts a request and reports whether it was in progress.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	if !ok || r.state != active {
		return false
	}
	e.finish(r, aborted)
	e.recordReport()
	return true
}

// progress returns the number of tokens generated so far, the state, and a
// channel that is closed at the next change.
func (e *Engine) progress(r *request) (int, state, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.generated, r.state, r.changed
}

// finish moves an active request to its final state and frees its batch slot
// or its place in the queue.
func (e *Engine) finish(r *request, to state) {
	if r.state != active {
		return
	}
	r.state = to
	r.forgetAt = time.Now().Add(resumeWindow)
	r.notify()
	e.ended = append(e.ended, r)
	same := func(other *request) bool { return other == r }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.running = slices.DeleteFunc(e.running, same)
	if s, ok := e.slots[r.Model]; ok {
		delete(s.requests, r.ID)
	}
}

// forgetEnded drops the ended requests whose resume window is over.
func (e *Engine) forgetEnded(now time.Time) {
	for len(e.ended) > 0 && !e.ended[0].forgetAt.After(now) {
		if e.requests[e.ended[0].ID] == e.ended[0] {
			delete(e.requests, e.ended[0].ID)
		}
		e.ended = e.ended[1:]
	}
}

// notify wakes the streams that wait for a change of r.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
