package traffic

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"jacinthstage/jacinthd/internal/peer"
)

// meters are the metrics of a Server.
type meters struct {
	requests *prometheus.CounterVec
	retries  prometheus.Counter
	resumes  prometheus.Counter
	stall    prometheus.Histogram
	first    prometheus.Histogram
}

// seconds are the bounds of the histograms, in seconds.
var seconds = []float64{0, .001, .002, .005, .01, .02, .05, .1, .2, .33, .5, 1, 2, 5, 10, 30}

func newMeters() meters {
	return meters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jacinth_requests_total", Help: "Completions of callers that ended, by code (served, gone, or the error's) and verdict.",
		}, []string{"code", "verdict"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinth_retries_total", Help: "Tries of completions behind the first.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jacinth_resumes_total", Help: "Tries at resuming an answer through the owner of its runner.",
		}),
		stall: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_completion_stall_seconds", Help: "What served completions waited for their adapter.", Buckets: seconds,
		}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "jacinth_first_token_seconds", Help: "Time from a streamed completion's arrival to its first token.", Buckets: seconds,
		}),
	}
}

// answered counts a completion that ended.
func (m *meters) answered(err error) {
	switch {
	case err == nil:
		m.requests.WithLabelValues("served", "ran").Inc()
	case errors.Is(err, errGone):
		m.requests.WithLabelValues("gone", "mayhaverun").Inc()
	default:
		e := said(err)
		m.requests.WithLabelValues(string(e.Code), e.Verdict.String()).Inc()
	}
}

// Collectors returns the metrics of the server and of the link's volume.
func (s *Server) Collectors() []prometheus.Collector {
	s.open()
	m := &s.meters
	return []prometheus.Collector{m.requests, m.retries, m.resumes, m.stall, m.first, volume{s.Link}}
}

var (
	linkSent = prometheus.NewDesc("jacinth_link_sent_bytes_total",
		"Bytes of messages sent to the hosts of a region.", []string{"region"}, nil)
	linkReceived = prometheus.NewDesc("jacinth_link_received_bytes_total",
		"Bytes of messages received from the hosts of a region.", []string{"region"}, nil)
)

// A volume collects what a link counts.
type volume struct{ link *peer.Link }

// Describe implements prometheus.Collector.
func (volume) Describe(out chan<- *prometheus.Desc) {
	out <- linkSent
	out <- linkReceived
}

// Collect implements prometheus.Collector.
func (v volume) Collect(out chan<- prometheus.Metric) {
	for _, region := range v.link.Regions() {
		count := v.link.Bytes(region)
		out <- prometheus.MustNewConstMetric(linkSent, prometheus.CounterValue, float64(count.Sent()), region)
		out <- prometheus.MustNewConstMetric(linkReceived, prometheus.CounterValue, float64(count.Received()), region)
	}
}
