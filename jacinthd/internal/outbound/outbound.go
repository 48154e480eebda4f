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
// A failure is an *Error, which says whether the target may have received the
// request.
package outbound

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
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
	// rememberedIDs is the number of requests of a connection that are remembered. A
	// second copy of an earlier response is noticed by the requests after it.
	rememberedIDs = 8
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 4 << 10
	// bodySilence is how long nothing may arrive in the middle of an answer, neither bytes nor
	// acknowledgements of probes, before its connection counts as lost. The caller of a stream
	// waits little longer for its next event.
	bodySilence = 2500 * time.Millisecond
	// probeMargin is the time by which the last acknowledgement may be younger than that.
	probeMargin = 100 * time.Millisecond
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
}

// A ResponseFilter reports whether a response with the given header belongs to
// the request.
type ResponseFilter func(http.Header) bool

// A Pool holds persistent connections to targets. Dial must be set.
type Pool struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen, if set, is called for each new connection.
	OnOpen func()
	// Watcher, if set, is told what the connections show of the links to targets.
	Watcher Watcher

	mu      sync.Mutex
	idle    map[netip.AddrPort][]*poolConn
	maxIdle int // idle connections kept for each target; 0 means maxIdleConns
}

// A Watcher observes the connections of a Pool. Its methods are called by many goroutines.
type Watcher interface {
	// Connected says that a new connection works: bytes have arrived on it, or it has stayed
	// open for a moment.
	Connected(target netip.AddrPort)
	// NotConnected says that no connection could be opened, though the caller still wanted it,
	// or that a new one was reset before any bytes arrived.
	NotConnected(target netip.AddrPort, cause error)
	Sent()  // a request
	Heard() // bytes from a target
}

// SetMaxIdle limits the idle connections kept for each target. 0, or a value
// above 64, means 64.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

func (p *Pool) idleLimit() int {
	if p.maxIdle == 0 {
		return maxIdleConns
	}
	return min(p.maxIdle, maxIdleConns)
}

// A poolConn is one connection of a Pool.
type poolConn struct {
	net.Conn
	source    *limitedReader // reads from Conn
	reader    *bufio.Reader  // reads from source
	idleSince time.Time      // start of the current idle period
	expires   time.Time      // time after which an idle connection isn't reused
	carried   []string       // IDs of the last requests, at most rememberedIDs
}

// An Exchange is a request whose response header has been read. The caller must
// call Close.
type Exchange struct {
	Response *http.Response
	// First reports whether the request is the first one on its connection, so that
	// the response can't belong to another request even if it has no ID.
	First bool

	pool      *Pool
	address   netip.AddrPort
	conn      *poolConn
	written   chan error  // result of writing the request
	stopWatch func() bool // stops closing the connection at the end of the context
	complete  bool        // the body was read to its end
}

// Do sends a request and reads its response header, skipping responses that
// filter rejects; a nil filter accepts every response. The connection is closed
// when ctx ends, even while the body is being read.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, filter ResponseFilter) (*Exchange, error) {
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, DialFailed: true, Cause: errors.Wrap(err, "connect")}
	}
	x := &Exchange{pool: p, address: address, conn: c, written: make(chan error, 1), First: len(c.carried) == 0}
	c.noteCarried(r.ID)
	if p.Watcher != nil {
		p.Watcher.Sent()
	}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	request, err := r.httpRequest()
	if err != nil {
		x.discard()
		return nil, &Error{Verdict: verdict.NotRun, Cause: err}
	}
	go func() { x.written <- r.write(c, request) }()
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

// readResponse reads responses until one belongs to the request.
func (x *Exchange) readResponse(request *http.Request, filter ResponseFilter) error {
	for range maxStrayResponses + 1 {
		response, err := x.conn.readHead(request)
		if err != nil {
			return errors.Wrap(err, "answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if filter == nil || filter(response.Header) {
			x.Response = response
			x.conn.source.inBody = true
			return nil
		}
		if err := discardStray(response.Body); err != nil {
			return errors.Wrap(err, "answer to another request")
		}
	}
	return errors.New("answers to other requests")
}

// readHead reads the status line and the header of a response.
func (c *poolConn) readHead(request *http.Request) (*http.Response, error) {
	c.source.remaining = maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.source.remaining = math.MaxInt64
	return response, err
}

// discardStray reads the body of a response to another request to its end.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody))
	if err == nil && n == maxStrayBody {
		return errors.New("body too large")
	}
	return err
}

// Discard reads the rest of the response body, so that the connection can carry other
// requests. It gives up after limit bytes or at the time until; Close then closes the
// connection.
func (x *Exchange) Discard(limit int64, until time.Time) error {
	x.conn.source.inBody = false
	if err := x.conn.SetReadDeadline(until); err != nil {
		return errors.WithStack(err)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x, limit)); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(x.conn.SetReadDeadline(time.Time{}))
}

// Read reads the response body. It returns io.EOF only after a complete body.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// EndsWithConnection reports whether the response body has neither a length nor chunks, so
// that only the end of the connection ends it. A target's process that ends closes its
// connections as well.
func (x *Exchange) EndsWithConnection() bool {
	return x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0
}

// Close ends the exchange. It returns the connection to the pool if it can carry
// another request, and closes it otherwise.
func (x *Exchange) Close() {
	if !x.complete || x.Response.Close || x.conn.reader.Buffered() > 0 {
		x.discard()
		return
	}
	if !x.requestWritten() || !x.stopWatch() {
		x.discard()
		return
	}
	x.conn.source.inBody = false
	if x.conn.SetReadDeadline(time.Time{}) != nil {
		x.discard()
		return
	}
	x.pool.put(x.address, x.conn, idleTimeout(x.Response.Header))
}

// requestWritten reports whether the request was written completely. It waits
// for up to writeGrace, because the response may arrive shortly before the
// writing goroutine has returned.
func (x *Exchange) requestWritten() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// discard closes the connection.
func (x *Exchange) discard() {
	x.stopWatch()
	_ = x.conn.Conn.Close()
}

// idleTimeout returns how long an idle connection to the target may be kept,
// according to its response header.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(text)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection if there is a usable one, and otherwise opens
// a new one.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, r Request) (*poolConn, error) {
	if c := p.takeIdle(address, r); c != nil {
		return c, nil
	}
	return p.open(ctx, address)
}

// Open opens a connection to address and keeps it for later requests. It fails if the
// target does not accept one, or resets it at once and does not accept another that lasts.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort) error {
	for range 2 {
		c, err := p.open(ctx, address)
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		if reusable(c.Conn) {
			p.connected(address)
			p.put(address, c, defaultIdleTimeout)
			return nil
		}
		_ = c.Conn.Close()
	}
	p.notConnected(address, errReset)
	return errReset
}

// errReset means that a target accepts connections and resets them at once.
var errReset = errors.New("reset at once")

func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*poolConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.Dial(dialCtx, "tcp", address.String())
	if err != nil {
		if ctx.Err() == nil {
			p.notConnected(address, err)
		}
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return p.newConn(address, conn), nil
}

func (p *Pool) newConn(address netip.AddrPort, conn net.Conn) *poolConn {
	c := &poolConn{Conn: conn, source: &limitedReader{conn: conn, remaining: math.MaxInt64, address: address, watcher: p.Watcher}}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)
	return c
}

func (p *Pool) connected(address netip.AddrPort) {
	if p.Watcher != nil {
		p.Watcher.Connected(address)
	}
}

func (p *Pool) notConnected(address netip.AddrPort, cause error) {
	if p.Watcher != nil {
		p.Watcher.NotConnected(address, cause)
	}
}

// A limitedReader reads from a connection and fails after a number of bytes, unlike
// io.LimitReader, which ends as if the connection were closed.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	address   netip.AddrPort
	watcher   Watcher // may be nil
	heard     bool    // bytes have arrived
	inBody    bool    // fails once the connection is lost, before the system does
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.Errorf("header larger than %d bytes", maxHeadBytes)
	}
	n, err := r.readConn(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if n > 0 && r.watcher != nil {
		if !r.heard {
			r.watcher.Connected(r.address)
		}
		r.watcher.Heard()
	}
	r.heard = r.heard || n > 0
	return n, err
}

func (r *limitedReader) readConn(p []byte) (int, error) {
	if !r.inBody {
		return r.conn.Read(p)
	}
	for {
		if err := r.conn.SetReadDeadline(time.Now().Add(bodySilence)); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if isLost(r.conn, bodySilence-probeMargin) {
			return 0, errors.Errorf("nothing arrived for %v", bodySilence)
		}
	}
}

// noteCarried records that a request is sent on the connection.
func (c *poolConn) noteCarried(id string) {
	c.carried = append(c.carried, id)
	c.carried = c.carried[max(0, len(c.carried)-rememberedIDs):]
}

// takeIdle removes and returns the most recently used idle connection that is
// still usable and has not carried the request, or nil. For an at-most-once request
// it uses none that has been idle for more than maxIdleAtMostOnce.
func (p *Pool) takeIdle(address netip.AddrPort, r Request) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		if r.AtMostOnce && now.Sub(c.idleSince) > maxIdleAtMostOnce {
			return nil
		}
		if r.ID != "" && slices.Contains(c.carried, r.ID) {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if now.Before(c.expires) && reusable(c.Conn) {
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is full or the
// timeout isn't positive.
func (p *Pool) put(address netip.AddrPort, c *poolConn, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*poolConn)
	}
	if timeout <= 0 || len(p.idle[address]) >= p.idleLimit() {
		_ = c.Conn.Close()
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(timeout)
	p.idle[address] = append(p.idle[address], c)
}

// Prune closes the idle connections that have expired and those to addresses for
// which wanted returns false.
func (p *Pool) Prune(wanted func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if wanted(address) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.Prune(func(a netip.AddrPort) bool { return a != address })
}
