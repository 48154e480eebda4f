package traffic

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/control"
	"jacinthstage/jacinthd/internal/engine"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/verdict"
)

const (
	// headerRequestID carries the request's ID on every answer.
	headerRequestID = "X-Request-Id"
	// headerDeadline carries the request's deadline as an RFC 3339 time.
	headerDeadline = "X-Deadline"
	// headerStall carries how long the request waited for its adapter, in milliseconds.
	headerStall = "X-Stall"

	// defaultTokens is the number of tokens for a request without max_tokens.
	defaultTokens = 16
	// prefixBytes is the length of the prompt's prefix whose hash selects a prefix
	// cache.
	prefixBytes = 256
	// fingerprintBytes is the length of a fingerprint before hexadecimal encoding.
	fingerprintBytes = 16
)

// A request is a completion that this host processes.
type request struct {
	job    control.Job
	prompt string
	// fingerprint identifies caller and body for the Quarantine.
	fingerprint string
	// arrived is the time when the request reached this host.
	arrived time.Time
}

// engineRequest returns the request to the engine for the tokens from offset on. It
// must be sent before the given time, unless that is zero.
func (req request) engineRequest(offset int, before time.Time) engine.Request {
	return engine.Request{
		ID: req.job.ID, Ref: req.job.Ref, Prompt: req.prompt, MaxTokens: req.job.MaxTokens,
		Deadline: req.job.Deadline, Priority: req.job.Priority, Offset: offset, SendBefore: before,
	}
}

// A body is the JSON body of a completion. The name of the type is part of the
// errors of package json that callers receive.
type body struct {
	Model  *string `json:"model"`
	Prompt *string `json:"prompt"`
	Tokens *int    `json:"max_tokens"`
	Stream bool    `json:"stream"`
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// withRequestID sets the request's ID on its answer: the ID that the caller sent
// if it is valid, or else a new one.
func (s *Server) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		if !requestIDPattern.MatchString(id) {
			id = rand.Text()
		}
		w.Header().Set(headerRequestID, id)
		if !s.Control.View().Ready {
			w.Header().Set("Connection", "close") // so that the caller's next request goes to another host
		}
		next.ServeHTTP(w, r)
	})
}

// authenticate returns the current view and the caller that the request's token
// belongs to.
func (s *Server) authenticate(r *http.Request) (*control.View, caller.Caller, error) {
	view := s.Control.View()
	if view.Config == nil || view.Config.Version == 0 {
		return nil, caller.Caller{}, errNoConfig
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, caller.Caller{}, errNoToken
	}
	from, ok := view.Config.CallerByToken(strings.TrimSpace(token))
	if !ok {
		return nil, caller.Caller{}, errNoToken
	}
	return view, from, nil
}

// readCompletion reads a completion and checks that its caller may request it. The
// second result reports whether the answer is to be streamed.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (request, bool, error) {
	arrived := time.Now()
	view, from, err := s.authenticate(r)
	if err != nil {
		return request{}, false, err
	}
	deadline, err := s.parseDeadline(r, arrived)
	if err != nil {
		return request{}, false, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	if err != nil {
		return request{}, false, bodyError(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	b, ref, err := s.parseCompletion(text)
	if err != nil {
		return request{}, false, err
	}
	if err := checkAccess(view.Config, from, ref); err != nil {
		return request{}, false, err
	}
	req := request{prompt: *b.Prompt, fingerprint: fingerprint(from.Name, text), arrived: arrived}
	req.job = control.Job{
		ID: rand.Text(), Ref: ref, Service: view.Config.Adapters[ref.Name].Service,
		Caller: from.Name, Weight: max(1, from.Weight), Priority: from.Priority,
		Deadline: deadline, PrefixHash: xxhash.Sum64String(req.prompt[:min(len(req.prompt), prefixBytes)]), MaxTokens: *b.Tokens,
	}
	return req, b.Stream, nil
}

// bodyError returns the answer to a body that could not be read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return verdict.Refuse(verdict.TooLarge, "the body is over %d bytes", large.Limit)
	}
	return verdict.Refuse(verdict.Malformed, "the body can't be read")
}

// parseCompletion decodes and validates the body of a completion.
func (s *Server) parseCompletion(text []byte) (body, adapter.Ref, error) {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return b, adapter.Ref{}, verdict.Refuse(verdict.Malformed, "the body is not the JSON of a completion: %v", err)
	}
	if b.Model == nil || b.Prompt == nil {
		return b, adapter.Ref{}, verdict.Refuse(verdict.Malformed, "model and prompt must be given")
	}
	ref, err := adapter.Parse(*b.Model)
	if err != nil {
		return b, adapter.Ref{}, verdict.Refuse(verdict.Malformed, "model must be adapter@version")
	}
	if b.Tokens == nil {
		tokens := min(defaultTokens, s.limits.MaxTokens)
		b.Tokens = &tokens
	}
	if *b.Tokens < 1 || *b.Tokens > s.limits.MaxTokens {
		return b, adapter.Ref{}, verdict.Refuse(verdict.Invalid, "max_tokens must be 1 to %d", s.limits.MaxTokens)
	}
	if *b.Prompt == "" {
		return b, adapter.Ref{}, verdict.Refuse(verdict.Invalid, "prompt is empty")
	}
	return b, ref, nil
}

// parseDeadline returns the time by which the answer must be complete.
func (s *Server) parseDeadline(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(s.limits.DefaultTimeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return deadline, verdict.Refuse(verdict.Malformed, headerDeadline+" is not a time in RFC 3339")
	}
	if !deadline.After(now) {
		return deadline, errDeadlinePassed
	}
	if longest := now.Add(s.limits.MaxTimeout); deadline.After(longest) {
		return longest, nil
	}
	return deadline, nil
}

// checkAccess returns an error if the adapter doesn't exist or no rule allows the
// caller to use it.
func checkAccess(config *patch.Config, from caller.Caller, ref adapter.Ref) error {
	entry, ok := config.Adapters[ref.Name]
	if !ok || !entry.HasVersion(ref.Version) {
		return verdict.Refuse(verdict.NotFound, "no such adapter or version: %s", ref)
	}
	if !config.Allows(from.Name, ref) {
		return verdict.Refuse(verdict.Forbidden, "no rule allows this caller %s", ref)
	}
	return nil
}

// fingerprint returns the fingerprint of a body that a caller sent.
func fingerprint(callerName string, text []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(callerName + "\x00"))
	_, _ = hash.Write(text)
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// servePlain passes a call on to Plain if a rule allows it.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	view, from, err := s.authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	name := chi.URLParam(r, "name")
	svc, ok := view.Config.Services[name]
	if !ok || svc.Plain == nil || s.Plain == nil {
		writeError(w, verdict.Refuse(verdict.NotFound, "no such service"))
		return
	}
	if !view.Config.AllowsService(from.Name, name) {
		writeError(w, verdict.Refuse(verdict.Forbidden, "no rule allows this caller the service"))
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/service/"+name)
	if !ok || rest != "" && path.Clean(rest) != strings.TrimSuffix(rest, "/") && rest != "/" {
		writeError(w, verdict.Refuse(verdict.Malformed, "the path has dot segments or empty segments"))
		return
	}
	if rest == "" {
		rest = "/"
	}
	s.active.add()
	defer s.active.done()
	s.Plain.Serve(w, r, from, svc, rest, view.Targets[name])
}
