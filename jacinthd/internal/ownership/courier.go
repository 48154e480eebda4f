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
	"jacinthstage/stage/residency"
)

const (
	// orderTimeout is how long an order or a report waits for its answer.
	orderTimeout = 700 * time.Millisecond
	// reportMost is the largest report, in bytes.
	reportMost = 1 << 20
)

// RunnerCodec translates the calls that runners take.
type RunnerCodec interface {
	OrderRequest(call.Order) (method, path string, h http.Header, body []byte, err error)
	ParseReply(status int) call.Reply
	ReportRequest(target string) (method, path string, h http.Header)
	ParseReport(body []byte) (call.Report, error)
}

// A Courier carries orders to runners and fetches their reports. Its fields
// must be set.
type RunnerClient struct {
	Board *dispatch.Dispatcher
	Codec RunnerCodec
	Pool  *outbound.Pool
	Log   *zap.Logger
	// OnReply is called with the reply to each order.
	OnReply func(reply string)
	// Valid reports whether orders may still be sent.
	Valid func() bool
}

// replies names the replies to orders in logs and metrics.
var replies = map[call.Reply]string{
	call.Unanswered: "unanswered", call.Accepted: "accepted", call.Applied: "holds",
	call.Conflict: "conflict", call.Fenced: "fenced", call.Refused: "refused",
}

var operations = map[call.Operation]string{call.Load: "load", call.Unload: "unload"}

// Execute carries out one errand and tells the board how it went.
func (c *RunnerClient) Execute(ctx context.Context, e dispatch.Task) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch a := e.Action.(type) {
	case residency.PollReport:
		report := c.report(ctx, e)
		c.Board.HandleReport(time.Now(), e.Target.Name, report)
	case residency.SendOrder:
		c.Board.HandleReply(time.Now(), e.Target.Name, c.order(ctx, e, a.Order))
	default:
		panic("ownership: unknown errand")
	}
}

func (c *RunnerClient) order(ctx context.Context, e dispatch.Task, o call.Order) call.Reply {
	begun := time.Now()
	reply := call.Unanswered
	status, body := 0, []byte(nil)
	method, path, header, text, err := c.Codec.OrderRequest(o)
	if err == nil && !c.Valid() {
		err = errors.New("not sent: the lease has lapsed")
		reply = call.Refused
	}
	if err == nil {
		status, body, err = c.do(ctx, e.Target.Address, outbound.Request{Method: method, RequestURI: path, Header: header, Body: text, AtMostOnce: true})
	}
	if err == nil {
		reply = c.Codec.ParseReply(status)
	}
	c.OnReply(replies[reply])
	c.Log.Info("order: sent", zap.String("runner", e.Target.Name), zap.String("operation", operations[o.Kind]),
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Int("version", o.Version), zap.Uint64("fence", o.Fence),
		zap.Uint64("orders", o.AcceptedOrders), zap.String("reply", replies[reply]), zap.Int("status", status),
		zap.Duration("took", time.Since(begun)), zap.ByteString("body", body[:min(len(body), 200)]), zap.Error(err))
	return reply
}

// report returns the runner's report, nil where none came.
func (c *RunnerClient) report(ctx context.Context, e dispatch.Task) *call.Report {
	method, path, header := c.Codec.ReportRequest(e.Target.Name)
	_, body, err := c.do(ctx, e.Target.Address, outbound.Request{Method: method, RequestURI: path, Header: header})
	if err != nil {
		c.Log.Warn("order: no report", zap.String("runner", e.Target.Name), zap.Error(err))
		return nil
	}
	r, err := c.Codec.ParseReport(body)
	if err != nil {
		c.Log.Warn("order: a report can't be read", zap.String("runner", e.Target.Name), zap.Error(err))
		return nil
	}
	c.Log.Info("order: report", zap.String("runner", e.Target.Name), zap.Uint64("orders", r.AcceptedOrders),
		zap.Int("models", len(r.Models)), zap.Int("coming", len(r.Loading)), zap.Int("running", r.Running), zap.Int("waiting", r.Waiting))
	return &r
}

// do sends one request and reads the whole answer.
func (c *RunnerClient) do(ctx context.Context, address netip.AddrPort, r outbound.Request) (int, []byte, error) {
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
