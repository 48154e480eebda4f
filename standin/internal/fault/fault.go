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
type Set struct {
	Outage    bool     `json:"outage"`    // each call is refused with 503
	Slow      Duration `json:"slow"`      // each call waits this long first
	Lose      int      `json:"lose"`      // number of next writes that take effect and whose answer is lost
	Silent    bool     `json:"silent"`    // calls are accepted and never answered
	FailLoads int      `json:"failloads"` // number of next adapter loads that fail
	Lag       Duration `json:"lag"`       // age of load reports
}

type epoch struct{ muted bool }

// A Gate applies a Set to calls. The zero value applies none.
type Gate struct {
	mu     sync.Mutex
	set    Set
	epoch  *epoch
	ended  chan struct{}
	caught int
}

// Put replaces the faults.
func (g *Gate) Put(set Set) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.current()
	switch {
	case set.Silent:
		current.muted = true
	case current.muted:
		g.epoch = &epoch{}
	}
	if set.Outage && g.ended != nil {
		close(g.ended)
		g.ended = nil
	}
	g.set = set
}

// Outages returns a channel that is closed when the next outage begins.
func (g *Gate) Outages() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended == nil {
		g.ended = make(chan struct{})
	}
	return g.ended
}

// Set returns the faults in force.
func (g *Gate) Set() Set {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set
}

// Silenced returns the number of calls that have gone silent.
func (g *Gate) Silenced() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.caught
}

// Lose reports whether the answer to the write that just took effect is lost,
// and counts it.
func (g *Gate) Lose() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.set.Lose == 0 {
		return false
	}
	g.set.Lose--
	return true
}

// FailLoad reports whether the adapter load that begins is to fail, and counts it.
func (g *Gate) FailLoad() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.set.FailLoads == 0 {
		return false
	}
	g.set.FailLoads--
	return true
}

func (g *Gate) current() *epoch {
	if g.epoch == nil {
		g.epoch = &epoch{}
	}
	return g.epoch
}

// A Call is one call that passes the gate.
type Call struct {
	gate  *Gate
	epoch *epoch
}

// Enter begins a call.
func (g *Gate) Enter() *Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Call{gate: g, epoch: g.current()}
}

// Mute blocks until ctx ends where the call has gone silent, and then aborts
// the handler, so that nothing more reaches the other end.
func (c *Call) Mute(ctx context.Context) {
	c.gate.mu.Lock()
	muted := c.epoch.muted
	if muted {
		c.gate.caught++
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

// Wrap applies slowness, silence and outages to the calls of next.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := g.Enter()
		call.Mute(r.Context())
		set := g.Set()
		if !pause(r.Context(), time.Duration(set.Slow)) {
			Abort()
		}
		call.Mute(r.Context())
		if set.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, call)))
	})
}

// Of returns the call that Wrap put into ctx; a handler mutes it before it answers.
func Of(ctx context.Context) *Call {
	call, ok := ctx.Value(callKey{}).(*Call)
	if !ok {
		return (&Gate{}).Enter()
	}
	return call
}

// Admin answers the admin call that replaces the faults.
func (g *Gate) Admin(w http.ResponseWriter, r *http.Request) {
	var set Set
	if err := json.NewDecoder(r.Body).Decode(&set); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.Put(set)
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
