// Package patch holds the numbered configuration and the patches that change it.
//
// A Config is immutable. Apply makes the next one from a Patch, or refuses the
// whole patch with the item at fault. Patch N applies to configuration N-1
// only; which of two patches becomes N is decided by the object API's
// conditional create of the object patch/N, not here.
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

// A Config is the configuration at one version. It is immutable: its maps are
// only read once Apply has returned it. The zero value is version 0, empty.
type Config struct {
	Version  uint64
	Adapters map[string]adapter.Adapter
	Callers  map[string]caller.Caller
	Rules    map[string]rule.Rule
	Services map[string]service.Service
	Targets  map[string]target.Target

	tokens map[caller.TokenHash]string // caller by token
	grants map[grant][]string          // rules by what they grant, sorted
}

// A grant is a pair that rules allow. Of adapter and service one is set.
type grant struct{ caller, adapter, service string }

func grantOf(r rule.Rule) grant {
	return grant{caller: r.Caller, adapter: r.Adapter, service: r.Service}
}

// CallerByToken returns the caller that a bearer token names. Its work does not
// depend on how much of a token is right.
func (c *Config) CallerByToken(token string) (caller.Caller, bool) {
	hash := caller.HashToken(token)
	name, found := c.tokens[hash]
	entry := c.Callers[name]
	same := 0
	for _, text := range entry.Tokens {
		kept, err := caller.ParseTokenHash(text)
		if err == nil {
			same |= subtle.ConstantTimeCompare(kept[:], hash[:])
		}
	}
	if !found || same != 1 {
		return caller.Caller{}, false
	}
	return entry, true
}

// Allows reports whether a rule lets the caller use the adapter and version,
// which the configuration must have.
func (c *Config) Allows(name string, ref adapter.Ref) bool {
	entry, ok := c.Adapters[ref.Name]
	if !ok || !entry.HasVersion(ref.Version) {
		return false
	}
	for _, who := range [...]string{name, rule.All} {
		for _, what := range [...]string{ref.Name, rule.All} {
			if c.granted(grant{caller: who, adapter: what}, ref.Version) {
				return true
			}
		}
	}
	return false
}

func (c *Config) granted(g grant, version string) bool {
	return slices.ContainsFunc(c.grants[g], func(name string) bool { return c.Rules[name].AllowsVersion(version) })
}

// AllowsService reports whether a rule lets the caller use the plain service,
// which the configuration must have.
func (c *Config) AllowsService(name, plain string) bool {
	if c.Services[plain].Plain == nil {
		return false
	}
	for _, who := range [...]string{name, rule.All} {
		for _, what := range [...]string{plain, rule.All} {
			if len(c.grants[grant{caller: who, service: what}]) > 0 {
				return true
			}
		}
	}
	return false
}

// Models returns what the caller may use, sorted by name; versions are in the
// order of the adapter's entry.
func (c *Config) Models(name string) []adapter.Ref {
	var refs []adapter.Ref
	for _, entry := range c.Adapters {
		for _, version := range entry.Versions {
			if ref := (adapter.Ref{Name: entry.Name, Version: version}); c.Allows(name, ref) {
				refs = append(refs, ref)
			}
		}
	}
	slices.SortStableFunc(refs, func(a, b adapter.Ref) int { return strings.Compare(a.Name, b.Name) })
	return refs
}
