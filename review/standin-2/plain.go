package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	plainSlots = 6
	plainWork  = 30 * time.Millisecond
)

// A plain is a runner of the registry service.
type plain struct {
	name, zone, address string
	store               *store
	log                 *record
	born                int64
	server              *http.Server
	leaving, ended      atomic.Bool
	running             atomic.Int32
	// arrived is called with each request that arrives, and answered with each that was answered.
	arrived, answered func(id string)
}

func startPlain(s *store, log *record, name, zone, address string) *plain {
	p := &plain{name: name, zone: zone, store: s, log: log, born: time.Now().UnixMilli(), arrived: func(string) {}, answered: func(string) {}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("runner", err)
	}
	p.address = l.Addr().String()
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	go p.register()
	return p
}

// register writes the entry of the runner once each heartbeat, until it leaves or ends.
func (p *plain) register() {
	for !p.ended.Load() && !p.leaving.Load() {
		p.store.set("servers", p.name, map[string]any{
			"service": "registry", "address": p.address, "zone": p.zone, "version": "v1", "slots": plainSlots, "state": "ready", "seq": 0, "born": p.born,
		})
		time.Sleep(heartbeat)
	}
}

// crash ends the runner at once.
func (p *plain) crash() {
	p.ended.Store(true)
	_ = p.server.Close()
	p.log.add("runner %s crashes", p.name)
}

// leave makes the runner one that leaves: its entry is removed, its answers say so, and it serves on.
func (p *plain) leave() {
	p.leaving.Store(true)
	p.store.remove("servers", p.name)
	p.log.add("runner %s leaves, its entry is removed", p.name)
}

func (p *plain) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(words["id"])
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if p.leaving.Load() {
		w.Header().Set(words["leaving"], "1")
	}
	if id != "" {
		w.Header().Set(words["id"], id)
	}
	if expected := q.Header.Get(words["expect"]); expected != "" && expected != p.name {
		w.Header().Set(words["notrun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.arrived(id)
	running := p.running.Add(1)
	defer p.running.Add(-1)
	time.Sleep(plainWork)
	w.Header().Set(words["signature"], p.name+"."+id)
	w.Header().Set(words["load"], fmt.Sprintf("%d,0,%d", running, plainSlots))
	p.answered(id)
	_, _ = io.WriteString(w, "entry of "+id)
}
