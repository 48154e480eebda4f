package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/standin/internal/fault"
	"jacinthstage/standin/internal/object"
	"jacinthstage/standin/internal/serve"
)

// beat is the longest time between two lines of a watch.
const beat = 500 * time.Millisecond

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/object/") }

func tag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	found, err := p.objects.Get(keyOf(r))
	fault.Of(r.Context()).Mute(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag(found.Version))
	_, _ = w.Write(found.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValue))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		fault.Abort()
	}
	if r.Header.Get("If-None-Match") == "*" {
		created, err := p.objects.Create(keyOf(r), value)
		p.written(w, r, created, http.StatusCreated, err)
		return
	}
	version, ok := match(w, r)
	if !ok {
		return
	}
	updated, err := p.objects.Update(keyOf(r), version, value)
	p.written(w, r, updated, http.StatusOK, err)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := match(w, r)
	if !ok {
		return
	}
	err := p.objects.Delete(keyOf(r), version)
	p.written(w, r, object.Object{}, http.StatusNoContent, err)
}

// match returns the version that the caller's condition names; without one the
// call is refused, since every write is conditional.
func match(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return 0, false
	}
	return version, true
}

// written answers a write, or loses the answer of one that took effect.
func (p *Platform) written(w http.ResponseWriter, r *http.Request, at object.Object, status int, err error) {
	fault.Of(r.Context()).Mute(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
		return
	}
	if p.gate.Lose() {
		fault.Abort()
	}
	if at.Version > 0 {
		w.Header().Set("ETag", tag(at.Version))
	}
	w.WriteHeader(status)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page := p.objects.List(query.Get("prefix"), query.Get("after"), limit)
	fault.Of(r.Context()).Mute(r.Context())
	serve.JSON(w, http.StatusOK, page)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	if _, _, _, err = p.objects.Changes(prefix, revision); err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	p.stream(w, r, prefix, revision)
}

// stream writes changes and bookmarks until the watch's connection ends, an
// outage begins or the changes it needs are no longer kept.
func (p *Platform) stream(w http.ResponseWriter, r *http.Request, prefix string, revision uint64) {
	outage := p.gate.Outages()
	call := fault.Of(r.Context())
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	out := json.NewEncoder(w)
	for {
		changes, upto, changed, err := p.objects.Changes(prefix, revision)
		if err != nil {
			return
		}
		call.Mute(r.Context())
		for _, change := range changes {
			_ = out.Encode(change)
		}
		if len(changes) == 0 {
			_ = out.Encode(object.Change{Kind: "bookmark", Revision: upto})
		}
		revision = upto
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if !p.wait(r, prefix, revision, changed, ticker.C, outage) {
			return
		}
	}
}

// wait returns true at the next change under prefix or the next beat, false when the watch ends.
func (p *Platform) wait(r *http.Request, prefix string, revision uint64, changed <-chan struct{}, beats <-chan time.Time, outage <-chan struct{}) bool {
	for {
		select {
		case <-beats:
			return true
		case <-outage:
			return false
		case <-r.Context().Done():
			return false
		case <-changed:
		}
		changes, _, next, err := p.objects.Changes(prefix, revision)
		if err != nil || len(changes) > 0 {
			return err == nil
		}
		changed = next
	}
}
