package runner

import (
	"time"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/queue"
	"jacinthstage/stage/slot"
	"jacinthstage/stage/verdict"
)

// arrive takes a request into the queue, or refuses it where it can't be
// served in time.
func (r *Runner) arrive(now time.Time, e RequestArrived) {
	if !r.owned || r.stopping != "" {
		r.refuse(e.ID, verdict.Refuse(verdict.Unavailable, "runner %s takes no new requests", r.Name))
		return
	}
	if r.queue.Has(e.ID) || r.jobs[e.ID] != nil {
		r.again(now, e)
		return
	}
	r.demand.hit(now, e.Ref)
	if err := r.hopeless(now, e); err != nil {
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
		err.RetryAt = now.Add(r.pace.places(r.queue.Len()))
		r.refuse(out.ID, err)
	}
}

// hopeless returns the refusal of a request that can't be complete before its
// deadline, as far as the measured rates tell, nil for any other.
func (r *Runner) hopeless(now time.Time, e RequestArrived) *verdict.Error {
	if !now.Before(e.Deadline) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline has passed")
	}
	if f := r.failures[e.Ref]; f.final() && now.Before(f.again) {
		return f.refusal(e.Ref)
	}
	item := queue.Item{Ref: e.Ref, Deadline: e.Deadline, Tokens: e.MaxTokens, Arrived: now}
	wait := r.expect(e.Ref, e.Caller, e.Priority)
	if r.promises.due(now, e.Ref) {
		wait = r.pace.loadTime()
	}
	late := now.Add(wait).Sub(r.latest(item))
	if late <= 0 {
		return nil
	}
	err := verdict.Refuse(verdict.Busy, "runner %s can't answer before the deadline", r.Name)
	err.RetryAt = r.appoint(now, e.Ref, e.Caller, now.Add(late))
	return err
}

// appoint returns when a refused request for ref should come back, no earlier than
// least: for an adapter that is in no slot, when a load is promised.
func (r *Runner) appoint(now time.Time, ref adapter.Ref, caller string, least time.Time) time.Time {
	if r.recent() || r.table.State(ref) != slot.Empty {
		return least
	}
	return r.promises.make(now, least, ref, caller, r.pace.all.mean)
}

// expect returns how long a new request for ref waits until it is admitted.
func (r *Runner) expect(ref adapter.Ref, caller string, priority int) time.Duration {
	wait := time.Duration(0)
	if len(r.jobs) >= r.Batch {
		wait = r.pace.places(r.ahead(priority) + 1)
	}
	switch r.table.State(ref) {
	case slot.Resident:
		return wait
	case slot.Loading:
		return max(wait, r.pace.loadTime())
	default:
		over := r.shares.Exceeds(caller, ahead)
		return max(wait, r.pace.loads(r.before(ref, caller, priority)+1, over))
	}
}

// ahead returns how many requests wait for a place before one of priority.
func (r *Runner) ahead(priority int) int {
	n := 0
	for _, g := range r.queue.Groups() {
		if g.Priority >= priority && r.table.State(g.Ref) != slot.Empty {
			n += g.Waiting
		}
	}
	return n
}

// before returns how many loads go before one of ref that the caller is the
// first to want: callers take turns, so of each other no more than of its own.
func (r *Runner) before(ref adapter.Ref, caller string, priority int) int {
	first := 0
	loads := map[string]int{}
	for _, g := range r.wanted() {
		switch {
		case g.Ref == ref || g.Priority < priority:
		case g.Priority > priority:
			first++
		default:
			loads[g.claim.Caller]++
		}
	}
	turns := loads[caller] + 1
	for other, n := range loads {
		if other == caller {
			first += n
			continue
		}
		first += min(n, turns)
	}
	return first
}

// leave takes a waiting request out whose caller has gone.
func (r *Runner) leave(e CallerLeft) {
	if _, ok := r.queue.Remove(e.ID); ok {
		r.refuse(e.ID, verdict.Refuse(verdict.DeadlineExceeded, "the caller has gone"))
	}
}

// expire refuses the waiting requests that would end after their deadline even
// if they were admitted now.
func (r *Runner) expire(now time.Time) {
	for _, item := range r.queue.All() {
		latest := r.latest(item)
		if now.Before(latest) {
			r.at(latest)
			continue
		}
		r.queue.Remove(item.ID)
		err := verdict.Refuse(verdict.Busy, "runner %s can't answer before the deadline", r.Name)
		err.RetryAt = r.appoint(now, item.Ref, item.Caller, now.Add(r.expect(item.Ref, item.Caller, item.Priority)))
		r.refuse(item.ID, err)
	}
}

// stallPart is the part of the time between a request's arrival and its deadline
// that it may wait for a load. Longer waits only move the loads to other
// requests: their number is the store's.
const stallPart = 0.4

// latest returns when a waiting request is refused.
func (r *Runner) latest(item queue.Item) time.Time {
	latest := item.Deadline.Add(-r.pace.service(item.Tokens))
	if r.recent() || r.table.State(item.Ref) != slot.Empty {
		return latest
	}
	patience := time.Duration(stallPart * float64(item.Deadline.Sub(item.Arrived)))
	if t := item.Arrived.Add(patience); t.Before(latest) {
		return t
	}
	return latest
}

func (r *Runner) recent() bool {
	_, ok := r.Policy.(LRU)
	return ok
}

// admit sends waiting requests to adapters that are resident, while the engine
// has places.
func (r *Runner) admit(now time.Time) {
	if !r.known || r.stopping != "" {
		return
	}
	before := r.bound(now)
	if !now.Before(before) {
		return
	}
	open := r.open()
	if until := r.gather(open); now.Before(until) {
		r.at(until)
		return
	}
	for len(r.jobs) < r.Batch {
		item, ok := r.queue.Next(open)
		if !ok {
			return
		}
		r.queue.Serve(item.ID)
		r.start(now, before, item)
	}
}

// again takes a request whose ID is known. One that nobody waits for any more,
// since its connection broke or another owner admitted it, is resumed: it has
// its pin. Another is refused.
func (r *Runner) again(now time.Time, e RequestArrived) {
	j := r.jobs[e.ID]
	before := r.bound(now)
	if j == nil || !j.foreign && !j.lost || j.ref != e.Ref || !now.Before(before) {
		r.refuse(e.ID, verdict.Refuse(verdict.Conflict, "request %s is in progress", e.ID))
		return
	}
	j.foreign, j.lost, j.need = false, false, 0
	j.admitted, j.tokens = now, e.MaxTokens
	r.do(Admit{ID: e.ID, SendBy: before, Resident: true})
}

// How a policy with weight 1 gathers requests before an idle engine starts; a
// smaller weight asks for as much less.
const (
	gatherWait = 250 * time.Millisecond
	gatherPart = 0.5 // of the engine's places
)

// gather returns until when an idle engine waits for more requests, so that it
// starts with a fuller batch. It starts at once for one that has waited for a load.
func (r *Runner) gather(open []adapter.Ref) time.Time {
	aged, ok := r.Policy.(AgedLFU)
	if !ok || aged.Weight <= 0 || len(r.jobs) > 0 {
		return time.Time{}
	}
	waiting := 0
	var until time.Time
	for _, ref := range open {
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
	if float64(waiting) >= aged.Weight*gatherPart*float64(r.Batch) {
		return time.Time{}
	}
	return until
}

// open returns the resident adapters that admit requests.
func (r *Runner) open() []adapter.Ref {
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

func (r *Runner) start(now, before time.Time, item queue.Item) {
	must(r.table.Pin(item.Ref, item.ID))
	r.jobs[item.ID] = &job{id: item.ID, ref: item.Ref, tokens: item.Tokens, admitted: now}
	a := Admit{ID: item.ID, SendBy: before, Resident: item.Resident}
	if !item.Resident {
		a.Stall = now.Sub(item.Arrived)
	}
	r.do(a)
}
