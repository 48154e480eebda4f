package patch_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

// tokenHash returns a token hash that consists of one repeated hex digit.
func tokenHash(digit string) string { return strings.Repeat(digit, 64) }

// nextPatch returns a valid patch with the changes for the version after c.
func nextPatch(c *patch.Config, changes ...patch.Change) patch.Patch {
	return patch.Patch{Number: c.Version + 1, Base: c.Version, ID: "id", Author: "ann", Reason: "test", Changes: changes}
}

func runner(name, address string) target.Target {
	return target.Target{Name: name, Service: "draft", Address: netip.MustParseAddrPort(address), Region: "south", Zone: "a", Slots: 8, Batch: 16}
}

// baseConfig returns a configuration at version 1 with at least one entry of each
// kind.
func baseConfig(t testing.TB) *patch.Config {
	var empty patch.Config
	c, err := empty.Apply(nextPatch(&empty,
		patch.PutRule{Rule: rule.Rule{Name: "r1", Caller: "carrier", Adapter: "fees", Versions: []string{"v1"}}},
		patch.PutAdapter{Adapter: adapter.Adapter{Name: "fees", Service: "draft", Versions: []string{"v1", "v2"}}},
		patch.PutService{Service: service.Service{Name: "draft", Engine: &service.Engine{Model: "m"}}},
		patch.PutService{Service: service.Service{Name: "registry", Plain: &service.Plain{}}},
		patch.PutCaller{Caller: caller.Caller{Name: "carrier", Tokens: []string{tokenHash("a")}}},
		patch.PutTarget{Target: runner("t1", "127.0.0.1:1")},
	))
	require.NoError(t, err)
	return c
}

func TestApplyRefuses(t *testing.T) {
	engine := &service.Engine{Model: "m"}
	putAdapter := func(name, serviceName string, versions ...string) patch.Change {
		return patch.PutAdapter{Adapter: adapter.Adapter{Name: name, Service: serviceName, Versions: versions}}
	}
	putRule := func(r rule.Rule) patch.Change { return patch.PutRule{Rule: r} }
	cases := []struct {
		name   string
		change patch.Change
		want   string
	}{
		{"adapter without service", putAdapter("a", "none", "v1"), `adapter "a": service "none" is missing`},
		{"adapter of a plain service", putAdapter("a", "registry", "v1"), `adapter "a": service "registry" is not an engine service`},
		{"adapter without versions", putAdapter("a", "draft"), `adapter "a": no versions`},
		{"adapter with a version twice", putAdapter("a", "draft", "v1", "v1"), `adapter "a": version v1 given twice`},
		{"version in use", putAdapter("fees", "draft", "v2"), `adapter "fees": in use: rule "r1": adapter "fees" has no version "v1"`},
		{"adapter in use", patch.RemoveAdapter{Name: "fees"}, `adapter "fees": in use: rule "r1": adapter "fees" is missing`},
		{"caller in use", patch.RemoveCaller{Name: "carrier"}, `caller "carrier": in use: rule "r1": caller "carrier" is missing`},
		{"service in use", patch.RemoveService{Name: "draft"}, `service "draft": in use: adapter "fees": service "draft" is missing`},
		{"service changes kind", patch.PutService{Service: service.Service{Name: "draft", Plain: &service.Plain{}}}, `service "draft": in use: adapter "fees": service "draft" is not an engine service`},
		{"nothing to remove", patch.RemoveTarget{Name: "t9"}, `target "t9": missing, can't be removed`},
		{"two kinds", patch.PutService{Service: service.Service{Name: "s", Engine: engine, Plain: &service.Plain{}}}, `service "s": two kinds, engine and plain`},
		{"no kind", patch.PutService{Service: service.Service{Name: "s"}}, `service "s": no kind, neither engine nor plain`},
		{"unclean path", patch.PutService{Service: service.Service{Name: "s", Plain: &service.Plain{Idempotent: []service.Call{{Method: "GET", Path: "/a/../b"}}}}}, `service "s": path "/a/../b" is not absolute and clean`},
		{"rule without caller", putRule(rule.Rule{Name: "r", Caller: "none", Adapter: "fees"}), `rule "r": caller "none" is missing`},
		{"rule without adapter", putRule(rule.Rule{Name: "r", Caller: "carrier", Adapter: "none"}), `rule "r": adapter "none" is missing`},
		{"rule without version", putRule(rule.Rule{Name: "r", Caller: "carrier", Adapter: "fees", Versions: []string{"v9"}}), `rule "r": adapter "fees" has no version "v9"`},
		{"rule of two kinds", putRule(rule.Rule{Name: "r", Caller: "carrier", Adapter: "fees", Service: "registry"}), `rule "r": both adapter and service`},
		{"rule of an engine service", putRule(rule.Rule{Name: "r", Caller: "carrier", Service: "draft"}), `rule "r": service "draft" is not a plain service`},
		{"token of another caller", patch.PutCaller{Caller: caller.Caller{Name: "b", Tokens: []string{tokenHash("a")}}}, `caller "b": token ` + tokenHash("a") + ` belongs to caller "carrier"`},
		{"token in plain text", patch.PutCaller{Caller: caller.Caller{Name: "b", Tokens: []string{"secret"}}}, `caller "b": token: "secret" is not a SHA-256 hash in lower-case hex`},
		{"target without service", patch.PutTarget{Target: target.Target{Name: "t2", Service: "none", Address: netip.MustParseAddrPort("127.0.0.1:2"), Region: "r", Zone: "z"}}, `target "t2": service "none" is missing`},
		{"target without slots", patch.PutTarget{Target: target.Target{Name: "t2", Service: "draft", Address: netip.MustParseAddrPort("127.0.0.1:2"), Region: "r", Zone: "z"}}, `target "t2": slots 0 is out of range 1 to 1024`},
		{"address of another target", patch.PutTarget{Target: runner("t2", "127.0.0.1:1")}, `target "t2": address 127.0.0.1:1 belongs to target "t1"`},
		{"malformed name", patch.RemoveRule{Name: "\n"}, `rule "\n": missing, can't be removed`},
	}
	c := baseConfig(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			// The patch also contains a valid change, which must have no effect either.
			got, err := c.Apply(nextPatch(c, patch.PutCaller{Caller: caller.Caller{Name: "new"}}, tc.change))
			require.Nil(t, got)
			require.EqualError(t, err, tc.want)
			var refusal *patch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, baseConfig(t), c)
		})
	}
}

func TestApplyRefusesInvalidPatch(t *testing.T) {
	c := baseConfig(t)
	valid := nextPatch(c, patch.RemoveTarget{Name: "t1"})
	cases := []struct {
		name   string
		change func(*patch.Patch)
		want   string
	}{
		{"wrong base", func(p *patch.Patch) { p.Base = 0 }, "patch 2: made for version 0, the configuration is at 1"},
		{"gap in numbers", func(p *patch.Patch) { p.Number = 3 }, "patch 3: number doesn't follow base 1"},
		{"no author", func(p *patch.Patch) { p.Author = "" }, "patch 2: no author"},
		{"no id", func(p *patch.Patch) { p.ID = "" }, "patch 2: no id"},
		{"long reason", func(p *patch.Patch) { p.Reason = strings.Repeat("x", 1001) }, "patch 2: reason is longer than 1000 bytes"},
		{"no changes", func(p *patch.Patch) { p.Changes = nil }, "patch 2: no changes"},
		{"same item twice", func(p *patch.Patch) { p.Changes = append(p.Changes, p.Changes[0]) }, `target "t1": changed twice in one patch`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := valid
			tc.change(&p)
			_, err := c.Apply(p)
			require.EqualError(t, err, tc.want)
		})
	}
}

func TestConfigLookups(t *testing.T) {
	c := baseConfig(t)
	token := "t0k3n"
	hash := caller.HashToken(token)
	c, err := c.Apply(nextPatch(c,
		patch.PutCaller{Caller: caller.Caller{Name: "inspector", Tokens: []string{strings.ToLower(hexHash(hash))}}},
		patch.PutRule{Rule: rule.Rule{Name: "all", Caller: "inspector", Adapter: rule.All}},
		patch.PutRule{Rule: rule.Rule{Name: "registry", Caller: rule.All, Service: "registry"}},
	))
	require.NoError(t, err)
	entry, ok := c.CallerByToken(token)
	require.True(t, ok)
	require.Equal(t, "inspector", entry.Name)
	_, ok = c.CallerByToken(token + "x")
	require.False(t, ok)
	fees := func(version string) adapter.Ref { return adapter.Ref{Name: "fees", Version: version} }
	require.True(t, c.Allows("carrier", fees("v1")))
	require.False(t, c.Allows("carrier", fees("v2")))
	require.True(t, c.Allows("inspector", fees("v2")))
	require.False(t, c.Allows("inspector", fees("v3")))
	require.True(t, c.AllowsService("carrier", "registry"))
	require.False(t, c.AllowsService("inspector", "draft"))
	require.Equal(t, []adapter.Ref{fees("v1")}, c.Models("carrier"))
	require.Equal(t, []adapter.Ref{fees("v1"), fees("v2")}, c.Models("inspector"))

	c, err = c.Apply(nextPatch(c, patch.RemoveRule{Name: "all"}, patch.RemoveCaller{Name: "inspector"}))
	require.NoError(t, err)
	_, ok = c.CallerByToken(token)
	require.False(t, ok)
	require.False(t, c.Allows("inspector", fees("v2")))
}
