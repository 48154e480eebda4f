// Package engine is the stand-in for a model engine with a few adapter slots,
// which batches continuously.
//
// Each step advances all running requests by one token; a place frees when a
// request ends, and the queue fills it, larger priority first and then in
// order of arrival. A request is remembered for a while after its end, so that
// its stream can be resumed at an offset. Orders load and unload adapters; a
// fenced engine refuses an order whose number is not above the highest it
// has seen. Unloading an adapter beneath a request is counted and breaks the
// request.
package engine

import (
	"context"
	"crypto/rand"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/fault"
)

const (
	// remember is how long a request is kept for resume after its end.
	remember = 30 * time.Second
	// growth is the added part of a step's time for each further request in the batch.
	growth = 0.01
	// queueFactor is the longest queue in batches.
	queueFactor = 4
)

// The errors of orders and completions, to be tested with errors.Is.
var (
	ErrFenced  = errors.New("engine: number is not above the highest")
	ErrFull    = errors.New("engine: full")
	ErrFailed  = errors.New("engine: load failed")
	ErrAbsent  = errors.New("engine: adapter is not resident")
	ErrVersion = errors.New("engine: id belongs to another adapter version")
	ErrGone    = errors.New("engine: request is no longer known")
	ErrExpired = errors.New("engine: deadline passed")
	ErrInvalid = errors.New("engine: malformed request")
)

// An Engine is the stand-in. Set its fields before the first call.
type Engine struct {
	Slots  int           // adapters held at once
	Batch  int           // requests run at once
	Token  time.Duration // time of a step with one request
	Fenced bool          // refuses orders with an old number
	Lag    time.Duration // age of reports
	// Fetch gets an adapter's weights from the weight store.
	Fetch func(ctx context.Context, adapter string) error
	// Crash ends the process.
	Crash func()

	gate     fault.Gate
	once     sync.Once
	mu       sync.Mutex
	name     string // incarnation
	highest  uint64
	slots    map[string]*slot
	requests map[string]*request
	ended    []*request
	queue    []*request
	running  []*request
	stepping bool
	counts   Counts
	past     []snapshot
}

// Counts are what the engine did, for tests.
type Counts struct {
	Incarnation string         `json:"incarnation"`
	Loads       int            `json:"loads"`     // loads that ended well
	Evicted     int            `json:"evicted"`   // unloads beneath a request
	Evictions   int            `json:"evictions"` // all unloads of resident adapters
	Requests    []string       `json:"requests"`  // ids in progress
	Steps       int            `json:"steps"`
	Filled      int            `json:"filled"`  // sum over steps of places in use
	Ran         map[string]int `json:"ran"`     // times each id was started
	Marks       map[string]int `json:"marks"`   // times each marked prompt was started
	Started     int            `json:"started"` // requests started
}

// Incarnation returns the name of this run of the engine.
func (e *Engine) Incarnation() string {
	e.once.Do(func() { e.name = rand.Text() })
	return e.name
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Incarnation = e.Incarnation()
	counts.Requests = []string{}
	counts.Ran, counts.Marks = copied(e.counts.Ran), copied(e.counts.Marks)
	for _, r := range append(append([]*request{}, e.running...), e.queue...) {
		counts.Requests = append(counts.Requests, r.ID)
	}
	return counts
}

// copied returns a copy of counts that is never nil.
func copied(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}
