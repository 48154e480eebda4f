// Package engine is the port towards the model engines that run adapters.
//
// A Client sends completions, orders, cancels and report requests to engines
// over HTTP; no other package knows that format. Every call ends by a deadline:
// that of its context, and a progress deadline that a stream moves forward with
// each event. An error is a *Refusal, which the engine gave, or a *Fault, which
// the connection gave; both carry a verdict that verdict.Of finds.
//
// A Stream hands on only events that name the request and the adapter version
// asked for, in order and without gaps. Anything else is a Fault.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultSilence is the progress deadline where a Client sets none.
	defaultSilence = 5 * time.Second
	// dialTimeout limits the opening of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 30 * time.Second
	// idleConns is the number of idle connections kept for each engine.
	idleConns = 256
	// maxReply is the largest reply other than a stream, in bytes.
	maxReply = 4 << 20
)

// A Client calls engines. Its zero value works; it is safe for use by several
// goroutines and must not be copied.
type Client struct {
	// ProgressTimeout is the progress deadline: an engine that sends nothing for so
	// long while a reply is due counts as broken. 0 means 5 s.
	ProgressTimeout time.Duration

	once      sync.Once
	transport *http.Transport
	// incarnations holds the last known incarnation by address.
	incarnations sync.Map
}

// open returns the transport, making it on first use.
func (c *Client) open() *http.Transport {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.transport = &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleTimeout,
		}
	})
	return c.transport
}

func (c *Client) silence() time.Duration {
	if c.ProgressTimeout > 0 {
		return c.ProgressTimeout
	}
	return defaultSilence
}

// Close closes the idle connections.
func (c *Client) Close() { c.open().CloseIdleConnections() }

// An exchange is one request and its reply, with a progress deadline that
// cancels it.
type exchange struct {
	client *Client
	parent context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	silent atomic.Bool
	sent   atomic.Bool
	reply  *http.Response
}

// A call is what send sends.
type call struct {
	method string
	path   string
	body   any // in JSON; nil for none
	// silence is the progress deadline's distance; 0 leaves only the context's.
	silence time.Duration
	// before is when nothing may be written any more; zero for no limit.
	before time.Time
}

// send sends a request and returns once the reply's header has come.
func (c *Client) send(ctx context.Context, addr netip.AddrPort, a call) (*exchange, error) {
	x := &exchange{client: c, parent: ctx}
	text, err := encode(a.body)
	if err != nil {
		return nil, &CallError{Kind: Unreachable, cause: err}
	}
	traced, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.sent.Store(true)
			_ = info.Conn.SetWriteDeadline(a.before)
		},
	}))
	x.cancel = cancel
	request, err := http.NewRequestWithContext(traced, a.method, "http://"+addr.String()+a.path, text)
	if err != nil {
		cancel()
		return nil, &CallError{Kind: Unreachable, cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if a.silence > 0 {
		x.timer = time.AfterFunc(a.silence, x.expire)
	}
	x.reply, err = c.open().RoundTrip(request)
	if err != nil {
		fault := x.fault(err)
		x.close()
		return nil, fault
	}
	return x, nil
}

func encode(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "engine: encode")
	}
	return bytes.NewReader(text), nil
}

// expire ends an exchange whose progress deadline passed. Other idle
// connections may have gone silent with it, so that none is used again.
func (x *exchange) expire() {
	x.silent.Store(true)
	x.cancel()
	x.client.open().CloseIdleConnections()
}

// progress moves the progress deadline forward.
func (x *exchange) progress() {
	if x.timer != nil {
		x.timer.Reset(x.client.silence())
	}
}

// fault tells what an error of the connection means.
func (x *exchange) fault(cause error) *CallError {
	switch {
	case !x.sent.Load():
		return &CallError{Kind: Unreachable, cause: cause}
	case x.parent.Err() != nil:
		return &CallError{Kind: Cancelled, cause: x.parent.Err()}
	case x.silent.Load():
		return &CallError{Kind: Stalled, cause: cause}
	default:
		return &CallError{Kind: Reset, cause: cause}
	}
}

func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.cancel()
	if x.reply != nil {
		_ = x.reply.Body.Close()
	}
}

// finish reads the whole reply into out, or returns the refusal that it carries.
func (x *exchange) finish(out any) error {
	defer x.close()
	text, err := io.ReadAll(io.LimitReader(x.reply.Body, maxReply+1))
	if err != nil {
		return x.fault(err)
	}
	if len(text) > maxReply {
		return &CallError{Kind: InvalidReply, cause: errors.Errorf("reply over %d bytes", maxReply)}
	}
	if x.reply.StatusCode != http.StatusOK {
		return refusal(x.reply.StatusCode, text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &CallError{Kind: InvalidReply, cause: err}
	}
	return nil
}

// Cancel ends a request on an engine. Without an error the request no longer
// runs; cancelled says whether it ran until then.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id string) (cancelled bool, err error) {
	body := struct {
		ID string `json:"id"`
	}{id}
	x, err := c.send(ctx, addr, call{method: http.MethodPost, path: "/v1/cancel", body: body, silence: c.silence()})
	if err != nil {
		return false, err
	}
	var reply struct {
		Cancelled bool `json:"cancelled"`
	}
	err = x.finish(&reply)
	return reply.Cancelled, err
}

// Incarnation returns the incarnation that the engine's last receipt or report
// named, empty where there was none.
func (c *Client) Incarnation(addr netip.AddrPort) string {
	known, _ := c.incarnations.Load(addr)
	name, _ := known.(string)
	return name
}

// learn keeps the incarnation that an engine named.
func (c *Client) learn(addr netip.AddrPort, incarnation string) {
	if incarnation != "" && c.Incarnation(addr) != incarnation {
		c.incarnations.Store(addr, incarnation)
	}
}
