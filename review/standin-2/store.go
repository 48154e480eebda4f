package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A store is the platform's store: objects with revisions, conditional writes and watches. It can be
// away, and come back from a copy.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	era      int
	away     bool
	revision uint64
	objects  map[string]map[string]object
	events   []event
	copied   *saved
}

// saved is the copy that the store comes back from.
type saved struct {
	revision uint64
	objects  map[string]map[string]object
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type event struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

func newStore() *store {
	s := &store{revision: 1, objects: make(map[string]map[string]object)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// set writes an object as the operator or a runner does. It returns false while the store is away.
func (s *store) set(kind, name string, spec any) bool {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if existing, found := s.objects[kind][name]; !found || string(existing.Spec) != string(text) {
		s.write(kind, name, text)
	}
	return true
}

// write stores an object. s.mu must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// record keeps an event for watches. s.mu must be held.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	s.changed.Broadcast()
}

// save makes the copy that restore goes back to.
func (s *store) save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &saved{revision: s.revision, objects: make(map[string]map[string]object)}
	for kind, objects := range s.objects {
		s.copied.objects[kind] = maps.Clone(objects)
	}
}

// leave makes the store be away: waiting calls end, and all others get status 503.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.changed.Broadcast()
}

// comeBack ends that. If restored is set the store holds what the copy does, in a new era.
func (s *store) comeBack(restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if !restored {
		return
	}
	s.era++
	s.revision, s.objects = s.copied.revision, s.copied.objects
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.Object.Metadata.Revision > s.revision })
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, words["objects"]), "/")
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	existing, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case !found && r.Method != http.MethodPost:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, existing)
	case r.Method == http.MethodPost:
		if before, taken := s.objects[kind][sent.Metadata.Name]; taken {
			answer(w, http.StatusConflict, before)
			return
		}
		answer(w, http.StatusOK, s.write(kind, sent.Metadata.Name, sent.Spec))
	case r.Method == http.MethodPut:
		if sent.Metadata.Revision != 0 && sent.Metadata.Revision != existing.Metadata.Revision {
			answer(w, http.StatusConflict, existing)
			return
		}
		answer(w, http.StatusOK, s.write(kind, name, sent.Spec))
	case r.Method == http.MethodDelete:
		if q := r.URL.Query().Get("revision"); q != "" && q != strconv.FormatUint(existing.Metadata.Revision, 10) {
			answer(w, http.StatusConflict, existing)
			return
		}
		s.revision++
		delete(s.objects[kind], name)
		existing.Metadata.Revision = s.revision
		s.record(event{kind: kind, Object: existing, Tombstone: true})
		answer(w, http.StatusOK, existing)
	}
}

// A gate is the store as one host meets it, which may be turned away.
type gate struct {
	store  *store
	server *httptest.Server
	closed atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

// close turns the host away, whose waiting watches are cut off.
func (g *gate) close() {
	g.closed.Store(true)
	g.server.CloseClientConnections()
}

// remove removes an object as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, Object: o, Tombstone: true})
}

// nameEra names the era, which has a name once the store has come back from a copy.
func (s *store) nameEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }

const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.objects[kind])), func(name string) bool { return name <= after })
	items := []object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, words["more"]: len(names) > pageSize, words["revision"]: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	defer time.AfterFunc(time.Until(until), s.changed.Broadcast).Stop()
	for era := s.era; ; s.changed.Wait() {
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		switch {
		case s.away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case era != s.era || from > s.revision:
			s.nameEra(w)
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !time.Now().Before(until):
			answer(w, http.StatusOK, map[string]any{"events": events, words["revision"]: s.revision})
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		fmt.Println("store: answer not sent:", err)
	}
}
