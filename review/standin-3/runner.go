package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	modelLoadTime = 600 * time.Millisecond
	adapterLoad   = 250 * time.Millisecond
	modelName     = "m0"
)

// A runner is a server of a service. It keeps its id over its restarts.
type runner struct {
	id, service, zone string
	engine            bool // it runs models
	address           string
	store             *store
	log               *record
	work              time.Duration // of a plain request
	events            int           // of a stream
	interval          time.Duration // between two of them

	mu       sync.Mutex
	version  string // of its software
	born     int64
	server   *http.Server
	stopBeat chan struct{}
	seq      uint64
	fence    uint64
	holder   string
	models   map[string]bool
	adapters map[string]time.Time // when each is there
	running  int
	slots    int
	lastBeat time.Time
	draining bool
}

// start starts a process of the runner. Only the first one holds a model.
func (r *runner) start(version string, holdsModel bool) {
	if r.address == "" {
		r.address = freeAddress("tcp")
	}
	l := listen(r.address)
	r.mu.Lock()
	r.version, r.born = version, time.Now().UnixMilli()
	r.seq, r.fence, r.holder, r.running, r.draining = 0, 0, "", 0, false
	r.models, r.adapters = make(map[string]bool), make(map[string]time.Time)
	if r.engine && holdsModel {
		r.models[modelName] = true
	}
	r.stopBeat = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc(wire("report"), r.report)
	mux.HandleFunc(wire("order"), r.order)
	mux.HandleFunc("/", r.request)
	r.server = &http.Server{Handler: mux, ConnContext: nil}
	server, stop := r.server, r.stopBeat
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(stop)
	r.log.line("runner %s started, software %s", r.id, version)
}

// crash ends the process: all its connections end.
func (r *runner) crash() {
	r.mu.Lock()
	server, stop := r.server, r.stopBeat
	r.mu.Unlock()
	close(stop)
	_ = server.Close()
	r.log.line("runner %s crashed", r.id)
}

// beat writes the entry into the store about every heartbeat. After three of them without a write
// the platform removes the entry.
func (r *runner) beat(stop chan struct{}) {
	for {
		r.writeEntry()
		select {
		case <-stop:
			born := r.born
			time.Sleep(3 * heartbeat)
			r.mu.Lock()
			gone := r.born == born
			r.mu.Unlock()
			if gone && r.store.serves() {
				r.store.remove("servers", r.id)
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *runner) writeEntry() {
	r.mu.Lock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, wire("cold"): 0, "seq": r.seq, "born": r.born,
	}
	if r.engine {
		entry["stage"], entry["models"] = "mixed", r.modelList()
	}
	r.mu.Unlock()
	if r.store.put("servers", r.id, entry) {
		r.mu.Lock()
		r.lastBeat = time.Now()
		r.mu.Unlock()
	}
}

// modelList returns the models with their adapters. r.mu must be held.
func (r *runner) modelList() []map[string]any {
	out := []map[string]any{}
	for name := range r.models {
		adapters := []string{}
		for a, at := range r.adapters {
			if !time.Now().Before(at) {
				adapters = append(adapters, a+"@1")
			}
		}
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return out
}

func (r *runner) report(w http.ResponseWriter, q *http.Request) {
	if !r.expected(w, q) {
		return
	}
	r.mu.Lock()
	coming := []string{}
	for a, at := range r.adapters {
		if time.Now().Before(at) {
			coming = append(coming, modelName+"/"+a+"@1")
		}
	}
	body := map[string]any{
		"stage": "mixed", "models": r.modelList(), "busy": false, "seq": r.seq, "waiting": 0, "running": r.running,
		"kvUsed": 1000, "kvTotal": 232000, "handles": 0, "coming": coming, "born": r.born,
	}
	r.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	if !r.expected(w, q) {
		return
	}
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		FencingToken                      uint64
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.obey(o.Operation, o.Model, o.Adapter, o.FencingToken, o.Precondition)
	r.log.line("runner %s order %s %s/%s by %s fence %d: %d", r.id, o.Operation, o.Model, o.Adapter, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// obey carries an order out. r.mu must be held.
func (r *runner) obey(operation, model, adapter string, fence uint64, precondition *uint64) int {
	now := time.Now()
	at, known := r.adapters[adapter]
	switch {
	case fence < r.fence:
		return http.StatusPreconditionFailed
	case precondition != nil && *precondition != r.seq:
		r.fence = fence
		return http.StatusConflict
	}
	r.fence = fence
	switch {
	case operation == "load" && adapter == "" && r.models[model]:
		return http.StatusOK
	case operation == "load" && adapter == "":
		r.seq++
		born := r.born
		time.AfterFunc(modelLoadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born {
				r.models[model] = true
			}
		})
		return http.StatusAccepted
	case operation == "load" && known && !now.Before(at):
		return http.StatusOK
	case operation == "load" && known:
		return http.StatusAccepted
	case operation == "load":
		r.seq++
		r.adapters[adapter] = now.Add(adapterLoad)
		return http.StatusAccepted
	default:
		r.seq++
		delete(r.adapters, adapter)
		return http.StatusOK
	}
}

// expected answers 421 if the request expects another runner.
func (r *runner) expected(w http.ResponseWriter, q *http.Request) bool {
	if expect := q.Header.Get(wire("expect")); expect != "" && expect != r.id {
		w.Header().Set(wire("instance"), r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// request runs a client's request.
func (r *runner) request(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire("id"))
	w.Header().Set(wire("id"), id)
	if !r.expected(w, q) {
		return
	}
	r.mu.Lock()
	model, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	at, there := r.adapters[adapter]
	missing := r.engine && (!r.models[model] || adapter != "" && (!there || time.Now().Before(at)))
	full := r.running >= r.slots
	if !missing && !full {
		r.running++
	}
	version, born := r.version, r.born
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	r.mu.Unlock()
	w.Header().Set(wire("load"), load)
	switch {
	case missing:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born {
			r.running--
		}
	}()
	r.log.line("runner %s runs %s after event %q, software %s", r.id, id, q.Header.Get(wire("after")), version)
	w.Header().Set(wire("signature"), fmt.Sprintf("%s.%d", r.id, born))
	w.Header().Set(wire("weights"), "1")
	if r.engine || strings.Contains(q.Header.Get("Accept"), "event-stream") {
		r.stream(w, q, version)
		return
	}
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", r.id, id)
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get(wire("after")))
	control := http.NewResponseController(w)
	for i := after + 1; i <= r.events; i++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d by software %s\n\n", i, i, r.events, version); err != nil {
			return
		}
		_ = control.Flush()
	}
}
