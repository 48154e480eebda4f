package direct

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"jacinthstage/jacinthd/internal/build"
	"jacinthstage/stage/notice"
)

// Metrics holds the Prometheus metrics of a host. Use NewMetrics to create one.
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

	notices         *prometheus.CounterVec
	crashes         prometheus.Counter
	suspects        prometheus.Gauge
	suspectsRefused prometheus.Counter
	suspectTrials   prometheus.Counter
	streamsTakenUp  *prometheus.CounterVec
	storeEra        prometheus.Gauge
	cut             prometheus.Gauge
	indirect        *prometheus.CounterVec
	peers           *prometheus.GaugeVec
	unreadable      prometheus.Counter
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1, 1.5, 2.5, 4, 6, 10, 15}

// NewMetrics returns Metrics that are registered at r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_requests_total", Help: "Requests of callers by service and status; status 0 means that no answer was sent."}, []string{"service", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jacinth_request_seconds", Help: "Time from the arrival of a request to the end of its answer.", Buckets: latencyBuckets}, []string{"service"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_requests_active", Help: "Requests in progress."}),
		stalls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_stall_seconds", Help: "Time that requests waited for their adapter.", Buckets: latencyBuckets}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_connections_opened_total", Help: "Connections opened to targets."}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_orders_total", Help: "Orders to runners, by reply."}, []string{"reply"}),
		owned:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_runners_owned", Help: "Runners owned by this host."}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_config_version", Help: "Version of the current configuration."}),
		targets: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_targets", Help: "Known targets."}),

		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_target_notices_total", Help: "Changes of what targets say of themselves: limit, leaving, quiet or brittle."}, []string{"kind"}),
		crashes:         prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_crashed_requests_total", Help: "Requests in progress at the end of a target's process."}),
		suspects:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_suspects", Help: "Contents and parts of requests that are refused because they crashed targets."}),
		suspectsRefused: prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_suspects_refused_total", Help: "Requests that were refused because of them."}),
		suspectTrials:   prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_suspect_trials_total", Help: "Requests that were sent all the same, to find out."}),
	}
	m.streamsTakenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_streams_taken_up_total", Help: "Requests that take up a stream, by how it is known which build began it."}, []string{"source"})
	m.storeEra = prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_store_era", Help: "Era of the platform's store, which rises when it has come back from an older copy."})
	m.cut = prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_cut", Help: "1 while this host can't reach any target."})
	m.indirect = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_indirect_requests_total", Help: "Attempts that were sent through another host, by whether they got an answer."}, []string{"outcome"})
	m.peers = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "jacinth_peers", Help: "Other hosts by the build and the protocol of their last connection."}, []string{"build", "protocol"})
	m.unreadable = prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_peer_unreadable_total", Help: "Calls of other hosts that could not be read."})
	info := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "jacinth_build_info", Help: "1 for the build of this host."}, []string{"build"})
	info.WithLabelValues(build.Commit()).Set(1)
	r.MustRegister(m.streamsTakenUp, m.storeEra, m.cut, m.indirect, m.peers, m.unreadable, info)
	r.MustRegister(m.notices, m.crashes, m.suspects, m.suspectsRefused, m.suspectTrials)
	r.MustRegister(m.requests, m.latency, m.active, m.stalls, m.opened, m.orders, m.owned, m.version, m.targets)
	return m
}

// requestStarted counts a request in progress until the returned function is called.
func (m *Metrics) requestStarted() func() {
	m.active.Inc()
	return m.active.Dec
}

func (m *Metrics) requestEnded(service string, status int, duration time.Duration) {
	m.requests.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(service).Observe(duration.Seconds())
}

func (m *Metrics) observeStall(wait time.Duration) { m.stalls.Observe(wait.Seconds()) }

// targetSpoke counts what a target said of itself.
func (m *Metrics) targetSpoke(n notice.Notice) {
	switch {
	case n.Leaving:
		m.notices.WithLabelValues("leaving").Inc()
	case n.Quiet > 0:
		m.notices.WithLabelValues("quiet").Inc()
	case n.Brittle:
		m.notices.WithLabelValues("brittle").Inc()
	default:
		m.notices.WithLabelValues("limit").Inc()
	}
}

// setOwned sets the number of runners that this host owns.
func (m *Metrics) setOwned(runners int) { m.owned.Set(float64(runners)) }

// countOrder counts an order by its reply.
func (m *Metrics) countOrder(reply string) { m.orders.WithLabelValues(reply).Inc() }
