// Package fault holds the faults that an admin call switches on in a stand-in:
// outage, slowness, lost answers and connections that go silent.
//
// A call that is in progress when silence is switched on, or that begins in
// it, stays silent until its connection ends, also after silence is switched
// off: later calls work again.
package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A Duration is a time.Duration written as in "200ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails on what
// time.ParseDuration fails on.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.Wrap(err, "fault")
}

// A Set is the body of an admin call. It replaces all that was set before.
type Faults struct {
	Outage      bool     `json:"outage"`    // each call is refused with 503
	Delay       Duration `json:"slow"`      // each call waits this long first
	LostAnswers int      `json:"lose"`      // number of next writes that take effect and whose answer is lost
	Silent      bool     `json:"silent"`    // calls are accepted and never answered
	FailLoads   int      `json:"failloads"` // number of next adapter loads that fail
	ReportLag   Duration `json:"lag"`       // age of load reports
}

type silencePeriod struct{ silent bool }

// A Gate applies a Set to calls. The zero value applies none.
type Gate struct {
	mu            sync.Mutex
	active        Faults
	period        *silencePeriod
	outageStarted chan struct{}
	silencedCalls int
}

// Replace replaces the faults.
func (g *Gate) Replace(set Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.currentPeriod()
	switch {
	case set.Silent:
		current.silent = true
	case current.silent:
		g.period = &silencePeriod{}
	}
	if set.Outage && g.outageStarted != nil {
		close(g.outageStarted)
		g.outageStarted = nil
	}
	g.active = set
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

// Active returns the faults in force.
func (g *Gate) Active() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// SilencedCalls returns the number of calls that have gone silent.
func (g *Gate) SilencedCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silencedCalls
}

// TakeLostAnswer reports whether the answer to the write that just took effect is lost,
// and counts it.
func (g *Gate) TakeLostAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active.LostAnswers == 0 {
		return false
	}
	g.active.LostAnswers--
	return true
}

// TakeFailedLoad reports whether the adapter load that begins is to fail, and counts it.
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

// A Call is one call that passes the gate.
type Call struct {
	gate   *Gate
	period *silencePeriod
}

// Enter begins a call.
func (g *Gate) Enter() *Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Call{gate: g, period: g.currentPeriod()}
}

// BlockIfSilent blocks until ctx ends where the call has gone silent, and then aborts
// the handler, so that nothing more reaches the other end.
func (c *Call) BlockIfSilent(ctx context.Context) {
	c.gate.mu.Lock()
	muted := c.period.silent
	if muted {
		c.gate.silencedCalls++
	}
	c.gate.mu.Unlock()
	if !muted {
		return
	}
	<-ctx.Done()
	Abort()
}

// Abort closes the connection of the handler that calls it, without an answer.
func Abort() { panic(http.ErrAbortHandler) }

type callKey struct{}

// Middleware applies slowness, silence and outages to the calls of next.
func (g *Gate) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := g.Enter()
		call.BlockIfSilent(r.Context())
		set := g.Active()
		if !pause(r.Context(), time.Duration(set.Delay)) {
			Abort()
		}
		call.BlockIfSilent(r.Context())
		if set.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, call)))
	})
}

// FromContext returns the call that Wrap put into ctx; a handler mutes it before it answers.
func FromContext(ctx context.Context) *Call {
	call, ok := ctx.Value(callKey{}).(*Call)
	if !ok {
		return (&Gate{}).Enter()
	}
	return call
}

// HandleAdmin answers the admin call that replaces the faults.
func (g *Gate) HandleAdmin(w http.ResponseWriter, r *http.Request) {
	var set Faults
	if err := json.NewDecoder(r.Body).Decode(&set); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.Replace(set)
	w.WriteHeader(http.StatusNoContent)
}

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
