// Package remote is a client of the object API over HTTP, as docs/WIRE.md
// specifies it.
//
// A call fails with store.ErrUnavailable only if it was certainly not executed:
// no connection could be established, or the API answered 429 or 503. A call
// without a conclusive answer fails with store.ErrOutcomeUnknown. Every call ends
// after at most Timeout, and a watch ends WatchIdleTimeout after its last event.
// When a call times out, all idle connections are closed, since they may be dead
// as well.
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
	// Timeout is the maximum duration of a call.
	Timeout = 2 * time.Second
	// WatchIdleTimeout is the time without an event after which a watch fails.
	// The API sends a bookmark every second.
	WatchIdleTimeout = 3 * time.Second

	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	idleConns     = 16      // maximum number of idle connections kept for reuse
	pageLimit     = 200     // maximum number of objects in one page of List
	responseLimit = 1 << 28 // maximum size of a response body in bytes
	lineLimit     = 1 << 21 // maximum size of one event of a watch in bytes: a value in base64 and its JSON frame
)

// A Store is a client of the object API at one address. Use New to create one.
type Store struct {
	base   url.URL
	client *http.Client
}

var _ store.Store = (*Store)(nil)

// New returns a client of the object API at address, which has the form http://IP:PORT.
func New(address string) (*Store, error) {
	return NewWithTransport(address, &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// NewWithTransport is like New, but makes calls with the given transport.
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
	r, err := s.call(ctx, http.MethodGet, s.objectURL(key), precondition{}, nil)
	if err != nil {
		return store.Object{}, err
	}
	switch r.status {
	case http.StatusOK:
		return r.object(key, r.body)
	case http.StatusNotFound:
		return store.Object{}, errors.WithStack(store.ErrNotFound)
	default:
		return store.Object{}, r.unexpected()
	}
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return s.put(ctx, key, precondition{"If-None-Match", "*"}, value)
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, key string, version uint64, value []byte) (store.Object, error) {
	return s.put(ctx, key, ifMatch(version), value)
}

func (s *Store) put(ctx context.Context, key string, c precondition, value []byte) (store.Object, error) {
	if len(value) > store.MaxValue {
		return store.Object{}, errors.WithStack(store.ErrTooLarge)
	}
	r, err := s.call(ctx, http.MethodPut, s.objectURL(key), c, value)
	if err != nil {
		return store.Object{}, err
	}
	switch r.status {
	case http.StatusOK, http.StatusCreated:
		return r.object(key, value)
	case http.StatusPreconditionFailed:
		return store.Object{}, errors.WithStack(store.ErrConflict)
	case http.StatusRequestEntityTooLarge:
		return store.Object{}, errors.WithStack(store.ErrTooLarge)
	default:
		return store.Object{}, r.unexpected()
	}
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	r, err := s.call(ctx, http.MethodDelete, s.objectURL(key), ifMatch(version), nil)
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusNoContent, http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.WithStack(store.ErrConflict)
	case http.StatusNotFound:
		return errors.WithStack(store.ErrNotFound)
	default:
		return r.unexpected()
	}
}

type pageJSON struct {
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
	var body pageJSON
	if err := s.read(ctx, s.urlFor("/v1/list", query), &body); err != nil {
		return store.Page{}, err
	}
	out := store.Page{Revision: body.Revision, More: body.More}
	for _, o := range body.Objects {
		out.Objects = append(out.Objects, store.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return out, nil
}

type hostsJSON struct {
	Hosts []struct {
		Name  string `json:"name"`
		State string `json:"state"`
		Kind  string `json:"kind"`
	} `json:"hosts"`
}

// Hosts implements store.Store.
func (s *Store) Hosts(ctx context.Context) ([]store.Presence, error) {
	var body hostsJSON
	if err := s.read(ctx, s.urlFor("/v1/hosts", nil), &body); err != nil {
		return nil, err
	}
	var out []store.Presence
	for _, h := range body.Hosts {
		out = append(out, store.Presence{Name: h.Name, State: h.State, Kind: h.Kind})
	}
	return out, nil
}

// read makes a GET call and decodes the JSON response into dst.
func (s *Store) read(ctx context.Context, address string, dst any) error {
	r, err := s.call(ctx, http.MethodGet, address, precondition{}, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.unexpected()
	}
	if err := json.Unmarshal(r.body, dst); err != nil {
		return errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	}
	return nil
}

// objectURL returns the URL of the object with the given key.
func (s *Store) objectURL(key string) string { return s.urlFor("/v1/object/"+key, nil) }

// urlFor returns the URL with the given path and query.
func (s *Store) urlFor(path string, query url.Values) string {
	u := s.base
	u.Path = path
	u.RawQuery = query.Encode()
	return u.String()
}

// A precondition is the header that makes a write conditional. The zero value is
// for calls without one.
type precondition struct{ name, value string }

// ifMatch returns the precondition that the object has the given version.
func ifMatch(version uint64) precondition {
	return precondition{"If-Match", strconv.Quote(strconv.FormatUint(version, 10))}
}

// A response is the status, version and body of an answer of the API.
type response struct {
	status int
	etag   string
	body   []byte
}

// object returns the object with the version from the ETag header.
func (r response) object(key string, value []byte) (store.Object, error) {
	version, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return store.Object{}, errors.Wrapf(store.ErrOutcomeUnknown, "version %q", r.etag)
	}
	return store.Object{Key: key, Version: version, Value: value}, nil
}

// unexpected returns the error for a status that has no meaning specific to the call.
func (r response) unexpected() error { return statusError(r.status) }

// statusError returns the error for an unexpected status: 429 and 503 mean that
// the call was not executed, other statuses leave that open.
func statusError(status int) error {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Wrapf(store.ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(store.ErrOutcomeUnknown, "status %d", status)
	}
}

// call makes one call and reads the complete response.
func (s *Store) call(ctx context.Context, method, address string, c precondition, value []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	resp, err := s.send(ctx, method, address, c, value)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, responseLimit))
	if err != nil {
		s.closeIfExpired(ctx)
		return response{}, errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	}
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// send makes one call and returns the response with an unread body. It traces
// whether a connection was obtained: a call that failed without one can't have
// reached the API.
func (s *Store) send(ctx context.Context, method, address string, c precondition, value []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, address, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	if c.name != "" {
		request.Header.Set(c.name, c.value)
	}
	resp, err := s.client.Do(request)
	switch {
	case err == nil:
		return resp, nil
	case connected:
		s.closeIfExpired(ctx)
		return nil, errors.Wrapf(store.ErrOutcomeUnknown, "%v", err)
	default:
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
}

// closeIfExpired closes the idle connections if the context of a call has expired.
func (s *Store) closeIfExpired(ctx context.Context) {
	if ctx.Err() != nil {
		s.client.CloseIdleConnections()
	}
}
