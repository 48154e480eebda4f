package trial

import (
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthstage/stage/adapter"
)

// maxRecorded is the longest time that a histogram tells, in microseconds.
const maxRecorded = int64(10 * time.Minute / time.Microsecond)

// measures is what one trial counts.
type measures struct {
	events          int // all events so far, to order those at the same time
	deploy          Deployment
	offered         int
	served          int // served before the deadline
	late            int
	tokens          int // of the requests served in time
	refused         int
	lost            int
	absent          int
	grantorMessages int // requests to the grantor
	stall           *hdrhistogram.Histogram
	first           *hdrhistogram.Histogram
	retried         int // requests that came back after a refusal
	retriedServed   int // of these, served in time
	callers         map[string]*callerStats
	admittedRefs    map[*owner][]adapter.Ref // adapters in the order of admission
	admitted        int
	movedShare      float64
	extraLoads      int
}

// A part is what one caller had.
type callerStats struct {
	offered int
	served  int
	first   *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

func (m *measures) init(d Deployment) {
	m.deploy = d
	m.stall, m.first = histogram(), histogram()
	m.callers = map[string]*callerStats{}
	m.admittedRefs = map[*owner][]adapter.Ref{}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The error says that the time is over the longest, which a deadline rules out.
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

func (m *measures) recordAdmission(now time.Time, f *pendingRequest, o *owner) {
	m.admitted++
	m.admittedRefs[o] = append(m.admittedRefs[o], f.ref)
	stall := time.Duration(0)
	if !f.admission.Resident {
		stall = now.Sub(f.at)
	}
	record(m.stall, stall)
}

func (m *measures) recordFirstToken(now time.Time, q *request) {
	record(m.first, now.Sub(q.at))
	record(m.caller(q.caller).first, now.Sub(q.at))
}

func (m *measures) recordServed(now time.Time, f *pendingRequest) {
	if now.After(f.deadline) {
		m.late++
		return
	}
	m.served++
	if f.retried {
		m.retriedServed++
	}
	m.tokens += f.tokens
	m.caller(f.caller).served++
}

// A Result is what one trial measured. Times are in milliseconds.
type Result struct {
	Policy          string  `json:"policy"`
	Weight          float64 `json:"weight"`
	Rate            float64 `json:"rate"` // requests a second offered
	Offered         int     `json:"offered"`
	Served          int     `json:"served"` // in time
	Late            int     `json:"late"`
	Refused         int     `json:"refused"`
	Lost            int     `json:"broken"`  // lost with an engine
	Goodput         float64 `json:"goodput"` // tokens a second of requests served in time
	Loads           int     `json:"loads"`
	BeladyLoads     int     `json:"belady"` // loads with the future known, same routing and order
	BeladyRatio     float64 `json:"ratio"`  // loads by Belady's
	Stall50         float64 `json:"stall50"`
	Stall95         float64 `json:"stall95"`
	Stall99         float64 `json:"stall99"`
	First50         float64 `json:"first50"` // time to the first token
	First95         float64 `json:"first95"`
	BatchFill       float64 `json:"fill"`     // mean share of the places over the steps that were made
	Fairness        float64 `json:"fairness"` // Jain's index over the callers' served parts
	FlooderFirst95  float64 `json:"flooder"`  // first95 of caller 0
	OthersFirst95   float64 `json:"others"`   // first95 of the other callers
	OthersServed    float64 `json:"kept"`     // part of the other callers' requests that was served in time
	MaxInflight     int     `json:"inflight"` // most loads at once
	StoreRefused    int     `json:"over"`     // loads refused by the store
	EvictedInUse    int     `json:"evicted"`  // evictions under a request
	Absent          int     `json:"absent"`   // requests refused by the engine
	GrantorMessages int     `json:"asks"`     // messages to the granting host
	MovedShare      float64 `json:"moved"`    // part of the adapters whose first home changed by the fault
	Retried         int     `json:"returned"` // requests that came back when told to
	RetriedServed   int     `json:"welcome"`  // of these, served in time
	ExtraLoads      int     `json:"extra"`    // loads in the minute after the fault
}

const microsPerMilli = 1000 // microseconds

func (w *simulation) result(load Workload) Result {
	m := &w.measures
	r := Result{
		Policy: PolicyName(w.policy), Rate: load.Rate + load.FloodRate,
		Offered: m.offered, Served: m.served, Late: m.late, Refused: m.refused, Lost: m.lost,
		Goodput: float64(m.tokens) / load.Duration.Seconds(),
		Loads:   w.store.loads, MaxInflight: w.store.maxInflight, StoreRefused: w.store.refused,
		Stall50: quantile(m.stall, 50), Stall95: quantile(m.stall, 95), Stall99: quantile(m.stall, 99),
		First50: quantile(m.first, 50), First95: quantile(m.first, 95),
		Absent: m.absent, GrantorMessages: m.grantorMessages, MovedShare: m.movedShare, ExtraLoads: m.extraLoads,
		Retried: m.retried, RetriedServed: m.retriedServed,
	}
	if ours, ok := w.policy.(Product); ok {
		r.Weight = ours.Weight
	}
	steps, filled := 0, 0
	for _, o := range w.owners {
		steps += o.engine.steps
		filled += o.engine.batchSlotsUsed
		r.EvictedInUse += o.engine.evictedInUse
		r.BeladyLoads += beladyLoads(m.admittedRefs[o], w.deployment.Slots)
	}
	r.BatchFill = float64(filled) / float64(max(steps, 1)*w.deployment.Batch)
	r.BeladyRatio = float64(r.Loads) / float64(max(r.BeladyLoads, 1))
	w.measureCallers(&r, load)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMilli
}

// measureCallers fills in what the callers had of the service.
func (w *simulation) measureCallers(r *Result, load Workload) {
	sum, squares, n := 0.0, 0.0, 0
	others := histogram()
	offered, done := 0, 0
	for i := range max(load.Callers, 1) {
		p := w.measures.caller("c" + strconv.Itoa(i))
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

// beladyLoads returns the loads of n slots that serve the adapters in their order,
// evicting the one whose next use is furthest away.
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
	var held []adapter.Ref
	uses := map[adapter.Ref]int{}
	for i, ref := range refs {
		uses[ref] = next[i]
		if slices.Contains(held, ref) {
			continue
		}
		loads++
		if len(held) < n {
			held = append(held, ref)
			continue
		}
		held[furthest(held, uses)] = ref
	}
	return loads
}

func furthest(held []adapter.Ref, uses map[adapter.Ref]int) int {
	worst := 0
	for i, ref := range held {
		if uses[ref] > uses[held[worst]] {
			worst = i
		}
	}
	return worst
}
