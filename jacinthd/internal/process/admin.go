package process

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHandler serves health, readiness and metrics.
func (p *Process) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, true) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, !p.stopping.Load() && p.loop.View().Ready)
	})
	r.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	return r
}

// writeHealth answers a health or readiness check.
func writeHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
