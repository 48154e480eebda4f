package runner

import (
	"cmp"
	"slices"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// cancelInterval is the time between two cancels of the same request.
const cancelInterval = time.Second

// A job is a request that runs, or may run, on the engine.
type job struct {
	id         string
	ref        adapter.Ref
	tokens     int
	admitted   time.Time
	inherited  bool      // admitted by another owner
	lost       bool      // its connection broke
	minReport  uint64    // lowest number of a report that can show that it has ended; 0 while it is in progress
	nextCancel time.Time // when to send the next cancel
}

// requestEnded handles the end of an admitted request.
func (r *Runner) requestEnded(now time.Time, e RequestEnded) {
	j := r.jobs[e.ID]
	if j == nil {
		return
	}
	switch e.Outcome {
	case Served, Cancelled, NotRun:
		r.removeJob(now, j, e.Outcome)
	case Absent:
		r.removeJob(now, j, e.Outcome)
		r.adapterAbsent(j.ref)
	default:
		if !j.lost {
			j.lost, j.minReport = true, r.nextNumber()
		}
	}
}

// removeJob releases the pin of a job and forgets the job.
func (r *Runner) removeJob(now time.Time, j *job, outcome Outcome) {
	full := len(r.jobs) >= r.Batch
	r.table.Unpin(j.id)
	delete(r.jobs, j.id)
	if outcome == Served && !j.inherited {
		r.estimates.requestServed(now, j.admitted, j.tokens, full)
	}
}

// adapterAbsent records that the engine found ref not resident. The slot stays
// uncertain until a later report resolves it.
func (r *Runner) adapterAbsent(ref adapter.Ref) {
	if r.table.State(ref) != slot.Resident {
		return
	}
	must(r.table.MarkUncertain(ref))
	r.uncertain[ref] = r.nextNumber()
}

// cancel sends cancels for requests that may run although nobody here waits for
// them: requests whose connection broke, and requests of a previous owner after
// their latest deadline.
func (r *Runner) cancel(now time.Time) {
	for _, j := range r.unsettledJobs() {
		start := j.nextCancel
		if j.inherited && r.takeover.latestDeadline.After(start) {
			start = r.takeover.latestDeadline
		}
		if now.Before(start) {
			r.wakeAt(start)
			continue
		}
		j.nextCancel = now.Add(cancelInterval)
		r.wakeAt(j.nextCancel)
		r.emit(Cancel{ID: j.id})
	}
}

// unsettledJobs returns the jobs that may or may not still run, sorted by ID.
func (r *Runner) unsettledJobs() []*job {
	var list []*job
	for _, j := range r.jobs {
		if j.inherited || j.lost {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}
