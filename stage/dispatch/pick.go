package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthstage/stage/admission"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/speed"
)

const (
	// adapterSlotWait is the expected wait until one of a runner's adapter slots
	// becomes free.
	adapterSlotWait = 440 * time.Millisecond
	// maxSlotWaitShare is the part of its latency objective for which a request may
	// wait for an adapter slot, and maxLoadWaitShare the part within which its
	// answer must be expected to start if the adapter has to be loaded. A request
	// that would take longer is refused.
	maxSlotWaitShare = 0.25
	maxLoadWaitShare = 0.9
	// cachedLoadTime is the expected load time of an adapter that is cached on the
	// runner.
	cachedLoadTime = 40 * time.Millisecond
	// retryDelay is how long a caller should wait before it retries a request for
	// which no target was found.
	retryDelay = 200 * time.Millisecond
	// confirmationAge is how long after an adapter was found loaded further
	// requests go to the runner without a confirmation by its owner.
	confirmationAge = 700 * time.Millisecond
	// observationAge is how long what a request found out about an adapter takes
	// precedence over the target's entry.
	observationAge = 3 * time.Second
)

// A Request is a request that needs a target.
type Request struct {
	Call       call.Call
	Service    string
	Size       int       // bytes of the request
	Objective  time.Time // latency objective: an answer after this time is worth less
	Deadline   time.Time
	Exclude    map[string]bool // targets to which the request was already sent
	InProgress bool            // the request may have run, or its adapter is loading: it is not refused for a long load wait
	Pause      time.Duration   // longest pause between two events of an answer that is on time; 0 for no limit
	Bound      bool            // only targets of Build may run the request, since one of them began its stream
	Build      string

	Priority int    // 0 is the most urgent
	Account  string // client account of the caller; empty if it has none
	Admitted bool   // the request may use room that is short: it was decided before
	Waiting  bool   // the request waits for room and was counted as demand before

	prefixKeys      []uint64
	baseFailureRate float64 // failure rate of the service's targets together
}

// fits reports whether a target may run the request as far as its build goes.
func (r Request) fits(t *target) bool { return !r.Bound || t.Build == r.Build }

// needsEngine reports whether the request is for a model, and so needs a runner.
func (r Request) needsEngine() bool { return r.Call.Model != "" }

func (r Request) key() residency.Key {
	return residency.Key{Model: r.Call.Model, Adapter: r.Call.Adapter}
}

// A Decision is the outcome of Pick: Send or Refuse.
type Decision interface{ decision() }

// Send says that the request is to be sent to a target, once its adapter is
// loaded there.
type Send struct{ Attempt *Attempt }

// Refuse says that the request is to be refused at once.
type Refuse struct {
	Reason     string
	RetryAfter time.Duration  // when the caller may retry
	Admission  bool           // other requests go first, see admission
	Pool       admission.Pool // of which there is no room, if Admission is set
	MayWait    bool           // the request has passed the admission, and a place may come free in time
}

func (Send) decision()   {}
func (Refuse) decision() {}

// An Attempt is one try of a request on one target. It lasts until Report is
// called with a final result.
type Attempt struct {
	Target   catalog.Target
	Version  int             // adapter version that the target must hold; 0 accepts any
	Held     int             // adapter version that the target was known to hold; 0 if that is unknown
	Expected time.Duration   // expected time to the first byte
	Loaded   <-chan struct{} // closed once the adapter is loaded or the wait ended; nil if this host does not load it
	Running  int             // estimated number of requests running on the target
	// Owner is set if another host has to be asked for the adapter before the
	// request is sent. The owner loads the adapter or, if Confirm is set, only
	// reports whether it is still loaded.
	Owner   Owner
	Confirm bool

	using    bool    // the use of the adapter is counted
	answered bool    // the target has begun to answer, so that the request had a slot
	taken    float64 // what the request takes of the target, as the admission counts it

	dispatcher *Dispatcher
	target     *target
	request    Request
	tokens     int // prompt tokens that are still counted in the target's pendingPrefill
	work       speed.Work
	sent       time.Time
	done       bool
}

// A candidate is a target with the estimates for one request.
type candidate struct {
	target   *target
	work     speed.Work
	backlog  int // prompt tokens in work that are of others
	cost     float64
	fault    float64       // part of cost: failures, connections and distance of the target
	pause    float64       // part of cost: late pauses in streams
	latency  time.Duration // expected time to the first byte
	load     bool          // the adapter has to be loaded first
	held     int           // version of the adapter that the target is known to hold, 0 if that is unknown or load is set
	older    bool          // the target holds an older version of the adapter, which will still do
	slotWait time.Duration // wait for an adapter slot if load is set
	refusal  Refuse        // of the admission
}

// Pick selects a target. The reasons of a Refuse are "no target", "its targets take no
// requests now", "no adapter", "too late", "no place for the adapter" and those of admits.
func (d *Dispatcher) Pick(now time.Time, r Request) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.prefixKeys = prefix.Keys(r.Call)
	if r.needsEngine() && !r.Waiting {
		d.countDemand(r.Call.Model)
	}
	d.speeds.NotePause(now, r.Service, r.Pause)
	best, usable := d.best(now, r)
	switch {
	case best == nil && usable:
		return Refuse{Reason: "no adapter", RetryAfter: jitter(retryDelay)}
	case best == nil:
		return d.refuseWithoutTarget(now, r)
	case !d.admits(now, r, best):
		return best.refusal
	case now.Add(best.latency).After(r.Deadline):
		return Refuse{Reason: "too late", RetryAfter: jitter(retryDelay + best.latency/4)}
	case best.load && !r.InProgress && d.loadTooSlow(now, r, best):
		return Refuse{Reason: "no place for the adapter", RetryAfter: jitter(retryDelay + best.latency/4), MayWait: best.slotWait > 0}
	}
	return Send{Attempt: d.newAttempt(now, r, best)}
}

// loadTooSlow reports whether a request would wait too long for its adapter.
func (d *Dispatcher) loadTooSlow(now time.Time, r Request, c *candidate) bool {
	objective := float64(r.Objective.Sub(now))
	return float64(c.slotWait) > maxSlotWaitShare*objective || float64(c.latency) > maxLoadWaitShare*objective
}

// best returns the candidate of lowest cost, and whether there is any target to
// which the request could be sent. If all targets are ejected, it considers them
// all.
func (d *Dispatcher) best(now time.Time, r Request) (*candidate, bool) {
	var best candidate // of no target as long as none is found
	all := d.filterTargets(r, func(t *target) bool { return t.usable(now) && d.isWilling(now, t) })
	if len(all) == 0 {
		all = d.filterTargets(r, func(t *target) bool { return t.listed(now) && d.isWilling(now, t) })
	}
	r.baseFailureRate = d.baseFailureRate(all)
	var ranks map[*target]int
	rank := func(t *target) int {
		if ranks == nil {
			ranks = d.rankRunners(all, r)
		}
		return ranks[t]
	}
	var holders []candidate
	for _, t := range all {
		c, ok := d.evaluate(now, t, r, rank)
		if ok && t.speed.Told() && (best.target == nil || !c.load || c.cost < best.cost) {
			c.pause = pauseCost(now, &c, r)
			c.cost += c.pause
			if c.load && !r.InProgress && d.loadTooSlow(now, r, &c) {
				c.cost += refusalCost
			}
		}
		if ok && !c.load && t.speed.Told() {
			holders = append(holders, c)
		}
		if ok && (best.target == nil || c.cost < best.cost || c.cost == best.cost && t.Name < best.target.Name) {
			best = c
		}
	}
	if best.target == nil {
		return nil, len(all) > 0
	}
	if holders = preferNewest(eligible(now, holders, r)); len(holders) > 0 {
		if drawn := d.draw(holders); !best.load || drawn.worthLoad() <= best.worthLoad() {
			return drawn, true
		}
	}
	return &best, true
}

// worthLoad returns the cost that counts between a candidate for which the adapter has to be loaded and one that
// holds it: no load is made for late pauses alone, since the weight store serves all runners.
func (c *candidate) worthLoad() float64 { return c.cost - max(0, c.pause-loadCost) }

// pauseCost returns the cost of late pauses in streams if a request is sent to a candidate.
func pauseCost(now time.Time, c *candidate, r Request) float64 {
	if c.work.Plain {
		return 0
	}
	c.target.speed.NoteBacklog(now, c.backlog)
	return c.target.speed.PauseCost(now, speed.Load{Own: c.work.Tokens - c.backlog, Backlog: c.backlog, Running: c.work.Running}, r.Pause)
}

// eligible returns the candidates that answer before the deadline and whose targets don't fail more, can't be reached
// less and aren't farther away than the best one in this by drawMargin.
func eligible(now time.Time, all []candidate, r Request) []candidate {
	lowest := math.Inf(1)
	for _, c := range all {
		lowest = min(lowest, c.fault)
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.fault > lowest+drawMargin || now.Add(c.latency).After(r.Deadline) })
}

// preferNewest drops the candidates with an older version of the adapter, unless they cost less than any with the
// newest one.
func preferNewest(all []candidate) []candidate {
	lowest := math.Inf(1)
	for _, c := range all {
		if !c.older {
			lowest = min(lowest, c.cost)
		}
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.older && c.cost >= lowest })
}

// draw returns the cheapest of some candidates that are drawn at random, so that hosts that don't know of each
// other's newest requests yet don't all choose the same target.
func (d *Dispatcher) draw(from []candidate) *candidate {
	for i := range speed.Draws(len(from), len(d.hosts)) {
		j := i + rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		if from[i].cost < from[0].cost {
			from[0], from[i] = from[i], from[0]
		}
	}
	return &from[0]
}

// filterTargets returns the targets of a request's service that satisfy include
// and to which the request was not sent yet.
func (d *Dispatcher) filterTargets(r Request, include func(*target) bool) []*target {
	var all []*target
	for _, t := range d.services[r.Service] {
		if !r.Exclude[t.Name] && r.fits(t) && include(t) {
			all = append(all, t)
		}
	}
	return all
}

// rankRunners ranks the runners onto which a request's adapter may be loaded, in
// the order of preference given by rendezvous hashing. Runners in this host's
// region come first.
func (d *Dispatcher) rankRunners(all []*target, r Request) map[*target]int {
	type ranked struct {
		target *target
		remote bool
		weight uint64
	}
	order := make([]ranked, 0, len(all))
	for _, t := range all {
		order = append(order, ranked{t, d.inOtherRegion(t), xxhash.Sum64String(r.Call.Adapter + "@" + t.Name)})
	}
	slices.SortFunc(order, func(x, y ranked) int {
		if x.remote != y.remote {
			if x.remote {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.weight, y.weight)
	})
	out := make(map[*target]int, len(order))
	for i, r := range order {
		out[r.target] = i
	}
	return out
}

// evaluate returns the estimates for a request on a target. It returns false if
// the request can't be sent there. rank returns the rank of a target among the
// preferred runners of the adapter.
func (d *Dispatcher) evaluate(now time.Time, t *target, r Request, rank func(*target) int) (candidate, bool) {
	work, backlog := d.workOf(now, t, r)
	c := candidate{target: t, work: work, backlog: backlog, latency: speed.Slowed(work.Usual(), t.slownessOf(now)) + d.networkDelay(t)}
	c.cost = failureCost * max(0, d.failureRate(now, t)-r.baseFailureRate)
	if d.unreachable(now, t) {
		c.cost += unreachableCost
	}
	if d.inOtherRegion(t) {
		c.cost += transferCost * float64(r.Size) / transferUnit
	}
	c.fault = c.cost
	if r.needsEngine() && !d.evaluateAdapter(now, &c, r.key(), rank) {
		return c, false
	}
	c.cost += speed.LatencyCost(c.latency, r.Objective.Sub(now))
	if t.process.notice.Brittle() {
		c.cost += spreadCost * rand.Float64()
	}
	return c, true
}

// evaluateAdapter adds to a candidate what its adapter costs. It returns false if the request can't be
// sent to the target: it neither holds the adapter in a version that will do, nor can load it.
func (d *Dispatcher) evaluateAdapter(now time.Time, c *candidate, k residency.Key, rank func(*target) int) bool {
	h := d.holding(now, c.target, k)
	switch {
	case h.present && d.isNewest(k, h.version):
		c.held = h.version
		return true
	case h.present && d.versions.Accepts(now, now.Add(startFactor*c.latency), k, h.version):
		c.held, c.older = h.version, true
		c.cost += olderCost
		return true
	}
	l, ok := d.estimateLoad(now, c.target, k, rank)
	if h.present {
		l.cost += replaceCost
	}
	c.load = true
	c.slotWait = l.slotWait
	c.latency += l.slotWait + l.duration
	c.cost += l.cost
	return ok
}

// A loadEstimate is the expected cost and duration of loading an adapter onto a
// runner.
type loadEstimate struct {
	cost     float64
	slotWait time.Duration // wait for an adapter slot
	duration time.Duration // load time after that
}

// estimateLoad returns the estimate for a load onto a target. It returns false if
// no load is possible there.
func (d *Dispatcher) estimateLoad(now time.Time, t *target, k residency.Key, rank func(*target) int) (loadEstimate, bool) {
	if k.Adapter == "" || now.Before(t.noLoadsUntil) {
		return loadEstimate{}, false
	}
	l := loadEstimate{cost: loadCost, duration: d.loadTime(now)}
	if _, cached := t.cachedAt[k]; cached {
		l.cost, l.duration = cachedLoadCost, cachedLoadTime
	}
	l.cost += rankCost * float64(rank(t))
	if age, ok := t.loads.Requested(now, k); ok {
		// The adapter is already loading for another request of this host.
		l.cost, l.duration = 0, max(0, l.duration-age)
	}
	if t.residency != nil {
		l, ok := estimateOwnLoad(now, t.residency, k, l)
		return l, ok && !d.cut
	}
	owner, owned := d.owners[t.Name]
	if d.isRemoteZone(owner.Zone) {
		l.duration += regionDelay
	}
	_, model := t.Models[k.Model]
	if report, at := d.aggregator.SlotReport(t.hash); now.Sub(at) < maxSlotReportAge {
		if report.Closed {
			return loadEstimate{}, false
		}
		spare := report.Spare - t.loads.Unreported(now, k)
		l.slotWait = time.Duration(max(0, 1-spare)) * adapterSlotWait
	}
	return l, owned && model && !d.ownerSilent(now, t)
}

// estimateOwnLoad completes the estimate for a load onto a runner that this host
// owns.
func estimateOwnLoad(now time.Time, s *residency.Manager, k residency.Key, l loadEstimate) (loadEstimate, bool) {
	if s.UnavailableReason(now, k) != "" {
		return loadEstimate{}, false
	}
	state, _, due := s.Lookup(k)
	switch state {
	case residency.Resident: // an older version, in whose slot the newest is loaded
		return l, true
	case residency.Loading:
		return loadEstimate{duration: max(0, due.Sub(now))}, true
	case residency.Requested:
		l.cost = 0
	}
	l.slotWait = s.SlotWait(now)
	return l, true
}

// newAttempt starts an attempt on a candidate and counts it on the target. It
// requests the load of the adapter if this host owns the runner, and otherwise
// sets the owner to ask.
func (d *Dispatcher) newAttempt(now time.Time, r Request, c *candidate) *Attempt {
	t := c.target
	t.process.notice.Sent(now)
	attempt := &Attempt{
		taken:  t.takenBy(r),
		Target: t.Target, Expected: c.latency,
		dispatcher: d, target: t, request: r, work: c.work, sent: now,
	}
	attempt.Running = c.work.Running
	t.inFlight++
	if !t.ejectedUntil.IsZero() {
		t.probing = true
	}
	if !r.needsEngine() {
		return attempt
	}
	attempt.tokens = max(0, r.Call.InputTokens-t.prefixCache.CachedTokens(r.Call, r.prefixKeys))
	t.pendingPrefill += attempt.tokens
	t.prefixCache.Add(r.Call, r.prefixKeys)
	if r.Call.Adapter == "" {
		return attempt
	}
	if !c.load {
		attempt.Held = c.held
		attempt.beginUse(now)
	}
	attempt.fixVersion(now)
	switch {
	case t.residency != nil && c.load:
		attempt.Loaded = t.residency.RequestLoad(now, r.key())
	case t.residency != nil:
	case c.load:
		attempt.Owner = d.owners[t.Name]
		t.loads.Note(now, r.key())
	case !d.inOtherRegion(t) && !d.isRemoteZone(d.owners[t.Name].Zone) && now.Sub(t.presentAt[r.key()].at) > confirmationAge && !d.ownerSilent(now, t):
		attempt.Owner = d.owners[t.Name]
		attempt.Confirm = true
	}
	return attempt
}
