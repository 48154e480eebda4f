// Package rule defines the access rules of the configuration. Each rule allows a
// caller to use certain adapters and versions, or a plain service. Requests that no
// rule allows are refused.
package rule

import (
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// All is the value of a rule's field that matches all callers, adapters or plain
// services.
const All = "*"

// Rule allows one caller or all callers to use adapters or plain services. The
// value "*" of a field matches all.
type Rule struct {
	Name   string `json:"name"`
	Caller string `json:"caller"`
	// Adapter is the name of an adapter, or "*". It is empty if the rule allows a
	// service.
	Adapter string `json:"adapter,omitempty"`
	// Versions lists the allowed versions of the adapter. If empty, all versions
	// are allowed.
	Versions []string `json:"versions,omitempty"`
	// Service is the name of a plain service, or "*". It is empty if the rule
	// allows adapters.
	Service string `json:"service,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// AllowsVersion reports whether the rule allows the version of an adapter that it
// matches.
func (r Rule) AllowsVersion(version string) bool {
	return len(r.Versions) == 0 || slices.Contains(r.Versions, version)
}

// Validate checks the entry by itself, without the entries that it refers to.
func (r Rule) Validate() error {
	switch {
	case !namePattern.MatchString(r.Name):
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
