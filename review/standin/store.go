package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of objects of one list response.
	pageSize = 500
	// storeTime is how long the store takes for an answer.
	storeTime = 4 * time.Millisecond
)

// An object is an object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// An event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"tombstone"`
	kind    string
}

// A store is the platform's store. Each of its listeners adds the network delay of the
// machines that use it.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	floor    uint64 // the history up to this revision is gone
	objects  map[string]map[string]object
	events   []event
	ready    map[string]time.Time // when the entry of a server was written last
	note     func(format string, args ...any)
}

func newStore(note func(string, ...any)) *store {
	s := &store{revision: 1, objects: make(map[string]map[string]object), ready: make(map[string]time.Time), note: note}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// listen serves the store on a free port of the loopback interface. delay is the time that
// a message takes one way, and place names the machines that use the port.
func (s *store) listen(place string, delay time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay + storeTime/2)
		answer := s.handle(r, place)
		time.Sleep(delay + storeTime/2)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.status)
		if answer.body != nil {
			_ = json.NewEncoder(w).Encode(answer.body)
		}
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// A reply is the response to one call.
type reply struct {
	status int
	body   any
}

func (s *store) handle(r *http.Request, place string) reply {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire["objects"]), "/")
	name = strings.TrimSuffix(name, "/status")
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, q.Get("after"), place)
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			return reply{status: http.StatusNotFound}
		}
		return reply{http.StatusOK, o}
	case r.Method == http.MethodDelete:
		return s.remove(kind, name, q.Get("revision"))
	default:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return reply{status: http.StatusBadRequest}
		}
		return s.write(r.Method, kind, o)
	}
}

// list returns one page of the objects of a kind, with the store's revision at that moment.
func (s *store) list(kind, after, place string) reply {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.objects[kind])), func(n string) bool { return n <= after })
	items := []object{}
	for _, n := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][n])
	}
	if kind == "versions" && len(items) > 0 {
		s.note("store: %s lists %s from %s to %s at revision %d, more pages: %t", place, kind, items[0].Metadata.Name, items[len(items)-1].Metadata.Name, s.revision, len(names) > pageSize)
	}
	return reply{http.StatusOK, map[string]any{"items": items, wire["more"]: len(names) > pageSize, wire["newest"]: s.revision}}
}

// watch returns the changes of a kind after a revision, once there are any.
func (s *store) watch(r *http.Request, kind string) reply {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	}
	defer time.AfterFunc(time.Until(deadline), wake).Stop()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			wake()
		case <-stop:
		}
	}()
	for {
		if from < s.floor || from > s.revision {
			return reply{status: http.StatusGone}
		}
		out := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				out = append(out, e)
			}
		}
		if len(out) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			return reply{http.StatusOK, map[string]any{"events": out, wire["newest"]: s.revision}}
		}
		s.changed.Wait()
	}
}

func (s *store) write(method, kind string, o object) reply {
	existing, ok := s.objects[kind][o.Metadata.Name]
	switch {
	case method == http.MethodPost && ok:
		return reply{http.StatusConflict, existing}
	case method == http.MethodPut && !ok && o.Metadata.Revision != 0:
		return reply{status: http.StatusNotFound}
	case method == http.MethodPut && o.Metadata.Revision != 0 && existing.Metadata.Revision != o.Metadata.Revision:
		return reply{http.StatusConflict, existing}
	}
	return reply{http.StatusOK, s.put(kind, o.Metadata.Name, o.Spec)}
}

// put stores an object. One that changes nothing keeps its revision. s.mu must be held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if kind == "servers" {
		s.ready[name] = time.Now()
	}
	if existing, ok := s.objects[kind][name]; ok && string(existing.Spec) == string(spec) {
		return existing
	}
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	s.changed.Broadcast()
	return o
}

func (s *store) remove(kind, name, revision string) reply {
	existing, ok := s.objects[kind][name]
	switch {
	case !ok:
		return reply{status: http.StatusNotFound}
	case revision != "" && revision != strconv.FormatUint(existing.Metadata.Revision, 10):
		return reply{http.StatusConflict, existing}
	}
	s.revision++
	delete(s.objects[kind], name)
	existing.Metadata.Revision = s.revision
	s.events = append(s.events, event{Object: existing, Deleted: true, kind: kind})
	s.changed.Broadcast()
	return reply{http.StatusOK, existing}
}

// set writes an object as the operator does, and returns the time of its acknowledgement.
func (s *store) set(kind, name string, spec string) (revision uint64, ack time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, json.RawMessage(spec)).Metadata.Revision, time.Now()
}

// dropHistory forgets all changes. Watches from an earlier revision get status 410.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.events = s.revision, nil
	s.changed.Broadcast()
}

// expire removes the entries of servers that have been silent for three heartbeats.
func (s *store) expire() {
	for range time.Tick(heartbeat / 4) {
		s.mu.Lock()
		for name, at := range s.ready {
			if time.Since(at) > 3*heartbeat {
				delete(s.ready, name)
				s.remove("servers", name, "")
			}
		}
		s.mu.Unlock()
	}
}

// setVersion names a version of an adapter, as the operator does.
func (s *store) setVersion(adapter string, version int) (uint64, time.Time) {
	return s.set("versions", "m0."+adapter, fmt.Sprintf(`{"model":"m0","adapter":%q,"version":%d}`, adapter, version))
}
