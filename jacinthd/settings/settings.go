// Package settings reads the settings of a host from an INI file and validates
// them before the host starts.
//
// Each error is a single line, `FILE: section.key: reason`. An unknown section
// or key is an error, as is a missing key without a default. A key with a question
// mark behind it, such as `source? = 10.0.0.1`, is optional: a build that doesn't
// know it ignores it, so that one file serves builds before and after it came. A
// relative path in a value is resolved against the folder of the settings file.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// Settings holds the settings of one host, as read and validated by Read.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Keys     Keys
	Peers    Peers
	Limits   Limits
	Lease    Lease
	Load     Load
	Policy   Policy
	Log      Log
	Ignored  []string // keys marked as optional that this build doesn't know, as SECTION.KEY
}

// Host identifies the host and its location.
type Host struct {
	Name   string
	Region string
	Zone   string
}

// Listen holds the addresses on which the host listens.
type Listen struct {
	Caller netip.AddrPort // HTTP for callers
	Peer   netip.AddrPort // QUIC for other hosts
	Admin  netip.AddrPort // HTTP for health, readiness and metrics
}

// Platform holds the location of the platform's object API and weight store.
type Platform struct {
	Address string // http://IP:PORT
}

// Keys holds the paths of the PEM files for TLS between hosts.
type Keys struct {
	Authority   string // certificate of the certificate authority
	Certificate string // this host's certificate
	Key         string // this host's private key
}

// Peers lists hosts from which the configuration is fetched while the object
// API can't be read.
type Peers struct {
	Seeds []Seed
}

// A Seed is the name of a host, as in its certificate, and its address for other
// hosts.
type Seed struct {
	Name    string
	Address netip.AddrPort
}

// Limits holds the limits of single requests and of all requests together.
type Limits struct {
	Body            int           // maximum size of a request's body in bytes
	Prompt          int           // maximum size of a prompt in bytes
	Queue           int           // maximum number of requests waiting for one runner
	Requests        int           // maximum number of callers' completions in progress on this host
	CrossRegionRate int           // limit in bytes per second on the estimated traffic of requests to other regions; 0 means no limit
	DefaultDeadline time.Duration // counted from arrival, for requests without a deadline
	MaxDeadline     time.Duration // counted from arrival, the latest deadline that a caller may set
}

// Lease holds the duration of a host's lease and the interval of its renewal.
type Lease struct {
	Duration        time.Duration // counted from the time at which a renewal is sent
	RenewalInterval time.Duration // time between renewals; at most a third of Duration
}

// Load holds the limits on adapter loads that the weight store sets for the
// host's region.
type Load struct {
	Rate     float64 // loads per second
	InFlight int     // maximum number of loads in flight
}

// The policies of routing and eviction. Those other than Rendezvous are baselines
// for comparison.
const (
	Rendezvous  = "homes"  // preferred runners by rendezvous hashing
	LeastLoaded = "least"  // least loaded runner; evicts the least recently used adapter
	Random      = "random" // random runner
)

// Policy selects how requests are routed and ordered.
type Policy struct {
	Kind   string  // Rendezvous, LeastLoaded or Random
	Weight float64 // 0 favors short stalls for loads, 1 favors full batches
}

// The formats of log lines.
const (
	Console = "console"
	JSON    = "json"
)

// Log selects the level and the format of the log.
type Log struct {
	Level  zapcore.Level
	Format string // Console or JSON
}
