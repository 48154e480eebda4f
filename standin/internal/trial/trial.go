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
	Name           string
	Runners        int
	Slots          int // on each runner
	Batch          int // requests at once on each runner
	Adapters       int
	Hosts          int           // entry hosts
	LoadRate       float64       // loads a second of the weight store
	FullSpeedLoads int           // loads in progress up to which one takes Load
	LoadTime       time.Duration // one load
	RequestRate    float64       // requests a second at capacity
	MeanTokens     int           // mean of a request's tokens
	Deadline       time.Duration // of a request
	Weight         float64       // policy weight of the site's settings
}

// Deployments are the sites of today, by name.
var Deployments = map[string]Deployment{
	"passo": {
		Name: "passo", Runners: 20, Slots: 8, Batch: 16, Adapters: 3000, Hosts: 6,
		LoadRate: 4, FullSpeedLoads: 8, LoadTime: 250 * time.Millisecond,
		RequestRate: 12, MeanTokens: 128, Deadline: 20 * time.Second, Weight: 0,
	},
	"kelvin": {
		Name: "kelvin", Runners: 10, Slots: 8, Batch: 16, Adapters: 3000, Hosts: 6,
		LoadRate: 2, FullSpeedLoads: 8, LoadTime: 250 * time.Millisecond,
		RequestRate: 5, MeanTokens: 128, Deadline: 40 * time.Second, Weight: 1,
	},
}

// MessageDelay is how long a message between two hosts, or a host and an engine, takes.
const MessageDelay = time.Millisecond

// The time of one step of an engine, which makes one token for each request.
const (
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 500 * time.Microsecond // for each request in the batch
)

// A Policy is the choices of one trial: Ours, Random or Least.
type Policy interface{ policy() }

// Product is the policy of the product, with its weight between 0 and 1.
type Product struct{ Weight float64 }

// Random routes to any runner, which evicts the least recently used adapter.
type Random struct{}

// LeastLoaded routes to the runner with the fewest requests, known without delay,
// which evicts the least recently used adapter.
type LeastLoaded struct{}

func (Product) policy()     {}
func (Random) policy()      {}
func (LeastLoaded) policy() {}

// corePolicies returns the policies of the decision core that make up p.
func corePolicies(p Policy) (route.Policy, runner.Policy) {
	switch x := p.(type) {
	case Product:
		return route.Homes{Weight: x.Weight}, runner.Aged{Weight: x.Weight}
	case Random:
		return route.Random{}, runner.Recent{}
	case LeastLoaded:
		return route.Least{}, runner.Recent{}
	default:
		panic("trial: unknown policy")
	}
}

// PolicyName returns the policy's name in tables.
func PolicyName(p Policy) string {
	switch p.(type) {
	case Product:
		return "ours"
	case Random:
		return "random"
	case LeastLoaded:
		return "least-lru"
	default:
		panic("trial: unknown policy")
	}
}

// A Fault is what fails in a trial, halfway.
type Fault string

// The faults.
const (
	NoFault            Fault = ""
	RunnerLeaves       Fault = "leave"   // one runner leaves
	RunnerJoins        Fault = "come"    // one runner more comes
	EngineRestarts     Fault = "restart" // one engine restarts with empty slots
	GrantorLost        Fault = "grantor" // the granting host is lost, another takes over after a lease
	GrantorSlow        Fault = "slow"    // messages to the granting host take 400 ms
	GrantorUnreachable Fault = "cut"     // one host can't reach the granting host
)
