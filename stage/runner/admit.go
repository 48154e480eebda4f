package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// requestArrived queues a request, or refuses it if it can't be served in time.
func (r *Runner) requestArrived(now time.Time, e RequestArrived) {
	if !r.owned || r.stopping != "" {
		r.refuse(e.ID, verdict.Refuse(verdict.Unavailable, "runner %s takes no new requests", r.Name))
		return
	}
	if r.queue.Has(e.ID) || r.jobs[e.ID] != nil {
		r.resume(now, e)
		return
	}
	r.demand.record(now, e.Ref)
	if err := r.checkDeadline(now, e); err != nil {
		r.refuse(e.ID, err)
		return
	}
	out, full := r.queue.Push(queue.Item{
		ID:       e.ID,
		Ref:      e.Ref,
		Caller:   e.Caller,
		Weight:   e.Weight,
		Priority: e.Priority,
		Deadline: e.Deadline,
		Tokens:   e.MaxTokens,
		Arrived:  now,
		Resident: r.table.State(e.Ref) == slot.Resident,
	})
	if full {
		err := verdict.Refuse(verdict.RateLimited, "runner %s: the queue is full", r.Name)
		err.RetryAt = now.Add(r.estimates.batchWait(r.queue.Len()))
		r.refuse(out.ID, err)
	}
}

// checkDeadline returns the refusal of a request that, by the measured rates,
// can't be complete before its deadline or whose adapter repeatedly fails to
// load. It returns nil for any other request.
func (r *Runner) checkDeadline(now time.Time, e RequestArrived) *verdict.Error {
	if !now.Before(e.Deadline) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline has passed")
	}
	if f := r.failures[e.Ref]; f.final() && now.Before(f.retryAt) {
		return f.refusal(e.Ref)
	}
	item := queue.Item{Ref: e.Ref, Deadline: e.Deadline, Tokens: e.MaxTokens, Arrived: now}
	wait := r.expectedWait(e.Ref, e.Caller, e.Priority)
	if r.retries.due(now, e.Ref) {
		wait = r.estimates.loadTime()
	}
	late := now.Add(wait).Sub(r.latestStart(item))
	if late <= 0 {
		return nil
	}
	err := verdict.Refuse(verdict.Busy, "runner %s can't answer before the deadline", r.Name)
	err.RetryAt = r.retryTime(now, e.Ref, e.Caller, now.Add(late))
	return err
}

// retryTime returns when a refused request for ref should be retried, not before
// earliest. If the adapter is in no slot, a load is reserved for that time.
func (r *Runner) retryTime(now time.Time, ref adapter.Ref, caller string, earliest time.Time) time.Time {
	if r.isLRU() || r.table.State(ref) != slot.Empty {
		return earliest
	}
	return r.retries.reserve(now, earliest, ref, caller, r.estimates.anyInterval.mean)
}

// expectedWait returns how long a new request for ref waits until it is admitted.
func (r *Runner) expectedWait(ref adapter.Ref, caller string, priority int) time.Duration {
	wait := time.Duration(0)
	if len(r.jobs) >= r.Batch {
		wait = r.estimates.batchWait(r.requestsAhead(priority) + 1)
	}
	switch r.table.State(ref) {
	case slot.Resident:
		return wait
	case slot.Loading:
		return max(wait, r.estimates.loadTime())
	default:
		overShare := r.loadLevels.Exceeds(caller, loadSlack)
		return max(wait, r.estimates.loadWait(r.loadsAhead(ref, caller, priority)+1, overShare))
	}
}

// requestsAhead returns how many requests wait for a batch slot ahead of a new
// request with the given priority.
func (r *Runner) requestsAhead(priority int) int {
	n := 0
	for _, g := range r.queue.Groups() {
		if g.Priority >= priority && r.table.State(g.Ref) != slot.Empty {
			n += g.Waiting
		}
	}
	return n
}

// loadsAhead returns how many loads are ordered before a load of ref that the
// caller is the first to request. Callers take turns, so each other caller adds
// at most as many loads as the caller itself has waiting, plus one.
func (r *Runner) loadsAhead(ref adapter.Ref, caller string, priority int) int {
	n := 0
	loads := map[string]int{}
	for _, g := range r.waitingForLoad() {
		switch {
		case g.Ref == ref || g.Priority < priority:
		case g.Priority > priority:
			n++
		default:
			loads[g.caller.Caller]++
		}
	}
	turns := loads[caller] + 1
	for other, count := range loads {
		if other == caller {
			n += count
			continue
		}
		n += min(count, turns)
	}
	return n
}

// callerLeft removes a waiting request whose caller has disconnected.
func (r *Runner) callerLeft(e CallerLeft) {
	if _, ok := r.queue.Remove(e.ID); ok {
		r.refuse(e.ID, verdict.Refuse(verdict.DeadlineExceeded, "the caller has gone"))
	}
}

// expire refuses the waiting requests that would miss their deadline even if
// they were admitted now, and those that have waited too long for a load.
func (r *Runner) expire(now time.Time) {
	for _, item := range r.queue.All() {
		latest := r.latestStart(item)
		if now.Before(latest) {
			r.wakeAt(latest)
			continue
		}
		r.queue.Remove(item.ID)
		err := verdict.Refuse(verdict.Busy, "runner %s can't answer before the deadline", r.Name)
		err.RetryAt = r.retryTime(now, item.Ref, item.Caller, now.Add(r.expectedWait(item.Ref, item.Caller, item.Priority)))
		r.refuse(item.ID, err)
	}
}

// maxLoadWait is the fraction of the time between the arrival of a request and
// its deadline that the request may wait for a load. Longer waits would only
// move loads from one request to another, because the weight store limits the
// number of loads.
const maxLoadWait = 0.4

// latestStart returns when a waiting request is refused unless it was admitted.
func (r *Runner) latestStart(item queue.Item) time.Time {
	latest := item.Deadline.Add(-r.estimates.runTime(item.Tokens))
	if r.isLRU() || r.table.State(item.Ref) != slot.Empty {
		return latest
	}
	wait := time.Duration(maxLoadWait * float64(item.Deadline.Sub(item.Arrived)))
	if t := item.Arrived.Add(wait); t.Before(latest) {
		return t
	}
	return latest
}

func (r *Runner) isLRU() bool {
	_, ok := r.Policy.(LRU)
	return ok
}

// admit admits waiting requests whose adapters are resident, as long as the
// engine has free batch slots.
func (r *Runner) admit(now time.Time) {
	if !r.residencyKnown || r.stopping != "" {
		return
	}
	sendBy := r.sendLimit(now)
	if !now.Before(sendBy) {
		return
	}
	refs := r.admittingAdapters()
	if until := r.gatherUntil(refs); now.Before(until) {
		r.wakeAt(until)
		return
	}
	for len(r.jobs) < r.Batch {
		item, ok := r.queue.Next(refs)
		if !ok {
			return
		}
		r.queue.Serve(item.ID)
		r.start(now, sendBy, item)
	}
}

// resume handles a request whose ID is already known. If no connection serves it
// any more, because its connection broke or another owner admitted it, it is
// admitted at once under the pin that it already has. Any other request is
// refused.
func (r *Runner) resume(now time.Time, e RequestArrived) {
	j := r.jobs[e.ID]
	sendBy := r.sendLimit(now)
	if j == nil || !j.inherited && !j.lost || j.ref != e.Ref || !now.Before(sendBy) {
		r.refuse(e.ID, verdict.Refuse(verdict.Conflict, "request %s is in progress", e.ID))
		return
	}
	j.inherited, j.lost, j.minReport = false, false, 0
	j.admitted, j.tokens = now, e.MaxTokens
	r.emit(Admit{ID: e.ID, SendBy: sendBy, Resident: true})
}

// How an AgedLFU policy with weight 1 gathers requests before an idle engine
// starts. Both values are scaled by the weight.
const (
	gatherWait     = 250 * time.Millisecond
	gatherFraction = 0.5 // of the engine's batch slots
)

// gatherUntil returns until when an idle engine waits for more requests, so that
// it starts with a fuller batch. The engine starts at once if one of the requests
// has waited for a load.
func (r *Runner) gatherUntil(refs []adapter.Ref) time.Time {
	aged, ok := r.Policy.(AgedLFU)
	if !ok || aged.Weight <= 0 || len(r.jobs) > 0 {
		return time.Time{}
	}
	waiting := 0
	var until time.Time
	for _, ref := range refs {
		g := r.queue.Group(ref)
		if g.Waiting == 0 {
			continue
		}
		if g.Stalled {
			return time.Time{}
		}
		waiting += g.Waiting
		if end := g.Oldest.Add(time.Duration(aged.Weight * float64(gatherWait))); until.IsZero() || end.Before(until) {
			until = end
		}
	}
	if float64(waiting) >= aged.Weight*gatherFraction*float64(r.Batch) {
		return time.Time{}
	}
	return until
}

// admittingAdapters returns the resident adapters that are not closing.
func (r *Runner) admittingAdapters() []adapter.Ref {
	refs := r.table.InState(slot.Resident)
	if len(r.closing) == 0 {
		return refs
	}
	open := refs[:0]
	for _, ref := range refs {
		if !r.closing[ref] {
			open = append(open, ref)
		}
	}
	return open
}

func (r *Runner) start(now, sendBy time.Time, item queue.Item) {
	must(r.table.Pin(item.Ref, item.ID))
	r.jobs[item.ID] = &job{id: item.ID, ref: item.Ref, tokens: item.Tokens, admitted: now}
	a := Admit{ID: item.ID, SendBy: sendBy, Resident: item.Resident}
	if !item.Resident {
		a.Stall = now.Sub(item.Arrived)
	}
	r.emit(a)
}
