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

// bookmarkInterval is the longest time between two lines of a watch stream.
const bookmarkInterval = 500 * time.Millisecond

func objectKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/object/") }

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	found, err := p.objects.Get(objectKey(r))
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(found.Version))
	_, _ = w.Write(found.Value)
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		fault.Abort()
	}
	if r.Header.Get("If-None-Match") == "*" {
		created, err := p.objects.Create(objectKey(r), value)
		p.answerWrite(w, r, created, http.StatusCreated, err)
		return
	}
	version, ok := ifMatchVersion(w, r)
	if !ok {
		return
	}
	updated, err := p.objects.Update(objectKey(r), version, value)
	p.answerWrite(w, r, updated, http.StatusOK, err)
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	version, ok := ifMatchVersion(w, r)
	if !ok {
		return
	}
	err := p.objects.Delete(objectKey(r), version)
	p.answerWrite(w, r, object.Object{}, http.StatusNoContent, err)
}

// ifMatchVersion returns the version in the If-Match header. Without one it
// refuses the call, since every write must be conditional.
func ifMatchVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return 0, false
	}
	return version, true
}

// answerWrite answers a write. If a fault asks for it, it closes the connection
// instead of answering a write that took effect.
func (p *Platform) answerWrite(w http.ResponseWriter, r *http.Request, written object.Object, status int, err error) {
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
		return
	}
	if p.gate.TakeLostAnswer() {
		fault.Abort()
	}
	if written.Version > 0 {
		w.Header().Set("ETag", etag(written.Version))
	}
	w.WriteHeader(status)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page := p.objects.List(query.Get("prefix"), query.Get("after"), limit)
	fault.FromContext(r.Context()).BlockIfSilent(r.Context())
	serve.WriteJSON(w, http.StatusOK, page)
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
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
	p.streamChanges(w, r, prefix, revision)
}

// streamChanges writes changes and bookmarks until the watch's connection ends,
// an outage begins or the changes that the watch needs have been discarded.
func (p *Platform) streamChanges(w http.ResponseWriter, r *http.Request, prefix string, revision uint64) {
	outage := p.gate.OutageStarted()
	call := fault.FromContext(r.Context())
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	lines := json.NewEncoder(w)
	for {
		changes, latest, changed, err := p.objects.Changes(prefix, revision)
		if err != nil {
			return
		}
		call.BlockIfSilent(r.Context())
		for _, change := range changes {
			_ = lines.Encode(change)
		}
		if len(changes) == 0 {
			_ = lines.Encode(object.Change{Kind: "bookmark", Revision: latest})
		}
		revision = latest
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if !p.waitForChange(r, prefix, revision, changed, ticker.C, outage) {
			return
		}
	}
}

// waitForChange blocks until a key under prefix changes or a bookmark is due
// and then returns true. It returns false when the watch ends.
func (p *Platform) waitForChange(r *http.Request, prefix string, revision uint64, changed <-chan struct{}, bookmarks <-chan time.Time, outage <-chan struct{}) bool {
	for {
		select {
		case <-bookmarks:
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
