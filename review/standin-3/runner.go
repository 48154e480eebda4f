package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// coldTime is how long a server is slow after its start, as it says.
const coldTime = 5 * time.Minute

// heartbeat is about how often a server writes its entry into the store.
const heartbeat = 1200 * time.Millisecond

// A runner is a server of the plain service.
type runner struct {
	id, zone string
	address  string
	store    *store
	log      *record
	work     time.Duration // of a request
	slots    int

	server *http.Server

	mu       sync.Mutex
	born     int64
	stopBeat chan struct{}
	running  int
	leftAt   time.Time // when the store accepted the removal of its entry; zero before
	late     []arrival // requests that came after that
}

// An arrival is a request that reached a server that is gone according to the store.
type arrival struct {
	id    string
	after time.Duration // since the store accepted the removal
}

func (r *runner) start() {
	l := listen("127.0.0.1:0")
	r.address, r.born, r.stopBeat = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.request)}
	go func() { _ = r.server.Serve(l) }()
	r.writeEntry()
	go r.beat(r.stopBeat)
	r.log.line("server %s started", r.id)
}

func (r *runner) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			r.writeEntry()
		}
	}
}

func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leftAt.IsZero() {
		return
	}
	r.store.put("servers", r.id, map[string]any{
		"service": "records", "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", wire("cold"): max(0, coldTime.Milliseconds()-(time.Now().UnixMilli()-r.born)), "seq": 0, "born": r.born,
	})
}

// leave removes the server's entry without a word before. It goes on serving, and says in its answers
// that it leaves, and ends exitAfter later.
func (r *runner) leave() {
	close(r.stopBeat)
	r.mu.Lock()
	r.store.remove("servers", r.id)
	r.leftAt = time.Now()
	r.mu.Unlock()
	time.AfterFunc(exitAfter, func() {
		_ = r.server.Close()
		r.log.line("server %s has ended", r.id)
	})
	r.log.line("server %s leaves: the store has accepted the removal of its entry", r.id)
}

// lateArrivals returns the requests that reached the server after its removal.
func (r *runner) lateArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.late...)
}

// request runs a client's request.
func (r *runner) request(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire("id"))
	w.Header().Set(wire("id"), id)
	if expect := q.Header.Get(wire("expect")); expect != "" && expect != r.id {
		w.Header().Set(wire("instance"), r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	if !r.leftAt.IsZero() {
		w.Header().Set(wire("leaving"), "1")
		r.late = append(r.late, arrival{id, time.Since(r.leftAt)})
		r.log.line("server %s gets %s %.3f s after its removal", r.id, id, time.Since(r.leftAt).Seconds())
	}
	w.Header().Set(wire("load"), fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	if full {
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	w.Header().Set(wire("signature"), fmt.Sprintf("%s.%d", r.id, r.born))
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", r.id, id)
}
