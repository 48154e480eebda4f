package ownership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/call"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
	"jacinthstage/stage/notice"
	"jacinthstage/stage/residency"
)

const (
	// orderTimeout limits the time of an order or of a request for a report.
	orderTimeout = 700 * time.Millisecond
	// maxReportBytes is the maximum size of a report, in bytes.
	maxReportBytes = 1 << 20
)

// A RunnerCodec encodes the requests that are sent to runners and decodes the answers.
type RunnerCodec interface {
	// OrderRequest returns the request that sends an order.
	OrderRequest(call.Order) (method, path string, h http.Header, body []byte, err error)
	// ParseReply decodes the status of the answer to an order.
	ParseReply(status int) call.Reply
	// IsReply reports whether an answer with these headers can be that to an order or a
	// request for a report, rather than a late one to a caller's request.
	IsReply(http.Header) bool
	// ParseNotice decodes what such an answer says of the runner.
	ParseNotice(status int, h http.Header) notice.Notice
	// ReportRequest returns the request that asks the runner target for its report.
	ReportRequest(target string) (method, path string, h http.Header)
	// ParseReport decodes the body of a report.
	ParseReport(body []byte) (call.Report, error)
}

// A RunnerClient sends orders to runners and fetches their reports. All fields must be
// set.
type RunnerClient struct {
	Dispatcher *dispatch.Dispatcher
	Codec      RunnerCodec
	Pool       *outbound.Pool
	Log        *zap.Logger
	// OnReply is called with the name of the reply to each order.
	OnReply func(reply string)
	// Valid reports whether orders may still be sent.
	Valid func() bool
}

// replyNames are the names of the replies to orders in logs and metrics.
var replyNames = map[call.Reply]string{
	call.Unanswered: "unanswered", call.Accepted: "accepted", call.Applied: "holds",
	call.Conflict: "conflict", call.Fenced: "fenced", call.Refused: "refused",
}

// operationNames are the names of the operations of orders in logs.
var operationNames = map[call.Operation]string{call.Load: "load", call.Unload: "unload"}

// Execute makes the call to a runner that task describes, and passes the result to
// the Dispatcher.
func (c *RunnerClient) Execute(ctx context.Context, task dispatch.Task) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch a := task.Action.(type) {
	case residency.PollReport:
		report := c.report(ctx, task.Target)
		c.Dispatcher.HandleReport(time.Now(), task.Target.Name, report)
	case residency.SendOrder:
		reply := c.order(ctx, task.Target, a.Order)
		c.Dispatcher.HandleReply(time.Now(), a.Order, reply)
	default:
		panic(fmt.Sprintf("ownership: unknown action %T for a runner", a))
	}
}

// order sends an order unless the lease has expired, and returns the reply.
func (c *RunnerClient) order(ctx context.Context, t catalog.Target, o call.Order) call.Reply {
	start := time.Now()
	reply := call.Unanswered
	status, body := 0, []byte(nil)
	method, path, header, content, err := c.Codec.OrderRequest(o)
	if err == nil && !c.Valid() {
		err = errors.New("not sent: the lease has expired")
		reply = call.Refused
	}
	if err == nil {
		status, body, err = c.do(ctx, t, outbound.Request{Method: method, RequestURI: path, Header: header, Body: content, AtMostOnce: true})
	}
	if err == nil {
		reply = c.Codec.ParseReply(status)
	}
	c.OnReply(replyNames[reply])
	c.Log.Info("order: sent", zap.String("runner", t.Name), zap.String("operation", operationNames[o.Kind]),
		zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.Int("version", o.Version), zap.Uint64("fence", o.Fence),
		zap.Uint64("orders", o.AcceptedOrders), zap.String("reply", replyNames[reply]), zap.Int("status", status),
		zap.Duration("took", time.Since(start)), zap.ByteString("body", body[:min(len(body), 200)]), zap.Error(err))
	return reply
}

// report fetches the runner's report. It returns nil if that fails.
func (c *RunnerClient) report(ctx context.Context, t catalog.Target) *call.Report {
	method, path, header := c.Codec.ReportRequest(t.Name)
	_, body, err := c.do(ctx, t, outbound.Request{Method: method, RequestURI: path, Header: header})
	if err != nil {
		c.Log.Warn("order: request for a report failed", zap.String("runner", t.Name), zap.Error(err))
		return nil
	}
	r, err := c.Codec.ParseReport(body)
	if err != nil {
		c.Log.Warn("order: report can't be decoded", zap.String("runner", t.Name), zap.Error(err))
		return nil
	}
	c.Log.Info("order: report received", zap.String("runner", t.Name), zap.Uint64("orders", r.AcceptedOrders),
		zap.Int("models", len(r.Models)), zap.Int("coming", len(r.Loading)), zap.Int("running", r.Running), zap.Int("waiting", r.Waiting))
	return &r
}

// do sends one request and reads the complete answer, up to maxReportBytes.
func (c *RunnerClient) do(ctx context.Context, t catalog.Target, r outbound.Request) (int, []byte, error) {
	sent := time.Now()
	r.Host = t.Address.String()
	x, err := c.Pool.Do(ctx, t.Address, r, c.Codec.IsReply)
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	n := c.Codec.ParseNotice(x.Response.StatusCode, x.Response.Header)
	if c.Dispatcher.Heard(time.Now(), sent, t, n, notice.Other) {
		c.Log.Info("target: says of itself", zap.String("target", t.Name), zap.Float64("limit", n.Limit), zap.Bool("leaving", n.Leaving), zap.Duration("quiet", n.Quiet), zap.Bool("brittle", n.Brittle))
	}
	body, err := io.ReadAll(io.LimitReader(x, maxReportBytes))
	if err != nil {
		return 0, nil, err
	}
	return x.Response.StatusCode, body, nil
}
