// Package target holds the configuration's entries for targets, the back ends
// that the system routes to, and their life cycle.
package target

import "net/netip"

// A Target is one back end of one service: a runner (a model engine) or one
// instance of a plain service.
type Target struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	// Slots is the number of adapters that a runner holds at once.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of requests that a runner runs at once.
	Batch int `json:"batch,omitempty"`
}
