// Package trial runs the routing, caching and load decisions in virtual time
// against a simple model of the engines and the weight store, and measures the
// results.
//
// It runs stage/runner, stage/route and stage/load as the hosts do, with the
// same workload for each policy, so that the policies of one run can be
// compared. It does not simulate a whole cluster: there is one process, a
// message between hosts takes MessageDelay, and no faults occur except those of
// type Fault.
package trial

import (
	"time"

	"jacinthstage/stage/route"
	"jacinthstage/stage/runner"
)

// A Deployment holds the size and the limits of one site.
type Deployment struct {
	Name           string
	Runners        int
	Slots          int // adapter slots of each runner
	Batch          int // batch slots of each runner
	Adapters       int
	Hosts          int           // entry hosts
	LoadRate       float64       // loads per second that the weight store accepts
	FullSpeedLoads int           // concurrent loads that the weight store serves at full speed
	LoadTime       time.Duration // duration of a load at full speed
	RequestRate    float64       // requests per second at capacity
	MeanTokens     int           // mean number of tokens of a request
	Deadline       time.Duration // time limit of a request
	Weight         float64       // policy weight in the site's settings
}

// Deployments holds the existing sites by name.
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

// MessageDelay is the time that a message between two hosts, or a host and an engine, takes.
const MessageDelay = time.Millisecond

// The duration of an engine step, which generates one token for each request in
// the batch, is stepBase plus stepPerRequest for each request.
const (
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 500 * time.Microsecond
)

// A Policy selects the routing and eviction policies of a trial: Product, Random
// or LeastLoaded.
type Policy interface{ policy() }

// Product is the policy that the hosts use. Weight is between 0 and 1.
type Product struct{ Weight float64 }

// Random routes to a random runner. Runners evict the least recently used adapter.
type Random struct{}

// LeastLoaded routes to the runner with the fewest requests, whose number is known
// without delay. Runners evict the least recently used adapter.
type LeastLoaded struct{}

func (Product) policy()     {}
func (Random) policy()      {}
func (LeastLoaded) policy() {}

// corePolicies returns the routing and the eviction policy that make up p.
func corePolicies(p Policy) (route.Policy, runner.Policy) {
	switch x := p.(type) {
	case Product:
		return route.Rendezvous{Weight: x.Weight}, runner.AgedLFU{Weight: x.Weight}
	case Random:
		return route.Random{}, runner.LRU{}
	case LeastLoaded:
		return route.LeastLoaded{}, runner.LRU{}
	default:
		panic("trial: unknown policy")
	}
}

// PolicyName returns the name that tables and JSON show for p.
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

// A Fault is the fault injected halfway through a trial.
type Fault string

// The faults that a trial can inject.
const (
	NoFault            Fault = ""
	RunnerLeaves       Fault = "leave"   // one runner leaves
	RunnerJoins        Fault = "come"    // one runner joins
	EngineRestarts     Fault = "restart" // one engine restarts with empty slots
	GrantorLost        Fault = "grantor" // the granting host is lost; another takes over after its lease ends
	GrantorSlow        Fault = "slow"    // messages to the granting host take 400 ms
	GrantorUnreachable Fault = "cut"     // one host can't reach the granting host
)
