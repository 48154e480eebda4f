// Package rule holds the configuration's rules, each saying which adapters and
// versions, or which plain service, a caller may use. What no rule allows is refused.
package rule

import (
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// All stands for all callers, adapters or plain services in a rule.
const All = "*"

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

var form = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// AllowsVersion reports whether the rule, which names the adapter, allows version.
func (r Rule) AllowsVersion(version string) bool {
	return len(r.Versions) == 0 || slices.Contains(r.Versions, version)
}

// Validate returns what is wrong with the entry by itself, nil if nothing.
func (r Rule) Validate() error {
	switch {
	case !form.MatchString(r.Name):
		return errors.Errorf("malformed name %.200q", r.Name)
	case r.Caller == "":
		return errors.New("no caller")
	case r.Adapter == "" && r.Service == "":
		return errors.New("neither adapter nor service")
	case r.Adapter != "" && r.Service != "":
		return errors.New("both adapter and service")
	case r.Service != "" && len(r.Versions) > 0:
		return errors.New("versions of a service")
	case r.Adapter == All && len(r.Versions) > 0:
		return errors.New("versions of all adapters")
	default:
		return nil
	}
}
