// Package metrics holds the Prometheus metrics of a host.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"jacinthstage/jacinthd/internal/build"
	"jacinthstage/stage/notice"
)

// Host holds the metrics of a host. Use New to create one.
type Host struct {
	requests      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	accounts      accountCounter
	active        prometheus.Gauge
	stalls        prometheus.Histogram
	firstBytes    *prometheus.HistogramVec
	Opened        prometheus.Counter
	orders        *prometheus.CounterVec
	owned         prometheus.Gauge
	ConfigVersion prometheus.Gauge
	Targets       prometheus.Gauge

	notices         *prometheus.CounterVec
	Crashes         prometheus.Counter
	Suspects        prometheus.Gauge
	SuspectsRefused prometheus.Counter
	SuspectTrials   prometheus.Counter
	StreamsTakenUp  *prometheus.CounterVec
	StoreEra        prometheus.Gauge
	Cut             prometheus.Gauge
	Indirect        *prometheus.CounterVec
	OlderVersions   prometheus.Counter
	Peers           *prometheus.GaugeVec
	Unreadable      prometheus.Counter

	admissionRefused *prometheus.CounterVec
	admissionRoom    *prometheus.GaugeVec
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1, 1.5, 2.5, 4, 6, 10, 15}

// ratioBuckets are the upper bounds of the histogram of ratios of real to expected times.
var ratioBuckets = []float64{.125, .25, .35, .5, .6, .7, .8, .9, 1, 1.1, 1.25, 1.4, 1.7, 2, 2.5, 3, 4, 6, 8, 16}

// New returns metrics that are registered at r.
func New(r prometheus.Registerer) *Host {
	m := &Host{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_requests_total", Help: "Requests of callers by service and status; status 0 means that no answer was sent."}, []string{"service", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jacinth_request_seconds", Help: "Time from the arrival of a request to the end of its answer.", Buckets: latencyBuckets}, []string{"service"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_requests_active", Help: "Requests in progress."}),
		stalls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_stall_seconds", Help: "Time that requests waited for their adapter.", Buckets: latencyBuckets}),
		Opened: prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_connections_opened_total", Help: "Connections opened to targets."}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_orders_total", Help: "Orders to runners, by reply."}, []string{"reply"}),
		owned:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_runners_owned", Help: "Runners owned by this host."}),
		ConfigVersion: prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_config_version", Help: "Version of the current configuration."}),
		Targets:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_targets", Help: "Known targets."}),

		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_target_notices_total", Help: "Changes of what targets say of themselves: limit, leaving, quiet or brittle."}, []string{"kind"}),
		Crashes:         prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_crashed_requests_total", Help: "Requests in progress at the end of a target's process."}),
		Suspects:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_suspects", Help: "Contents and parts of requests that are refused because they crashed targets."}),
		SuspectsRefused: prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_suspects_refused_total", Help: "Requests that were refused because of them."}),
		SuspectTrials:   prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_suspect_trials_total", Help: "Requests that were sent all the same, to find out."}),
	}
	m.accounts.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_account_requests_total", Help: "Requests of callers by client account and class of status; 0xx means that no answer was sent."}, []string{"account", "status"})
	m.accounts.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_quota_refused_total", Help: "Requests that were refused since their client account has used up its quota."}, []string{"account"})
	m.accounts.short = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "jacinth_quota_short", Help: "1 while the quota of a client account is used up, as this host was told."}, []string{"account"})
	r.MustRegister(m.accounts.refused, m.accounts.short)
	m.StreamsTakenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_streams_taken_up_total", Help: "Requests that take up a stream, by how it is known which build began it."}, []string{"source"})
	m.StoreEra = prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_store_era", Help: "Era of the platform's store, which rises when it has come back from an older copy."})
	m.firstBytes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "jacinth_first_byte_ratio", Help: "Time to the first byte of a target's answer as a multiple of the expected time, by service.", Buckets: ratioBuckets}, []string{"service"})
	m.Cut = prometheus.NewGauge(prometheus.GaugeOpts{Name: "jacinth_cut", Help: "1 while this host can't reach any target."})
	m.Indirect = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_indirect_requests_total", Help: "Attempts that were sent through another host, by whether they got an answer."}, []string{"outcome"})
	m.OlderVersions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "jacinth_older_versions_total", Help: "Requests that began on a version of their adapter of which a newer one was known."})
	r.MustRegister(m.OlderVersions)
	m.Peers = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "jacinth_peers", Help: "Other hosts by the build and the protocol of their last connection."}, []string{"build", "protocol"})
	m.Unreadable = prometheus.NewCounter(prometheus.CounterOpts{Name: "jacinth_peer_unreadable_total", Help: "Calls of other hosts that could not be read."})
	m.admissionRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jacinth_admission_refused_total", Help: "Requests that were refused since others go first, by service, kind of room and priority."}, []string{"service", "pool", "rank"})
	m.admissionRoom = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "jacinth_admission_room", Help: "Part of the demand for a service that has room, by kind of room; 1 if all of it has."}, []string{"service", "pool"})
	r.MustRegister(m.admissionRefused, m.admissionRoom)
	info := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "jacinth_build_info", Help: "1 for the build of this host."}, []string{"build"})
	info.WithLabelValues(build.Commit()).Set(1)
	r.MustRegister(m.StreamsTakenUp, m.StoreEra, m.Cut, m.Indirect, m.Peers, m.Unreadable, info)
	r.MustRegister(m.firstBytes)
	r.MustRegister(m.notices, m.Crashes, m.Suspects, m.SuspectsRefused, m.SuspectTrials)
	r.MustRegister(m.accounts.requests, m.requests, m.latency, m.active, m.stalls, m.Opened, m.orders, m.owned, m.ConfigVersion, m.Targets)
	return m
}

// RequestStarted counts a request in progress until the returned function is called.
func (m *Host) RequestStarted() func() {
	m.active.Inc()
	return m.active.Dec
}

// RequestEnded counts the end of a request, with the status that its caller got. account is the
// caller's client account, empty if it has none.
func (m *Host) RequestEnded(service, account string, status int, duration time.Duration) {
	m.requests.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(service).Observe(duration.Seconds())
	if account != "" {
		m.accounts.add(account, status)
	}
}

// ObserveStall records how long a request waited for its adapter.
func (m *Host) ObserveStall(wait time.Duration) { m.stalls.Observe(wait.Seconds()) }

// ObserveFirstByte records how long the first byte of a target's answer took and what was expected.
func (m *Host) ObserveFirstByte(service string, took, expected time.Duration) {
	if expected > 0 {
		m.firstBytes.WithLabelValues(service).Observe(took.Seconds() / expected.Seconds())
	}
}

// TargetSpoke counts what a target said of itself.
func (m *Host) TargetSpoke(n notice.Notice) {
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

// SetOwned sets the number of runners that this host owns.
func (m *Host) SetOwned(runners int) { m.owned.Set(float64(runners)) }

// CountOrder counts an order by its reply.
func (m *Host) CountOrder(reply string) { m.orders.WithLabelValues(reply).Inc() }
