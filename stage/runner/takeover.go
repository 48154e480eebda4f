package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// How long an admission and an acceptance by the engine are valid.
const (
	// AcceptanceTTL is how long after sending an order whose number the engine
	// accepted requests may be admitted, even after the end of the lease.
	AcceptanceTTL = time.Second
	// SendWindow is how long after its admission a request may be sent.
	SendWindow     = 250 * time.Millisecond
	takeoverMargin = 20 * time.Millisecond // added to the wait after a takeover
)

// An authority is what allows this host to admit requests.
type authority struct {
	leaseEnd      time.Time // end of the lease
	leaseExpired  bool      // the lease can't be relied on
	acceptanceEnd time.Time // end of the time allowed by the engine's last acceptance
}

// A takeover tracks what a previous owner may have left on the engine.
type takeover struct {
	active         bool
	drained        bool
	latestDeadline time.Time // latest deadline of the previous owner's requests
	ownerStopped   time.Time // when the previous owner has certainly stopped; zero until the engine accepted this owner's number
	minReport      uint64    // lowest number of a report that ends the takeover; zero until ownerStopped has passed
}

func (r *Runner) takeOwnership(now time.Time, e Owned) {
	continuous := r.owned && e.Continuous
	r.owned = true
	r.stopping, r.ordersFinished, r.drained = "", false, false
	if e.Epoch != r.epoch {
		r.epoch, r.counter = e.Epoch, 0
	}
	r.authority.leaseEnd, r.authority.leaseExpired = e.LeaseEnd, false
	if continuous {
		return
	}
	inherited := e.Inherited || len(r.jobs) > 0
	r.reset()
	r.takeover = takeover{active: inherited, latestDeadline: e.LatestDeadline}
	r.residencyKnown = false
	r.minReport = r.number(1)
	if inherited && !r.Fenced {
		// The last order of the previous owner may take effect until its deadline.
		r.noOrderBefore = now.Add(loadTimeout)
	}
}

// reset discards what is known about the engine. Requests that were admitted
// before then appear in the reports as requests of another owner.
func (r *Runner) reset() {
	r.table.Reset()
	clear(r.jobs)
	clear(r.uncertain)
	clear(r.closing)
	r.order = nil
	r.highestAccepted = 0
	r.newestReport = time.Time{}
	r.authority.acceptanceEnd = time.Time{}
	r.returnPermit(true)
}

// sendLimit returns until when a request that is admitted at now may be sent. The
// result is not after now if no admission is allowed.
func (r *Runner) sendLimit(now time.Time) time.Time {
	latest := now.Add(SendWindow)
	switch {
	case !r.Fenced && r.authority.leaseExpired:
		return now
	case !r.Fenced:
		return latest
	}
	limit := r.authority.acceptanceEnd
	if !r.authority.leaseExpired && r.authority.leaseEnd.After(limit) {
		limit = r.authority.leaseEnd
	}
	if limit.Before(latest) {
		return limit
	}
	return latest
}

// needsAcceptance reports whether the engine must accept another number, by an
// order without further effect, so that requests can be admitted after the end
// of the lease.
func (r *Runner) needsAcceptance(now time.Time) bool {
	if !r.Fenced || r.queue.Len() == 0 {
		return false
	}
	renew := now.Add(AcceptanceTTL / 2)
	if !r.authority.leaseExpired && r.authority.leaseEnd.After(renew) {
		r.wakeAt(r.authority.leaseEnd.Add(-AcceptanceTTL / 2))
		return false
	}
	if r.authority.acceptanceEnd.After(renew) {
		r.wakeAt(r.authority.acceptanceEnd.Add(-AcceptanceTTL / 2))
		return false
	}
	return true
}

// advanceTakeover sets the number of the report that ends the takeover once the
// previous owner has stopped. finishTakeover ends the takeover with that report.
func (r *Runner) advanceTakeover(now time.Time) {
	if !r.takeover.active || r.takeover.ownerStopped.IsZero() || r.takeover.minReport != 0 {
		return
	}
	ready := r.takeover.ownerStopped
	if !r.Fenced && r.takeover.latestDeadline.After(ready) {
		ready = r.takeover.latestDeadline
	}
	if !r.takeover.drained && now.Before(ready) {
		r.wakeAt(ready)
		return
	}
	r.takeover.minReport = r.nextNumber()
}

// finishTakeover ends the takeover with a report that has the required number:
// adapters that the report shows idle are no longer pinned.
func (r *Runner) finishTakeover(number uint64) {
	if !r.takeover.active || r.takeover.minReport == 0 || number < r.takeover.minReport {
		return
	}
	r.takeover.active = false
	for _, state := range []slot.State{slot.Resident, slot.Uncertain} {
		for _, ref := range r.table.InState(state) {
			r.table.Unpin(takeoverPin(ref))
		}
	}
}

// takeoverPin returns the ID of the pin that stands for all requests that a
// previous owner may run on ref.
func takeoverPin(ref adapter.Ref) string { return "inherited " + ref.String() }

// engineRestarted discards what ended with the engine's process.
func (r *Runner) engineRestarted(incarnation string) {
	if incarnation == r.incarnation {
		return
	}
	r.setIncarnation(incarnation)
	r.reset()
	if !r.owned {
		return
	}
	r.residencyKnown = false
	r.minReport = r.nextNumber()
	if r.takeover.active {
		r.takeover.ownerStopped, r.takeover.minReport = time.Time{}, 0
	}
}

// maxPastIncarnations is how many earlier incarnations are remembered, to tell
// them from new ones.
const maxPastIncarnations = 8

func (r *Runner) setIncarnation(incarnation string) {
	if r.incarnation != "" {
		r.past = append(r.past, r.incarnation)
	}
	if len(r.past) > maxPastIncarnations {
		r.past = r.past[1:]
	}
	r.incarnation = incarnation
}

// supersede gives up the ownership of the runner: another owner's number is in
// force.
func (r *Runner) supersede(number uint64) {
	r.stop(verdict.Unavailable)
	r.returnPermit(true)
	r.owned = false
	r.emit(Superseded{Number: number})
}
