package direct

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A Meter counts what a host does. Metrics makes one.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	active   prometheus.Gauge
	stalls   prometheus.Histogram
	opened   prometheus.Counter
	orders   *prometheus.CounterVec
	owned    prometheus.Gauge
	version  prometheus.Gauge
	targets  prometheus.Gauge
}

// buckets are the upper bounds of latency histograms, in seconds.
var buckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1, 1.5, 2.5, 4, 6, 10, 15}

// NewMetrics returns a Meter whose metrics are registered at r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_requests_total", Help: "Requests of callers by service and status; 0 is no answer."}, []string{"service", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jacinth_request_seconds", Help: "Time from a request to the end of its answer.", Buckets: buckets}, []string{"service"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_requests_active", Help: "Requests in progress."}),
		stalls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_stall_seconds", Help: "Time that requests waited for their adapter.", Buckets: buckets}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_connections_opened_total", Help: "Connections opened to targets."}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_orders_total", Help: "Orders to runners by reply."}, []string{"reply"}),
		owned:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_runners_owned", Help: "Runners that this host orders."}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_config_version", Help: "Version of the configuration in force."}),
		targets: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_targets", Help: "Targets known."}),
	}
	r.MustRegister(m.requests, m.latency, m.active, m.stalls, m.opened, m.orders, m.owned, m.version, m.targets)
	return m
}

// begin counts a request in progress; the function returned ends it.
func (m *Metrics) begin() func() {
	m.active.Inc()
	return m.active.Dec
}

func (m *Metrics) ended(service string, status int, took time.Duration) {
	m.requests.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}

func (m *Metrics) stalled(wait time.Duration) { m.stalls.Observe(wait.Seconds()) }

// own tells how many runners this host owns.
func (m *Metrics) own(runners int) { m.owned.Set(float64(runners)) }

// ordered counts an order by its reply.
func (m *Metrics) ordered(reply string) { m.orders.WithLabelValues(reply).Inc() }
