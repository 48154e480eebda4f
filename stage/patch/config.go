// Package patch holds the numbered configuration and the patches that change it.
//
// A Config is immutable. Apply returns the next Config, or refuses the whole patch
// and names the item at fault. Patch N applies only to configuration N-1. Which of
// two competing patches becomes number N is not decided here but by the object
// API, through the conditional create of the object patch/N.
package patch

import (
	"crypto/subtle"
	"slices"
	"strings"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// Config is the configuration at one version. It is immutable: once Apply has
// returned it, its maps are only read. The zero value is the empty configuration
// at version 0.
type Config struct {
	Version  uint64
	Adapters map[string]adapter.Adapter
	Callers  map[string]caller.Caller
	Rules    map[string]rule.Rule
	Services map[string]service.Service
	Targets  map[string]target.Target

	callersByToken map[caller.TokenHash]string // name of the caller by token hash
	rulesByGrant   map[grant][]string          // sorted names of the rules that make each grant
}

// grant is the combination of a caller and an adapter or a service that a rule
// allows. Exactly one of adapter and service is set. Each field can be rule.All.
type grant struct{ caller, adapter, service string }

func grantOf(r rule.Rule) grant {
	return grant{caller: r.Caller, adapter: r.Adapter, service: r.Service}
}

// CallerByToken returns the caller to which a bearer token belongs. Its running
// time doesn't depend on how much of the token is correct.
func (c *Config) CallerByToken(token string) (caller.Caller, bool) {
	hash := caller.HashToken(token)
	name, found := c.callersByToken[hash]
	entry := c.Callers[name]
	equal := 0
	for _, text := range entry.Tokens {
		stored, err := caller.ParseTokenHash(text)
		if err == nil {
			equal |= subtle.ConstantTimeCompare(stored[:], hash[:])
		}
	}
	if !found || equal != 1 {
		return caller.Caller{}, false
	}
	return entry, true
}

// Allows reports whether the configuration has the adapter and version and a rule
// allows the caller to use them.
func (c *Config) Allows(callerName string, ref adapter.Ref) bool {
	entry, ok := c.Adapters[ref.Name]
	if !ok || !entry.HasVersion(ref.Version) {
		return false
	}
	for _, callerKey := range [...]string{callerName, rule.All} {
		for _, adapterKey := range [...]string{ref.Name, rule.All} {
			if c.allowsGrant(grant{caller: callerKey, adapter: adapterKey}, ref.Version) {
				return true
			}
		}
	}
	return false
}

// allowsGrant reports whether one of the grant's rules allows the version.
func (c *Config) allowsGrant(g grant, version string) bool {
	return slices.ContainsFunc(c.rulesByGrant[g], func(name string) bool { return c.Rules[name].AllowsVersion(version) })
}

// AllowsService reports whether the configuration has the plain service and a rule
// allows the caller to use it.
func (c *Config) AllowsService(callerName, serviceName string) bool {
	if c.Services[serviceName].Plain == nil {
		return false
	}
	for _, callerKey := range [...]string{callerName, rule.All} {
		for _, serviceKey := range [...]string{serviceName, rule.All} {
			if len(c.rulesByGrant[grant{caller: callerKey, service: serviceKey}]) > 0 {
				return true
			}
		}
	}
	return false
}

// Models returns the adapter versions that the caller may use, sorted by adapter
// name. The versions of an adapter are in the order of its entry.
func (c *Config) Models(callerName string) []adapter.Ref {
	var refs []adapter.Ref
	for _, entry := range c.Adapters {
		for _, version := range entry.Versions {
			if ref := (adapter.Ref{Name: entry.Name, Version: version}); c.Allows(callerName, ref) {
				refs = append(refs, ref)
			}
		}
	}
	slices.SortStableFunc(refs, func(a, b adapter.Ref) int { return strings.Compare(a.Name, b.Name) })
	return refs
}
