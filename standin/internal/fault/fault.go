// Package fault implements the faults that an admin call injects into a
// stand-in: outages, delays, lost answers and silent connections.
//
// A call that is in progress when silence is switched on, or that begins while
// it is on, gets no answer until its connection ends, even after silence has
// been switched off. Calls that begin later work again.
package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A Duration is a time.Duration that is encoded in JSON as a string such as "200ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the empty text
// as zero and whatever time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.Wrap(err, "fault")
}

// Faults is the body of an admin call. It replaces all faults that were active.
type Faults struct {
	Outage      bool     `json:"outage"`    // every call is refused with status 503
	Delay       Duration `json:"slow"`      // every call is delayed by this duration
	LostAnswers int      `json:"lose"`      // number of further writes that take effect but whose answer is lost
	Silent      bool     `json:"silent"`    // calls are accepted but never answered
	FailLoads   int      `json:"failloads"` // number of further adapter loads that fail
	ReportLag   Duration `json:"lag"`       // age of an engine's reports; zero keeps its default
}

// A silencePeriod is shared by the calls that a silence affects together. A new
// period begins when a silence ends.
type silencePeriod struct{ silent bool }

// A Gate applies the active faults to calls. The zero value has no faults active.
type Gate struct {
	mu            sync.Mutex
	active        Faults
	period        *silencePeriod
	outageStarted chan struct{}
	silencedCalls int
}

// Replace sets the active faults.
func (g *Gate) Replace(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.currentPeriod()
	switch {
	case faults.Silent:
		current.silent = true
	case current.silent:
		g.period = &silencePeriod{}
	}
	if faults.Outage && g.outageStarted != nil {
		close(g.outageStarted)
		g.outageStarted = nil
	}
	g.active = faults
}

// OutageStarted returns a channel that is closed when the next outage begins.
func (g *Gate) OutageStarted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outageStarted == nil {
		g.outageStarted = make(chan struct{})
	}
	return g.outageStarted
}

// Active returns the active faults.
func (g *Gate) Active() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// SilencedCalls returns the number of calls that were silenced.
func (g *Gate) SilencedCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silencedCalls
}

// TakeLostAnswer reports whether to lose the answer to the write that just took
// effect, and uses up one of the lost answers.
func (g *Gate) TakeLostAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active.LostAnswers == 0 {
		return false
	}
	g.active.LostAnswers--
	return true
}

// TakeFailedLoad reports whether the adapter load that begins must fail, and uses
// up one of the failing loads.
func (g *Gate) TakeFailedLoad() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active.FailLoads == 0 {
		return false
	}
	g.active.FailLoads--
	return true
}

func (g *Gate) currentPeriod() *silencePeriod {
	if g.period == nil {
		g.period = &silencePeriod{}
	}
	return g.period
}

// A Call is a call in progress to which the gate's silence applies.
type Call struct {
	gate   *Gate
	period *silencePeriod
}

// Enter returns a call that begins now.
func (g *Gate) Enter() *Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Call{gate: g, period: g.currentPeriod()}
}

// BlockIfSilent returns at once unless the call is silenced. For a silenced call
// it blocks until ctx ends and then aborts the handler, so that nothing more
// reaches the client.
func (c *Call) BlockIfSilent(ctx context.Context) {
	c.gate.mu.Lock()
	silenced := c.period.silent
	if silenced {
		c.gate.silencedCalls++
	}
	c.gate.mu.Unlock()
	if !silenced {
		return
	}
	<-ctx.Done()
	Abort()
}

// Abort aborts the calling handler and closes its connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

type callKey struct{}

// Middleware applies delays, silence and outages to the calls of next.
func (g *Gate) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := g.Enter()
		call.BlockIfSilent(r.Context())
		faults := g.Active()
		if !pause(r.Context(), time.Duration(faults.Delay)) {
			Abort()
		}
		call.BlockIfSilent(r.Context())
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, call)))
	})
}

// FromContext returns the call that Middleware stored in ctx. A handler calls its
// BlockIfSilent before it answers.
func FromContext(ctx context.Context) *Call {
	call, ok := ctx.Value(callKey{}).(*Call)
	if !ok {
		return (&Gate{}).Enter()
	}
	return call
}

// HandleAdmin handles the admin call that sets the active faults.
func (g *Gate) HandleAdmin(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.Replace(faults)
	w.WriteHeader(http.StatusNoContent)
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
