package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// reportAgain is the time between two questions for a report.
const reportAgain = 200 * time.Millisecond

// inquire asks for a report while something waits for one.
func (r *Runner) inquire(now time.Time) {
	if !r.questioned() {
		return
	}
	if now.Before(r.asking) {
		r.at(r.asking)
		return
	}
	r.asking = now.Add(reportAgain)
	r.at(r.asking)
	r.do(RequestReport{})
}

// questioned reports whether a report could settle something now.
func (r *Runner) questioned() bool {
	if !r.known || r.accepted < r.first {
		return r.accepted >= r.first
	}
	if r.inherit.need != 0 && r.inherit.active || len(r.doubts) > 0 {
		return true
	}
	for _, j := range r.jobs {
		if j.foreign || j.lost {
			return true
		}
	}
	return false
}

// report takes what the engine says of itself. A report made before the number
// that a question needs tells nothing about it.
func (r *Runner) report(now time.Time, rep Report) {
	if r.replaced(rep.Incarnation) || !r.owned || rep.Number < r.first || !rep.CreatedAt.After(r.newest) {
		return
	}
	r.newest = rep.CreatedAt
	if !r.known {
		r.learn(rep)
	}
	r.settleDoubts(rep)
	r.settleJobs(now, rep)
	if r.inherit.active {
		r.adoptJobs(rep)
		r.settleInheritance(rep.Number)
	}
}

// learn enters what is resident when the runner is taken over, or found to
// differ from what was thought.
func (r *Runner) learn(rep Report) {
	r.known = true
	for _, o := range rep.Slots {
		if r.table.State(o.Ref) != slot.Empty || r.loadingHere(o.Ref) {
			continue
		}
		must(r.table.AddResident(o.Ref))
		if o.Loading {
			must(r.table.MarkUncertain(o.Ref))
			r.doubts[o.Ref] = r.next()
		}
		if r.inherit.active {
			must(r.table.PinReported(o.Ref, inherited(o.Ref)))
		}
	}
	for _, ref := range r.table.InState(slot.Resident) {
		if _, listed := rep.find(ref); !listed {
			must(r.table.MarkUncertain(ref))
			must(r.table.Resolve(ref, false))
		}
	}
}

func (r *Runner) loadingHere(ref adapter.Ref) bool {
	return r.order != nil && r.order.Ref == ref
}

func (r *Runner) settleDoubts(rep Report) {
	for ref, need := range r.doubts {
		if rep.Number < need {
			continue
		}
		o, listed := rep.find(ref)
		if listed && o.Loading {
			continue
		}
		must(r.table.Resolve(ref, listed))
		delete(r.doubts, ref)
		delete(r.closing, ref)
		r.forgetPins(ref, listed)
		if r.permit.state == used && r.permit.ref == ref {
			r.drop(true)
		}
	}
}

// forgetPins drops the jobs of an adapter that is not resident: they don't run.
func (r *Runner) forgetPins(ref adapter.Ref, listed bool) {
	if listed {
		return
	}
	for id, j := range r.jobs {
		if j.ref == ref && (j.lost || j.foreign) {
			delete(r.jobs, id)
		}
	}
}

// settleJobs ends the requests that may have run and no longer do.
func (r *Runner) settleJobs(now time.Time, rep Report) {
	for _, j := range r.unsettled() {
		if rep.Number >= j.need && !rep.runs(j.id) {
			r.free(now, j, Cancelled)
		}
	}
}

// adoptJobs pins the requests of others that a report shows.
func (r *Runner) adoptJobs(rep Report) {
	for _, o := range rep.Slots {
		for _, id := range o.Requests {
			if r.jobs[id] != nil || r.table.PinReported(o.Ref, id) != nil {
				continue
			}
			r.jobs[id] = &job{id: id, ref: o.Ref, foreign: true, need: rep.Number}
		}
	}
}

func (rep Report) find(ref adapter.Ref) (OccupiedSlot, bool) {
	for _, o := range rep.Slots {
		if o.Ref == ref {
			return o, true
		}
	}
	return OccupiedSlot{}, false
}

func (rep Report) runs(id string) bool {
	for _, o := range rep.Slots {
		for _, other := range o.Requests {
			if other == id {
				return true
			}
		}
	}
	return false
}
