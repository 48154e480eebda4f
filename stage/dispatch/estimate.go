package dispatch

import (
	"time"

	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/speed"
)

const (
	// zoneDelay and regionDelay are the network round-trip times to another
	// availability zone of the same region and to another region.
	zoneDelay   = 3 * time.Millisecond
	regionDelay = 65 * time.Millisecond
	// loadHalfLife is twice the time after which a target's reported load counts half.
	loadHalfLife = 2 * time.Second
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

// workOf returns a request as a target sees it, and the prompt tokens of others that it processes first.
func (d *Dispatcher) workOf(now time.Time, t *target, r Request) (work speed.Work, backlog int) {
	running, otherPrefill := d.running(now, t)
	work = speed.Work{Plain: !r.needsEngine(), Running: running, Slots: t.Slots}
	if work.Plain {
		return work, 0
	}
	backlog = otherPrefill + t.pendingPrefill
	work.Tokens = backlog + max(0, r.Call.InputTokens-t.prefixCache.CachedTokens(r.Call, r.prefixKeys))
	return work, backlog
}

// slownessOf returns the expected ratio of a target's times to the usual ones.
func (t *target) slownessOf(now time.Time) float64 {
	if t.speed.Told() {
		return t.speed.Slowness(now)
	}
	return t.slowdown
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
	// olderCost is the cost of an older version of the adapter, which will not do for long: it is more
	// than that of a load elsewhere, so that the newest is there before all requests need it.
	olderCost = 0.4
	// replaceCost is the cost of a load in place of an older version: its requests may not have ended.
	replaceCost = 0.1
	// spreadCost is the largest random cost of a brittle target: hosts that know as little of
	// each other's requests must not all send to the same one.
	spreadCost = 0.05
	// rankCost is the cost of each runner that precedes this one in the adapter's
	// rendezvous order, in which later requests look for the adapter.
	rankCost = 0.012
	// transferCost is the cost of sending transferUnit bytes to another region.
	transferCost = 0.03
	transferUnit = 16 << 10 // 16 KiB
	// unreachableCost is the cost of a target to which other hosts can't connect.
	unreachableCost = 0.6
	// drawMargin is the cost of faults by which a target may exceed the best one and still be drawn. It is less
	// than unreachableCost.
	drawMargin = 0.1
	// refusalCost is the cost of a target for which the request would be refused.
	refusalCost = 2.0
	// failureCost is the cost of a target all of whose answers fail.
	failureCost = 2.0
)
