// Package platform implements the stand-in for the platform: the object API,
// the list of hosts and targets and the weight store behind one HTTP handler,
// with rate limits and faults that an admin call injects.
package platform

import (
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"jacinthstage/standin/internal/fault"
	"jacinthstage/standin/internal/object"
	"jacinthstage/standin/internal/presence"
	"jacinthstage/standin/internal/serve"
	"jacinthstage/standin/internal/weight"
)

// A Platform serves the stand-in. Set the exported fields before the first call.
type Platform struct {
	WritesPerSecond float64 // 0 means no limit
	ReadsPerSecond  float64 // a watch counts as one read; 0 means no limit

	Weights weight.Store
	Hosts   presence.List

	gate    fault.Gate
	objects object.Store
	mu      sync.Mutex
	counts  Counts
}

// Counts holds the totals of the calls that the platform received.
type Counts struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Watches     int `json:"watches"`
	Loads       int `json:"loads"`
	Refused     int `json:"refused"`  // calls over the rate limit, weight loads included
	MaxInflight int `json:"inflight"` // highest number of concurrent weight loads
}

// Handler returns the handler of the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	reads, writes := p.rateLimit(p.ReadsPerSecond, &p.counts.Reads), p.rateLimit(p.WritesPerSecond, &p.counts.Writes)
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.gate.Middleware)
		r.With(reads).Get("/v1/object/*", p.handleGet)
		r.With(writes).Put("/v1/object/*", p.handlePut)
		r.With(writes).Delete("/v1/object/*", p.handleDelete)
		r.With(reads).Get("/v1/list", p.handleList)
		r.With(reads).Get("/v1/watch", p.handleWatch)
		r.With(reads).Get("/v1/hosts", p.handleHosts)
	})
	r.Post("/v1/weights/{adapter}", p.handleWeights)
	r.Put("/admin/fault", p.gate.HandleAdmin)
	r.Put("/admin/host/{name}", p.handlePutHost)
	r.Post("/admin/compact", p.handleCompact)
	r.Get("/admin/counts", p.handleCounts)
	return r
}

// Counts returns the totals so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts, loads := p.counts, p.Weights.Counts()
	counts.Loads, counts.MaxInflight = loads.Loads, loads.MaxInflight
	counts.Refused += loads.Refused
	return counts
}

// SilencedCalls returns the number of calls that were left without an answer by a silence fault.
func (p *Platform) SilencedCalls() int { return p.gate.SilencedCalls() }

// rateLimit returns middleware that counts calls and refuses those over the rate.
func (p *Platform) rateLimit(perSecond float64, count *int) func(http.Handler) http.Handler {
	limiter := rate.NewLimiter(rate.Inf, 0)
	if perSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !p.admit(limiter, count) {
				refuseOverRate(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// admit reports whether a call is within the rate, and counts the call as
// accepted or refused.
func (p *Platform) admit(limiter *rate.Limiter, count *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !limiter.Allow() {
		p.counts.Refused++
		return false
	}
	*count++
	return true
}

func refuseOverRate(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "over the rate", http.StatusTooManyRequests)
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	serve.WriteJSON(w, http.StatusOK, struct {
		Hosts []presence.Entry `json:"hosts"`
	}{p.Hosts.Entries(time.Now())})
}

func (p *Platform) handleWeights(w http.ResponseWriter, r *http.Request) {
	err := p.Weights.Fetch(r.Context())
	switch {
	case errors.Is(err, weight.ErrLimited):
		refuseOverRate(w)
	case err != nil:
		fault.Abort()
	default:
		serve.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) handlePutHost(w http.ResponseWriter, r *http.Request) {
	var entry presence.Entry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry.Name = chi.URLParam(r, "name")
	p.Hosts.Put(time.Now(), entry)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleCompact(w http.ResponseWriter, _ *http.Request) {
	p.objects.Compact()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) handleCounts(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, p.Counts())
}
