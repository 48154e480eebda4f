package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/account"
	"jacinthstage/stage/catalog"
)

// TestContended checks for which services requests differ in who goes first.
func TestContended(t *testing.T) {
	route := func(prefix string, priority int, service string) catalog.Route {
		return catalog.Route{Host: "h", Prefix: prefix, Priority: priority, Split: []catalog.TrafficShare{{Service: service, Weight: 1}}}
	}
	routes := []catalog.Route{route("/a/", 0, "mixed"), route("/b/", 2, "mixed"), route("/c/", 1, "even"), route("/d/", 1, "even"), route("/e/", 2, "replaced"), route("/e/", 0, "replaced")}
	c := catalog.NewConfig(1, routes, nil, catalog.Limits{})
	for service, want := range map[string]bool{"mixed": true, "even": false, "replaced": false, "unknown": false} {
		require.Equal(t, want, c.Contended(service), service)
	}
	require.False(t, (*catalog.Config)(nil).Contended("mixed"))
	c.Accounts, _ = account.New(nil)
	require.True(t, c.Contended("even"))
}
