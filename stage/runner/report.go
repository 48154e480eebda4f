package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
)

// reportInterval is the time between two requests for a report.
const reportInterval = 200 * time.Millisecond

// requestReport requests a report while something waits for one.
func (r *Runner) requestReport(now time.Time) {
	if !r.needsReport() {
		return
	}
	if now.Before(r.nextReport) {
		r.wakeAt(r.nextReport)
		return
	}
	r.nextReport = now.Add(reportInterval)
	r.wakeAt(r.nextReport)
	r.emit(RequestReport{})
}

// needsReport reports whether a report could resolve an uncertainty now.
func (r *Runner) needsReport() bool {
	if !r.residencyKnown || r.highestAccepted < r.minReport {
		return r.highestAccepted >= r.minReport
	}
	if r.takeover.minReport != 0 && r.takeover.active || len(r.uncertain) > 0 {
		return true
	}
	for _, j := range r.jobs {
		if j.inherited || j.lost {
			return true
		}
	}
	return false
}

// reportReceived handles a report of the engine. A report resolves an
// uncertainty only if its number is at least the one that the uncertainty requires.
func (r *Runner) reportReceived(now time.Time, rep Report) {
	if r.otherIncarnation(rep.Incarnation) || !r.owned || rep.Number < r.minReport || !rep.CreatedAt.After(r.newestReport) {
		return
	}
	r.newestReport = rep.CreatedAt
	if !r.residencyKnown {
		r.readResidency(rep)
	}
	r.resolveUncertain(rep)
	r.settleJobs(now, rep)
	if r.takeover.active {
		r.inheritJobs(rep)
		r.finishTakeover(rep.Number)
	}
}

// readResidency updates the table with what is resident, after a takeover or
// after the engine was found to differ from the table.
func (r *Runner) readResidency(rep Report) {
	r.residencyKnown = true
	for _, o := range rep.Slots {
		if r.table.State(o.Ref) != slot.Empty || r.hasOpenOrder(o.Ref) {
			continue
		}
		must(r.table.AddResident(o.Ref))
		if o.Loading {
			must(r.table.MarkUncertain(o.Ref))
			r.uncertain[o.Ref] = r.nextNumber()
		}
		if r.takeover.active {
			must(r.table.PinReported(o.Ref, takeoverPin(o.Ref)))
		}
	}
	for _, ref := range r.table.InState(slot.Resident) {
		if _, listed := rep.find(ref); !listed {
			must(r.table.MarkUncertain(ref))
			must(r.table.Resolve(ref, false))
		}
	}
}

func (r *Runner) hasOpenOrder(ref adapter.Ref) bool {
	return r.order != nil && r.order.Ref == ref
}

// resolveUncertain resolves the uncertain slots for which the report is new
// enough.
func (r *Runner) resolveUncertain(rep Report) {
	for ref, required := range r.uncertain {
		if rep.Number < required {
			continue
		}
		o, listed := rep.find(ref)
		if listed && o.Loading {
			continue
		}
		must(r.table.Resolve(ref, listed))
		delete(r.uncertain, ref)
		delete(r.closing, ref)
		r.forgetJobs(ref, listed)
		if r.permit.state == permitUsed && r.permit.ref == ref {
			r.returnPermit(true)
		}
	}
}

// forgetJobs forgets the unsettled jobs of an adapter that is not listed as
// resident: they can't be running.
func (r *Runner) forgetJobs(ref adapter.Ref, listed bool) {
	if listed {
		return
	}
	for id, j := range r.jobs {
		if j.ref == ref && (j.lost || j.inherited) {
			delete(r.jobs, id)
		}
	}
}

// settleJobs removes the unsettled jobs that, by the report, no longer run.
func (r *Runner) settleJobs(now time.Time, rep Report) {
	for _, j := range r.unsettledJobs() {
		if rep.Number >= j.minReport && !rep.runs(j.id) {
			r.removeJob(now, j, Cancelled)
		}
	}
}

// inheritJobs pins the requests of other owners that a report shows.
func (r *Runner) inheritJobs(rep Report) {
	for _, o := range rep.Slots {
		for _, id := range o.Requests {
			if r.jobs[id] != nil || r.table.PinReported(o.Ref, id) != nil {
				continue
			}
			r.jobs[id] = &job{id: id, ref: o.Ref, inherited: true, minReport: rep.Number}
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
