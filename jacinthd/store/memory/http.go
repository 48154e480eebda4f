package memory

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthstage/stage/store"
)

// Handler returns the store as docs/WIRE.md gives it, without the weight store
// and the admin calls. A call whose answer is lost has its connection closed.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/object/{key...}", s.serveGet)
	mux.HandleFunc("PUT /v1/object/{key...}", s.servePut)
	mux.HandleFunc("DELETE /v1/object/{key...}", s.serveDelete)
	mux.HandleFunc("GET /v1/list", s.serveList)
	mux.HandleFunc("GET /v1/watch", s.serveWatch)
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValue+1))
	if err != nil {
		return
	}
	var o store.Object
	status := http.StatusOK
	if r.Header.Get("If-None-Match") == "*" {
		status = http.StatusCreated
		o, err = s.Create(r.Context(), r.PathValue("key"), value)
	} else {
		o, err = s.Update(r.Context(), r.PathValue("key"), matched(r), value)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	w.WriteHeader(status)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.Context(), r.PathValue("key"), matched(r)); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// The forms of JSON bodies.
type (
	objectForm struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	pageForm struct {
		Revision uint64       `json:"revision"`
		Objects  []objectForm `json:"objects"`
		More     bool         `json:"more"`
	}
	lineForm struct {
		Kind     string `json:"kind"`
		Key      string `json:"key,omitempty"`
		Version  uint64 `json:"version,omitempty"`
		Revision uint64 `json:"revision"`
		Value    []byte `json:"value,omitempty"`
	}
	presenceForm struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Kind  string `json:"kind"`
	}
	hostsForm struct {
		Hosts []presenceForm `json:"hosts"`
	}
)

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	p, err := s.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"))
	if err != nil {
		refuse(w, err)
		return
	}
	form := pageForm{Revision: p.Revision, More: p.More}
	for _, o := range p.Objects {
		form.Objects = append(form.Objects, objectForm(o))
	}
	_ = json.NewEncoder(w).Encode(form)
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	list, err := s.Hosts(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	var form hostsForm
	for _, p := range list {
		form.Hosts = append(form.Hosts, presenceForm(p))
	}
	_ = json.NewEncoder(w).Encode(form)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	begun := false
	lines := json.NewEncoder(w)
	err = s.Watch(r.Context(), r.FormValue("prefix"), revision, func(c store.Event) {
		begun = true
		_ = lines.Encode(lineOf(c))
		_ = http.NewResponseController(w).Flush()
	})
	if !begun {
		refuse(w, err)
	}
}

func lineOf(c store.Event) lineForm {
	switch x := c.(type) {
	case store.Put:
		return lineForm{Kind: "put", Key: x.Object.Key, Version: x.Object.Version, Revision: x.Revision, Value: x.Object.Value}
	case store.Delete:
		return lineForm{Kind: "delete", Key: x.Key, Revision: x.Revision}
	case store.Bookmark:
		return lineForm{Kind: "bookmark", Revision: x.Revision}
	default:
		panic(fmt.Sprintf("memory: unknown change %T", c))
	}
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// matched returns the version of If-Match, 0 where there is none.
func matched(r *http.Request) uint64 {
	version, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version
}

// refuse answers with the status of err; an answer that is lost ends the connection.
func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
