package runner

import (
	"cmp"
	"slices"
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// cancelAgain is the time between cancels of the same request.
const cancelAgain = time.Second

// A job is a request that runs, or may run, on the engine.
type job struct {
	id       string
	ref      adapter.Ref
	tokens   int
	admitted time.Time
	foreign  bool      // admitted by another owner
	lost     bool      // its connection broke
	need     uint64    // number of a report that may show it gone; 0 while it is in progress
	again    time.Time // when to cancel next
}

// end takes how an admitted request ended.
func (r *Runner) end(now time.Time, e RequestEnded) {
	j := r.jobs[e.ID]
	if j == nil {
		return
	}
	switch e.Outcome {
	case Served, Cancelled, NotRun:
		r.free(now, j, e.Outcome)
	case Absent:
		r.free(now, j, e.Outcome)
		r.missing(j.ref)
	default:
		if !j.lost {
			j.lost, j.need = true, r.next()
		}
	}
}

func (r *Runner) free(now time.Time, j *job, outcome Outcome) {
	full := len(r.jobs) >= r.Batch
	r.table.Unpin(j.id)
	delete(r.jobs, j.id)
	if outcome == Served && !j.foreign {
		r.pace.serve(now, j.admitted, j.tokens, full)
	}
}

// missing takes the engine's word that ref is not resident. A later report settles it.
func (r *Runner) missing(ref adapter.Ref) {
	if r.table.State(ref) != slot.Resident {
		return
	}
	must(r.table.MarkUncertain(ref))
	r.doubts[ref] = r.next()
}

// cancel cancels what may run though nobody here waits for it: requests whose
// connection broke, and those of an earlier owner past their latest deadline.
func (r *Runner) cancel(now time.Time) {
	for _, j := range r.unsettled() {
		start := j.again
		if j.foreign && r.inherit.until.After(start) {
			start = r.inherit.until
		}
		if now.Before(start) {
			r.at(start)
			continue
		}
		j.again = now.Add(cancelAgain)
		r.at(j.again)
		r.do(Cancel{ID: j.id})
	}
}

func (r *Runner) unsettled() []*job {
	var list []*job
	for _, j := range r.jobs {
		if j.foreign || j.lost {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}
