package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"jacinthstage/stage/adapter"
)

// An Order changes the state of an engine: Load, Unload or Fence.
type Order interface{ order() wireOrder }

// Load makes an adapter resident.
type Load struct{ Ref adapter.Ref }

// Unload evicts an adapter.
type Unload struct{ Ref adapter.Ref }

// Fence only raises the highest fencing number that the engine has seen.
type Fence struct{}

// wireOrder is the wire form of an order.
type wireOrder struct {
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter,omitempty"`
	Number   uint64    `json:"number"`
	Deadline time.Time `json:"deadline,omitzero"`
}

func (l Load) order() wireOrder   { return wireOrder{Kind: "load", Adapter: l.Ref.String()} }
func (u Unload) order() wireOrder { return wireOrder{Kind: "unload", Adapter: u.Ref.String()} }
func (Fence) order() wireOrder    { return wireOrder{Kind: "fence"} }

// A Receipt is an engine's reply to an order that it has executed.
type Receipt struct {
	FencingNumber uint64 `json:"number"` // the highest fencing number seen
	Incarnation   string `json:"incarnation"`
}

// Order sends an order with its fencing number and waits until it is executed or
// the deadline passes. A *Refusal means that the order had no effect. A *CallError
// with the verdict MayHaveRun means that it may have an effect, now or later.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, order Order, number uint64, deadline time.Time) (Receipt, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	body := order.order()
	body.Number = number
	body.Deadline = deadline
	x, err := c.send(ctx, addr, call{method: http.MethodPost, path: "/v1/orders", body: body})
	if err != nil {
		return Receipt{}, err
	}
	var receipt Receipt
	err = x.finish(&receipt)
	c.noteIncarnation(addr, receipt.Incarnation)
	return receipt, err
}

// A Report describes the state of an engine. It may be out of date.
type Report struct {
	Incarnation   string    `json:"incarnation"`
	FencingNumber uint64    `json:"number"` // the highest fencing number seen when the report was made
	MadeAt        time.Time `json:"made"`   // on the engine's clock
	Slots         []Slot    `json:"slots"`
	Running       int       `json:"running"` // requests in the batch
	Queued        int       `json:"queued"`  // requests waiting for a batch slot
	BatchSlots    int       `json:"places"`  // size of the batch, in requests
}

// A Slot is an adapter slot whose adapter is resident or loading.
type Slot struct {
	Adapter  adapter.Ref `json:"adapter"`
	State    string      `json:"state"`    // loading or resident
	Requests []string    `json:"requests"` // IDs of the requests that use the adapter
}

// Report queries an engine for its report.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort) (Report, error) {
	x, err := c.send(ctx, addr, call{method: http.MethodGet, path: "/v1/report", progressTimeout: c.progressTimeout()})
	if err != nil {
		return Report{}, err
	}
	var report Report
	err = x.finish(&report)
	c.noteIncarnation(addr, report.Incarnation)
	return report, err
}
