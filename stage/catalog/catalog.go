// Package catalog defines what a host knows about its environment: the current
// configuration, the available targets, and the newest version of each adapter.
//
// The values arrive as events from a follower of the platform's object API. The
// types are independent of the API's encoding, which only the decoding package
// knows. A Config is immutable once it was created.
package catalog

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"jacinthstage/stage/account"
)

// A Config is one numbered version of the configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	Accounts *account.Directory // nil if callers need no account

	routes map[string]map[string]Route // by host name, then by path prefix
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxBody     int64         // bytes of a request's body
	IdleTimeout time.Duration // for which callers may leave a connection idle; 0 if unknown
}

// A Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int     // that one target accepts from all hosts together; 0 if unknown
	Engine         *Engine // nil for a plain service
}

// An Engine describes the capacity of a service's runners and the models that
// they can load.
type Engine struct {
	Slots             int     // adapters that a runner holds at once
	Memory            float64 // MB of a runner for models and adapters
	LoadRate          float64 // loads of base models per second over all runners
	PrefixCacheTokens int     // tokens that a runner keeps in its cache
	Models            map[string]Model
}

// A Model is a base model that runners can load.
type Model struct {
	Name     string
	Size     float64       // MB
	LoadTime time.Duration // from the weight store
}

// A RequestKind says how the requests of a route are answered and whether they
// may be repeated: Idempotent, AtMostOnce or Stream.
type RequestKind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// AtMostOnce requests may run at most once.
type AtMostOnce struct{}

// Stream requests are answered with a stream of events.
type Stream struct {
	// Resumable says that another target may continue the stream after the last
	// event.
	Resumable    bool
	GapObjective time.Duration // objective for the longest pause between events
}

func (Idempotent) kind() {}
func (AtMostOnce) kind() {}
func (Stream) kind()     {}

// A TrafficShare is the fraction of a route's requests that goes to one service,
// in proportion to its weight.
type TrafficShare struct {
	Service string
	Weight  float64
}

// A Route configures the requests for one host name and path prefix.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RequestKind
	Timeout          time.Duration // longest time that a caller waits for an answer; 0 sets no limit
	LatencyObjective time.Duration // objective for the time to the answer or to its first event
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // targets that may run one request
	Split            []TrafficShare
	Public           bool // callers need no key
}

// NewConfig returns a configuration with its routes indexed. A later route
// replaces an earlier one with the same host name and prefix.
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

// Route returns the route of a host name with the longest prefix of path. A
// prefix ends with a slash.
func (c *Config) Route(host, path string) (Route, bool) {
	prefixes := c.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Contended reports whether requests differ in who is to have room that is short, since callers
// have client accounts. A nil Config has none.
func (c *Config) Contended() bool { return c != nil && c.Accounts != nil }

// ChooseService returns the service that a random number in [0, 1) selects from
// the route's traffic split.
func (r Route) ChooseService(random float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	rest := random * total
	for _, s := range r.Split {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Uses reports whether requests of the route may go to a service.
func (r Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Split, func(s TrafficShare) bool { return s.Service == service })
}

// PauseObjective returns the objective for the longest pause between the events of an answer, or 0 if there is none.
func (r Route) PauseObjective() time.Duration {
	stream, _ := r.Kind.(Stream)
	return stream.GapObjective
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

// A State says whether a target accepts new requests.
type State uint8

// The states of a target.
const (
	Ready State = iota
	Draining
)

// A Target is a process that serves requests of a service: a runner, or an
// instance of a plain service.
type Target struct {
	Name           string // unique among targets
	Service        string
	Address        netip.AddrPort
	Zone           string
	Build          string    // version of the target's software; there is no order among builds
	Started        time.Time // start of the process, which distinguishes incarnations of the same name
	State          State
	TerminatesAt   time.Time // when the target terminates regardless of running requests; zero if unknown
	Slots          int       // requests that run at once
	AcceptedOrders uint64    // orders that the runner had accepted
	Models         map[string]ResidentModel
}

// A ResidentModel describes a model that a runner holds.
type ResidentModel struct {
	Version  int
	Adapters map[string]int // loaded adapters and their versions
}

// SameIncarnation reports whether both are the same incarnation of the same
// target.
func (t Target) SameIncarnation(other Target) bool {
	return t.Name == other.Name && t.Address == other.Address && t.Started.Equal(other.Started)
}

// An Event is a change that a follower of the platform reports: ConfigUpdated,
// TargetsListed, TargetsChanged or VersionPublished.
type Event interface{ event() }

// ConfigUpdated reports a version of the configuration.
type ConfigUpdated struct{ Config *Config }

// TargetsListed reports all targets as of a revision of the platform's store. A
// target that is not listed no longer exists.
type TargetsListed struct {
	Revision uint64
	Targets  []Target
	// Unseen is the time from which on targets may have come and gone without being
	// reported, zero if there is no such time.
	Unseen time.Time
}

// TargetsChanged reports the changes of targets up to a revision, in order.
type TargetsChanged struct {
	Revision uint64
	Changes  []TargetChange
}

// A TargetChange is a TargetUpdated or a TargetRemoved.
type TargetChange interface{ change() }

// TargetUpdated reports a new or changed target.
type TargetUpdated struct{ Target Target }

// TargetRemoved reports that a target was removed.
type TargetRemoved struct{ Name string }

// VersionPublished reports a version of an adapter.
type VersionPublished struct {
	Model   string
	Adapter string
	Version int
	// After is a time at which the version was certainly not published yet, zero if none is known.
	After time.Time
}

func (ConfigUpdated) event()    {}
func (TargetsListed) event()    {}
func (TargetsChanged) event()   {}
func (VersionPublished) event() {}

func (TargetUpdated) change() {}
func (TargetRemoved) change() {}
