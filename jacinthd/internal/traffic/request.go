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
	// headerID names a request on every answer.
	headerID = "X-Request-Id"
	// headerDeadline carries the deadline, RFC 3339.
	headerDeadline = "X-Deadline"
	// headerStall carries what an answer's request waited for its adapter, in milliseconds.
	headerStall = "X-Stall"

	// defaultTokens is the number of tokens where a request names none.
	defaultTokens = 16
	// prefixBytes is the length of a prompt's head that leads to a prefix cache.
	prefixBytes = 256
	// printBytes is the length of a fingerprint before its encoding.
	printBytes = 16
)

// A request is one completion as a host works on it.
type request struct {
	job    control.Job
	prompt string
	// print is the fingerprint of caller and body, for suspects.
	print string
	// arrived is when the request reached this host.
	arrived time.Time
}

// engine returns what the engine is asked for.
func (q request) engine(offset int, before time.Time) engine.Request {
	return engine.Request{
		ID: q.job.ID, Ref: q.job.Ref, Prompt: q.prompt, MaxTokens: q.job.MaxTokens,
		Deadline: q.job.Deadline, Priority: q.job.Priority, Offset: offset, SendBefore: before,
	}
}

// A body is a completion's JSON.
type body struct {
	Model  *string `json:"model"`
	Prompt *string `json:"prompt"`
	Tokens *int    `json:"max_tokens"`
	Stream bool    `json:"stream"`
}

var idForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// named puts a request's id on its answer: the caller's, or a new one.
func (s *Server) named(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		if !idForm.MatchString(id) {
			id = rand.Text()
		}
		w.Header().Set(headerID, id)
		if !s.Control.View().Ready {
			w.Header().Set("Connection", "close") // the caller's next request goes to another host
		}
		next.ServeHTTP(w, r)
	})
}

// authenticate returns the configuration in force and the caller.
func (s *Server) authenticate(r *http.Request) (*control.View, caller.Caller, error) {
	view := s.Control.View()
	if view.Config == nil || view.Config.Version == 0 {
		return nil, caller.Caller{}, errNoConfig
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, caller.Caller{}, errNoToken
	}
	who, ok := view.Config.CallerByToken(strings.TrimSpace(token))
	if !ok {
		return nil, caller.Caller{}, errNoToken
	}
	return view, who, nil
}

// read returns a completion as its caller may ask for it, and whether the
// answer is to be streamed.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (request, bool, error) {
	arrived := time.Now()
	view, who, err := s.authenticate(r)
	if err != nil {
		return request{}, false, err
	}
	deadline, err := s.deadline(r, arrived)
	if err != nil {
		return request{}, false, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	if err != nil {
		return request{}, false, unread(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	b, ref, err := s.parse(text)
	if err != nil {
		return request{}, false, err
	}
	if err := allowed(view.Config, who, ref); err != nil {
		return request{}, false, err
	}
	q := request{prompt: *b.Prompt, print: fingerprint(who.Name, text), arrived: arrived}
	q.job = control.Job{
		ID: rand.Text(), Ref: ref, Service: view.Config.Adapters[ref.Name].Service,
		Caller: who.Name, Weight: max(1, who.Weight), Priority: who.Priority,
		Deadline: deadline, PrefixHash: xxhash.Sum64String(q.prompt[:min(len(q.prompt), prefixBytes)]), MaxTokens: *b.Tokens,
	}
	return q, b.Stream, nil
}

func unread(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return verdict.Refuse(verdict.TooLarge, "the body is over %d bytes", large.Limit)
	}
	return verdict.Refuse(verdict.Malformed, "the body can't be read")
}

// parse reads a completion's JSON.
func (s *Server) parse(text []byte) (body, adapter.Ref, error) {
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

// deadline returns when the answer must be complete.
func (s *Server) deadline(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(s.limits.DefaultTimeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return deadline, verdict.Refuse(verdict.Malformed, headerDeadline+" is not a time in RFC 3339")
	}
	if !deadline.After(now) {
		return deadline, errLate
	}
	if longest := now.Add(s.limits.MaxTimeout); deadline.After(longest) {
		return longest, nil
	}
	return deadline, nil
}

func allowed(config *patch.Config, who caller.Caller, ref adapter.Ref) error {
	entry, ok := config.Adapters[ref.Name]
	if !ok || !entry.HasVersion(ref.Version) {
		return verdict.Refuse(verdict.NotFound, "no such adapter or version: %s", ref)
	}
	if !config.Allows(who.Name, ref) {
		return verdict.Refuse(verdict.Forbidden, "no rule allows this caller %s", ref)
	}
	return nil
}

func fingerprint(who string, text []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(who + "\x00"))
	_, _ = hash.Write(text)
	return hex.EncodeToString(hash.Sum(nil)[:printBytes])
}

// service hands a call on to Plain where a rule allows it.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	view, who, err := s.authenticate(r)
	if err != nil {
		fail(w, err)
		return
	}
	name := chi.URLParam(r, "name")
	svc, ok := view.Config.Services[name]
	if !ok || svc.Plain == nil || s.Plain == nil {
		fail(w, verdict.Refuse(verdict.NotFound, "no such service"))
		return
	}
	if !view.Config.AllowsService(who.Name, name) {
		fail(w, verdict.Refuse(verdict.Forbidden, "no rule allows this caller the service"))
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/service/"+name)
	if !ok || rest != "" && path.Clean(rest) != strings.TrimSuffix(rest, "/") && rest != "/" {
		fail(w, verdict.Refuse(verdict.Malformed, "the path has dot segments or empty segments"))
		return
	}
	if rest == "" {
		rest = "/"
	}
	s.tasks.add()
	defer s.tasks.done()
	s.Plain.Serve(w, r, who, svc, rest, view.Targets[name])
}
