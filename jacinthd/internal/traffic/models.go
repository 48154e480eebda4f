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

// A catalog indexes the adapters that the rules of one configuration name for each
// caller, so that the time to list a caller's models depends on the length of the
// list and not on the size of the configuration.
type catalog struct {
	config *patch.Config
	rules  map[string][]string // names of adapters by caller, unsorted; either may be "*"
	all    []string            // names of all adapters, sorted
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

// models returns the adapters that the caller may use, sorted by name. Versions of
// an adapter are in the order of its configuration.
func (c *catalog) models(callerName string) []adapter.Ref {
	names := slices.Concat(c.rules[callerName], c.rules[rule.All])
	allowAll := slices.Contains(names, rule.All)
	if allowAll {
		names = c.all
	} else {
		slices.Sort(names)
		names = slices.Compact(names)
	}
	refs := make([]adapter.Ref, 0, len(names))
	for _, name := range names {
		for _, version := range c.config.Adapters[name].Versions {
			if ref := (adapter.Ref{Name: name, Version: version}); allowAll || c.config.Allows(callerName, ref) {
				refs = append(refs, ref)
			}
		}
	}
	return refs
}

// A catalogCache holds the catalog of the last configuration requested.
type catalogCache struct{ current atomic.Pointer[catalog] }

func (s *catalogCache) get(config *patch.Config) *catalog {
	c := s.current.Load()
	if c == nil || c.config != config {
		c = newCatalog(config)
		s.current.Store(c)
	}
	return c
}

// listModels answers GET /v1/models with the models that the caller may use.
func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	view, from, err := s.authenticate(r)
	if err != nil {
		writeError(w, err)
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
	for _, ref := range s.catalogs.get(view.Config).models(from.Name) {
		list.Data = append(list.Data, model{ID: ref.String(), Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
