package trial

import (
	"time"

	"jacinthstage/stage/runner"
)

// A Trial is what is tried.
type Trial struct {
	Deployment Deployment
	Workload   Workload
	Fault      Fault
	Returns    bool // refused requests come back once, when they were told to
}

// Run runs the trial with one policy.
func (t Trial) Run(p Policy) Result {
	extra := 0
	if t.Fault == Come {
		extra = 1
	}
	w := build(t.Deployment, p, extra)
	w.returns = t.Returns
	list := arrivals(t.Deployment, t.Workload)
	w.feed(list, 0)
	if t.Fault != None {
		w.at(begin.Add(t.Workload.Lasts/2), func() { w.fail(t.Fault) })
	}
	w.run(begin.Add(t.Workload.Lasts + t.Deployment.Deadline))
	return w.result(t.Workload)
}

// feed schedules the arrivals, each by the one before.
func (w *world) feed(list []request, i int) {
	if i == len(list) {
		return
	}
	w.at(list[i].at, func() {
		w.measures.part(list[i].caller).offered++
		w.arrive(&list[i])
		w.feed(list, i+1)
	})
}

// fail brings the fault about, and compares the loads of the minutes before and after.
func (w *world) fail(kind Fault) {
	before := w.homes()
	w.inject(kind)
	w.measures.moved = moved(before, w.homes())
	loads := w.store.loads
	w.after(time.Minute, func() { w.measures.extra = w.store.loads - loads })
}

func (w *world) inject(kind Fault) {
	switch kind {
	case Leave:
		w.live--
		w.retable()
		w.owners[w.live].step(runner.TargetRemoved{})
	case Come:
		w.live++
		w.retable()
	case Restart:
		w.owners[0].engine.restart()
	case Grantor:
		w.granting = -1
		w.after(grantorLease, func() { w.elect(1, 2) })
	case Slow:
		w.slow = 400 * time.Millisecond
	case Cut:
		w.cut = 1
	}
}

// homes returns each adapter's first home.
func (w *world) homes() []string {
	s := w.hosts[0].table.Snapshot()
	list := make([]string, w.deployment.Adapters)
	for i := range list {
		list[i] = s.PreferredRunners(named(i))[0]
	}
	return list
}

func moved(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}
