package trial

import (
	"time"

	"jacinthstage/stage/runner"
)

// A Trial is what is tried.
type Trial struct {
	Deployment   Deployment
	Workload     Workload
	Fault        Fault
	RetryRefused bool // refused requests come back once, when they were told to
}

// Run runs the trial with one policy.
func (t Trial) Run(p Policy) Result {
	extra := 0
	if t.Fault == RunnerJoins {
		extra = 1
	}
	w := newSimulation(t.Deployment, p, extra)
	w.retryRefused = t.RetryRefused
	list := generate(t.Deployment, t.Workload)
	w.scheduleArrivals(list, 0)
	if t.Fault != NoFault {
		w.at(startTime.Add(t.Workload.Duration/2), func() { w.injectFault(t.Fault) })
	}
	w.run(startTime.Add(t.Workload.Duration + t.Deployment.Deadline))
	return w.result(t.Workload)
}

// scheduleArrivals schedules the arrivals, each by the one before.
func (w *simulation) scheduleArrivals(list []request, i int) {
	if i == len(list) {
		return
	}
	w.at(list[i].at, func() {
		w.measures.caller(list[i].caller).offered++
		w.arrive(&list[i])
		w.scheduleArrivals(list, i+1)
	})
}

// injectFault brings the fault about, and compares the loads of the minutes before and after.
func (w *simulation) injectFault(kind Fault) {
	before := w.preferredRunners()
	w.applyFault(kind)
	w.measures.movedShare = changedShare(before, w.preferredRunners())
	loads := w.store.loads
	w.after(time.Minute, func() { w.measures.extraLoads = w.store.loads - loads })
}

func (w *simulation) applyFault(kind Fault) {
	switch kind {
	case RunnerLeaves:
		w.activeOwners--
		w.updateTables()
		w.owners[w.activeOwners].step(runner.Leaving{})
	case RunnerJoins:
		w.activeOwners++
		w.updateTables()
	case EngineRestarts:
		w.owners[0].engine.restart()
	case GrantorLost:
		w.grantorIndex = -1
		w.after(grantorLease, func() { w.electGrantor(1, 2) })
	case GrantorSlow:
		w.grantorDelay = 400 * time.Millisecond
	case GrantorUnreachable:
		w.partitionedHost = 1
	}
}

// preferredRunners returns each adapter's first home.
func (w *simulation) preferredRunners() []string {
	s := w.hosts[0].table.Snapshot()
	list := make([]string, w.deployment.Adapters)
	for i := range list {
		list[i] = s.Homes(adapterRef(i))[0]
	}
	return list
}

func changedShare(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}
