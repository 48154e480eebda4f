package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"jacinthstage/stage/adapter"
)

// An Order changes what an engine holds: Load, Unload or Fence.
type Order interface{ order() wire }

// Load makes an adapter resident.
type Load struct{ Ref adapter.Ref }

// Unload removes an adapter.
type Unload struct{ Ref adapter.Ref }

// Fence has no effect but to raise the highest number that the engine has seen.
type Fence struct{}

// wire is the wire form of an order.
type wire struct {
	Kind     string    `json:"kind"`
	Adapter  string    `json:"adapter,omitempty"`
	Number   uint64    `json:"number"`
	Deadline time.Time `json:"deadline,omitzero"`
}

func (l Load) order() wire   { return wire{Kind: "load", Adapter: l.Ref.String()} }
func (u Unload) order() wire { return wire{Kind: "unload", Adapter: u.Ref.String()} }
func (Fence) order() wire    { return wire{Kind: "fence"} }

// A Receipt is an engine's answer to an order that it carried out.
type Receipt struct {
	FencingNumber uint64 `json:"number"` // the highest fencing number seen
	Incarnation   string `json:"incarnation"`
}

// Order gives an order with its fencing number and waits until it is done, at
// the latest until deadline. A *Refusal says that the order had no effect; a
// *Fault with the verdict MayHaveRun that it may have, now or later.
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
	c.learn(addr, receipt.Incarnation)
	return receipt, err
}

// A Report is what an engine says of itself. It may be late.
type Report struct {
	Incarnation   string    `json:"incarnation"`
	FencingNumber uint64    `json:"number"` // the highest fencing number seen when the report was made
	MadeAt        time.Time `json:"made"`   // on the engine's clock
	Slots         []Slot    `json:"slots"`
	Running       int       `json:"running"` // requests in the batch
	Queued        int       `json:"queued"`  // requests that wait for a place
	BatchSlots    int       `json:"places"`  // places in the batch
}

// A Slot is an adapter that an engine holds or loads.
type Slot struct {
	Adapter  adapter.Ref `json:"adapter"`
	State    string      `json:"state"`    // loading or resident
	Requests []string    `json:"requests"` // ids of the requests on it
}

// Report asks an engine for its report.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort) (Report, error) {
	x, err := c.send(ctx, addr, call{method: http.MethodGet, path: "/v1/report", silence: c.silence()})
	if err != nil {
		return Report{}, err
	}
	var report Report
	err = x.finish(&report)
	c.learn(addr, report.Incarnation)
	return report, err
}
