// Package catalog holds what a host believes of its surroundings: the
// configuration in force, the targets that serve, and the newest version of each
// adapter.
//
// Values arrive as events from whatever follows the platform's object API. The
// types are the product's own; how they are spelled on a wire is known only to
// the package that decodes them. A Config is immutable once it was made.
package catalog

import (
	"net/netip"
	"strings"
	"time"
)

// A Config is one numbered version of the configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	routes map[string]map[string]Route // by host name, then by path prefix
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBody int64 // bytes of a request's body
}

// A Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // that one of its targets accepts from all hosts together; 0 is unknown
	Engine         *Engine
}

// An Engine says what the runners of a service hold.
type Engine struct {
	Slots             int     // adapters that a runner holds at once
	Memory            float64 // MB of a runner for models and adapters
	LoadRate          float64 // loads of whole models a second, over all runners
	PrefixCacheTokens int     // tokens that a runner keeps in its memory
	Models            map[string]Model
}

// A Model is a base model that runners can load.
type Model struct {
	Name     string
	Size     float64       // MB
	LoadTime time.Duration // from the weight store
}

// A Kind says how requests of a route are answered and what may be repeated.
type RequestKind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// AtMostOnce says that a request may run at most once.
type AtMostOnce struct{}

// A Stream is answered by a series of events.
type Stream struct {
	// Resumable says that another target may go on behind the last event.
	Resumable    bool
	GapObjective time.Duration // the longest wanted pause between events
}

func (Idempotent) kind() {}
func (AtMostOnce) kind() {}
func (Stream) kind()     {}

// A Share is the part of a route's requests that goes to one service.
type TrafficShare struct {
	Service string
	Weight  float64
}

// A Route says what becomes of the requests of one host name and path prefix.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RequestKind
	Timeout          time.Duration // the longest that a request is kept waiting; 0 sets no limit
	LatencyObjective time.Duration // the answer, or its first event, is wanted within this
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // targets that may run one request
	Split            []TrafficShare
}

// NewConfig returns the configuration with its routes indexed. A later route
// replaces an earlier one of the same host name and prefix.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string]map[string]Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = make(map[string]Route)
		}
		c.routes[r.Host][r.Prefix] = r
	}
	return c
}

// Route returns the route with the longest prefix of path, which ends with a
// slash, among those of the host name.
func (c *Config) Route(host, path string) (Route, bool) {
	prefixes := c.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// ChooseService returns the service of a route for a draw in [0, 1).
func (r Route) ChooseService(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Retryable reports whether a request of the route may run more than once.
func (r Route) Retryable() bool {
	switch k := r.Kind.(type) {
	case Idempotent:
		return true
	case Stream:
		return k.Resumable
	default:
		return false
	}
}

// A State says whether a target takes new requests.
type State uint8

// The states of a target.
const (
	Ready State = iota
	Draining
)

// A Target is one process that serves requests of a service: a runner, or one
// instance of a plain service.
type Target struct {
	Name           string // unique to the target
	Service        string
	Address        netip.AddrPort
	Zone           string
	Started        time.Time // when the process started, which tells one life of a name from the next
	State          State
	TerminatesAt   time.Time // when it will be gone whatever it runs; zero where that isn't known
	Slots          int       // requests that run at once
	AcceptedOrders uint64    // orders that it had accepted
	Models         map[string]ResidentModel
}

// A Holding is what a runner holds of one model.
type ResidentModel struct {
	Version  int
	Adapters map[string]int // resident adapters and their versions
}

// SameIncarnation reports whether both are the same life of the same target.
func (t Target) SameIncarnation(other Target) bool {
	return t.Name == other.Name && t.Address == other.Address && t.Started.Equal(other.Started)
}

// An Event is what a follower of the platform tells: Configured, Listed, Batch
// or Versioned.
type Event interface{ event() }

// ConfigUpdated tells a version of the configuration.
type ConfigUpdated struct{ Config *Config }

// TargetsListed tells all targets at once, as of a revision of the platform's store;
// one that isn't listed is gone.
type TargetsListed struct {
	Revision uint64
	Targets  []Target
}

// A Batch tells the changes of targets up to a revision, in order.
type TargetsChanged struct {
	Revision uint64
	Changes  []TargetChange
}

// A Change of a target is Changed or Removed.
type TargetChange interface{ change() }

// TargetUpdated tells a new or changed target.
type TargetUpdated struct{ Target Target }

// TargetRemoved tells that a target is gone.
type TargetRemoved struct{ Name string }

// VersionPublished tells a version of an adapter.
type VersionPublished struct {
	Model   string
	Adapter string
	Version int
}

func (ConfigUpdated) event()    {}
func (TargetsListed) event()    {}
func (TargetsChanged) event()   {}
func (VersionPublished) event() {}

func (TargetUpdated) change() {}
func (TargetRemoved) change() {}
