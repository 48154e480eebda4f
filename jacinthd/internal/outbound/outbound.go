// Package outbound sends requests to targets over connections that it keeps.
//
// A connection carries one request at a time, and nothing is sent again here.
// An answer that bears another request's id belongs to nobody: it is read and
// dropped, and the next one is awaited. A connection is kept only after a whole
// answer to a request that was written whole, with no byte left over. So no
// answer reaches a request that it isn't for.
//
// A failure is a *Fault, which says whether the target may have got the request.
package outbound

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/stage/verdict"
)

const (
	// idleDefault is how long a connection is kept where the target does not say.
	idleDefault = 4 * time.Second
	// idleMargin is how much sooner than the target a kept connection is closed here.
	idleMargin = 500 * time.Millisecond
	// freshIdle is the longest idle time of a connection that carries a request
	// which may not be sent twice.
	freshIdle = 1500 * time.Millisecond
	// strays is the number of answers to other requests that are dropped before
	// a connection is given up.
	strays = 2
	// writeSlack is how long after a whole answer a request may still be written.
	writeSlack = 20 * time.Millisecond
	// bufferSize is that of a connection's reader, in bytes.
	bufferSize = 4 << 10
	// keptMost is the number of idle connections kept for one target where Keep
	// sets none.
	keptMost = 64
)

// A Fault is a request that got no answer.
type Error struct {
	Verdict    verdict.Verdict
	DialFailed bool // no connection could be opened
	Cause      error
}

// Error returns the cause.
func (f *Error) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Error) Unwrap() error { return f.Cause }

// A Request is one request to a target.
type Request struct {
	Method     string
	RequestURI string // path and query, as on the request line
	Host       string
	Header     http.Header
	Body       []byte
	AtMostOnce bool // it may not be sent twice
}

// ResponseFilter reports whether the head of an answer is for a request.
type ResponseFilter func(http.Header) bool

// A Pool keeps connections to targets. Dial must be set.
type Pool struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen is called for each new connection, where it is set.
	OnOpen func()

	mu   sync.Mutex
	idle map[netip.AddrPort][]*link
	most int // idle connections kept for one target
}

// SetMaxIdle limits the idle connections kept for one target.
func (p *Pool) SetMaxIdle(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

func (p *Pool) limit() int {
	if p.most == 0 {
		return keptMost
	}
	return min(p.most, keptMost)
}

// A link is one connection.
type link struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // idle from then on
	until  time.Time // kept no longer
}

// An Exchange is a request with the head of its answer. Close must be called.
type Exchange struct {
	Response *http.Response

	pool    *Pool
	address netip.AddrPort
	link    *link
	written chan error
	stop    func() bool
	whole   bool
}

// Do sends a request and reads the head of its answer. The connection is closed
// when ctx ends, also while the body is read.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, mine ResponseFilter) (*Exchange, error) {
	l, err := p.take(ctx, address, r.AtMostOnce)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, DialFailed: true, Cause: errors.Wrap(err, "connect")}
	}
	x := &Exchange{pool: p, address: address, link: l, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	head, err := r.build()
	if err != nil {
		x.abandon()
		return nil, &Error{Verdict: verdict.NotRun, Cause: err}
	}
	go func() { x.written <- r.write(l, head) }()
	if err := x.read(head, mine); err != nil {
		x.abandon()
		return nil, &Error{Cause: err}
	}
	return x, nil
}

// build returns the request for the HTTP library to write.
func (r Request) build() (*http.Request, error) {
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

func (r Request) write(l *link, head *http.Request) error {
	w := bufio.NewWriterSize(l.Conn, bufferSize)
	if err := head.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// read reads answers up to the one that is for the request.
func (x *Exchange) read(head *http.Request, mine ResponseFilter) error {
	for range strays + 1 {
		response, err := http.ReadResponse(x.link.reader, head)
		if err != nil {
			return errors.Wrap(err, "answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if mine == nil || mine(response.Header) {
			x.Response = response
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.Wrap(err, "answer to another request")
		}
	}
	return errors.New("answers to other requests")
}

// Read reads the body. Its end is io.EOF only where the body is whole.
func (x *Exchange) Read(into []byte) (int, error) {
	n, err := x.Response.Body.Read(into)
	if err == io.EOF {
		x.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept where it can carry another.
func (x *Exchange) Close() {
	if !x.whole || x.Response.Close || x.link.reader.Buffered() > 0 {
		x.abandon()
		return
	}
	if !x.sent() || !x.stop() {
		x.abandon()
		return
	}
	x.pool.put(x.address, x.link, keepFor(x.Response.Header))
}

// sent reports whether the request was written whole. The target may have
// answered a moment before the writer noticed that it was done.
func (x *Exchange) sent() bool {
	timer := time.NewTimer(writeSlack)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (x *Exchange) abandon() {
	x.stop()
	_ = x.link.Conn.Close()
}

// keepFor returns how long the target lets a connection be idle.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(text)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// take returns a kept connection, or a new one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, once bool) (*link, error) {
	if l := p.kept(address, once); l != nil {
		return l, nil
	}
	conn, err := p.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return &link{Conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}, nil
}

// kept returns the connection that was used last, if it still can be used.
func (p *Pool) kept(address netip.AddrPort, once bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		all := p.idle[address]
		if len(all) == 0 {
			return nil
		}
		l := all[len(all)-1]
		if once && now.Sub(l.since) > freshIdle {
			return nil
		}
		p.idle[address] = all[:len(all)-1]
		if now.Before(l.until) && clean(l.Conn) {
			return l
		}
		_ = l.Conn.Close()
	}
}

func (p *Pool) put(address netip.AddrPort, l *link, keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*link)
	}
	if keep <= 0 || len(p.idle[address]) >= p.limit() {
		_ = l.Conn.Close()
		return
	}
	l.since = time.Now()
	l.until = l.since.Add(keep)
	p.idle[address] = append(p.idle[address], l)
}

// Prune closes the connections whose time is over, and all to addresses that
// wanted does not hold.
func (p *Pool) Prune(wanted func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, all := range p.idle {
		keep := all[:0]
		for _, l := range all {
			if wanted(address) && now.Before(l.until) {
				keep = append(keep, l)
				continue
			}
			_ = l.Conn.Close()
		}
		if len(keep) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = keep
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.Prune(func(a netip.AddrPort) bool { return a != address })
}
