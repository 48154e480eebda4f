package traffic

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"jacinthstage/jacinthd/internal/peer"
)

// metrics holds the Prometheus metrics of a Server.
type metrics struct {
	requests   *prometheus.CounterVec
	retries    prometheus.Counter
	resumes    prometheus.Counter
	stall      prometheus.Histogram
	firstToken prometheus.Histogram
}

// histogramBounds are the upper bounds of the histograms' buckets, in seconds.
var histogramBounds = []float64{0, .001, .002, .005, .01, .02, .05, .1, .2, .33, .5, 1, 2, 5, 10, 30}

func newMetrics() metrics {
	return metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_requests_total", Help: "Completions of callers that have ended, by code (served, gone, or the error's) and verdict.",
		}, []string{"code", "verdict"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinth_retries_total", Help: "Attempts at completions after the first that took a retry from the budget.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinth_resumes_total", Help: "Attempts at resuming an answer through the owner of its runner.",
		}),
		stall: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_completion_stall_seconds", Help: "Time that served completions waited for their adapter.", Buckets: histogramBounds,
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_first_token_seconds", Help: "Time from a streamed completion's arrival to its first token.", Buckets: histogramBounds,
		}),
	}
}

// countCompletion counts a completion that ended with err.
func (m *metrics) countCompletion(err error) {
	switch {
	case err == nil:
		m.requests.WithLabelValues("served", "ran").Inc()
	case errors.Is(err, errReceiverGone):
		m.requests.WithLabelValues("gone", "mayhaverun").Inc()
	default:
		e := verdictError(err)
		m.requests.WithLabelValues(string(e.Code), e.Verdict.String()).Inc()
	}
}

// Collectors returns the metrics of the server and of the link's byte counts.
func (s *Server) Collectors() []prometheus.Collector {
	s.setup()
	m := &s.metrics
	return []prometheus.Collector{m.requests, m.retries, m.resumes, m.stall, m.firstToken, linkCollector{s.Link}}
}

var (
	linkSent = prometheus.NewDesc("jacinth_link_sent_bytes_total",
		"Bytes of messages sent to the hosts of a region.", []string{"region"}, nil)
	linkReceived = prometheus.NewDesc("jacinth_link_received_bytes_total",
		"Bytes of messages received from the hosts of a region.", []string{"region"}, nil)
)

// A linkCollector collects the byte counts of a link.
type linkCollector struct{ link *peer.Link }

// Describe implements prometheus.Collector.
func (linkCollector) Describe(out chan<- *prometheus.Desc) {
	out <- linkSent
	out <- linkReceived
}

// Collect implements prometheus.Collector.
func (c linkCollector) Collect(out chan<- prometheus.Metric) {
	for _, region := range c.link.Regions() {
		count := c.link.Bytes(region)
		out <- prometheus.MustNewConstMetric(linkSent, prometheus.CounterValue, float64(count.Sent()), region)
		out <- prometheus.MustNewConstMetric(linkReceived, prometheus.CounterValue, float64(count.Received()), region)
	}
}
