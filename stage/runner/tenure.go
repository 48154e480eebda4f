package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// How long an admission and an engine's acceptance count.
const (
	AcceptanceTTL = time.Second            // admissions past the lease after a number was sent that the engine accepted
	SendWindow    = 250 * time.Millisecond // from an admission to its sending
	settle        = 20 * time.Millisecond  // margin of the wait after a takeover
)

// A tenure is what allows this host to admit requests.
type tenure struct {
	lease  time.Time // end of the lease
	lapsed bool      // the lease can't be relied on
	proof  time.Time // end of the time that the engine's last acceptance allows
}

// An inheritance is what an earlier owner may have left on the engine.
type inheritance struct {
	active  bool
	drained bool
	until   time.Time // latest deadline of the earlier owner's requests
	window  time.Time // when the earlier owner has surely stopped; zero until the engine accepted this owner's number
	need    uint64    // number that the report must reach; zero until window
}

func (r *Runner) own(now time.Time, e Owned) {
	kept := r.owned && e.Continuous
	r.owned = true
	r.stopping, r.quiet, r.told = "", false, false
	if e.Epoch != r.epoch {
		r.epoch, r.counter = e.Epoch, 0
	}
	r.tenure.lease, r.tenure.lapsed = e.LeaseEnd, false
	if kept {
		return
	}
	inherited := e.Inherited || len(r.jobs) > 0
	r.forget()
	r.inherit = inheritance{active: inherited, until: e.LatestDeadline}
	r.known = false
	r.first = r.number(1)
	if inherited && !r.Fenced {
		// The earlier owner's last order may take effect until its deadline.
		r.hold = now.Add(loadLimit)
	}
}

// forget drops what is known of the engine. Requests of an earlier tenure come
// back as another owner's in the reports.
func (r *Runner) forget() {
	r.table.Reset()
	clear(r.jobs)
	clear(r.doubts)
	clear(r.closing)
	r.order = nil
	r.accepted = 0
	r.newest = time.Time{}
	r.tenure.proof = time.Time{}
	r.drop(true)
}

// bound returns until when an admission decided at now may be sent; not after
// now where none is allowed.
func (r *Runner) bound(now time.Time) time.Time {
	latest := now.Add(SendWindow)
	switch {
	case !r.Fenced && r.tenure.lapsed:
		return now
	case !r.Fenced:
		return latest
	}
	limit := r.tenure.proof
	if !r.tenure.lapsed && r.tenure.lease.After(limit) {
		limit = r.tenure.lease
	}
	if limit.Before(latest) {
		return limit
	}
	return latest
}

// unproved reports whether an order without effect is needed so that requests
// can be admitted past the lease.
func (r *Runner) unproved(now time.Time) bool {
	if !r.Fenced || r.queue.Len() == 0 {
		return false
	}
	renew := now.Add(AcceptanceTTL / 2)
	if !r.tenure.lapsed && r.tenure.lease.After(renew) {
		r.at(r.tenure.lease.Add(-AcceptanceTTL / 2))
		return false
	}
	if r.tenure.proof.After(renew) {
		r.at(r.tenure.proof.Add(-AcceptanceTTL / 2))
		return false
	}
	return true
}

// sweep moves the inheritance on. Its last step is in settleInheritance, once
// a report has the number that is needed.
func (r *Runner) sweep(now time.Time) {
	if !r.inherit.active || r.inherit.window.IsZero() || r.inherit.need != 0 {
		return
	}
	ready := r.inherit.window
	if !r.Fenced && r.inherit.until.After(ready) {
		ready = r.inherit.until
	}
	if !r.inherit.drained && now.Before(ready) {
		r.at(ready)
		return
	}
	r.inherit.need = r.next()
}

// settleInheritance ends the inheritance with a report that has the needed
// number: what it shows idle is no longer pinned.
func (r *Runner) settleInheritance(number uint64) {
	if !r.inherit.active || r.inherit.need == 0 || number < r.inherit.need {
		return
	}
	r.inherit.active = false
	for _, state := range []slot.State{slot.Resident, slot.Uncertain} {
		for _, ref := range r.table.InState(state) {
			r.table.Unpin(inherited(ref))
		}
	}
}

// inherited names the pin that stands for whatever an earlier owner may run on ref.
func inherited(ref adapter.Ref) string { return "inherited " + ref.String() }

// restart forgets what ended with the engine's process.
func (r *Runner) restart(incarnation string) {
	if incarnation == r.incarnation {
		return
	}
	r.retire(incarnation)
	r.forget()
	if !r.owned {
		return
	}
	r.known = false
	r.first = r.next()
	if r.inherit.active {
		r.inherit.window, r.inherit.need = time.Time{}, 0
	}
}

// pastKept is how many earlier incarnations are told from new ones.
const pastKept = 8

func (r *Runner) retire(incarnation string) {
	if r.incarnation != "" {
		r.past = append(r.past, r.incarnation)
	}
	if len(r.past) > pastKept {
		r.past = r.past[1:]
	}
	r.incarnation = incarnation
}

// supersede gives the runner up: another owner's number is in force.
func (r *Runner) supersede(number uint64) {
	r.stop(verdict.Unavailable)
	r.drop(true)
	r.owned = false
	r.do(Superseded{Number: number})
}
