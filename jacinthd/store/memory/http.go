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

// Handler returns a handler for the HTTP interface of the object API as docs/WIRE.md
// specifies it, without the weight store and the admin calls. It closes the
// connection of a call whose answer a fault discards.
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
		writeError(w, err)
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
		o, err = s.Update(r.Context(), r.PathValue("key"), ifMatchVersion(r), value)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	w.WriteHeader(status)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.Context(), r.PathValue("key"), ifMatchVersion(r)); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// JSON bodies of answers.
type (
	objectJSON struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	pageJSON struct {
		Revision uint64       `json:"revision"`
		Objects  []objectJSON `json:"objects"`
		More     bool         `json:"more"`
	}
	changeJSON struct {
		Kind     string `json:"kind"`
		Key      string `json:"key,omitempty"`
		Version  uint64 `json:"version,omitempty"`
		Revision uint64 `json:"revision"`
		Value    []byte `json:"value,omitempty"`
	}
	presenceJSON struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Kind  string `json:"kind"`
	}
	hostsJSON struct {
		Hosts []presenceJSON `json:"hosts"`
	}
)

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	p, err := s.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"))
	if err != nil {
		writeError(w, err)
		return
	}
	body := pageJSON{Revision: p.Revision, More: p.More}
	for _, o := range p.Objects {
		body.Objects = append(body.Objects, objectJSON(o))
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	list, err := s.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	var body hostsJSON
	for _, p := range list {
		body.Hosts = append(body.Hosts, presenceJSON(p))
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	started := false
	encoder := json.NewEncoder(w)
	err = s.Watch(r.Context(), r.FormValue("prefix"), revision, func(c store.Event) {
		started = true
		_ = encoder.Encode(encodeChange(c))
		_ = http.NewResponseController(w).Flush()
	})
	if !started {
		writeError(w, err)
	}
}

// encodeChange returns the JSON form of a change.
func encodeChange(c store.Event) changeJSON {
	switch x := c.(type) {
	case store.Put:
		return changeJSON{Kind: "put", Key: x.Object.Key, Version: x.Object.Version, Revision: x.Revision, Value: x.Object.Value}
	case store.Delete:
		return changeJSON{Kind: "delete", Key: x.Key, Revision: x.Revision}
	case store.Bookmark:
		return changeJSON{Kind: "bookmark", Revision: x.Revision}
	default:
		panic(fmt.Sprintf("memory: unknown change %T", c))
	}
}

// etag returns the ETag of an object version.
func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// ifMatchVersion returns the version in the If-Match header, or 0 if there is none.
func ifMatchVersion(r *http.Request) uint64 {
	version, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version
}

// writeError answers with the status for err. For store.ErrOutcomeUnknown, a lost answer,
// it aborts the connection.
func writeError(w http.ResponseWriter, err error) {
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
