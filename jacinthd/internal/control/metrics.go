package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of the control goroutine. A nil *Metrics records
// nothing.
type Metrics struct {
	admits   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	orders   *prometheus.CounterVec
	crashes  prometheus.Counter
	version  prometheus.Gauge
	runners  prometheus.Gauge
	members  prometheus.Gauge
	waiting  prometheus.Gauge
	running  prometheus.Gauge
}

// Register creates the metrics and registers them with r.
func (m *Metrics) Register(r prometheus.Registerer) {
	m.admits = counter("jacinth_admitted_total", "Requests admitted to a runner owned here.", "resident")
	m.refusals = counter("jacinth_refused_total", "Requests refused by the owner of a runner.", "code")
	m.orders = counter("jacinth_orders_total", "Orders sent to engines.", "kind")
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "jacinth_crashes_total", Help: "Engine crashes with requests in progress.",
	})
	m.version = gauge("jacinth_config_version", "Configuration version in force.")
	m.runners = gauge("jacinth_runners_owned", "Runners owned by this host.")
	m.members = gauge("jacinth_members", "Members of this host's region.")
	m.waiting = gauge("jacinth_waiting", "Requests waiting for a runner owned here.")
	m.running = gauge("jacinth_running", "Requests on runners owned here.")
	r.MustRegister(m.admits, m.refusals, m.orders, m.crashes, m.version, m.runners, m.members, m.waiting, m.running)
}

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func (m *Metrics) admitted(resident bool) {
	if m == nil {
		return
	}
	label := "no"
	if resident {
		label = "yes"
	}
	m.admits.WithLabelValues(label).Inc()
}

func (m *Metrics) refused(code string) {
	if m != nil {
		m.refusals.WithLabelValues(code).Inc()
	}
}

func (m *Metrics) order(kind string) {
	if m != nil {
		m.orders.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) crashed() {
	if m != nil {
		m.crashes.Inc()
	}
}

func (m *Metrics) configured(version uint64) {
	if m != nil {
		m.version.Set(float64(version))
	}
}

// setGauges sets the gauges for owned runners, region members, and requests.
func (m *Metrics) setGauges(runners, members, waiting, running int) {
	if m == nil {
		return
	}
	m.runners.Set(float64(runners))
	m.members.Set(float64(members))
	m.waiting.Set(float64(waiting))
	m.running.Set(float64(running))
}
