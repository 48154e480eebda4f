package traffic

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
)

// A catalog says which adapters the rules of each caller name, in one
// configuration. So a list takes time by what it holds and not by what the
// configuration does.
type catalog struct {
	config *patch.Config
	rules  map[string][]string // adapters by caller, "*" included, unsorted
	all    []string            // all adapters, sorted
}

func newCatalog(config *patch.Config) *catalog {
	c := &catalog{config: config, rules: map[string][]string{}, all: make([]string, 0, len(config.Adapters))}
	for _, r := range config.Rules {
		if r.Adapter != "" {
			c.rules[r.Caller] = append(c.rules[r.Caller], r.Adapter)
		}
	}
	for name := range config.Adapters {
		c.all = append(c.all, name)
	}
	slices.Sort(c.all)
	return c
}

// models returns what the caller may use, sorted by name; versions are in the
// order of the adapter's entry.
func (c *catalog) models(who string) []adapter.Ref {
	names := slices.Concat(c.rules[who], c.rules[rule.All])
	whole := slices.Contains(names, rule.All)
	if whole {
		names = c.all
	} else {
		slices.Sort(names)
		names = slices.Compact(names)
	}
	refs := make([]adapter.Ref, 0, len(names))
	for _, name := range names {
		for _, version := range c.config.Adapters[name].Versions {
			if ref := (adapter.Ref{Name: name, Version: version}); whole || c.config.Allows(who, ref) {
				refs = append(refs, ref)
			}
		}
	}
	return refs
}

// A shelf holds the catalog of the newest configuration that was asked for.
type shelf struct{ held atomic.Pointer[catalog] }

func (s *shelf) of(config *patch.Config) *catalog {
	c := s.held.Load()
	if c == nil || c.config != config {
		c = newCatalog(config)
		s.held.Store(c)
	}
	return c
}

// models answers with what the caller may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	view, who, err := s.authenticate(r)
	if err != nil {
		fail(w, err)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, ref := range s.shelf.of(view.Config).models(who.Name) {
		list.Data = append(list.Data, model{ID: ref.String(), Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
