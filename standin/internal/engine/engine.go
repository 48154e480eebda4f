// Package engine implements the stand-in for a model engine that holds a few
// adapters and batches requests continuously.
//
// Each step generates one token for every running request. When a request
// ends, its batch slot goes to the next request in the queue: higher priority
// first, then in order of arrival. A request is kept for a while after its end
// so that its stream can be resumed at an offset. Orders load and unload
// adapters; a fenced engine refuses an order whose fencing number is not above
// the highest that it has seen. Unloading an adapter that a request still uses
// aborts the request and is counted.
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
	// resumeWindow is how long a request can be resumed after its end.
	resumeWindow = 30 * time.Second
	// stepGrowth is the fraction of StepTime that each request in the batch
	// after the first adds to a step.
	stepGrowth = 0.01
	// maxQueuedBatches limits the queue to this multiple of the batch size.
	maxQueuedBatches = 4
)

// Errors returned for orders and completions; test for them with errors.Is.
var (
	ErrFenced          = errors.New("engine: fencing number is not above the highest seen")
	ErrFull            = errors.New("engine: no free slot or queue full")
	ErrFailed          = errors.New("engine: adapter load failed")
	ErrAbsent          = errors.New("engine: adapter is not resident")
	ErrVersionMismatch = errors.New("engine: request ID is in use for another adapter version")
	ErrGone            = errors.New("engine: request is unknown or expired")
	ErrExpired         = errors.New("engine: deadline passed")
	ErrInvalid         = errors.New("engine: malformed request")
)

// An Engine simulates a model engine. Set the exported fields before the first call.
type Engine struct {
	Slots     int           // adapters resident or loading at once
	Batch     int           // requests running at once
	StepTime  time.Duration // duration of a step with one request
	Fenced    bool          // refuse orders with an old fencing number
	ReportLag time.Duration // age of reports
	// FetchWeights downloads an adapter's weights from the weight store.
	FetchWeights func(ctx context.Context, adapter string) error
	// Crash terminates the process.
	Crash func()

	gate            fault.Gate
	incarnationOnce sync.Once
	mu              sync.Mutex
	incarnation     string
	highestNumber   uint64
	slots           map[string]*slot
	requests        map[string]*request
	ended           []*request
	queue           []*request
	running         []*request
	stepping        bool
	counts          Counts
	history         []reportSnapshot
}

// Counts holds the totals that tests and the load generator check.
type Counts struct {
	Incarnation    string         `json:"incarnation"`
	Loads          int            `json:"loads"`     // successful loads
	EvictedInUse   int            `json:"evicted"`   // unloads of an adapter in use by a request
	Evictions      int            `json:"evictions"` // all unloads of resident adapters
	Requests       []string       `json:"requests"`  // IDs of running and queued requests
	Steps          int            `json:"steps"`
	BatchSlotsUsed int            `json:"filled"`  // sum over all steps of the batch slots in use
	RunsByID       map[string]int `json:"ran"`     // times each request ID was started
	RunsByTag      map[string]int `json:"marks"`   // times each tagged prompt was started
	Started        int            `json:"started"` // requests started
}

// Incarnation returns the random ID of this engine process.
func (e *Engine) Incarnation() string {
	e.incarnationOnce.Do(func() { e.incarnation = rand.Text() })
	return e.incarnation
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Incarnation = e.Incarnation()
	counts.Requests = []string{}
	counts.RunsByID, counts.RunsByTag = cloneCounts(e.counts.RunsByID), cloneCounts(e.counts.RunsByTag)
	for _, r := range append(append([]*request{}, e.running...), e.queue...) {
		counts.Requests = append(counts.Requests, r.ID)
	}
	return counts
}

// cloneCounts returns a copy of counts; the copy is never nil.
func cloneCounts(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}
