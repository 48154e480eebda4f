// Package outbound sends HTTP requests to targets over a pool of persistent
// connections.
//
// A connection carries one request at a time, and the package never retries a
// request. A response that carries the ID of another request is read and
// discarded, and the next response is awaited. All sends of one request have the
// same ID, so a request is never sent again on a connection that has carried it: a
// second copy of the first response would count as the response to the second send.
// A connection returns to the pool only after the request was written completely
// and its response was read completely, with no bytes left over. A response
// therefore never reaches a request that it doesn't belong to.
//
// A response that ends with its connection is complete only if its target has got the whole request
// and has outlived the connection (ending.go).
//
// A failure is an *Error, which says whether the target may have received the
// request.
package outbound

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the target's Keep-Alive timeout, so
	// that this side closes an idle connection before the target does.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdleAtMostOnce is the longest that a connection may have been idle to be
	// reused for a request that must not be sent twice.
	maxIdleAtMostOnce = 1500 * time.Millisecond
	// maxStrayResponses is the maximum number of responses to other requests, and
	// of informational ones, that are skipped before the connection is closed.
	maxStrayResponses = 2
	// writeGrace is how long Close waits, after a complete response, for the
	// request to be completely written.
	writeGrace = 20 * time.Millisecond
	// maxHeadBytes is the maximum size of a response's header, and maxStrayBody that of
	// the body of a response to another request, in bytes. A target in trouble may send
	// either without end.
	maxHeadBytes = 64 << 10
	maxStrayBody = 1 << 20
	// maxHeadLines is the maximum number of lines of a response's header. Short lines take many
	// times their size in memory once they are parsed.
	maxHeadLines = 256
	// carriedRetention is how long a connection remembers a request that it has carried. No
	// request is sent again after that time.
	carriedRetention = time.Minute
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 4 << 10
	// bodySilence is how long nothing may arrive in the middle of an answer, neither bytes nor
	// acknowledgements of probes, before its connection counts as lost. The caller of a stream
	// waits little longer for its next event.
	bodySilence = 2500 * time.Millisecond
	// probeMargin is the time by which the last acknowledgement may be younger than that.
	probeMargin = 100 * time.Millisecond
	// pruneInterval is the time between two looks for idle connections that have expired.
	pruneInterval = time.Second
	// settleTime is how long Open watches a new connection: a process that is ending
	// may still accept it and reset it at once.
	settleTime = 10 * time.Millisecond
	// maxIdleConns is the largest number of idle connections kept for one target.
	// SetMaxIdle can lower it.
	maxIdleConns = 64
)

// An Error describes a request that got no response.
type Error struct {
	Verdict    verdict.Verdict
	DialFailed bool // no connection could be opened
	Cause      error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// A Request is one request to a target.
type Request struct {
	ID         string // the same in all sends of the request
	Method     string
	RequestURI string // path and query, as on the request line
	Host       string
	Header     http.Header
	Body       []byte
	AtMostOnce bool // the request must not be sent twice
	// NewConnection means that the request is the first one on its connection.
	NewConnection bool
	// SendBefore is the time after which no part of the request may be written; zero for no limit.
	SendBefore time.Time
}

// A ResponseFilter reports whether a response with the given header belongs to
// the request.
type ResponseFilter func(http.Header) bool

// Do sends a request and reads its response header, skipping responses that
// filter rejects; a nil filter accepts every response. The connection is closed
// when ctx ends, even while the body is being read.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, filter ResponseFilter) (*Exchange, error) {
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, DialFailed: true, Cause: errors.Wrap(err, "connect")}
	}
	x := &Exchange{ctx: ctx, pool: p, address: address, conn: c, written: make(chan struct{}), First: !c.used}
	c.noteCarried(time.Now(), r.ID)
	if p.Watcher != nil {
		p.Watcher.Sent()
	}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	request, err := r.httpRequest()
	if err != nil {
		x.discard()
		return nil, &Error{Verdict: verdict.NotRun, Cause: err}
	}
	if err := c.SetWriteDeadline(r.SendBefore); err != nil {
		x.discard()
		return nil, &Error{Verdict: verdict.NotRun, Cause: errors.WithStack(err)}
	}
	go x.write(r, request)
	if err := x.readResponse(request, filter); err != nil {
		x.discard()
		if !c.source.heard && errors.Is(err, syscall.ECONNRESET) {
			p.notConnected(address, err)
		}
		return nil, &Error{Cause: err}
	}
	return x, nil
}

// httpRequest converts the request for net/http, which writes it. The request
// URI is passed on unchanged.
func (r Request) httpRequest() (*http.Request, error) {
	location, err := url.ParseRequestURI(r.RequestURI)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if !strings.HasPrefix(r.RequestURI, "//") {
		location = &url.URL{Opaque: r.RequestURI}
	}
	header := r.Header
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	request := &http.Request{
		Method: r.Method, URL: location, Host: r.Host, Header: header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request, nil
}

func (r Request) write(c *poolConn, request *http.Request) error {
	w := bufio.NewWriterSize(c.Conn, bufferSize)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
