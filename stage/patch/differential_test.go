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

// A naive configuration is a map of entries by kind and name, checked as a
// whole after each patch.
type naive map[string]any

func (n naive) with(changes []patch.Change) (naive, bool) {
	next := maps.Clone(n)
	touched := map[string]bool{}
	for _, c := range changes {
		key, entry := keyed(c)
		if touched[key] {
			return nil, false
		}
		touched[key] = true
		if entry == nil {
			if _, ok := next[key]; !ok {
				return nil, false
			}
			delete(next, key)
			continue
		}
		next[key] = entry
	}
	return next, next.sound()
}

func keyed(c patch.Change) (string, any) {
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

func (n naive) sound() bool {
	tokens, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, entry := range n {
		ok := true
		switch x := entry.(type) {
		case adapter.Adapter:
			home, _ := n["service/"+x.Service].(service.Service)
			ok = home.Engine != nil
		case caller.Caller:
			for _, t := range x.Tokens {
				ok = ok && !tokens[t]
				tokens[t] = true
			}
		case rule.Rule:
			_, known := n["caller/"+x.Caller]
			ok = (x.Caller == "*" || known) && n.soundRule(x)
		case target.Target:
			home, known := n["service/"+x.Service].(service.Service)
			ok = known && (home.Engine != nil) == (x.Slots > 0) && !addresses[x.Address]
			addresses[x.Address] = true
		}
		if !ok {
			return false
		}
	}
	return true
}

func (n naive) soundRule(r rule.Rule) bool {
	if r.Service != "" {
		home, _ := n["service/"+r.Service].(service.Service)
		return r.Service == "*" || home.Plain != nil
	}
	entry, ok := n["adapter/"+r.Adapter].(adapter.Adapter)
	for _, v := range r.Versions {
		ok = ok && entry.HasVersion(v)
	}
	return r.Adapter == "*" || ok
}

func (n naive) allows(who string, ref adapter.Ref) bool {
	entry, ok := n["adapter/"+ref.Name].(adapter.Adapter)
	if !ok || !entry.HasVersion(ref.Version) {
		return false
	}
	for _, e := range n {
		r, ok := e.(rule.Rule)
		if ok && (r.Caller == who || r.Caller == "*") && (r.Adapter == ref.Name || r.Adapter == "*") && r.AllowsVersion(ref.Version) {
			return true
		}
	}
	return false
}

// flat returns the entries of a configuration in the naive form.
func flat(c *patch.Config) naive {
	n := naive{}
	collect(n, "adapter/", c.Adapters)
	collect(n, "caller/", c.Callers)
	collect(n, "rule/", c.Rules)
	collect(n, "service/", c.Services)
	collect(n, "target/", c.Targets)
	return n
}

func collect[V any](n naive, prefix string, entries map[string]V) {
	for name, e := range entries {
		n[prefix+name] = e
	}
}

var (
	few      = rapid.SampledFrom([]string{"a", "b", "c"})
	versions = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 3, rapid.ID[string])
)

// change draws a well-formed change among few names, so that many collide.
func change(t *rapid.T) patch.Change {
	name, other := few.Draw(t, "name"), few.Draw(t, "other")
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
		tokens := []string{hash(rapid.SampledFrom([]string{"0", "1", "2", "3"}).Draw(t, "token"))}
		return patch.PutCaller{Caller: caller.Caller{Name: name, Tokens: tokens}}
	case 7:
		r := rule.Rule{Name: name, Caller: rapid.SampledFrom([]string{"a", "b", "*"}).Draw(t, "caller"), Adapter: other}
		if rapid.Bool().Draw(t, "narrow") {
			r.Versions = versions.Draw(t, "versions")
		}
		return patch.PutRule{Rule: r}
	case 8:
		return patch.PutRule{Rule: rule.Rule{Name: name, Caller: few.Draw(t, "caller"), Service: rapid.SampledFrom([]string{"a", "b", "*"}).Draw(t, "service")}}
	case 9:
		if rapid.IntRange(0, 2).Draw(t, "plain") == 0 {
			return patch.PutService{Service: service.Service{Name: name, Plain: &service.Plain{}}}
		}
		return patch.PutService{Service: service.Service{Name: name, Engine: &service.Engine{Model: "m"}}}
	default:
		x := runner(name, fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 4).Draw(t, "port")))
		x.Service = other
		if rapid.IntRange(0, 2).Draw(t, "plain") == 0 {
			x.Slots, x.Batch = 0, 0
		}
		return patch.PutTarget{Target: x}
	}
}

// TestApplyLikeNaive runs patches through Apply and the naive map.
func TestApplyLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, model := &patch.Config{}, naive{}
		for range rapid.IntRange(1, 40).Draw(t, "patches") {
			p := next(config, rapid.SliceOfN(rapid.Custom(change), 1, 4).Draw(t, "changes")...)
			got, err := config.Apply(p)
			want, ok := model.with(p.Changes)
			require.Equal(t, ok, err == nil, "%v", err)
			if !ok {
				continue
			}
			config, model = got, want
			require.Equal(t, model, flat(config))
			for _, who := range []string{"a", "b", "c"} {
				for _, name := range []string{"a", "b", "c"} {
					for _, v := range []string{"v1", "v3"} {
						ref := adapter.Ref{Name: name, Version: v}
						require.Equal(t, model.allows(who, ref), config.Allows(who, ref))
					}
				}
			}
		}
		checkSnapshot(t, config)
	})
}

// checkSnapshot checks that a configuration comes back from its snapshot whole.
func checkSnapshot(t require.TestingT, config *patch.Config) {
	snapshot, err := config.Snapshot()
	require.NoError(t, err)
	back, err := snapshot.Config()
	require.NoError(t, err)
	require.Equal(t, config.Version, back.Version)
	require.Equal(t, flat(config), flat(back))
	again, err := back.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
	for i := range snapshot.Parts {
		damaged := patch.Snapshot{Manifest: snapshot.Manifest, Parts: slices.Clone(snapshot.Parts)}
		damaged.Parts[i] = append(slices.Clone(damaged.Parts[i]), 0)
		_, err := damaged.Config()
		require.Error(t, err)
	}
}
