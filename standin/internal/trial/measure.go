package trial

import (
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthstage/stage/adapter"
)

// maxRecorded is the largest duration that a histogram records, in microseconds.
const maxRecorded = int64(10 * time.Minute / time.Microsecond)

// measures holds the counts and durations of one trial.
type measures struct {
	events          int // number of events so far; orders events at the same time
	deployment      Deployment
	offered         int
	served          int // served before the deadline
	late            int
	tokens          int // tokens of the requests served before the deadline
	refused         int
	lost            int
	absent          int
	grantorMessages int // load requests sent to the grantor
	stall           *hdrhistogram.Histogram
	first           *hdrhistogram.Histogram
	retried         int // requests resent after a refusal
	retriedServed   int // of these, served before the deadline
	callers         map[string]*callerStats
	admittedRefs    map[*owner][]adapter.Ref // adapters in the order of admission
	admitted        int
	movedShare      float64
	extraLoads      int
}

// callerStats holds the counts of one caller.
type callerStats struct {
	offered int
	served  int
	first   *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

func (m *measures) init(d Deployment) {
	m.deployment = d
	m.stall, m.first = histogram(), histogram()
	m.callers = map[string]*callerStats{}
	m.admittedRefs = map[*owner][]adapter.Ref{}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above maxRecorded. Values are clamped to it, and the
	// deadline keeps durations below it.
	_ = h.RecordValue(max(1, min(d.Microseconds(), maxRecorded)))
}

func (m *measures) caller(caller string) *callerStats {
	p := m.callers[caller]
	if p == nil {
		p = &callerStats{first: histogram()}
		m.callers[caller] = p
	}
	return p
}

func (m *measures) recordAdmission(now time.Time, pr *pendingRequest, o *owner) {
	m.admitted++
	m.admittedRefs[o] = append(m.admittedRefs[o], pr.ref)
	stall := time.Duration(0)
	if !pr.admission.Resident {
		stall = now.Sub(pr.at)
	}
	record(m.stall, stall)
}

func (m *measures) recordFirstToken(now time.Time, q *request) {
	record(m.first, now.Sub(q.at))
	record(m.caller(q.caller).first, now.Sub(q.at))
}

func (m *measures) recordServed(now time.Time, pr *pendingRequest) {
	if now.After(pr.deadline) {
		m.late++
		return
	}
	m.served++
	if pr.retried {
		m.retriedServed++
	}
	m.tokens += pr.tokens
	m.caller(pr.caller).served++
}

// A Result is what one trial measured. Times are in milliseconds.
type Result struct {
	Policy          string  `json:"policy"`
	Weight          float64 `json:"weight"`
	Rate            float64 `json:"rate"` // offered requests per second
	Offered         int     `json:"offered"`
	Served          int     `json:"served"` // before the deadline
	Late            int     `json:"late"`
	Refused         int     `json:"refused"`
	Lost            int     `json:"broken"`  // lost in an engine restart
	Goodput         float64 `json:"goodput"` // tokens per second of requests served before the deadline
	Loads           int     `json:"loads"`
	BeladyLoads     int     `json:"belady"` // loads of an optimal eviction (Belady) for the same routing and order
	BeladyRatio     float64 `json:"ratio"`  // Loads / BeladyLoads
	Stall50         float64 `json:"stall50"`
	Stall95         float64 `json:"stall95"`
	Stall99         float64 `json:"stall99"`
	First50         float64 `json:"first50"` // time to the first token
	First95         float64 `json:"first95"`
	BatchFill       float64 `json:"fill"`     // mean share of batch slots in use over all steps
	Fairness        float64 `json:"fairness"` // Jain's index of the requests served per caller
	FlooderFirst95  float64 `json:"flooder"`  // 95th percentile of the time to first token of caller 0
	OthersFirst95   float64 `json:"others"`   // the same of all other callers
	OthersServed    float64 `json:"kept"`     // share of the other callers' requests served before the deadline
	MaxInflight     int     `json:"inflight"` // highest number of concurrent loads
	StoreRefused    int     `json:"over"`     // loads refused by the weight store
	EvictedInUse    int     `json:"evicted"`  // running requests whose adapter was unloaded
	Absent          int     `json:"absent"`   // requests refused by an engine because the adapter was absent
	GrantorMessages int     `json:"asks"`     // load requests sent to the granting host
	MovedShare      float64 `json:"moved"`    // share of adapters whose first preferred runner changed by the fault
	Retried         int     `json:"returned"` // requests resent after a refusal
	RetriedServed   int     `json:"welcome"`  // of these, served before the deadline
	ExtraLoads      int     `json:"extra"`    // loads in the minute after the fault
}

const microsPerMilli = 1000 // microseconds per millisecond

func (sim *simulation) result(load Workload) Result {
	m := &sim.measures
	r := Result{
		Policy: PolicyName(sim.policy), Rate: load.Rate + load.FloodRate,
		Offered: m.offered, Served: m.served, Late: m.late, Refused: m.refused, Lost: m.lost,
		Goodput: float64(m.tokens) / load.Duration.Seconds(),
		Loads:   sim.store.loads, MaxInflight: sim.store.maxInflight, StoreRefused: sim.store.refused,
		Stall50: quantile(m.stall, 50), Stall95: quantile(m.stall, 95), Stall99: quantile(m.stall, 99),
		First50: quantile(m.first, 50), First95: quantile(m.first, 95),
		Absent: m.absent, GrantorMessages: m.grantorMessages, MovedShare: m.movedShare, ExtraLoads: m.extraLoads,
		Retried: m.retried, RetriedServed: m.retriedServed,
	}
	if product, ok := sim.policy.(Product); ok {
		r.Weight = product.Weight
	}
	steps, slotsUsed := 0, 0
	for _, o := range sim.owners {
		steps += o.engine.steps
		slotsUsed += o.engine.batchSlotsUsed
		r.EvictedInUse += o.engine.evictedInUse
		r.BeladyLoads += beladyLoads(m.admittedRefs[o], sim.deployment.Slots)
	}
	r.BatchFill = float64(slotsUsed) / float64(max(steps, 1)*sim.deployment.Batch)
	r.BeladyRatio = float64(r.Loads) / float64(max(r.BeladyLoads, 1))
	sim.measureCallers(&r, load)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMilli
}

// measureCallers sets the results per caller: fairness, the time to first token of
// caller 0 and of the others, and the share of the others' requests served.
func (sim *simulation) measureCallers(r *Result, load Workload) {
	sum, squares, n := 0.0, 0.0, 0
	others := histogram()
	offered, done := 0, 0
	for i := range max(load.Callers, 1) {
		p := sim.measures.caller("c" + strconv.Itoa(i))
		x := float64(p.served)
		sum, squares, n = sum+x, squares+x*x, n+1
		if i == 0 {
			r.FlooderFirst95 = quantile(p.first, 95)
			continue
		}
		others.Merge(p.first)
		offered += p.offered
		done += p.served
	}
	if squares > 0 {
		r.Fairness = sum * sum / (float64(n) * squares)
	}
	r.OthersFirst95 = quantile(others, 95)
	r.OthersServed = float64(done) / float64(max(offered, 1))
}

// beladyLoads returns the number of loads that n slots need to serve refs in order
// if the adapter whose next use is furthest away is evicted.
func beladyLoads(refs []adapter.Ref, n int) int {
	next := make([]int, len(refs))
	last := map[adapter.Ref]int{}
	for i := len(refs) - 1; i >= 0; i-- {
		next[i] = len(refs)
		if j, ok := last[refs[i]]; ok {
			next[i] = j
		}
		last[refs[i]] = i
	}
	loads := 0
	var resident []adapter.Ref
	nextUse := map[adapter.Ref]int{}
	for i, ref := range refs {
		nextUse[ref] = next[i]
		if slices.Contains(resident, ref) {
			continue
		}
		loads++
		if len(resident) < n {
			resident = append(resident, ref)
			continue
		}
		resident[furthest(resident, nextUse)] = ref
	}
	return loads
}

// furthest returns the index of the resident adapter with the latest next use.
func furthest(resident []adapter.Ref, nextUse map[adapter.Ref]int) int {
	latest := 0
	for i, ref := range resident {
		if nextUse[ref] > nextUse[resident[latest]] {
			latest = i
		}
	}
	return latest
}
