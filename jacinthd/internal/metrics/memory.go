package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"jacinthstage/stage/connection"
	"jacinthstage/stage/memory"
)

// RegisterMemory registers metrics of what a host holds for others at r.
func RegisterMemory(r prometheus.Registerer, b *memory.Budget, connections *connection.Table) {
	for _, k := range memory.Kinds() {
		kind := prometheus.Labels{"kind": k.String()}
		r.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "jacinth_held_bytes", Help: "Bytes held for others, by kind.", ConstLabels: kind},
				func() float64 { return float64(b.Usage().Held[k]) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "jacinth_memory_refused_total", Help: "Bodies and answers for which there was no memory, by kind.", ConstLabels: kind},
				func() float64 { return float64(b.Usage().Refused[k]) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "jacinth_memory_evicted_total", Help: "Bodies and answers without progress that gave their memory to others, by kind.", ConstLabels: kind},
				func() float64 { return float64(b.Usage().Evicted[k]) }),
		)
	}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "jacinth_caller_connections", Help: "Open connections of callers."},
			func() float64 { return float64(connections.Usage().Open) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "jacinth_caller_connections_closed_total", Help: "Connections of callers that were closed for newer ones."},
			func() float64 { return float64(connections.Usage().Closed) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "jacinth_caller_connections_refused_total", Help: "New connections of callers that were closed since there were too many."},
			func() float64 { return float64(connections.Usage().Refused) }),
	)
}
