package ownership

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/call"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/shelf"
)

const (
	// orderTimeout is how long an order or a report waits for its answer.
	orderTimeout = 700 * time.Millisecond
	// reportMost is the largest report, in bytes.
	reportMost = 1 << 20
)

// Runners translates the calls that runners take.
type Runners interface {
	Order(call.Order) (method, path string, h http.Header, body []byte, err error)
	Replied(status int) call.Reply
	Report(target string) (method, path string, h http.Header)
	Reported(body []byte) (call.Report, error)
}

// A Courier carries orders to runners and fetches their reports. Its fields
// must be set.
type Courier struct {
	Board   *dispatch.Board
	Runners Runners
	Pool    *outbound.Pool
	Log     *zap.Logger
	// Counted is called with the reply to each order.
	Counted func(reply string)
	// Valid reports whether orders may still be sent.
	Valid func() bool
}

// replies names the replies to orders in logs and metrics.
var replies = map[call.Reply]string{
	call.Unanswered: "unanswered", call.Accepted: "accepted", call.Holds: "holds",
	call.Conflict: "conflict", call.Fenced: "fenced", call.Refused: "refused",
}

var operations = map[call.Operation]string{call.Fetch: "load", call.Drop: "unload"}

// Run carries out one errand and tells the board how it went.
func (c *Courier) Run(ctx context.Context, e dispatch.Errand) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch a := e.Action.(type) {
	case shelf.Ask:
		report := c.report(ctx, e)
		c.Board.Reported(time.Now(), e.Target.Name, report)
	case shelf.Give:
		c.Board.Replied(time.Now(), e.Target.Name, c.order(ctx, e, a.Order))
	default:
		panic("ownership: unknown errand")
	}
}

func (c *Courier) order(ctx context.Context, e dispatch.Errand, o call.Order) call.Reply {
	begun := time.Now()
	reply := call.Unanswered
	status, body := 0, []byte(nil)
	method, path, header, text, err := c.Runners.Order(o)
	if err == nil && !c.Valid() {
		err = errors.New("not sent: the lease has lapsed")
		reply = call.Refused
	}
	if err == nil {
		status, body, err = c.do(ctx, e.Target.Address, outbound.Request{Method: method, RequestURI: path, Header: header, Body: text, AtMostOnce: true})
	}
	if err == nil {
		reply = c.Runners.Replied(status)
	}
	c.Counted(replies[reply])
	c.Log.Info("order: sent", zap.String("runner", e.Target.Name), zap.String("operation", operations[o.Kind]),
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Int("version", o.Version), zap.Uint64("fence", o.Fence),
		zap.Uint64("orders", o.Orders), zap.String("reply", replies[reply]), zap.Int("status", status),
		zap.Duration("took", time.Since(begun)), zap.ByteString("body", body[:min(len(body), 200)]), zap.Error(err))
	return reply
}

// report returns the runner's report, nil where none came.
func (c *Courier) report(ctx context.Context, e dispatch.Errand) *call.Report {
	method, path, header := c.Runners.Report(e.Target.Name)
	_, body, err := c.do(ctx, e.Target.Address, outbound.Request{Method: method, RequestURI: path, Header: header})
	if err != nil {
		c.Log.Warn("order: no report", zap.String("runner", e.Target.Name), zap.Error(err))
		return nil
	}
	r, err := c.Runners.Reported(body)
	if err != nil {
		c.Log.Warn("order: a report can't be read", zap.String("runner", e.Target.Name), zap.Error(err))
		return nil
	}
	c.Log.Info("order: report", zap.String("runner", e.Target.Name), zap.Uint64("orders", r.Orders),
		zap.Int("models", len(r.Models)), zap.Int("coming", len(r.Coming)), zap.Int("running", r.Running), zap.Int("waiting", r.Waiting))
	return &r
}

// do sends one request and reads the whole answer.
func (c *Courier) do(ctx context.Context, address netip.AddrPort, r outbound.Request) (int, []byte, error) {
	r.Host = address.String()
	x, err := c.Pool.Do(ctx, address, r, nil)
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, reportMost))
	if err != nil {
		return 0, nil, err
	}
	return x.Response.StatusCode, body, nil
}
