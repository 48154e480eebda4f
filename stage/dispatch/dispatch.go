// Package dispatch selects the target of each request, decides whether the
// request waits for its adapter to load, and refuses requests that cannot be
// served in time.
//
// A Dispatcher tracks the known targets, the requests that this host has in
// flight on each of them, the load that each target last reported, and the
// adapters that each runner holds. Any host may send requests directly to any
// target, but only the owner of a runner sends it load and unload orders. A
// request whose adapter is not available soon enough on any runner that holds it
// waits for a load: on a runner that this host owns, or on another one through
// its owner.
//
// All decisions are based on the expected time to the first byte: the network
// delay, the wait for an adapter to load, the prompts queued for prefill ahead of
// the request, the part of its own prompt that is not cached, and the wait for a
// batch slot. A request that cannot be answered before its deadline is refused at
// once.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"jacinthstage/stage/admission"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/prefix"
	"jacinthstage/stage/relay"
	"jacinthstage/stage/residency"
	"jacinthstage/stage/speed"
	"jacinthstage/stage/usage"
	"jacinthstage/stage/version"
)

// A Dispatcher selects targets from the state of all targets as known to one
// host. It is safe for concurrent use. The zero value knows no targets; Zone and
// Regions must be set for it to account for network distance.
type Dispatcher struct {
	Holder  string            // name of this host in the orders that it sends to runners
	Zone    string            // availability zone of this host
	Regions map[string]string // region of each zone

	mu            sync.Mutex
	config        *catalog.Config
	revision      uint64 // revision of the platform's store that targets reflects
	targets       map[string]*target
	processes     map[processID]*process // of targets, listed or not
	doubtUntil    time.Time              // entries that contradict what was acknowledged don't count yet, since the store has come back from an older copy
	services      map[string]map[string]*target
	versions      version.Table                          // of adapters
	owned         map[string]*target                     // runners that this host owns
	pendingLoads  map[string]map[residency.Key]time.Time // by removed runner: loads that a new incarnation of the same name may still carry out, and until when
	newerSince    time.Time                              // when another host was first seen with a newer configuration
	newerThan     uint64                                 // configuration version of this host at newerSince
	newerHeard    newerConfig                            // last report of a newer configuration
	cut           bool                                   // this host reaches no target itself
	answeredAt    time.Time                              // last answer of any target over a connection of this host
	aggregator    relay.Aggregator                       // state reported by other hosts
	admission     admission.State                        // demand for room that is short
	queues        map[string]*admission.Queue            // by service: requests that wait for room
	owners        map[string]Owner                       // by runner
	riskFrom      map[string]time.Time                   // by service, see mayRisk
	speeds        speed.Pool                             // what targets can do
	builds        builds                                 // of each service's targets, lately
	hostCount     int                                    // hosts that share the load rate of the weight store
	hosts         []relay.Host                           // all hosts; empty while they are unknown
	hostsVersion  uint64                                 // number of changes of hosts
	nextModelLoad time.Time                              // earliest time of the next load of a base model
	demandByModel map[string]float64                     // exponentially decayed number of requests
}

const (
	// initialLoadTime is the expected load time of an adapter before any load was
	// observed.
	initialLoadTime = 260 * time.Millisecond
	// maxCachedAdapters is the assumed number of adapters whose weights a runner
	// keeps cached locally.
	maxCachedAdapters = 44
	// prefixCacheShare is the fraction of a runner's cache that is assumed to hold
	// prompt prefixes.
	prefixCacheShare = 0.6
)

// A target is a back end together with what this host knows about it.
type target struct {
	catalog.Target
	hash                relay.TargetHash
	expiresAt           time.Time // end of use after the entry was removed; zero while it is listed
	inFlight            int       // requests of this host in progress
	pendingPrefill      int       // prompt tokens of these requests that are still to be processed
	reportedLoad        call.TargetLoad
	reportedAt          time.Time // time of reportedLoad
	inFlightAtReport    int       // value of inFlight at reportedAt
	prefixCache         prefix.Cache
	residency           *residency.Manager // nil unless this host owns the runner
	usage               usage.Adapters
	absentAt            map[residency.Key]time.Time // when an adapter was last found missing
	presentAt           map[residency.Key]presence  // when an adapter was last found loaded
	cachedAt            map[residency.Key]time.Time // adapters assumed to be cached on the runner, and when each was last seen loaded
	noLoadsUntil        time.Time                   // no load is requested before this time
	loads               usage.Loads                 // asked of the runner's owner
	consecutiveFailures int
	ejectedUntil        time.Time // zero unless the target is ejected; from then on it gets one probe at a time
	probing             bool      // a probe is in flight
	connectFailedAt     time.Time // last failure of this host to connect; zero after an answer
	answeredAt          time.Time // time of the last answer
	slowdown            float64   // ratio of observed to expected latency
	failureRate         float64   // failure rate at ratedAt
	ratedAt             time.Time
	outcomes            outcomeWindow
	speed               *speed.Target
	process             *process
	unconfirmedUntil    time.Time    // an older copy of the store lists the target, whose removal was acknowledged
	share               notice.Share // this host's share of the target's limit
	shareVersion        uint64       // value of hostsVersion that share is from
}

func (d *Dispatcher) apply(now time.Time, event catalog.Event) {
	switch e := event.(type) {
	case catalog.ConfigUpdated:
		d.setConfig(e.Config)
	case catalog.TargetsListed:
		restored := d.restored(e)
		if restored {
			d.doubtUntil = now.Add(restoreGrace)
		}
		d.builds.missed(now, e.Unseen)
		d.replaceTargets(now, e.Targets, restored)
		d.revision = max(d.revision, e.Revision)
	case catalog.TargetsChanged:
		d.applyChanges(now, e.Changes)
		d.revision = max(d.revision, e.Revision)
	case catalog.VersionPublished:
		d.versionPublished(now, e)
	default:
		panic("dispatch: unknown event")
	}
}

func (d *Dispatcher) setConfig(c *catalog.Config) {
	if d.config == nil || c.Version > d.config.Version {
		d.config = c
	}
}

// Config returns the newest configuration, or nil if none was received yet.
func (d *Dispatcher) Config() *catalog.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// engine returns the engine settings of a service. It returns nil for a plain
// service and before the first configuration.
func (d *Dispatcher) engine(service string) *catalog.Engine {
	if d.config == nil {
		return nil
	}
	return d.config.Services[service].Engine
}

func (d *Dispatcher) prefixCacheLimit(service string) int {
	if engine := d.engine(service); engine != nil {
		return int(prefixCacheShare * float64(engine.PrefixCacheTokens))
	}
	return 0
}

// loadTime returns the expected load time of an adapter, averaged over the
// runners that this host owns.
func (d *Dispatcher) loadTime(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range d.owned {
		sum += t.residency.ExpectedLoadTime(now)
		n++
	}
	if n == 0 {
		return initialLoadTime
	}
	return sum / time.Duration(n)
}

// jitter returns a random duration between d/2 and 3d/2, so that callers do not
// all retry at the same time. A d that isn't positive counts as a millisecond.
func jitter(d time.Duration) time.Duration {
	d = max(d, time.Millisecond)
	return d/2 + rand.N(d)
}
