// Package registry implements the stand-in for a plain service whose charges,
// permits and certificates may be issued only once. It counts how often each
// call ran.
package registry

import (
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"jacinthstage/standin/internal/fault"
	"jacinthstage/standin/internal/serve"
)

// maxBody is the maximum size of a call's body, in bytes.
const maxBody = 1 << 20

// A Registry counts calls. The zero value is ready for use.
type Registry struct {
	Name string // included in its answers

	gate      fault.Gate
	mu        sync.Mutex
	runsByKey map[string]int
	reads     int
}

// Counts holds the number of runs of each call, by idempotency key, and the
// number of reads.
type Counts struct {
	RunsByKey map[string]int `json:"calls"`
	Reads     int            `json:"reads"`
}

// A Receipt is the answer to a call that ran.
type Receipt struct {
	Registry string `json:"registry"`
	Key      string `json:"key"`
	Runs     int    `json:"times"` // number of runs with this key so far
	Size     int    `json:"size"`  // size of the call's body in bytes
}

// Handler returns the handler of the registry's HTTP API.
func (g *Registry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(g.gate.Middleware)
		for _, path := range []string{"/charge", "/permit", "/certificate"} {
			r.Post(path, g.handleCall)
		}
		r.Get("/status/{duct}", g.handleStatus)
	})
	r.Put("/admin/fault", g.gate.HandleAdmin)
	r.Get("/admin/counts", g.handleCounts)
	return r
}

// Counts returns the totals so far.
func (g *Registry) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := maps.Clone(g.runsByKey)
	if calls == nil {
		calls = map[string]int{}
	}
	return Counts{RunsByKey: calls, Reads: g.reads}
}

func (g *Registry) handleCall(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		http.Error(w, "Idempotency-Key is missing", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runs := g.countRun(key)
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	if g.gate.TakeLostAnswer() {
		fault.Abort()
	}
	serve.WriteJSON(w, http.StatusCreated, Receipt{Registry: g.Name, Key: key, Runs: runs, Size: len(body)})
}

// countRun counts a run with key and returns the number of runs so far.
func (g *Registry) countRun(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runsByKey == nil {
		g.runsByKey = map[string]int{}
	}
	g.runsByKey[key]++
	return g.runsByKey[key]
}

func (g *Registry) handleStatus(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.reads++
	g.mu.Unlock()
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	serve.WriteJSON(w, http.StatusOK, struct {
		Duct  string `json:"duct"`
		State string `json:"state"`
	}{chi.URLParam(r, "duct"), "free"})
}

func (g *Registry) handleCounts(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, g.Counts())
}
