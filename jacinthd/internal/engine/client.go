// Package engine is the client for the model engines that run adapters.
//
// A Client sends completions, orders, cancellations and report requests to engines
// over HTTP, by package outbound; no other package depends on that protocol. Every call is limited by
// the deadline of its context. Calls other than orders also have a progress
// deadline, which a stream moves forward with each event. An error is a *Refusal
// from the engine or a *CallError; both carry a verdict that verdict.Of finds.
//
// A Stream returns only events that name the requested adapter version and the
// request's ID, in order and without gaps. Anything else is a CallError.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/verdict"
)

const (
	// defaultProgressTimeout is the progress timeout of a Client that sets none.
	defaultProgressTimeout = 5 * time.Second
	// maxReply limits the size of a reply other than a stream, in bytes.
	maxReply = 4 << 20
)

// A Client calls engines. The zero value is ready to use. A Client is safe for
// concurrent use and must not be copied.
type Client struct {
	// ProgressTimeout is how long an engine may send nothing while a reply is due
	// before the call fails. 0 means 5 s.
	ProgressTimeout time.Duration

	once sync.Once
	pool outbound.Pool
	// incarnations maps the address of an engine to its last known incarnation.
	incarnations sync.Map
}

// connections returns the connections to engines. The first call sets them up.
func (c *Client) connections() *outbound.Pool {
	c.once.Do(func() { c.pool.Dial = outbound.Dialer(netip.Addr{}).DialContext })
	return &c.pool
}

func (c *Client) progressTimeout() time.Duration {
	if c.ProgressTimeout > 0 {
		return c.ProgressTimeout
	}
	return defaultProgressTimeout
}

// Close closes all idle connections.
func (c *Client) Close() { c.connections().CloseAllIdle() }

// Run closes idle connections that have expired until ctx ends, and then all of them.
func (c *Client) Run(ctx context.Context) { c.connections().Run(ctx) }

// An exchange is one request and its reply. It is cancelled when its progress
// deadline passes.
type exchange struct {
	client  *Client
	parent  context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	stalled atomic.Bool
	sent    bool // the engine may have received the request
	reply   *outbound.Exchange
}

// A call describes a request for send.
type call struct {
	method string
	path   string
	body   any // encoded as JSON; nil for no body
	// progressTimeout is the time until the progress deadline; with 0 only the
	// context limits the call.
	progressTimeout time.Duration
	// sendBefore is the time after which nothing may be written to the connection;
	// zero for no limit.
	sendBefore time.Time
}

// send sends a request and returns once the header of the reply has been received.
func (c *Client) send(ctx context.Context, addr netip.AddrPort, a call) (*exchange, error) {
	x := &exchange{client: c, parent: ctx}
	text, err := encode(a.body)
	if err != nil {
		return nil, &CallError{Kind: Unreachable, cause: err}
	}
	ctx, x.cancel = context.WithCancel(ctx)
	if a.progressTimeout > 0 {
		x.timer = time.AfterFunc(a.progressTimeout, x.stall)
	}
	x.reply, err = c.connections().Do(ctx, addr, outbound.Request{
		Method: a.method, RequestURI: a.path, Host: addr.String(), Header: http.Header{"Content-Type": {"application/json"}},
		Body: text, SendBefore: a.sendBefore,
	}, nil)
	var fault *outbound.Error
	x.sent = !errors.As(err, &fault) || fault.Verdict != verdict.NotRun
	if err != nil {
		callErr := x.callError(err)
		x.close()
		return nil, callErr
	}
	return x, nil
}

// encode returns a body as JSON, or nothing for nil.
func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	text, err := json.Marshal(body)
	return text, errors.Wrap(err, "engine: encode")
}

// stall cancels an exchange whose progress deadline has passed. Before that it closes
// the idle connections: others may have gone silent too, and the request that follows
// the failure must not reuse them.
func (x *exchange) stall() {
	x.stalled.Store(true)
	x.client.connections().CloseAllIdle()
	x.cancel()
}

// resetProgress moves the progress deadline forward.
func (x *exchange) resetProgress() {
	if x.timer != nil {
		x.timer.Reset(x.client.progressTimeout())
	}
}

// callError classifies an error of the connection.
func (x *exchange) callError(cause error) *CallError {
	switch {
	case !x.sent:
		return &CallError{Kind: Unreachable, cause: cause}
	case x.parent.Err() != nil:
		return &CallError{Kind: Cancelled, cause: x.parent.Err()}
	case x.stalled.Load():
		return &CallError{Kind: Stalled, cause: cause}
	default:
		return &CallError{Kind: Reset, cause: cause}
	}
}

func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	if x.reply != nil {
		x.reply.Close()
	}
	x.cancel()
}

// finish reads the complete reply and decodes it into out. A reply with a status
// other than 200 becomes an error.
func (x *exchange) finish(out any) error {
	defer x.close()
	text, err := io.ReadAll(io.LimitReader(x.reply, maxReply+1))
	if err != nil {
		return x.callError(err)
	}
	if len(text) > maxReply {
		return &CallError{Kind: InvalidReply, cause: errors.Errorf("reply over %d bytes", maxReply)}
	}
	if x.reply.Response.StatusCode != http.StatusOK {
		return parseRefusal(x.reply.Response.StatusCode, text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &CallError{Kind: InvalidReply, cause: err}
	}
	return nil
}

// Cancel cancels a request on an engine. If it returns no error, the request is no
// longer running; cancelled reports whether it was running before.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id string) (cancelled bool, err error) {
	body := struct {
		ID string `json:"id"`
	}{id}
	x, err := c.send(ctx, addr, call{method: http.MethodPost, path: "/v1/cancel", body: body, progressTimeout: c.progressTimeout()})
	if err != nil {
		return false, err
	}
	var reply struct {
		Cancelled bool `json:"cancelled"`
	}
	err = x.finish(&reply)
	return reply.Cancelled, err
}

// Incarnation returns the incarnation in the engine's last receipt or report, or an
// empty string if there is none.
func (c *Client) Incarnation(addr netip.AddrPort) string {
	value, _ := c.incarnations.Load(addr)
	incarnation, _ := value.(string)
	return incarnation
}

// noteIncarnation stores the incarnation of an engine.
func (c *Client) noteIncarnation(addr netip.AddrPort, incarnation string) {
	if incarnation != "" && c.Incarnation(addr) != incarnation {
		c.incarnations.Store(addr, incarnation)
	}
}
