// Package trial drives the decision core in virtual time, on a plain model of
// engines and weight store, and measures what it decides.
//
// It runs stage/runner, stage/route and stage/load as the hosts do, with the
// same workload for each policy, so that policies compare within one run. It is
// no simulator of the cluster: there is one process, a message between hosts
// takes Delay, and of the faults only those of Fault happen.
package trial

import (
	"time"

	"jacinthstage/stage/route"
	"jacinthstage/stage/runner"
)

// A Deployment is the sizes of one site.
type Deployment struct {
	Name     string
	Runners  int
	Slots    int // on each runner
	Batch    int // requests at once on each runner
	Adapters int
	Hosts    int           // entry hosts
	Rate     float64       // loads a second of the weight store
	Flight   int           // loads in progress up to which one takes Load
	Load     time.Duration // one load
	Requests float64       // requests a second at capacity
	Tokens   int           // mean of a request's tokens
	Deadline time.Duration // of a request
	Weight   float64       // policy weight of the site's settings
}

// Deployments are the sites of today, by name.
var Deployments = map[string]Deployment{
	"passo": {
		Name: "passo", Runners: 20, Slots: 8, Batch: 16, Adapters: 3000, Hosts: 6,
		Rate: 4, Flight: 8, Load: 250 * time.Millisecond,
		Requests: 12, Tokens: 128, Deadline: 20 * time.Second, Weight: 0,
	},
	"kelvin": {
		Name: "kelvin", Runners: 10, Slots: 8, Batch: 16, Adapters: 3000, Hosts: 6,
		Rate: 2, Flight: 8, Load: 250 * time.Millisecond,
		Requests: 5, Tokens: 128, Deadline: 40 * time.Second, Weight: 1,
	},
}

// Delay is how long a message between two hosts, or a host and an engine, takes.
const Delay = time.Millisecond

// The time of one step of an engine, which makes one token for each request.
const (
	stepBase = 20 * time.Millisecond
	stepEach = 500 * time.Microsecond // for each request in the batch
)

// A Policy is the choices of one trial: Ours, Random or Least.
type Policy interface{ policy() }

// Ours is the policy of the product, with its weight between 0 and 1.
type Ours struct{ Weight float64 }

// Random routes to any runner, which evicts the least recently used adapter.
type Random struct{}

// Least routes to the runner with the fewest requests, known without delay,
// which evicts the least recently used adapter.
type Least struct{}

func (Ours) policy()   {}
func (Random) policy() {}
func (Least) policy()  {}

// parts returns the policies of the decision core that make up p.
func parts(p Policy) (route.Policy, runner.Policy) {
	switch x := p.(type) {
	case Ours:
		return route.Rendezvous{Weight: x.Weight}, runner.AgedLFU{Weight: x.Weight}
	case Random:
		return route.Random{}, runner.LRU{}
	case Least:
		return route.LeastLoaded{}, runner.LRU{}
	default:
		panic("trial: unknown policy")
	}
}

// Name returns the policy's name in tables.
func Name(p Policy) string {
	switch p.(type) {
	case Ours:
		return "ours"
	case Random:
		return "random"
	case Least:
		return "least-lru"
	default:
		panic("trial: unknown policy")
	}
}

// A Fault is what fails in a trial, halfway.
type Fault string

// The faults.
const (
	None    Fault = ""
	Leave   Fault = "leave"   // one runner leaves
	Come    Fault = "come"    // one runner more comes
	Restart Fault = "restart" // one engine restarts with empty slots
	Grantor Fault = "grantor" // the granting host is lost, another takes over after a lease
	Slow    Fault = "slow"    // messages to the granting host take 400 ms
	Cut     Fault = "cut"     // one host can't reach the granting host
)
