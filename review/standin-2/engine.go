package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	events     = 73
	eventPause = 55 * time.Millisecond
	batchSlots = 64
)

// An engine is a runner of the model service, of a version of its software. It holds the base model.
type engine struct {
	name, build, zone, address string
	store                      *store
	log                        *record
	born                       int64
	running                    atomic.Int32
	ended                      atomic.Bool
	server                     *http.Server
}

func startEngine(s *store, log *record, name, build, zone string) *engine {
	return startEngineAt(s, log, name, build, zone, "127.0.0.1:0")
}

func startEngineAt(s *store, log *record, name, build, zone, address string) *engine {
	e := &engine{name: name, build: build, zone: zone, store: s, log: log, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("engine", err)
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go e.register()
	return e
}

// crash ends the engine at once.
func (e *engine) crash() {
	e.ended.Store(true)
	_ = e.server.Close()
	e.log.add("engine %s of %s crashes", e.name, e.build)
}

// register writes the entry of the engine once each heartbeat.
func (e *engine) register() {
	for before := false; !e.ended.Load(); {
		entry := map[string]any{
			"service": "drafts", "address": e.address, "zone": e.zone, "version": e.build, "slots": batchSlots, "state": "ready", "seq": 0, "born": e.born, "stage": "mixed",
			"models": e.models(), "heard": time.Now().UnixMilli(),
		}
		written := e.store.set("servers", e.name, entry)
		if written != before {
			e.log.add("engine %s of %s: entry written %v", e.name, e.build, written)
		}
		before = written
		time.Sleep(heartbeat*9/10 + rand.N(heartbeat/5))
	}
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(words["id"])
	if id != "" {
		w.Header().Set(words["id"], id)
	}
	expected := q.Header.Get(words["expect"])
	switch {
	case expected != "" && expected != e.name:
		w.Header().Set(words["notrun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case q.URL.Path == words["report"]:
		answer(w, http.StatusOK, map[string]any{
			"stage": "mixed", "models": e.models(), "busy": false, "seq": 0, "waiting": 0, "running": e.running.Load(), "kvUsed": 0, "kvTotal": 232000, "handles": 0, "born": e.born,
		})
	case id == "":
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.stream(w, q, id)
	}
}

// stream sends the events of a stream, from the one after that which the caller has.
func (e *engine) stream(w http.ResponseWriter, q *http.Request, id string) {
	after, _ := strconv.Atoi(q.Header.Get(words["after"]))
	e.running.Add(1)
	defer e.running.Add(-1)
	e.log.add("run %s on %s of %s, after event %d", id, e.name, e.build, after)
	w.Header().Set(words["signature"], e.name+"."+id)
	w.Header().Set(words["load"], fmt.Sprintf("%d,0,%d", e.running.Load(), batchSlots))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= events; i++ {
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			e.log.add("run %s ends after event %d, its channel was closed", id, i-1)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s text\n\n", i, e.build); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
