// Package rule holds the configuration's rules, each saying which adapters and
// versions, or which plain service, a caller may use. What no rule allows is refused.
package rule

// A Rule allows one caller adapters or a plain service. A "*" stands for all.
type Rule struct {
	Name   string `json:"name"`
	Caller string `json:"caller"`
	// Adapter is an adapter's name, or "*"; empty where the rule allows a service.
	Adapter string `json:"adapter,omitempty"`
	// Versions are the versions allowed; empty means all.
	Versions []string `json:"versions,omitempty"`
	// Service is a plain service's name, or "*"; empty where the rule allows adapters.
	Service string `json:"service,omitempty"`
}
