// Package settings reads a host's settings from an INI file and checks them
// before anything starts.
//
// Each fault is one line, `FILE: section.key: reason`. An unknown section or
// key is a fault, as is a missing key without a default. Files that a key
// names are read from the folder of the settings file unless their path is
// absolute.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// Settings are the settings of one host, as checked by Read.
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
}

// Host says who the host is and where it stands.
type Host struct {
	Name   string
	Region string
	Zone   string
}

// Listen holds the addresses that the host listens on.
type Listen struct {
	Caller netip.AddrPort // HTTP towards callers
	Peer   netip.AddrPort // QUIC towards other hosts
	Admin  netip.AddrPort // HTTP for health, readiness and metrics
}

// Platform says where the platform's object API and weight store are.
type Platform struct {
	Address string // http://IP:PORT
}

// Keys names the PEM files of the link between hosts.
type Keys struct {
	Authority   string // certificate of the authority
	Certificate string // this host's certificate
	Key         string // this host's private key
}

// Peers names hosts to ask for the configuration when the object API can't be read.
type Peers struct {
	Seeds []Seed
}

// A Seed is a host by its name, as in its certificate, and its address for
// other hosts.
type Seed struct {
	Name    string
	Address netip.AddrPort
}

// Limits bound what one request and all requests may use.
type Limits struct {
	Body            int           // bytes of a request's body
	Prompt          int           // bytes of a prompt
	Queue           int           // requests waiting for one runner
	Requests        int           // completions of callers in progress on this host
	CrossRegionRate int           // bytes a second that requests to other regions may be worth; 0 sets no limit
	DefaultDeadline time.Duration // from arrival, where the caller gives none
	MaxDeadline     time.Duration // from arrival, the latest that a caller may give
}

// Lease says how long a host's lease lasts and when it is renewed.
type Lease struct {
	Duration        time.Duration // from the sending of a renewal
	RenewalInterval time.Duration // between renewals; at most a third of Time
}

// Load is the weight store's allowance for this host's region.
type Load struct {
	Rate     float64 // loads a second
	InFlight int     // loads in flight
}

// The policies of routing and eviction; all but Homes are baselines.
const (
	Rendezvous  = "homes"  // home runners by rendezvous hashing
	LeastLoaded = "least"  // least loaded runner, least recently used adapter evicted
	Random      = "random" // random runner
)

// Policy says how requests are routed and ordered.
type Policy struct {
	Kind   string  // Homes, Least or Random
	Weight float64 // 0 leans to short load stalls, 1 to full batches
}

// The formats of log lines.
const (
	Console = "console"
	JSON    = "json"
)

// Log says what is logged and how.
type Log struct {
	Level  zapcore.Level
	Format string // Console or JSON
}
