package patch_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// modelConfig is a simple model of a Config: a map of entries, keyed by kind and
// name, that is checked as a whole after each patch.
type modelConfig map[string]any

// apply returns the model after the changes. It reports false if they are refused.
func (m modelConfig) apply(changes []patch.Change) (modelConfig, bool) {
	next := maps.Clone(m)
	changed := map[string]bool{}
	for _, c := range changes {
		key, entry := keyAndEntry(c)
		if changed[key] {
			return nil, false
		}
		changed[key] = true
		if entry == nil {
			if _, ok := next[key]; !ok {
				return nil, false
			}
			delete(next, key)
			continue
		}
		next[key] = entry
	}
	return next, next.valid()
}

// keyAndEntry returns the key of the entry that a change affects, and the entry
// that it puts, nil for a removal.
func keyAndEntry(c patch.Change) (string, any) {
	switch x := c.(type) {
	case patch.PutAdapter:
		return "adapter/" + x.Adapter.Name, x.Adapter
	case patch.PutCaller:
		return "caller/" + x.Caller.Name, x.Caller
	case patch.PutRule:
		return "rule/" + x.Rule.Name, x.Rule
	case patch.PutService:
		return "service/" + x.Service.Name, x.Service
	case patch.PutTarget:
		return "target/" + x.Target.Name, x.Target
	case patch.RemoveAdapter:
		return "adapter/" + x.Name, nil
	case patch.RemoveCaller:
		return "caller/" + x.Name, nil
	case patch.RemoveRule:
		return "rule/" + x.Name, nil
	case patch.RemoveService:
		return "service/" + x.Name, nil
	case patch.RemoveTarget:
		return "target/" + x.Name, nil
	}
	panic("unknown change")
}

// valid reports whether the entries are consistent with each other.
func (m modelConfig) valid() bool {
	tokens, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, entry := range m {
		ok := true
		switch x := entry.(type) {
		case adapter.Adapter:
			svc, _ := m["service/"+x.Service].(service.Service)
			ok = svc.Engine != nil
		case caller.Caller:
			for _, t := range x.Tokens {
				ok = ok && !tokens[t]
				tokens[t] = true
			}
		case rule.Rule:
			_, known := m["caller/"+x.Caller]
			ok = (x.Caller == "*" || known) && m.validRule(x)
		case target.Target:
			svc, known := m["service/"+x.Service].(service.Service)
			ok = known && (svc.Engine != nil) == (x.Slots > 0) && !addresses[x.Address]
			addresses[x.Address] = true
		}
		if !ok {
			return false
		}
	}
	return true
}

func (m modelConfig) validRule(r rule.Rule) bool {
	if r.Service != "" {
		svc, _ := m["service/"+r.Service].(service.Service)
		return r.Service == "*" || svc.Plain != nil
	}
	entry, ok := m["adapter/"+r.Adapter].(adapter.Adapter)
	for _, v := range r.Versions {
		ok = ok && entry.HasVersion(v)
	}
	return r.Adapter == "*" || ok
}

func (m modelConfig) allows(callerName string, ref adapter.Ref) bool {
	entry, ok := m["adapter/"+ref.Name].(adapter.Adapter)
	if !ok || !entry.HasVersion(ref.Version) {
		return false
	}
	for _, e := range m {
		r, ok := e.(rule.Rule)
		if ok && (r.Caller == callerName || r.Caller == "*") && (r.Adapter == ref.Name || r.Adapter == "*") && r.AllowsVersion(ref.Version) {
			return true
		}
	}
	return false
}

// entriesOf returns the entries of a configuration in the form of the model.
func entriesOf(c *patch.Config) modelConfig {
	m := modelConfig{}
	addEntries(m, "adapter/", c.Adapters)
	addEntries(m, "caller/", c.Callers)
	addEntries(m, "rule/", c.Rules)
	addEntries(m, "service/", c.Services)
	addEntries(m, "target/", c.Targets)
	return m
}

func addEntries[V any](m modelConfig, prefix string, entries map[string]V) {
	for name, e := range entries {
		m[prefix+name] = e
	}
}

var (
	names    = rapid.SampledFrom([]string{"a", "b", "c"})
	versions = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 3, rapid.ID[string])
)

// drawChange draws a well-formed change. It draws from few names so that changes
// often affect the same entries.
func drawChange(t *rapid.T) patch.Change {
	name, other := names.Draw(t, "name"), names.Draw(t, "other")
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return patch.RemoveAdapter{Name: name}
	case 1:
		return patch.RemoveCaller{Name: name}
	case 2:
		return patch.RemoveRule{Name: name}
	case 3:
		return patch.RemoveService{Name: name}
	case 4:
		return patch.RemoveTarget{Name: name}
	case 5:
		return patch.PutAdapter{Adapter: adapter.Adapter{Name: name, Service: other, Versions: versions.Draw(t, "versions")}}
	case 6:
		tokens := []string{tokenHash(rapid.SampledFrom([]string{"0", "1", "2", "3"}).Draw(t, "token"))}
		return patch.PutCaller{Caller: caller.Caller{Name: name, Tokens: tokens}}
	case 7:
		r := rule.Rule{Name: name, Caller: rapid.SampledFrom([]string{"a", "b", "*"}).Draw(t, "caller"), Adapter: other}
		if rapid.Bool().Draw(t, "narrow") {
			r.Versions = versions.Draw(t, "versions")
		}
		return patch.PutRule{Rule: r}
	case 8:
		return patch.PutRule{Rule: rule.Rule{Name: name, Caller: names.Draw(t, "caller"), Service: rapid.SampledFrom([]string{"a", "b", "*"}).Draw(t, "service")}}
	case 9:
		if rapid.IntRange(0, 2).Draw(t, "plain") == 0 {
			return patch.PutService{Service: service.Service{Name: name, Plain: &service.Plain{}}}
		}
		return patch.PutService{Service: service.Service{Name: name, Engine: &service.Engine{Model: "m"}}}
	default:
		tgt := runner(name, fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 4).Draw(t, "port")))
		tgt.Service = other
		if rapid.IntRange(0, 2).Draw(t, "plain") == 0 {
			tgt.Slots, tgt.Batch = 0, 0
		}
		return patch.PutTarget{Target: tgt}
	}
}

// TestApplyMatchesModel applies random patches to a Config and to the model and
// compares the outcomes, the entries and what Allows reports.
func TestApplyMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, model := &patch.Config{}, modelConfig{}
		for range rapid.IntRange(1, 40).Draw(t, "patches") {
			p := nextPatch(config, rapid.SliceOfN(rapid.Custom(drawChange), 1, 4).Draw(t, "changes")...)
			got, err := config.Apply(p)
			want, ok := model.apply(p.Changes)
			require.Equal(t, ok, err == nil, "%v", err)
			if !ok {
				continue
			}
			config, model = got, want
			require.Equal(t, model, entriesOf(config))
			for _, callerName := range []string{"a", "b", "c"} {
				for _, name := range []string{"a", "b", "c"} {
					for _, v := range []string{"v1", "v3"} {
						ref := adapter.Ref{Name: name, Version: v}
						require.Equal(t, model.allows(callerName, ref), config.Allows(callerName, ref))
					}
				}
			}
		}
		checkSnapshot(t, config)
	})
}

// checkSnapshot checks that a configuration survives the round trip through its
// snapshot, that the snapshot of the result is equal, and that a damaged part is
// detected.
func checkSnapshot(t require.TestingT, config *patch.Config) {
	snapshot, err := config.Snapshot()
	require.NoError(t, err)
	restored, err := snapshot.Config()
	require.NoError(t, err)
	require.Equal(t, config.Version, restored.Version)
	require.Equal(t, entriesOf(config), entriesOf(restored))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
	for i := range snapshot.Parts {
		damaged := patch.Snapshot{Manifest: snapshot.Manifest, Parts: slices.Clone(snapshot.Parts)}
		damaged.Parts[i] = append(slices.Clone(damaged.Parts[i]), 0)
		_, err := damaged.Config()
		require.Error(t, err)
	}
}
