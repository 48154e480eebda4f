package trial

import (
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthstage/stage/adapter"
)

// longest is the longest time that a histogram tells, in microseconds.
const longest = int64(10 * time.Minute / time.Microsecond)

// measures is what one trial counts.
type measures struct {
	events   int // all events so far, to order those at the same time
	deploy   Deployment
	offered  int
	done     int // served before the deadline
	late     int
	tokens   int // of the requests served in time
	refusals int
	broken   int
	absent   int
	asks     int // requests to the grantor
	stall    *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	returned int // requests that came back after a refusal
	welcome  int // of these, served in time
	callers  map[string]*part
	used     map[*owner][]adapter.Ref // adapters in the order of admission
	admitted int
	moved    float64
	extra    int
}

// A part is what one caller had.
type part struct {
	offered int
	done    int
	first   *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

func (m *measures) start(d Deployment) {
	m.deploy = d
	m.stall, m.first = histogram(), histogram()
	m.callers = map[string]*part{}
	m.used = map[*owner][]adapter.Ref{}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The error says that the time is over the longest, which a deadline rules out.
	_ = h.RecordValue(max(1, min(d.Microseconds(), longest)))
}

func (m *measures) part(caller string) *part {
	p := m.callers[caller]
	if p == nil {
		p = &part{first: histogram()}
		m.callers[caller] = p
	}
	return p
}

func (m *measures) admit(now time.Time, f *flight, o *owner) {
	m.admitted++
	m.used[o] = append(m.used[o], f.ref)
	stall := time.Duration(0)
	if !f.admit.Resident {
		stall = now.Sub(f.at)
	}
	record(m.stall, stall)
}

func (m *measures) begin(now time.Time, q *request) {
	record(m.first, now.Sub(q.at))
	record(m.part(q.caller).first, now.Sub(q.at))
}

func (m *measures) serve(now time.Time, f *flight) {
	if now.After(f.deadline) {
		m.late++
		return
	}
	m.done++
	if f.returned {
		m.welcome++
	}
	m.tokens += f.tokens
	m.part(f.caller).done++
}

// A Result is what one trial measured. Times are in milliseconds.
type Result struct {
	Policy   string  `json:"policy"`
	Weight   float64 `json:"weight"`
	Rate     float64 `json:"rate"` // requests a second offered
	Offered  int     `json:"offered"`
	Served   int     `json:"served"` // in time
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Broken   int     `json:"broken"`  // lost with an engine
	Goodput  float64 `json:"goodput"` // tokens a second of requests served in time
	Loads    int     `json:"loads"`
	Belady   int     `json:"belady"` // loads with the future known, same routing and order
	Ratio    float64 `json:"ratio"`  // loads by Belady's
	Stall50  float64 `json:"stall50"`
	Stall95  float64 `json:"stall95"`
	Stall99  float64 `json:"stall99"`
	First50  float64 `json:"first50"` // time to the first token
	First95  float64 `json:"first95"`
	Fill     float64 `json:"fill"`     // mean share of the places over the steps that were made
	Fairness float64 `json:"fairness"` // Jain's index over the callers' served parts
	Flooder  float64 `json:"flooder"`  // first95 of caller 0
	Others   float64 `json:"others"`   // first95 of the other callers
	Kept     float64 `json:"kept"`     // part of the other callers' requests that was served in time
	Inflight int     `json:"inflight"` // most loads at once
	Over     int     `json:"over"`     // loads refused by the store
	Evicted  int     `json:"evicted"`  // evictions under a request
	Absent   int     `json:"absent"`   // requests refused by the engine
	Asks     int     `json:"asks"`     // messages to the granting host
	Moved    float64 `json:"moved"`    // part of the adapters whose first home changed by the fault
	Returned int     `json:"returned"` // requests that came back when told to
	Welcome  int     `json:"welcome"`  // of these, served in time
	Extra    int     `json:"extra"`    // loads in the minute after the fault
}

const milli = 1000 // microseconds

func (w *world) result(load Workload) Result {
	m := &w.measures
	r := Result{
		Policy: Name(w.policy), Rate: load.Rate + load.Flood,
		Offered: m.offered, Served: m.done, Late: m.late, Refused: m.refusals, Broken: m.broken,
		Goodput: float64(m.tokens) / load.Lasts.Seconds(),
		Loads:   w.store.loads, Inflight: w.store.most, Over: w.store.over,
		Stall50: quantile(m.stall, 50), Stall95: quantile(m.stall, 95), Stall99: quantile(m.stall, 99),
		First50: quantile(m.first, 50), First95: quantile(m.first, 95),
		Absent: m.absent, Asks: m.asks, Moved: m.moved, Extra: m.extra,
		Returned: m.returned, Welcome: m.welcome,
	}
	if ours, ok := w.policy.(Ours); ok {
		r.Weight = ours.Weight
	}
	steps, filled := 0, 0
	for _, o := range w.owners {
		steps += o.engine.steps
		filled += o.engine.filled
		r.Evicted += o.engine.evicted
		r.Belady += belady(m.used[o], w.deployment.Slots)
	}
	r.Fill = float64(filled) / float64(max(steps, 1)*w.deployment.Batch)
	r.Ratio = float64(r.Loads) / float64(max(r.Belady, 1))
	w.share(&r, load)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / milli
}

// share fills in what the callers had of the service.
func (w *world) share(r *Result, load Workload) {
	sum, squares, n := 0.0, 0.0, 0
	others := histogram()
	offered, done := 0, 0
	for i := range max(load.Callers, 1) {
		p := w.measures.part("c" + strconv.Itoa(i))
		x := float64(p.done)
		sum, squares, n = sum+x, squares+x*x, n+1
		if i == 0 {
			r.Flooder = quantile(p.first, 95)
			continue
		}
		others.Merge(p.first)
		offered += p.offered
		done += p.done
	}
	if squares > 0 {
		r.Fairness = sum * sum / (float64(n) * squares)
	}
	r.Others = quantile(others, 95)
	r.Kept = float64(done) / float64(max(offered, 1))
}

// belady returns the loads of n slots that serve the adapters in their order,
// evicting the one whose next use is furthest away.
func belady(refs []adapter.Ref, n int) int {
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
