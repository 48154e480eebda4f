package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
)

const (
	// prefillRate is the number of prompt tokens that a runner processes per
	// millisecond.
	prefillRate = 38.0
	// stepTime is the duration of one batch step, which generates one token for
	// each request in the batch.
	stepTime = 7 * time.Millisecond
	// meanSlotTime is how long a request usually occupies its batch slot on a
	// runner.
	meanSlotTime = 1500 * time.Millisecond
	// batchDelay is what each running request adds to the time to the first token
	// of a new one.
	batchDelay = 4 * time.Millisecond
	// meanServiceTime is how long a target of a plain service usually takes for a
	// request.
	meanServiceTime = 40 * time.Millisecond
	// zoneDelay and regionDelay are the network round-trip times to another
	// availability zone of the same region and to another region.
	zoneDelay   = 3 * time.Millisecond
	regionDelay = 65 * time.Millisecond
	// loadHalfLife is the time after which a target's reported load counts half.
	loadHalfLife = 2 * time.Second
	// maxLatency is the longest time that is expected of any target.
	maxLatency = time.Hour
)

// networkDelay returns the network round-trip time to a target.
func (d *Dispatcher) networkDelay(t *target) time.Duration {
	switch {
	case t.Zone == d.Zone:
		return 0
	case !d.inOtherRegion(t):
		return zoneDelay
	default:
		return regionDelay
	}
}

// inOtherRegion reports whether a target is in another region than this host.
func (d *Dispatcher) inOtherRegion(t *target) bool { return d.isRemoteZone(t.Zone) }

// isRemoteZone reports whether an availability zone is in another region than
// this host.
func (d *Dispatcher) isRemoteZone(zone string) bool { return d.Regions[zone] != d.Regions[d.Zone] }

// running estimates the number of requests of all hosts on a target and the
// number of prompt tokens of other hosts that it still has to process.
func (d *Dispatcher) running(now time.Time, t *target) (running, otherPrefill int) {
	others := d.aggregator.OthersLoad(t.hash)
	running = t.inFlight + others.InProgress
	if t.reportedLoad.Known {
		age := now.Sub(t.reportedAt).Seconds() / loadHalfLife.Seconds()
		reported := float64(t.reportedLoad.Running+t.reportedLoad.Waiting-t.inFlightAtReport) / (1 + 2*age)
		running = max(running, t.inFlight+int(reported))
	}
	return running, others.PrefillTokens
}

// queueWait estimates the wait for a slot on a target with the given number of
// running requests, each of which occupies its slot for slotTime.
func (t *target) queueWait(running int, slotTime time.Duration) time.Duration {
	if t.Slots <= 0 || running < t.Slots {
		return 0
	}
	return slotTime * time.Duration(running-t.Slots+1) / time.Duration(t.Slots)
}

// expectedLatency estimates the time to the first byte of a target's answer,
// without the load of an adapter.
func (d *Dispatcher) expectedLatency(now time.Time, t *target, r Request) time.Duration {
	running, otherPrefill := d.running(now, t)
	var latency time.Duration
	if r.needsEngine() {
		cached := t.prefixCache.CachedTokens(r.Call, r.prefixKeys)
		latency = prefillTime(otherPrefill+t.pendingPrefill+max(0, r.Call.InputTokens-cached)) + stepTime
		latency += t.queueWait(running, meanSlotTime) + batchDelay*time.Duration(running)
	} else {
		latency = meanServiceTime + t.queueWait(running, meanServiceTime)
		latency += meanServiceTime * time.Duration(running) / time.Duration(max(1, t.Slots)) / 2
	}
	latency = time.Duration(min(max(float64(latency)*t.slowdown, 0), float64(maxLatency)))
	return latency + d.networkDelay(t)
}

// prefillTime returns the time that a runner takes to process prompt tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

// listed reports whether a target accepts new requests according to its entry.
func (t *target) listed(now time.Time) bool {
	return t.State == catalog.Ready && !now.Before(t.unconfirmedUntil) && (t.expiresAt.IsZero() || !now.After(t.expiresAt))
}

// usable reports whether new requests should go to a target: it is listed, and
// either not ejected or due for a probe.
func (t *target) usable(now time.Time) bool {
	if !t.listed(now) {
		return false
	}
	return t.ejectedUntil.IsZero() || now.After(t.ejectedUntil) && !t.probing
}

// setLoad records the load that a target reported.
func (t *target) setLoad(now time.Time, l call.TargetLoad) {
	if l.Known {
		t.reportedLoad, t.reportedAt, t.inFlightAtReport = l, now, t.inFlight
	}
}

// The costs that make up the cost of a target. The unit is one late answer.
const (
	// loadCost is the cost of loading an adapter from the weight store,
	// cachedLoadCost that of loading one that is cached on the runner.
	loadCost       = 0.30
	cachedLoadCost = 0.03
	// spreadCost is the largest random cost of a brittle target: hosts that know as little of
	// each other's requests must not all send to the same one.
	spreadCost = 0.05
	// rankCost is the cost of each runner that precedes this one in the adapter's
	// rendezvous order, in which later requests look for the adapter.
	rankCost = 0.012
	// transferCost is the cost of sending transferUnit bytes to another region.
	transferCost = 0.03
	transferUnit = 16 << 10 // 16 KiB
	// waitCost is the cost of an answer that arrives just at its latency
	// objective, beyond the risk that it is late.
	waitCost = 0.2
	// lateCost is the cost of each further multiple of the latency objective by
	// which an answer is late.
	lateCost = 0.5
	// unreachableCost is the cost of a target to which other hosts can't connect.
	unreachableCost = 0.6
	// failureCost is the cost of a target all of whose answers fail.
	failureCost = 2.0
)

// latencyCost returns the cost of an expected time to the first byte under a
// latency objective. Up to half of the objective the cost grows slowly, since the
// rest covers the error of the estimate; then it grows quadratically to 1 at the
// objective.
func latencyCost(latency, objective time.Duration) float64 {
	if objective <= 0 {
		objective = time.Second
	}
	x := float64(latency) / float64(objective)
	cost := waitCost * x
	if x > 0.5 {
		steep := min(2*x-1, 1)
		cost += (1 - waitCost) * steep * steep
	}
	if x > 1 {
		cost += lateCost * (x - 1)
	}
	return cost
}
