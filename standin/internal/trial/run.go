package trial

import (
	"time"

	"jacinthstage/stage/runner"
)

// A Trial describes a run: the site, the workload and the injected fault.
type Trial struct {
	Deployment   Deployment
	Workload     Workload
	Fault        Fault
	RetryRefused bool // resend refused requests once, at the time that the refusal names
}

// Run runs the trial with one policy.
func (t Trial) Run(p Policy) Result {
	extra := 0
	if t.Fault == RunnerJoins {
		extra = 1
	}
	sim := newSimulation(t.Deployment, p, extra)
	sim.retryRefused = t.RetryRefused
	requests := generate(t.Deployment, t.Workload)
	sim.scheduleArrivals(requests, 0)
	if t.Fault != NoFault {
		sim.at(startTime.Add(t.Workload.Duration/2), func() { sim.injectFault(t.Fault) })
	}
	sim.run(startTime.Add(t.Workload.Duration + t.Deployment.Deadline))
	return sim.result(t.Workload)
}

// scheduleArrivals schedules the arrival of requests[i], which in turn schedules the next one.
func (sim *simulation) scheduleArrivals(requests []request, i int) {
	if i == len(requests) {
		return
	}
	sim.at(requests[i].at, func() {
		sim.measures.caller(requests[i].caller).offered++
		sim.arrive(&requests[i])
		sim.scheduleArrivals(requests, i+1)
	})
}

// injectFault applies the fault, and records the share of adapters whose first
// preferred runner changes and the number of loads in the minute that follows.
func (sim *simulation) injectFault(kind Fault) {
	before := sim.preferredRunners()
	sim.applyFault(kind)
	sim.measures.movedShare = changedShare(before, sim.preferredRunners())
	loads := sim.store.loads
	sim.after(time.Minute, func() { sim.measures.extraLoads = sim.store.loads - loads })
}

func (sim *simulation) applyFault(kind Fault) {
	switch kind {
	case RunnerLeaves:
		sim.activeOwners--
		sim.updateTables()
		sim.owners[sim.activeOwners].step(runner.TargetRemoved{})
	case RunnerJoins:
		sim.activeOwners++
		sim.updateTables()
	case EngineRestarts:
		sim.owners[0].engine.restart()
	case GrantorLost:
		sim.grantorIndex = -1
		sim.after(grantorLease, func() { sim.electGrantor(1, 2) })
	case GrantorSlow:
		sim.grantorDelay = 400 * time.Millisecond
	case GrantorUnreachable:
		sim.partitionedHost = 1
	}
}

// preferredRunners returns the first preferred runner of each adapter.
func (sim *simulation) preferredRunners() []string {
	s := sim.hosts[0].table.Snapshot()
	runners := make([]string, sim.deployment.Adapters)
	for i := range runners {
		runners[i] = s.PreferredRunners(adapterRef(i))[0]
	}
	return runners
}

// changedShare returns the share of elements in which a and b differ.
func changedShare(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}
