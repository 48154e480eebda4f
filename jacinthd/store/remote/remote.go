// Package remote is the object API over HTTP, as docs/WIRE.md gives it.
//
// A call fails with store.ErrUnavailable only where it surely was not carried
// out: no connection was had, or the API answered 429 or 503. A call without
// any other answer fails with store.ErrUnknown. Every call ends after Timeout;
// a watch ends Silence after its last line. Connections that are idle when a
// call ran out of time are closed, since they may have gone silent as well.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/store"
)

const (
	// Timeout is the longest that a call takes.
	Timeout = 2 * time.Second
	// WatchIdleTimeout is the longest that a watch goes without a line; the API sends a bookmark each second.
	WatchIdleTimeout = 3 * time.Second

	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	idleConns   = 16      // open connections kept for reuse
	pageLimit   = 200     // objects in one answer of List
	answerLimit = 1 << 28 // bytes of one answer
	lineLimit   = 1 << 21 // bytes of one line of a watch: a value in base64 and its frame
)

// A Store is the object API at one address. Use New.
type Store struct {
	base   url.URL
	client *http.Client
}

var _ store.Store = (*Store)(nil)

// New returns the store at address, which has the form http://IP:PORT.
func New(address string) (*Store, error) {
	return NewWithTransport(address, &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// NewWithTransport returns the store at address, with its calls made by transport.
func NewWithTransport(address string, transport http.RoundTripper) (*Store, error) {
	base, err := url.Parse(strings.TrimSuffix(address, "/"))
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" || base.Path != "" {
		return nil, errors.Errorf("store: %q is not http://IP:PORT", address)
	}
	return &Store{base: *base, client: &http.Client{Transport: transport}}, nil
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	a, err := s.call(ctx, http.MethodGet, s.object(key), condition{}, nil)
	if err != nil {
		return store.Object{}, err
	}
	switch a.status {
	case http.StatusOK:
		return a.object(key, a.body)
	case http.StatusNotFound:
		return store.Object{}, errors.WithStack(store.ErrNotFound)
	default:
		return store.Object{}, a.fault()
	}
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return s.put(ctx, key, condition{"If-None-Match", "*"}, value)
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	return s.put(ctx, key, match(version), value)
}

func (s *Store) put(ctx context.Context, key string, c condition, value []byte) (store.Object, error) {
	if len(value) > store.MaxValue {
		return store.Object{}, errors.WithStack(store.ErrTooLarge)
	}
	a, err := s.call(ctx, http.MethodPut, s.object(key), c, value)
	if err != nil {
		return store.Object{}, err
	}
	switch a.status {
	case http.StatusOK, http.StatusCreated:
		return a.object(key, value)
	case http.StatusPreconditionFailed:
		return store.Object{}, errors.WithStack(store.ErrConflict)
	case http.StatusRequestEntityTooLarge:
		return store.Object{}, errors.WithStack(store.ErrTooLarge)
	default:
		return store.Object{}, a.fault()
	}
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	a, err := s.call(ctx, http.MethodDelete, s.object(key), match(version), nil)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusNoContent, http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.WithStack(store.ErrConflict)
	case http.StatusNotFound:
		return errors.WithStack(store.ErrNotFound)
	default:
		return a.fault()
	}
}

type page struct {
	Revision uint64 `json:"revision"`
	Objects  []struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	} `json:"objects"`
	More bool `json:"more"`
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix, after string) (store.Page, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(pageLimit)}}
	var got page
	if err := s.read(ctx, s.path("/v1/list", query), &got); err != nil {
		return store.Page{}, err
	}
	out := store.Page{Revision: got.Revision, More: got.More}
	for _, o := range got.Objects {
		out.Objects = append(out.Objects, store.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return out, nil
}

type hosts struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Kind  string `json:"kind"`
	} `json:"hosts"`
}

// Hosts implements store.Store.
func (s *Store) Hosts(ctx context.Context) ([]store.Presence, error) {
	var got hosts
	if err := s.read(ctx, s.path("/v1/hosts", nil), &got); err != nil {
		return nil, err
	}
	var out []store.Presence
	for _, h := range got.Hosts {
		out = append(out, store.Presence{Name: h.Name, State: h.State, Kind: h.Kind})
	}
	return out, nil
}

// read makes a call whose answer is JSON.
func (s *Store) read(ctx context.Context, address string, into any) error {
	a, err := s.call(ctx, http.MethodGet, address, condition{}, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.fault()
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	}
	return nil
}

func (s *Store) object(key string) string { return s.path("/v1/object/"+key, nil) }

func (s *Store) path(path string, query url.Values) string {
	u := s.base
	u.Path = path
	u.RawQuery = query.Encode()
	return u.String()
}

// A condition is the header that makes a write conditional.
type condition struct{ name, value string }

func match(version uint64) condition {
	return condition{"If-Match", strconv.Quote(strconv.FormatUint(version, 10))}
}

// An answer is what the API replied to a call.
type answer struct {
	status int
	etag   string
	body   []byte
}

func (a answer) object(key string, value []byte) (store.Object, error) {
	version, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil {
		return store.Object{}, errors.Wrapf(store.ErrOutcomeUnknown, "version %q", a.etag)
	}
	return store.Object{Key: key, Version: version, Value: value}, nil
}

// fault returns the error of an answer that is none of a call's own.
func (a answer) fault() error { return statusFault(a.status) }

func statusFault(status int) error {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Wrapf(store.ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(store.ErrOutcomeUnknown, "status %d", status)
	}
}

// call makes one call and reads its whole answer.
func (s *Store) call(ctx context.Context, method, address string, c condition, value []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	reply, err := s.send(ctx, method, address, c, value)
	if err != nil {
		return answer{}, err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerLimit))
	if err != nil {
		s.drop(ctx)
		return answer{}, errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	}
	return answer{status: reply.StatusCode, etag: reply.Header.Get("ETag"), body: body}, nil
}

// send makes one call. It tells by the trace whether a connection was had: a
// call without one can't have reached the API.
func (s *Store) send(ctx context.Context, method, address string, c condition, value []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, address, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	if c.name != "" {
		request.Header.Set(c.name, c.value)
	}
	reply, err := s.client.Do(request)
	switch {
	case err == nil:
		return reply, nil
	case connected:
		s.drop(ctx)
		return nil, errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	default:
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
}

// drop closes the idle connections where a call ran out of time.
func (s *Store) drop(ctx context.Context) {
	if ctx.Err() != nil {
		s.client.CloseIdleConnections()
	}
}
