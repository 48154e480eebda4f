package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev"`
}

// MarshalJSON implements json.Marshaler. Nothing here holds up its deletion.
func (m metadata) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": m.Name, "revision": m.Revision, "createRev": m.CreateRev, wire("holds"): []string{}, "deleting": false,
	})
}

type change struct {
	Kind      string `json:"-"`
	Revision  uint64 `json:"-"`
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// A store is the platform's metadata store: linearizable, with one revision counter.
//
// Each host calls it at an address of its own, so that the store knows from which region it calls.
type store struct {
	far sync.Map // whether each host is in another region than the store, by its name

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{rev: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// serveHost serves one host, and returns the address at which it does.
func (s *store) serveHost(name string) netip.AddrPort {
	l := listen("127.0.0.1:0")
	mux := http.NewServeMux()
	serve := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.delay(name))
		s.serve(w, r)
	}
	mux.HandleFunc(wire("objects")+"{kind}", serve)
	mux.HandleFunc(wire("objects")+"{kind}/{name}", serve)
	mux.HandleFunc(wire("objects")+"{kind}/{name}/status", serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// delay returns how long a call of a host takes beyond its work.
func (s *store) delay(name string) time.Duration {
	if far, _ := s.far.Load(name); far == true {
		return 64 * time.Millisecond
	}
	return 4 * time.Millisecond
}

// put writes an object as the operator or a runner does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.kinds[kind][name]; !ok || string(known.Spec) != string(text) {
		s.write(kind, object{Metadata: metadata{Name: name}, Spec: text})
	}
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.delete(kind, o)
	}
}

func (s *store) write(kind string, o object) object {
	s.rev++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Metadata.Revision, o.Metadata.CreateRev = s.rev, s.rev
	if known, ok := s.kinds[kind][o.Metadata.Name]; ok {
		o.Metadata.CreateRev = known.Metadata.CreateRev
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.notify(change{Kind: kind, Revision: s.rev, Object: o})
	return o
}

func (s *store) delete(kind string, o object) {
	s.rev++
	delete(s.kinds[kind], o.Metadata.Name)
	o.Metadata.Revision = s.rev
	s.notify(change{Kind: kind, Revision: s.rev, Object: o, Tombstone: true})
}

func (s *store) notify(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	kind, name := r.PathValue("kind"), r.PathValue("name")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.one(w, r, kind, name, body)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	names = names[:min(len(names), 500)]
	items := []object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, wire("more"): more, wire("revision"): s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Kind == kind && c.Revision > from {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, wire("revision"): rev})
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, http.StatusOK, map[string]any{"events": events, wire("revision"): rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) one(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o object
	if len(body) > 0 && json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	o.Metadata.Name = name
	condition := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.write(kind, o))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, known)
	case condition != 0 && condition != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodDelete:
		s.delete(kind, known)
		reply(w, http.StatusOK, known)
	case r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/status"):
		known.Status = o.Spec
		reply(w, http.StatusOK, s.write(kind, known))
	case r.Method == http.MethodPut && string(known.Spec) == string(o.Spec):
		reply(w, http.StatusOK, known)
	default:
		reply(w, http.StatusOK, s.write(kind, o))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	check(err)
	return l
}
